"""Tests of the decisions about cold targets and the permits for them."""

import json
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.peers import cold_permits
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.peers import permit_issuing
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.models import forwarding
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts
from tests.lib import seeds

COLD_PER_S = 23.0
START_S = 3.0
SERVICE = attrs.evolve(
    gateway_parts.ENGINES, cold_start_s=START_S, cold_per_s=COLD_PER_S
)
SERVICES = {"engines": SERVICE}


def make_record(cold_remaining_s=None, **changes):
    """Returns the record of target 1."""
    return gateway_parts.make_record(
        1, cold_remaining_s=cold_remaining_s, **changes
    )


def make_head(cold_remaining_s, status=200):
    """Returns the head of an answer."""
    return forwarding.ResponseHead(
        status, (), cold_remaining_s=cold_remaining_s
    )


class ColdTargetsTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.changes = []
        self.cold = cold_targets.ColdTargets(
            self.table, self.clock, lambda: self.changes.append(self.clock.now)
        )
        self.cold.apply_services(SERVICES)

    def put(self, record, revision, **changes):
        """Records an entry; returns the time left until its target is warm."""
        self.table.put(record)
        fields = {"is_start_seen": True} | changes
        self.cold.record_entry(record, revision, **fields)
        return self.left_s()

    def answer(self, cold_remaining_s, record=None, **changes):
        self.cold.record_answer(
            record or make_record(), make_head(cold_remaining_s, **changes)
        )
        return self.left_s()

    def left_s(self):
        target = self.table.find("t1")
        return round(max(target.cold_until - self.clock.now, 0.0), 3)

    def test_process_that_is_seen_to_start_is_cold(self):
        self.assertEqual(self.put(make_record(), 5), START_S)
        self.clock.now += START_S
        self.assertFalse(self.table.find("t1").is_cold(self.clock.now))

    def test_entry_decides_about_a_process_that_is_seen_to_start(self):
        for revision, remaining_s in enumerate((0.0, 1.0, 7.5), 5):
            record = make_record(remaining_s, started_at_ms=revision)
            with self.subTest(remaining_s=remaining_s):
                self.assertEqual(self.put(record, revision), remaining_s)

    def test_process_in_the_first_scan_is_warm_unless_its_entry_says_cold(self):
        for number, (remaining_s, left_s) in enumerate(
            ((None, 0.0), (0.0, 0.0), (2.0, 2.0))
        ):
            record = make_record(remaining_s, started_at_ms=number)
            with self.subTest(remaining_s=remaining_s):
                self.assertEqual(
                    self.put(record, 5, is_start_seen=False), left_s
                )

    def test_entry_that_is_read_again_does_not_prolong_the_period(self):
        # A scan after each failed poll reads all entries again.
        self.put(make_record(2.0), 5)
        self.clock.now += 1.5
        self.assertEqual(self.put(make_record(2.0), 5), 0.5)
        self.clock.now += 1.5
        self.assertEqual(self.put(make_record(2.0), 5), 0.0)

    def test_entry_that_lapses_and_returns_does_not_start_anew(self):
        self.put(make_record(), 5)
        self.clock.now += 2.0
        self.table.remove("t1", self.clock.now, may_return=False)
        self.assertEqual(self.put(make_record(), 9), START_S - 2.0)

    def test_newer_entry_lengthens_or_shortens_the_period(self):
        self.put(make_record(2.0), 5)
        self.assertEqual(self.put(make_record(9.0), 6), 9.0)
        self.assertEqual(self.put(make_record(1.0), 7), 1.0)
        self.assertEqual(self.put(make_record(0.0), 8), 0.0)

    def test_newer_entry_without_the_field_changes_nothing(self):
        self.put(make_record(4.0), 5)
        self.clock.now += 1.0
        self.assertEqual(self.put(make_record(None), 6), 3.0)

    def test_target_turns_cold_at_any_moment(self):
        self.put(make_record(0.0), 5, is_start_seen=False)
        self.clock.now += 100.0
        self.assertEqual(self.put(make_record(3.0), 6), 3.0)
        self.clock.now += 100.0
        self.assertEqual(self.answer(2.5), 2.5)

    def test_answer_lengthens_or_shortens_the_period(self):
        self.put(make_record(2.0), 5)
        self.assertEqual(self.answer(5.0), 5.0)
        self.assertEqual(self.answer(None), 5.0)
        self.assertEqual(self.answer(0.5), 0.5)
        self.assertEqual(self.answer(0.0), 0.0)

    def test_entry_written_before_an_answer_does_not_shorten_its_period(self):
        # The store's answer may be on its way while the target turns cold.
        self.put(make_record(0.0), 5)
        self.answer(4.0)
        self.clock.now += 0.3
        self.assertEqual(self.put(make_record(0.0), 6), 3.7)
        self.clock.now += cold_targets.ENTRY_DELAY_S
        self.assertEqual(self.put(make_record(0.0), 7), 0.0)

    def test_entry_of_an_older_copy_of_the_store_does_not_shorten(self):
        def restore(revision):
            return store.join_era(1, revision)

        self.put(make_record(8.0), 7)
        left_s = self.put(make_record(0.0), restore(4), may_be_outdated=True)
        self.assertEqual(left_s, 8.0)
        self.assertEqual(self.put(make_record(0.0), restore(9)), 0.0)

    def test_entry_that_a_restored_store_repeats_does_not_prolong(self):
        self.put(make_record(8.0), 7)
        self.clock.now += 6.0
        left_s = self.put(
            make_record(8.0), store.join_era(1, 7), may_be_outdated=True
        )
        self.assertEqual(left_s, 2.0)

    def test_next_process_under_the_same_id_has_its_own_period(self):
        self.put(make_record(0.0), 5)
        old = make_record()
        self.clock.now += 50.0
        self.assertEqual(self.put(make_record(started_at_ms=2), 6), START_S)
        # A late answer of the earlier process says nothing about this one.
        self.assertEqual(self.answer(0.0, record=old), START_S)

    def test_answer_of_another_target_at_the_address_is_not_used(self):
        self.put(make_record(4.0), 5)
        statements = target_statements.TargetStatements(
            self.table, self.clock, cold=self.cold
        )
        statements.record_answer(make_record(), make_head(0.0, status=421))
        self.assertEqual(self.left_s(), 4.0)
        statements.record_answer(make_record(), make_head(1.0, status=503))
        self.assertEqual(self.left_s(), 1.0)

    def test_service_without_a_rate_has_no_cold_targets(self):
        self.cold.apply_services({"engines": gateway_parts.ENGINES})
        self.put(make_record(8.0), 5)
        self.answer(9.0)
        target = self.table.find("t1")
        self.assertFalse(target.is_cold(self.clock.now))
        self.assertIsNone(target.rate_limit_per_s(self.clock.now))
        self.assertEqual(self.cold.reports(), ())
        self.assertEqual(self.changes, [])
        self.cold.apply_services(SERVICES)
        self.assertTrue(target.is_cold(self.clock.now))

    def test_targets_read_before_the_configuration_turn_cold_with_it(self):
        self.cold.apply_services({})
        self.put(make_record(), 5)
        self.clock.now += 1.0
        self.cold.apply_services(SERVICES)
        self.assertEqual(self.left_s(), START_S - 1.0)

    def test_limit_is_the_lower_of_both(self):
        self.put(make_record(4.0), 5)
        target = self.table.find("t1")
        for stated_per_s, expected in ((5.0, 5.0), (50.0, COLD_PER_S)):
            target.rate_limit = target_table.RateLimit(
                stated_per_s, self.clock.now
            )
            self.assertEqual(target.rate_limit_per_s(self.clock.now), expected)
        self.clock.now += 4.0
        self.assertEqual(target.rate_limit_per_s(self.clock.now), 50.0)

    def test_slowdown_of_the_cold_target_ends_with_the_period(self):
        self.put(make_record(4.0), 5)
        for _ in range(target_table.SLOWDOWN_SAMPLE_COUNT):
            self.table.record_time_ratio("t1", 5.0, self.clock.now)
        target = self.table.find("t1")
        self.assertGreater(target.slowdown(self.clock.now), 4.0)
        self.clock.now += 4.0
        self.cold.update()
        self.assertEqual(target.slowdown(self.clock.now), 1.0)

    def test_only_answers_are_reported_and_only_changes_at_once(self):
        self.put(make_record(4.0), 5)
        self.assertEqual(self.cold.reports(), ())
        self.answer(8.0)
        self.clock.now += 1.0
        self.answer(7.0)
        self.assertEqual(len(self.changes), 1)
        (report,) = self.cold.reports()
        self.assertEqual((report.remaining_s, report.age_s), (7.0, 0.0))
        self.clock.now += 2.0
        self.cold.merge(cold_targets.ColdReport("t1", 1, 5.0, 0.1))
        self.assertEqual(self.cold.reports(), ())

    def test_report_of_a_peer_counts_if_it_is_newer(self):
        self.put(make_record(0.0), 5)
        self.clock.now += 5.0
        self.cold.merge(cold_targets.ColdReport("t1", 1, 4.0, 1.0))
        self.assertEqual(self.left_s(), 3.0)
        # A late digest holds the statement before that one.
        self.cold.merge(cold_targets.ColdReport("t1", 1, 0.0, 2.0))
        self.assertEqual(self.left_s(), 3.0)
        self.cold.merge(cold_targets.ColdReport("t1", 2, 9.0, 0.0))
        self.cold.merge(cold_targets.ColdReport("t7", 1, 9.0, 0.0))
        self.assertEqual(self.left_s(), 3.0)

    def test_reports_and_processes_are_bounded(self):
        for number in range(cold_targets.MAX_PROCESSES + 10):
            record = gateway_parts.make_record(number)
            self.table.put(record)
            self.cold.record_entry(record, 5, is_start_seen=False)
        self.assertEqual(len(self.cold), cold_targets.MAX_PROCESSES)
        for number in range(100, 300):
            self.clock.now += 0.001
            self.answer(9.0, record=gateway_parts.make_record(number))
        reports = self.cold.reports()
        self.assertEqual(len(reports), cold_targets.MAX_REPORTS)
        self.assertEqual(reports[0].target_id, "t299")

    @seeds.STEADY
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 5.0),
                strategies.sampled_from(("entry", "answer", "peer", "again")),
                strategies.none() | strategies.floats(0.0, 1e9),
            ),
            max_size=30,
        )
    )
    def test_no_period_exceeds_its_bound(self, events):
        self.setUp()
        revision = 5
        self.put(make_record(), revision)
        for pause_s, kind, remaining_s in events:
            self.clock.now += pause_s
            if kind == "entry":
                revision += 1
                self.put(make_record(remaining_s), revision)
            elif kind == "again":
                before = self.left_s()
                self.put(make_record(remaining_s), revision)
                self.assertEqual(self.left_s(), before)
            elif kind == "answer":
                self.answer(remaining_s)
            else:
                self.cold.merge(
                    cold_targets.ColdReport("t1", 1, remaining_s or 0.0, 0.1)
                )
            self.assertLessEqual(self.left_s(), cold_targets.MAX_COLD_S)


class FleetStateTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.cold = cold_targets.ColdTargets(self.table, self.clock)
        self.state = fleet_state.FleetState(
            wire_format.WireFormat(), self.table, self.clock, cold=self.cold
        )
        services = [
            {"name": "engines", "coldStartS": START_S, "coldPerS": COLD_PER_S}
        ]
        value = json.dumps({"version": 1, "services": services}).encode()
        self.state.apply_configuration(value, 3, "test")

    def make_entry(self, number, revision, **changes):
        fields = {
            "service": "engines",
            "address": f"127.0.0.1:{9000 + number}",
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "born": 1,
        }
        value = json.dumps(fields | changes).encode()
        return store.Entry(f"servers/t{number}", value, revision)

    def cold_ids(self):
        return [
            target.record.target_id
            for target in self.table.list_all()
            if target.is_cold(self.clock.now)
        ]

    def test_state_updates_the_decisions_that_it_was_given(self):
        # They are false while they are empty, and permits ask them.
        self.state.replace_targets([self.make_entry(1, 5, coldRemainingMs=900)])
        self.assertEqual(len(self.cold), 1)
        self.assertEqual(self.cold.find_permit_rate("t1", 1, 100.0), COLD_PER_S)

    def test_only_targets_that_start_later_are_cold_without_a_statement(self):
        self.state.replace_targets(
            [
                self.make_entry(1, 5),
                self.make_entry(2, 5, coldRemainingMs=0),
                self.make_entry(3, 5, coldRemainingMs=900),
            ]
        )
        self.assertEqual(self.cold_ids(), ["t3"])
        self.state.apply_target(self.make_entry(4, 6))
        self.assertEqual(self.cold_ids(), ["t3", "t4"])
        self.clock.now += 1.0
        self.assertEqual(self.cold_ids(), ["t4"])

    def test_later_scan_shows_started_processes(self):
        self.state.replace_targets([self.make_entry(1, 5)])
        self.state.replace_targets(
            [self.make_entry(1, 5), self.make_entry(2, 6)]
        )
        self.assertEqual(self.cold_ids(), ["t2"])

    def test_malformed_field_counts_as_absent(self):
        self.state.replace_targets([])
        for number, value in enumerate((-1, "soon", True, [], {}, None)):
            self.state.apply_target(
                self.make_entry(number, 6, coldRemainingMs=value)
            )
        self.assertEqual(len(self.cold_ids()), 6)
        self.clock.now += START_S
        self.assertEqual(self.cold_ids(), [])


class Peers:
    """The peer table of an instance, and digests of its peers."""

    def __init__(self, clock, name="local"):
        self.table = peer_table.PeerTable(self.make_peer(name), clock)
        self.sequence = 0

    def make_peer(self, name):
        return digest_codec.Peer(name, "a", "127.0.0.1", 1)

    def hear(self, *names, is_leaving=False):
        for name in names:
            self.sequence += 1
            self.table.record_digest(
                digest_codec.Digest(
                    self.make_peer(name),
                    *(7, self.sequence, 0, 0, 0, is_leaving, (), ()),
                )
            )


class OwnerAuthorityTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.peers = Peers(self.clock)
        self.is_leaving = False
        self.authority = cold_permits.OwnerAuthority(
            self.peers.table, self.clock, lambda: self.is_leaving
        )
        # The names of targets that the local instance and "other" own.
        self.peers.hear("other")
        names = [f"t{number}" for number in range(40)]
        self.own, self.others = (
            next(
                name
                for name in names
                if (self.peers.table.find_owner(name) is not None) == is_other
            )
            for is_other in (False, True)
        )

    def run_fleet(self, seconds, *names):
        """Lets time pass; the named peers send a digest each half second."""
        for _ in range(round(seconds * 2)):
            self.clock.now += 0.5
            self.peers.hear(*names)
            self.authority.observe()

    def share(self, target_id=None):
        return self.authority.decide(target_id or self.own).rate_share

    def test_new_instance_issues_nothing(self):
        # It may not have heard of the instance that issues permits now.
        self.run_fleet(3.5, "other")
        decided = self.authority.decide(self.own)
        self.assertEqual(decided, cold_permits.Authority(0.0, 0.5))
        self.run_fleet(0.5, "other")
        self.assertEqual(self.share(), 1.0)

    def test_owner_of_long_standing_issues_at_once_for_a_new_cold_target(self):
        self.run_fleet(10.0, "other")
        self.assertEqual(self.share(), 1.0)

    def test_instance_that_is_not_the_owner_issues_nothing(self):
        self.run_fleet(10.0, "other")
        self.assertEqual(self.share(self.others), 0.0)

    def test_owner_after_a_death_issues_nothing_until_all_peers_know(self):
        self.run_fleet(10.0, "other", "third")
        owned_by_other = next(
            f"t{number}"
            for number in range(100)
            if (owner := self.peers.table.find_owner(f"t{number}")) is not None
            and owner.instance_id == "other"
            and not self._ranks_before_local("third", f"t{number}")
        )
        self.run_fleet(4.0, "third")
        self.assertEqual(self.share(owned_by_other), 0.0)
        self.run_fleet(3.5, "third")
        self.assertEqual(self.share(owned_by_other), 0.0)
        self.run_fleet(1.0, "third")
        self.assertEqual(self.share(owned_by_other), 0.5)

    def _ranks_before_local(self, name, target_id):
        peers = Peers(self.clock)
        peers.hear(name)
        return peers.table.find_owner(target_id) is not None

    def test_half_is_issued_while_an_instance_is_silent_and_a_while_after(self):
        # Peers that return may not have heard this instance yet, and still
        # ask the owner of their part of the fleet.
        self.run_fleet(10.0, "other")
        self.run_fleet(4.5)
        self.assertEqual(self.share(), 0.5)
        self.run_fleet(0.5, "other")
        self.assertEqual(self.share(), 0.5)
        self.run_fleet(4.5, "other")
        self.assertEqual(self.share(), 1.0)

    def test_instance_that_left_is_not_silent(self):
        self.run_fleet(10.0, "other")
        self.peers.hear("other", is_leaving=True)
        self.run_fleet(20.0)
        self.assertEqual(self.share(), 1.0)

    def test_registered_instance_that_was_never_heard_counts_as_silent(self):
        self.peers.table.upsert(self.peers.make_peer("unheard"))
        self.run_fleet(20.0, "other")
        self.assertEqual(self.share(), 0.5)

    def test_instance_that_froze_issues_nothing(self):
        self.run_fleet(10.0, "other")
        self.clock.now += 9.0
        self.peers.hear("other")
        self.assertEqual(self.share(), 0.0)
        self.run_fleet(4.5, "other")
        self.assertEqual(self.share(), 1.0)

    def test_instance_that_is_stopping_asks_another_one(self):
        self.run_fleet(10.0, "other")
        self.is_leaving = True
        self.assertEqual(self.share(), 0.0)
        owner = self.authority.find_owner(self.own)
        self.assertEqual(owner.instance_id, "other")


class ColdPermitsTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.cold = cold_targets.ColdTargets(self.table, self.clock)
        self.cold.apply_services(SERVICES)
        self.table.put(make_record())
        self.cold.record_entry(make_record(60.0), 5, is_start_seen=False)
        self.peers = Peers(self.clock)
        self.authority = cold_permits.OwnerAuthority(
            self.peers.table, self.clock
        )
        self.settings = gateway_parts.make_settings()
        self.permits = cold_permits.ColdPermits(
            self.cold, self.authority, self.settings
        )
        for _ in range(5):
            self.clock.now += 1.0
            self.authority.observe()

    def ask(self, max_wait_s=0.0, target_id="t1", started_at_ms=1):
        request = permit_codec.PermitRequest(
            1, target_id, started_at_ms, COLD_PER_S, max_wait_s
        )
        return self.permits.decide(request, self.clock.now)

    def count_granted(self, seconds, pause_s=0.001):
        """Asks all the time; returns the number of permits."""
        granted = 0
        for _ in range(round(seconds / pause_s)):
            granted += self.ask().is_granted
            self.clock.now += pause_s
        return granted

    def test_permits_are_issued_at_the_rate(self):
        granted = self.count_granted(4.0)
        self.assertLessEqual(granted, 4 * COLD_PER_S + 1)
        self.assertGreaterEqual(granted, 0.95 * 4 * COLD_PER_S)

    def test_silence_that_comes_and_goes_frees_no_permit(self):
        # `PermitIssuer` shortens the pause after the last permit then.
        granted = 0
        for number in range(40):
            self.cold.apply_services(
                {
                    "engines": attrs.evolve(
                        SERVICE, cold_per_s=COLD_PER_S / (1 + number % 2)
                    )
                }
            )
            granted += self.count_granted(0.01)
        self.assertLessEqual(granted, 0.4 * COLD_PER_S + 2)

    def test_permit_is_not_far_in_the_future(self):
        # The next owner issues permits before it would be used.
        waits = [self.ask(1000.0) for _ in range(200)]
        granted = [one.wait_s for one in waits if one.is_granted]
        self.assertLessEqual(max(granted), cold_permits.MAX_COLD_WAIT_S)
        self.assertLess(
            cold_permits.MAX_COLD_WAIT_S + cold_permits.PERMIT_LIFETIME_S,
            peer_table.PEER_TIMEOUT_S,
        )

    def test_rules_apply_to_a_target_that_only_the_asking_one_knows_as_cold(
        self,
    ):
        self.cold.record_entry(make_record(0.0), 6, is_start_seen=False)
        self.clock.now += 30.0
        self.assertFalse(self.ask().is_granted)

    def test_target_that_the_owner_does_not_know_gets_no_permit(self):
        # The issuer of limits would issue permits beside those of this one.
        for changes in ({"started_at_ms": 7}, {"target_id": "t9"}):
            self.assertFalse(self.ask(**changes).is_granted)
            self.cold.apply_services({"engines": gateway_parts.ENGINES})
            self.assertIsNone(self.ask(**changes))
            self.cold.apply_services(SERVICES)

    def test_warm_targets_are_left_to_the_other_issuer(self):
        self.cold.record_entry(make_record(0.0), 6, is_start_seen=False)
        self.table.find("t1").rate_limit = target_table.RateLimit(
            5.0, self.clock.now
        )
        self.assertIsNone(self.ask())
        self.cold.apply_services({"engines": gateway_parts.ENGINES})
        self.assertIsNone(self.ask())

    def test_settings_may_lower_the_rate(self):
        rate = cold_permits.cold_rate_per_s
        self.assertEqual(rate(COLD_PER_S, self.settings), COLD_PER_S)
        strict = gateway_parts.make_settings(cold_ratio=1.0, cold_reserve=0.0)
        for per_s in (5.0, 23.0, 100.0):
            # Each of two parts may add a burst, and requests may be held up.
            most = rate(per_s, strict) * (1 + cold_permits.PERMIT_LIFETIME_S)
            self.assertLessEqual(most + 4, per_s)
        self.assertGreater(rate(0.0, strict), 0.0)

    def test_schedules_are_bounded(self):
        for number in range(permit_issuing.MAX_ISSUED_TARGETS + 10):
            record = gateway_parts.make_record(number)
            self.table.put(record)
            self.cold.record_entry(record, 5, is_start_seen=True)
            self.ask(target_id=f"t{number}")
        self.assertEqual(len(self.permits), permit_issuing.MAX_ISSUED_TARGETS)


class RatePermitsTest(unittest.IsolatedAsyncioTestCase):
    def send(self, data, address):
        """Keeps the decisions that this instance sends."""
        del address
        _, decision = permit_codec.decode_decision(data).unwrap()
        self.decisions.append(decision)

    def setUp(self):
        self.decisions = []
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.cold = cold_targets.ColdTargets(self.table, self.clock)
        self.cold.apply_services(SERVICES)
        self.table.put(make_record())
        self.cold.record_entry(make_record(0.0), 5, is_start_seen=False)
        self.limits = rate_limits.RateLimits(self.table, self.clock)
        peers = Peers(self.clock)
        authority = cold_permits.OwnerAuthority(peers.table, self.clock)
        self.permits = rate_permits.RatePermits(
            self.limits,
            peers.table.find_owner,
            self.send,
            self.clock,
            cold_permits.ColdPermits(
                self.cold, authority, gateway_parts.make_settings()
            ),
        )
        self.clock.now += 1.0
        authority.observe()

    async def test_request_without_a_permit_is_not_sent_once_it_is_cold(self):
        # The target turned cold while a connection was opened.
        permit = await self.permits.acquire(make_record(), 0.0)
        self.assertTrue(self.permits.may_send(make_record(), permit))
        self.cold.record_entry(make_record(9.0), 6, is_start_seen=False)
        self.assertFalse(self.permits.may_send(make_record(), permit))

    async def test_peer_that_knows_an_earlier_process_shares_the_schedule(self):
        # Guards against a peer that the store turns away and that gets no
        # permits, or permits beside those of the process that runs.
        later = attrs.evolve(make_record(), started_at_ms=5)
        self.table.put(later)
        self.cold.record_entry(
            attrs.evolve(later, cold_remaining_s=60.0), 7, is_start_seen=True
        )
        for _ in range(5):
            self.clock.now += 1.0
            self.permits.observe()
        for number in range(4000):
            request = permit_codec.PermitRequest(
                number, "t1", 1 if number % 2 else 5, COLD_PER_S, 0.0
            )
            self.permits.receive_request(
                permit_codec.encode_request(request), ("h", 1)
            )
            self.clock.now += 0.001
        granted = [one.is_granted for one in self.decisions]
        self.assertLessEqual(sum(granted), 4 * COLD_PER_S + 1)
        self.assertGreater(sum(granted[1::2]), 0)
        self.assertEqual(self.permits.outdated_requests, 2000)

    async def test_permit_expires(self):
        # A process that was frozen must not use many permits at once.
        self.cold.record_entry(make_record(30.0), 6, is_start_seen=False)
        self.assertIsNone(await self.permits.acquire(make_record(), 0.0))
        for _ in range(4):
            self.clock.now += 1.0
            self.permits.observe()
        permit = await self.permits.acquire(make_record(), 0.0)
        self.assertTrue(self.permits.may_send(make_record(), permit))
        self.clock.now += cold_permits.PERMIT_LIFETIME_S + 0.01
        self.assertFalse(self.permits.may_send(make_record(), permit))
        self.clock.now += 30.0
        self.assertTrue(self.permits.may_send(make_record(), permit))


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.fleet = gateway_parts.Fleet(engines=4)

    def cool(self, *numbers, wait_s=0.0):
        for number in numbers:
            target = self.fleet.table.find(f"t{number}")
            target.cold_until = self.now + 5.0
            target.cold_per_s = COLD_PER_S
            target.permit_expected_at = self.now + wait_s

    def choose(self, tokens=5000, **changes):
        demand = gateway_parts.make_demand(tokens, **changes)
        return self.fleet.placer.choose(demand, self.now)

    def test_warm_target_is_preferred_to_a_cold_one(self):
        self.cool(0, 1, 2)
        chosen = {self.choose().target.record.target_id for _ in range(20)}
        self.assertEqual(chosen, {"t3"})

    def test_cold_target_is_used_when_the_warm_ones_are_full(self):
        self.cool(0, 1, 2)
        for number in range(8):
            self.fleet.run("t3", f"job{number}")
        chosen = {self.choose().target.record.target_id for _ in range(60)}
        self.assertTrue(chosen)
        self.assertNotIn("t3", chosen)

    def test_plain_service_prefers_warm_targets(self):
        self.fleet = gateway_parts.Fleet(engines=4, service="plain")
        self.cool(0, 1, 2)
        chosen = {
            self.choose(service=gateway_parts.PLAIN).target.record.target_id
            for _ in range(20)
        }
        self.assertEqual(chosen, {"t3"})

    def test_request_waits_for_a_permit_if_all_targets_are_cold(self):
        self.cool(0, 1, 2, 3, wait_s=0.1)
        chosen = self.choose(objective_left_s=0.5)
        self.assertIsInstance(chosen, placement.Placement)
        self.assertGreater(chosen.max_permit_wait_s, 0.1)
        self.cool(0, 1, 2, 3, wait_s=2.0)
        refused = self.choose(objective_left_s=0.5)
        self.assertIsInstance(refused, placement.NoCapacity)
        self.assertEqual(refused.capacity_in_s, 2.0)

    def test_long_prompt_gets_helpers_if_all_targets_are_cold(self):
        self.cool(0, 1, 2, 3)
        size = gateway_parts.LAW.memory_tokens + 1000
        chosen = self.choose(size, objective_left_s=6.0)
        self.assertIsInstance(chosen, placement.Placement)
        self.assertTrue(chosen.helpers)


class DigestTest(unittest.TestCase):
    def make_digest(self, reports):
        return digest_codec.Digest(
            digest_codec.Peer("i1", "a", "127.0.0.1", 1),
            *(7, 1, 0, 0, 0, False, (), ()),
            cold_targets=reports,
        )

    def test_statements_pass_in_a_digest(self):
        reports = (
            cold_targets.ColdReport("t1", 5, 2.5, 0.25),
            cold_targets.ColdReport("t2", -3, 0.0, 1.0),
        )
        data = digest_codec.encode(self.make_digest(reports), 0.0)
        self.assertEqual(
            digest_codec.decode(data, 0.0).unwrap().cold_targets, reports
        )

    def test_digest_without_statements_is_as_before(self):
        message = digest_codec.schema().Digest.from_bytes_packed(
            digest_codec.encode(self.make_digest(()), 0.0)
        )
        self.assertFalse(message._has("coldTargets"))

    @seeds.STEADY
    @hypothesis.given(
        strategies.text(max_size=8),
        strategies.integers(-(2**63), 2**63 - 1),
        strategies.integers(0, 2**32 - 1),
        strategies.integers(0, 2**32 - 1),
    )
    def test_any_statement_gives_a_bounded_period(
        self, target_id, started_at_ms, remaining_ms, age_ms
    ):
        message = digest_codec.schema().Digest.new_message()
        (one,) = message.init("coldTargets", 1)
        one.targetId = target_id
        one.startedAtMs = started_at_ms
        one.remainingMs = remaining_ms
        one.ageMs = age_ms
        decoded = digest_codec.decode(bytes(message.to_bytes_packed()), 0.0)
        (report,) = decoded.unwrap().cold_targets
        self.assertLessEqual(report.remaining_s, cold_targets.MAX_COLD_S)
        self.assertGreaterEqual(report.age_s, 0.0)

    def test_digest_with_very_many_statements_is_refused(self):
        message = digest_codec.schema().Digest.new_message()
        message.init("coldTargets", 300_000)
        data = bytes(message.to_bytes_packed())
        self.assertTrue(digest_codec.decode(data, 0.0).is_err())


if __name__ == "__main__":
    unittest.main()
