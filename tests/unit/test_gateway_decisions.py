"""Tests of routes, retry budgets, poison requests, events and digests."""

import itertools
import math
import random
import unittest

import hypothesis
from hypothesis import strategies
import result

from cardamomfork._internal.gateway import state_dump
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.requests import event_stream
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding
from tests.lib import gateway_parts


def make_request(path="/a/x", key="k1", host="callers.example"):
    """Returns a caller's request."""
    return forwarding.CallerRequest(
        "r1", b"POST", path.encode(), path, host, (), api_key=key
    )


def make_table(*changed, accounts=True):
    """Returns a table of routes."""
    listed = [gateway_parts.make_route(**changes) for changes in changed]
    return routes.RouteTable(
        fleet.FleetConfiguration(
            version=3,
            revision=9,
            routes=tuple(listed),
            services={
                "engines": gateway_parts.ENGINES,
                "plain": gateway_parts.PLAIN,
            },
            accounts=(fleet.ClientAccount("depot", ("k1", "k2"), 0),)
            if accounts
            else (),
            limits=fleet.CallerLimits(),
        )
    )


class RoutesTest(unittest.TestCase):
    def match(self, table, **request):
        return table.match(make_request(**request), random.Random(1))

    def test_longest_prefix_wins(self):
        table = make_table(
            {"name": "short"}, {"name": "long", "prefix": "/a/b/"}
        )
        found = self.match(table, path="/a/b/c").ok_value
        self.assertEqual(found.route.name, "long")
        found = self.match(table, path="/a/bc").ok_value
        self.assertEqual(found.route.name, "short")

    def test_path_without_the_last_slash_of_the_prefix_does_not_match(self):
        found = self.match(make_table({}), path="/a")
        self.assertEqual(found.err_value, routes.Rejection.NO_ROUTE)

    def test_other_host_does_not_match(self):
        found = self.match(make_table({}), host="other.example")
        self.assertEqual(found.err_value, routes.Rejection.NO_ROUTE)

    def test_unknown_key_is_rejected(self):
        found = self.match(make_table({}), key="k9")
        self.assertEqual(found.err_value, routes.Rejection.UNKNOWN_KEY)

    def test_route_without_keys_accepts_any_caller(self):
        found = self.match(make_table({"needs_key": False}), key="")
        self.assertIsNone(found.ok_value.account)

    def test_priority_of_the_account_overrides_that_of_the_route(self):
        self.assertEqual(self.match(make_table({})).ok_value.priority, 0)

    def test_split_follows_weights(self):
        table = make_table(
            {
                "service_weights": (
                    fleet.ServiceWeight("engines", 9),
                    fleet.ServiceWeight("plain", 1),
                )
            }
        )
        rng = random.Random(1)
        names = [
            table.match(make_request(), rng).ok_value.service.name
            for _ in range(1000)
        ]
        self.assertAlmostEqual(names.count("plain") / 1000, 0.1, delta=0.04)


class RetryBudgetTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()),
            max_size=300,
        ),
        strategies.integers(1, 9),
    )
    def test_all_instances_together_stay_within_the_budget(
        self, steps, instances
    ):
        settings = gateway_parts.make_settings()
        budgets = [
            retry_budget.RetryBudget(settings, -math.inf)
            for _ in range(instances)
        ]
        for budget in budgets:
            budget.update_instances(instances)
        now = 0.0
        requests, retries = [], []
        for number, (pause, is_request) in enumerate(steps):
            now += pause
            budget = budgets[number % instances]
            if is_request:
                budget.count_request("s", now)
                requests.append(now)
            elif budget.try_acquire("s", now):
                retries.append(now)
            recent = [at for at in retries if at >= now - 10.0]
            offered = [at for at in requests if at >= now - 10.0]
            self.assertLessEqual(len(recent), 0.2 * len(offered) + 100)

    def test_used_budget_returns_after_the_window(self):
        budget = retry_budget.RetryBudget(
            gateway_parts.make_settings(retry_reserve=30), -math.inf
        )
        taken = sum(budget.try_acquire("s", 1.0) for _ in range(100))
        self.assertLess(taken, 30)
        self.assertTrue(budget.try_acquire("s", 12.0))

    def test_restarts_of_all_instances_do_not_renew_the_reserve(self):
        settings = gateway_parts.make_settings()
        requests, retries = [], []
        budgets = []
        for tick in range(1200):
            now = tick / 30.0
            if tick % 450 == 0:
                budgets = [
                    retry_budget.RetryBudget(settings, now) for _ in range(6)
                ]
                for budget in budgets:
                    budget.update_instances(len(budgets))
            for budget in budgets:
                if tick % 6 == 0:
                    budget.count_request("s", now)
                    requests.append(now)
                while budget.try_acquire("s", now):
                    retries.append(now)
            recent = sum(at >= now - 10.0 for at in retries)
            offered = sum(at >= now - 10.0 for at in requests)
            before = sum(now - 20.0 <= at < now - 10.0 for at in requests)
            self.assertLessEqual(recent, 0.2 * max(offered, before) + 100, now)
        self.assertGreater(len(retries), 200)


def record_crashes(guard, fingerprint, count, now):
    """Records crashes of different targets due to a request."""
    for number in range(count):
        crash = crash_records.Crash(fingerprint, f"t{number}", 1)
        guard.record_crash(crash_records.CrashReport(crash), now)


def confirm_crashes(guard, fingerprint, count, now):
    """Confirms crashes of different targets due to a request."""
    for number in range(count):
        target = gateway_parts.make_record(number)
        guard.add_suspect(fingerprint, target, now)
        guard.confirm_crash(target, now)


class PoisonGuardTest(unittest.TestCase):
    def test_third_crash_blocks_a_request_also_if_a_peer_reports_it(self):
        guard = poison_guard.PoisonGuard()
        for number in range(2):
            target = gateway_parts.make_record(number)
            guard.add_suspect(7, target, 1.0)
            guard.confirm_crash(target, 1.5)
        self.assertFalse(guard.is_blocked(7, 2.0))
        crash = crash_records.Crash(7, "t9", 1)
        guard.record_crash(crash_records.CrashReport(crash), 2.0)
        self.assertTrue(guard.is_blocked(7, 2.0))
        self.assertFalse(guard.is_blocked(8, 2.0))
        self.assertFalse(guard.is_blocked(7, 2.0 + poison_guard.BLOCK_S))

    def test_broken_answer_of_a_reachable_target_does_not_count(self):
        guard = poison_guard.PoisonGuard()
        for number in range(5):
            guard.add_suspect(7, gateway_parts.make_record(number), 1.0)
        self.assertFalse(guard.is_blocked(7, 2.0))

    def test_crash_after_the_confirmation_window_does_not_count(self):
        guard = poison_guard.PoisonGuard()
        target = gateway_parts.make_record(1)
        guard.add_suspect(7, target, 1.0)
        self.assertEqual(guard.confirm_crash(target, 30.0), [])

    def test_crashes_of_a_target_that_restarts_under_its_id_all_count(self):
        guard = poison_guard.PoisonGuard()
        for number in range(poison_guard.MAX_CRASHES):
            target = gateway_parts.make_record(1, started_at_ms=number)
            guard.add_suspect(7, target, 1.0)
            guard.confirm_crash(target, 1.5)
        self.assertTrue(guard.is_blocked(7, 2.0))

    def test_block_outlasts_minutes_of_repeats(self):
        guard = poison_guard.PoisonGuard()
        record_crashes(guard, 7, poison_guard.MAX_CRASHES, 1.0)
        self.assertTrue(guard.is_blocked(7, 1800.0))
        self.assertEqual(
            guard.block_remaining_s(7, 1800.0),
            poison_guard.BLOCK_S - 1799.0,
        )

    def test_peers_are_sent_blocked_requests_until_the_block_ends(self):
        guard = poison_guard.PoisonGuard()
        record_crashes(guard, 7, poison_guard.MAX_CRASHES, 1.0)
        confirm_crashes(guard, 8, 1, 1.0)
        self.assertEqual(len(guard.recent_crashes(2.0)), 4)
        later = guard.recent_crashes(1.0 + poison_guard.SHARE_S)
        self.assertEqual({report.crash.fingerprint for report in later}, {7})
        self.assertEqual(guard.recent_crashes(1.0 + poison_guard.BLOCK_S), [])

    def test_many_crashes_do_not_crowd_blocked_requests_out_of_a_digest(self):
        guard = poison_guard.PoisonGuard()
        record_crashes(guard, 0, poison_guard.MAX_CRASHES, 1.0)
        for fingerprint in range(1, 500):
            confirm_crashes(guard, fingerprint, 1, 2.0)
        shared = guard.recent_crashes(3.0)
        self.assertEqual(len(shared), poison_guard.MAX_SHARED_CRASHES)
        self.assertEqual(
            sum(report.crash.fingerprint == 0 for report in shared),
            poison_guard.MAX_CRASHES,
        )

    def test_request_that_completes_is_not_blocked_for_crashes_beside_it(self):
        guard = poison_guard.PoisonGuard()
        for now in range(5):
            target = gateway_parts.make_record(now)
            guard.add_suspect(7, target, now)
            guard.confirm_crash(target, now)
            guard.record_completion(7, now)
            self.assertFalse(guard.is_blocked(7, now))

    def test_peers_learn_that_a_request_was_not_the_cause(self):
        guards = [poison_guard.PoisonGuard() for _ in range(3)]
        for guard in guards:
            record_crashes(guard, 7, 2, 1.0)
        self.assertEqual(guards[0].record_completion(7, 2.0), 2)
        for sender in (guards[0], guards[2]):
            for report in sender.recent_crashes(3.0):
                guards[1].record_crash(report, 3.0)
        self.assertEqual(guards[1].crash_count(7), 0)

    def test_crashes_that_peers_report_are_sent_on_only_if_they_block(self):
        guard = poison_guard.PoisonGuard()
        record_crashes(guard, 7, poison_guard.MAX_CRASHES - 1, 1.0)
        self.assertEqual(guard.recent_crashes(2.0), [])
        confirm_crashes(guard, 7, poison_guard.MAX_CRASHES, 2.0)
        self.assertEqual(
            len(guard.recent_crashes(3.0)), poison_guard.MAX_CRASHES
        )

    def test_repeated_reports_do_not_renew_the_time_of_sharing(self):
        guard = poison_guard.PoisonGuard()
        confirm_crashes(guard, 7, 1, 0.0)
        for now in range(30):
            record_crashes(guard, 7, 1, float(now))
        self.assertEqual(guard.recent_crashes(30.0), [])

    def test_dump_names_blocked_requests_until_the_block_ends(self):
        guard = poison_guard.PoisonGuard()
        record_crashes(guard, 7, poison_guard.MAX_CRASHES, 1.0)
        self.assertEqual(
            state_dump.dump_blocked(guard, 11.0),
            [
                {
                    "fingerprint": "0000000000000007",
                    "crashes": 3,
                    "remaining_s": 3590.0,
                }
            ],
        )
        guard.record_completion(7, 12.0)
        self.assertEqual(state_dump.dump_blocked(guard, 13.0), [])

    def test_crash_that_several_instances_report_counts_once(self):
        guard = poison_guard.PoisonGuard()
        for _ in range(poison_guard.MAX_CRASHES):
            record_crashes(guard, 7, 1, 1.0)
        self.assertFalse(guard.is_blocked(7, 2.0))


def encode_events(first, last):
    """Returns encoded events as sent by a target."""
    return b"".join(
        b"id: %d\ndata: x%d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


class EventStreamTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(strategies.integers(0, 200)))
    def test_any_chunking_gives_the_same_events(self, cuts):
        data = encode_events(1, 12)
        splitter = event_stream.EventSplitter()
        edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
        events = []
        for start, end in itertools.pairwise(edges):
            events += splitter.feed(data[start:end])
        self.assertEqual(b"".join(event.raw for event in events), data)
        self.assertEqual(splitter.incomplete, b"")

    def test_incomplete_event_is_held_back(self):
        splitter = event_stream.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a"), [])
        self.assertTrue(splitter.incomplete)

    def test_events_may_end_with_carriage_returns(self):
        splitter = event_stream.EventSplitter()
        found = splitter.feed(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n\r\n")
        self.assertEqual([event.event_id for event in found], [4, 5])

    def test_order_recognizes_repeated_events_and_gaps(self):
        order = event_stream.SequenceChecker()
        seen = [
            order.check(event_stream.Event(b"", number))
            for number in (3, 4, 4, 2, 5, 7)
        ]
        names = event_stream.Continuity
        self.assertEqual(
            seen,
            [
                names.NEXT,
                names.NEXT,
                names.REPEATED,
                names.REPEATED,
                names.NEXT,
                names.GAP,
            ],
        )


def make_digest(sequence=1, incarnation=5, jobs=(), name="two", centre="a"):
    """Returns a peer's digest."""
    return digest_codec.Digest(
        digest_codec.Peer(name, centre, "127.0.0.1", 7000),
        incarnation,
        sequence,
        11,
        7,
        12,
        False,
        jobs,
        (
            crash_records.CrashReport(
                crash_records.Crash(2**64 - 1, "t1", 1_790_000_000_000), True
            ),
        ),
    )


class DigestTest(unittest.TestCase):
    def test_decoded_digest_has_times_of_the_local_clock(self):
        job = load_view.Job(
            "two#0",
            "t1",
            (load_view.Part("t2", 500),),
            154_000,
            800,
            math.inf,
            1.0,
            reads_until=101.5,
            late_at=103.0,
            ends_at=104.0,
        )
        data = digest_codec.encode(make_digest(jobs=(job,)), 100.0)
        found = digest_codec.decode(data, 50.0).ok_value
        self.assertEqual(found.sender, make_digest().sender)
        self.assertEqual(found.deaths, make_digest().deaths)
        (read,) = found.jobs
        self.assertEqual(read.parts, job.parts)
        self.assertAlmostEqual(read.reads_until, 51.5)
        self.assertAlmostEqual(read.late_at, 53.0)
        self.assertTrue(math.isinf(read.max_gap_s))

    def test_overdue_prefill_stays_overdue_at_a_peer(self):
        job = load_view.Job(
            "two#0", "t1", (), 154_000, 800, 1.0, 1.0, reads_until=98.5
        )
        data = digest_codec.encode(make_digest(jobs=(job,)), 100.0)
        (read,) = digest_codec.decode(data, 50.0).ok_value.jobs
        self.assertAlmostEqual(read.reads_until, 48.5)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, data):
        found = digest_codec.decode(data, 1.0)
        self.assertIsInstance(found, (result.Ok, result.Err))


class PeerTableTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = peer_table.PeerTable(
            digest_codec.Peer("one", "a", "127.0.0.1", 7000), self.clock
        )

    def test_out_of_order_digest_is_dropped(self):
        self.assertTrue(self.table.record_digest(make_digest(2)))
        self.assertFalse(self.table.record_digest(make_digest(1)))

    def test_restarted_peer_replaces_its_earlier_incarnation(self):
        self.table.record_digest(make_digest(9, incarnation=5))
        self.assertTrue(self.table.record_digest(make_digest(1, incarnation=3)))
        self.assertFalse(
            self.table.record_digest(make_digest(10, incarnation=5))
        )

    def test_peer_counts_again_after_a_partition(self):
        self.table.record_digest(make_digest())
        self.clock.now += 10.0
        self.assertEqual(self.table.count, 1)
        self.assertEqual(len(self.table.silent_peers), 1)
        self.table.record_digest(make_digest(2))
        self.assertEqual(self.table.count, 2)

    def test_instances_that_are_cut_off_do_not_share_the_reserve_anew(self):
        settings = gateway_parts.make_settings()
        names = [f"i{number}" for number in range(6)]
        for name in names:
            self.table.record_digest(make_digest(name=name))
        self.clock.now += peer_table.PEER_TIMEOUT_S + 1.0
        self.table.expire()
        budget = retry_budget.RetryBudget(settings, -math.inf)
        budget.update_instances(self.table.known_count)
        self.assertLessEqual(
            (len(names) + 1) * budget.available("s", self.clock.now),
            settings.retry_reserve,
        )

    def test_forgotten_peer_gives_back_its_part_of_the_reserve(self):
        self.table.record_digest(make_digest())
        self.assertEqual(self.table.known_count, 2)
        self.clock.now += peer_table.FORGET_PEER_AFTER_S + 10.0
        self.table.expire()
        self.assertEqual(self.table.known_count, 1)

    def test_one_delegate_per_data_centre(self):
        names = [f"i{number}" for number in range(6)]
        delegates = []
        for name in names:
            table = peer_table.PeerTable(
                digest_codec.Peer(name, "a", "127.0.0.1", 7000), self.clock
            )
            for other in names:
                if other != name:
                    table.record_digest(make_digest(name=other))
            delegates.append(table.is_delegate(reaches_store=True))
        self.assertEqual(delegates.count(True), 1)

    def test_only_instance_of_a_data_centre_is_its_delegate(self):
        self.table.record_digest(make_digest(centre="b"))
        self.assertTrue(self.table.is_delegate(reaches_store=True))


if __name__ == "__main__":
    unittest.main()
