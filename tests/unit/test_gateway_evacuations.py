"""Tests of the evacuation of data centres, without processes."""

import random
import unittest

import anyio
import attrs
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.choice import candidate_sampling
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import store_handlers
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import evacuation_orders
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.standins import platform_site
from tests.lib import gateway_parts

REPORT = evacuations.Evacuation
CHANGE = evacuations.Change
ZONES = ("a", "b", "c")
PREFIX = evacuation_orders.PREFIX


def make_entry(key, version, value=b"{}"):
    return store.Entry(key, value, version)


def make_removal(key):
    return store.Entry(key, b"", store.ABSENT)


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.changes = 0
        self.known = evacuations.Evacuations(
            is_enabled=True, on_change=self.count_change
        )
        self.known.apply_scan((), 5)

    def count_change(self):
        self.changes += 1

    def assert_active(self, *data_centres):
        self.assertEqual(self.known.active, frozenset(data_centres))

    def test_nothing_is_excluded_where_evacuations_are_off(self):
        known = evacuations.Evacuations()
        known.apply_scan([CHANGE("b", 3)], 5)
        known.apply_reports([REPORT("b", 3, True)], "p")
        self.assertTrue(known.is_unrestricted)
        self.assertFalse(known.excludes("b"))

    def test_all_are_excluded_before_the_orders_are_known(self):
        known = evacuations.Evacuations(is_enabled=True)
        known.apply_reports([REPORT("b", 3, True)], "p")
        self.assertFalse(known.is_known)
        self.assertTrue(known.excludes("a"))
        known.mark_known()
        self.assertFalse(known.excludes("a"))
        self.assertTrue(known.excludes("b"))

    def test_order_and_its_end(self):
        self.known.apply_changes([CHANGE("b", 7)], 7)
        self.assert_active("b")
        self.known.apply_changes([CHANGE("b", store.ABSENT)], 9)
        self.assert_active()
        self.assertEqual(self.changes, 2)

    def test_removal_before_an_order_in_one_poll_does_not_end_it(self):
        # A removal has no revision of its own. With the revision of the poll
        # it would seem to be newer than the order that follows.
        self.known.apply_changes([CHANGE("b", 7)], 7)
        self.known.apply_changes(
            [CHANGE("b", store.ABSENT), CHANGE("b", 9)], 12
        )
        self.assert_active("b")
        self.assertEqual(self.known.reports(), (REPORT("b", 9, True),))

    def test_order_and_removal_in_one_poll_leave_none_in_force(self):
        self.known.apply_changes([CHANGE("b", 7), CHANGE("b", store.ABSENT)], 8)
        self.assert_active()
        self.known.apply_reports([REPORT("b", 7, True)], "p")
        self.assert_active()

    def test_older_poll_does_not_replace_a_newer_report(self):
        self.known.apply_reports([REPORT("b", 20, True)], "p")
        self.known.apply_changes([CHANGE("b", store.ABSENT)], 13)
        self.assert_active("b")

    def test_older_report_does_not_restore_an_ended_evacuation(self):
        self.known.apply_changes([CHANGE("b", 7)], 7)
        self.known.apply_changes([CHANGE("b", store.ABSENT)], 8)
        self.known.apply_reports([REPORT("b", 7, True)], "p")
        self.assert_active()

    def test_order_in_force_takes_precedence_at_equal_revisions(self):
        self.known.apply_reports([REPORT("b", 9, False)], "p")
        self.known.apply_reports([REPORT("b", 9, True)], "p")
        self.assert_active("b")
        self.known.apply_reports([REPORT("b", 9, False)], "p")
        self.assert_active("b")

    def test_scan_replaces_what_is_known_up_to_its_revision(self):
        self.known.apply_reports(
            [REPORT("b", 7, True), REPORT("c", 30, True)], "p"
        )
        self.known.apply_scan([CHANGE("a", 11)], 20)
        self.assert_active("a", "c")

    def test_report_that_a_scan_has_refuted_is_answered(self):
        # An instance that started after the end of an evacuation knows nothing
        # of it, and must neither believe a peer that missed the end nor leave
        # it in that belief.
        self.known.apply_scan((), 20)
        self.known.apply_reports([REPORT("b", 10, True)], "p")
        self.assert_active()
        self.assertEqual(self.known.reports(), (REPORT("b", 20, False),))

    def test_newer_era_takes_precedence(self):
        # A store that was restored from an older copy gives revisions out
        # again, and may lack an order.
        self.known.apply_changes([CHANGE("b", 900)], 900)
        restored = store.join_era(1, 30)
        self.known.apply_scan((), restored)
        self.assert_active()
        self.known.apply_reports([REPORT("b", 950, True)], "p")
        self.assert_active()
        self.known.apply_changes(
            [CHANGE("b", store.join_era(1, 31))], store.join_era(1, 31)
        )
        self.assert_active("b")

    def test_table_is_bounded_and_drops_ended_evacuations_first(self):
        self.known.apply_changes([CHANGE("b", 7)], 7)
        for number in range(500):
            self.known.apply_reports([REPORT(f"x{number}", 10, False)], "p")
        self.assertEqual(
            len(self.known.reports()), evacuations.MAX_DATA_CENTRES
        )
        self.assert_active("b")

    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                REPORT,
                strategies.one_of(
                    strategies.text(max_size=80), strategies.just("b")
                ),
                strategies.one_of(
                    strategies.integers(0, 2**64 - 1),
                    strategies.integers(0, 30),
                ),
                strategies.booleans(),
            ),
            max_size=100,
        )
    )
    def test_any_reports_leave_a_usable_table(self, reports):
        known = evacuations.Evacuations(is_enabled=True)
        known.apply_scan((), 5)
        known.apply_reports(reports, "p")
        self.assertLessEqual(len(known.reports()), evacuations.MAX_DATA_CENTRES)
        for one in known.reports():
            self.assertTrue(one.data_centre.isprintable())
            self.assertLess(one.revision, evacuations.MAX_REVISION)
        # No report may last longer than what the store can state.
        newest = evacuations.MAX_REVISION - 1
        known.apply_scan((), newest)
        self.assertEqual(known.active, frozenset())


@attrs.define
class SimulatedStore:
    """The history of a store as followers read it."""

    history: list = attrs.field(factory=list)
    orders: dict = attrs.field(factory=dict)
    era: int = 0

    @property
    def revision(self):
        return store.join_era(self.era, len(self.history))

    def toggle(self, zone):
        """Writes an order, or removes the one that is there."""
        if zone in self.orders:
            del self.orders[zone]
            self.history.append(CHANGE(zone, store.ABSENT))
        else:
            self.history.append(None)
            self.orders[zone] = self.revision
            self.history[-1] = CHANGE(zone, self.revision)

    def restore(self):
        """Restores the store from an empty copy."""
        self.era += 1
        self.history = []
        self.orders = {}


class ConvergenceTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.just("write"), strategies.sampled_from(ZONES)
                ),
                strategies.tuples(
                    strategies.sampled_from(("poll", "scan", "restart")),
                    strategies.integers(0, 2),
                ),
                strategies.tuples(
                    strategies.just("report"), strategies.integers(0, 5)
                ),
                strategies.tuples(
                    strategies.just("restore"), strategies.none()
                ),
            ),
            max_size=60,
        )
    )
    def test_instances_agree_with_the_store_after_their_next_call(self, steps):
        # Polls in any order, reports of any age and restorations must leave an
        # instance with exactly what the store holds, as soon as it has read it.
        simulated = SimulatedStore()
        instances = [self.start(simulated) for _ in range(3)]
        read_to = [(simulated.era, 0)] * 3
        pairs = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)]
        sent = []
        for kind, value in steps:
            if kind == "write":
                simulated.toggle(value)
            elif kind == "restore":
                simulated.restore()
            elif kind == "report":
                source, target = pairs[value]
                sent.append(instances[source].reports())
                # A delayed datagram arrives again.
                for reports in (sent[-1], sent[len(sent) // 2]):
                    instances[target].apply_reports(reports, "p")
            else:
                if kind == "restart":
                    instances[value] = self.start(simulated)
                self.read(simulated, instances, read_to, value, kind)
                self.assertEqual(
                    instances[value].active, frozenset(simulated.orders)
                )
        for number in range(3):
            self.read(simulated, instances, read_to, number, "poll")
        for source, target in pairs:
            instances[target].apply_reports(instances[source].reports(), "p")
        for instance in instances:
            self.assertEqual(instance.active, frozenset(simulated.orders))

    def start(self, simulated):
        known = evacuations.Evacuations(is_enabled=True)
        self.scan(simulated, known)
        return known

    def scan(self, simulated, known):
        known.apply_scan(
            [CHANGE(zone, at) for zone, at in simulated.orders.items()],
            simulated.revision,
        )

    def read(self, simulated, instances, read_to, number, kind):
        """Polls as a follower does; the first call of an era is a scan."""
        era, revision = read_to[number]
        if kind != "poll" or era != simulated.era:
            self.scan(simulated, instances[number])
        else:
            changes = simulated.history[revision:]
            if changes:
                instances[number].apply_changes(changes, simulated.revision)
        read_to[number] = (simulated.era, len(simulated.history))


class HandlerTest(unittest.TestCase):
    def setUp(self):
        wire = wire_format.WireFormat()
        self.known = evacuations.Evacuations(is_enabled=True)
        self.state = fleet_state.FleetState(
            wire,
            target_table.TargetTable(),
            gateway_parts.Clock(),
            self.known,
        )
        self.applied = 0
        self.handler = store_handlers.ConfigurationHandler(
            self.state, self.count_applied, wire, self.known
        )
        self.key = wire.configuration_key

    def count_applied(self):
        self.applied += 1

    def configuration(self, version):
        return platform_site.make_configuration(version, (), (), {})

    def test_configuration_and_orders_come_from_one_scan(self):
        self.handler.apply_snapshot(
            store.Scan(
                (
                    make_entry(self.key, 3, self.configuration(1)),
                    make_entry(PREFIX + "b", 4),
                ),
                9,
            )
        )
        self.assertEqual(self.applied, 1)
        self.assertEqual(self.known.active, frozenset("b"))

    def test_other_keys_of_operators_are_ignored(self):
        # With the wider prefix, the key of something else must not be taken for
        # a configuration.
        self.handler.apply_snapshot(store.Scan((), 2))
        self.handler.apply_changes(
            store.WatchBatch(
                (
                    make_entry("op/config-2", 3, self.configuration(7)),
                    make_entry("op/evacuate", 4),
                    make_entry("op/evacuated/b", 5),
                    make_removal("op/other"),
                ),
                6,
            )
        )
        self.assertEqual(self.applied, 0)
        self.assertEqual(self.known.reports(), ())

    def test_malformed_orders_are_dropped(self):
        names = ("", "\x00", "ü", "x" * 65, "b")
        self.handler.apply_snapshot(
            store.Scan(tuple(make_entry(PREFIX + n, 4) for n in names), 9)
        )
        self.assertEqual(self.known.active, frozenset("b"))

    def test_value_of_an_order_does_not_matter(self):
        self.handler.apply_snapshot(
            store.Scan((make_entry(PREFIX + "b", 4, b"\xff["),), 9)
        )
        self.assertEqual(self.known.active, frozenset("b"))

    @hypothesis.given(strategies.text(max_size=90))
    def test_any_key_is_decoded_or_refused(self, text):
        for key in (text, PREFIX + text):
            decoded = evacuation_orders.decode(key)
            if decoded is not None and decoded.is_ok():
                self.assertEqual(PREFIX + decoded.unwrap(), key)
                self.assertTrue(decoded.unwrap().isprintable())

    def test_no_request_is_served_before_the_orders_are_known(self):
        fetched = fleet_state.StoredConfiguration(self.configuration(1), 3)
        self.state.apply_fetched(fetched, "p")
        self.assertIsNone(self.state.routes)
        self.handler.apply_snapshot(store.Scan((), 9))
        self.assertIsNotNone(self.state.routes)

    def test_fetched_configuration_brings_the_orders(self):
        # While the store turns an instance away, it must not serve with the
        # configuration of a peer and without its orders.
        self.handler.apply_snapshot(
            store.Scan(
                (
                    make_entry(self.key, 3, self.configuration(1)),
                    make_entry(PREFIX + "b", 4),
                ),
                9,
            )
        )
        data = digest_codec.encode_configuration(self.state.stored)
        other = evacuations.Evacuations(is_enabled=True)
        state = fleet_state.FleetState(
            wire_format.WireFormat(),
            target_table.TargetTable(),
            gateway_parts.Clock(),
            other,
        )
        state.apply_fetched(
            digest_codec.decode_configuration(data).unwrap(), "p"
        )
        self.assertIsNotNone(state.routes)
        self.assertEqual(other.active, frozenset("b"))

    def test_orders_are_in_force_before_the_first_configuration(self):
        active = []
        handler = store_handlers.ConfigurationHandler(
            self.state,
            lambda: active.append(self.known.active),
            wire_format.WireFormat(),
            self.known,
        )
        handler.apply_snapshot(
            store.Scan(
                (
                    make_entry(self.key, 3, self.configuration(1)),
                    make_entry(PREFIX + "b", 4),
                ),
                9,
            )
        )
        self.assertEqual(active, [frozenset("b")])


class ExclusionTest(unittest.TestCase):
    def setUp(self):
        self.known = evacuations.Evacuations(is_enabled=True)
        self.known.apply_scan((), 5)
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable(excluded=self.known)
        self.load = load_view.LoadView()
        self.revision = 5

    def add(self, *data_centres, count=1):
        for data_centre in data_centres:
            for _ in range(count):
                self.table.put(
                    gateway_parts.make_record(
                        len(self.table), data_centre=data_centre
                    )
                )

    def order(self, data_centre, *, ends=False):
        self.revision += 1
        change = CHANGE(data_centre, store.ABSENT if ends else self.revision)
        self.known.apply_changes([change], self.revision)

    def make_placer(self, data_centre="a"):
        return placement.Placer(
            self.table, self.load, data_centre, random.Random(1)
        )

    def place(self, tokens=5000, **changes):
        return self.make_placer().choose(
            gateway_parts.make_demand(tokens, **changes), self.clock.now
        )

    def test_lists_lack_an_evacuated_data_centre_until_its_end(self):
        self.add("a", "b", "b")
        self.assertEqual(len(self.table.order_service("engines", None)), 3)
        self.order("b")
        self.assertEqual(len(self.table.list_service("engines", 0.0)), 1)
        self.assertEqual(len(self.table.order_service("engines", None)), 1)
        self.assertEqual(self.table.order_service("engines", "b"), ())
        self.order("b", ends=True)
        self.assertEqual(len(self.table.list_service("engines", 0.0)), 3)
        self.assertEqual(len(self.table.order_service("engines", None)), 3)

    def test_large_fleet_samples_only_other_data_centres(self):
        count = candidate_sampling.MIN_SAMPLED_TARGETS
        self.add("a", "b", count=count)
        sampler = candidate_sampling.CandidateSampler(
            self.table, self.load, "b", random.Random(1)
        )
        self.order("b")
        for tokens in (1000, 190_000):
            sample = sampler.sample(gateway_parts.make_demand(tokens), 0.0)
            found = {one.record.data_centre for one in sample.targets}
            self.assertEqual(found, {"a"})
        # The own data centre's part of the sample is replaced.
        self.assertGreaterEqual(
            len(sampler.sample(gateway_parts.make_demand(1000), 0.0).targets),
            candidate_sampling.SHORT_CANDIDATES // 2,
        )

    def test_helpers_of_a_long_prompt_are_in_other_data_centres(self):
        self.add("a", "b", count=6)
        self.order("b")
        chosen = self.place(
            400_000, max_gap_s=gateway_parts.LONG_GAP_S, objective_left_s=4.0
        )
        self.assertTrue(chosen.helpers)
        for target in (chosen.target, *(one.target for one in chosen.helpers)):
            self.assertEqual(target.record.data_centre, "a")

    def test_load_of_an_evacuated_data_centre_is_kept(self):
        # Its running requests go on, and its targets are full if the order
        # ends before they do.
        self.add("a", "b")
        self.load.start(load_view.Job("j", "t1", (), 9000, 100, 1.0, 1.0, 0.0))
        self.order("b")
        self.order("b", ends=True)
        self.assertEqual(self.load.load("t1", self.clock.now).running, 1)

    def test_service_without_another_data_centre_is_refused_at_once(self):
        self.add("a", "b")
        self.order("a")
        self.order("b")
        scheduler = scheduling.Scheduler(
            self.make_placer(),
            lambda *_: None,
            lambda _: None,
            self.clock,
            random.Random(1),
        )
        for _ in range(50):
            refusal = anyio.run(
                scheduler.acquire, gateway_parts.make_demand(), 1
            )
            self.assertEqual(
                refusal.reason, "all data centres of the service are evacuated"
            )
            self.assertGreaterEqual(refusal.retry_after_s, 1.0)
            self.assertLessEqual(refusal.retry_after_s, 2.0)

    def test_paused_target_elsewhere_is_waited_for(self):
        # Only an evacuation of all data centres is a reason not to wait.
        self.add("a", "b")
        self.table.find("t0").paused_until = self.clock.now + 0.2
        self.order("b")
        chosen = self.place()
        self.assertEqual(chosen.reason, "no target")
        self.assertTrue(chosen.may_wait)

    def test_leaving_target_elsewhere_is_not_waited_for(self):
        self.table.put(gateway_parts.make_record(0, is_leaving=True))
        self.table.put(gateway_parts.make_record(1, data_centre="b"))
        self.order("b")
        self.assertFalse(self.place().may_wait)

    def test_target_chosen_before_an_order_is_unwanted(self):
        self.add("a", "b")
        statements = target_statements.TargetStatements(self.table, self.clock)
        record = self.table.find("t1").record
        self.assertTrue(statements.wants_requests(record))
        self.order("b")
        self.assertFalse(statements.wants_requests(record))


class SettingsTest(unittest.TestCase):
    def decode(self, bounds):
        table = {
            "nodeName": "one",
            "zone": "a",
            "portRange": [1, 2],
            "listen": {"front": "h:1", "readyAddr": "h:2"},
            "platform": {"address": "h:3"},
            "bounds": bounds,
        }
        return node_settings.decode(table).evacuate_s

    def test_evacuations_are_off_without_a_bound(self):
        self.assertIsNone(self.decode({}))
        self.assertIsNone(self.decode({"evacuateMs": 0}))
        self.assertEqual(self.decode({"evacuateMs": 5000}), 5.0)


class DigestTest(unittest.TestCase):
    NOW = 100.0

    def make_digest(self, known):
        return digest_codec.Digest(
            digest_codec.Peer("two", "b", "h", 1),
            *(5, 1, 1, 1, 0, False, (), ()),
            evacuations=known,
        )

    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                REPORT,
                strategies.text(
                    strategies.characters(codec="utf-8"), max_size=70
                ),
                strategies.integers(0, 2**64 - 1),
                strategies.booleans(),
            ),
            max_size=70,
        )
    )
    def test_evacuations_are_read_as_sent_up_to_the_bound(self, known):
        known = tuple(
            attrs.evolve(one, data_centre=one.data_centre.replace("\0", ""))
            for one in known
        )
        data = digest_codec.encode(self.make_digest(known), self.NOW)
        decoded = digest_codec.decode(data, self.NOW).unwrap()
        self.assertEqual(
            decoded.evacuations, known[: evacuations.MAX_DATA_CENTRES]
        )

    def test_name_that_is_not_utf_8_drops_the_digest(self):
        data = digest_codec.encode(
            self.make_digest((REPORT("zzzz", 1, True),)), self.NOW
        )
        self.assertIn(b"zzzz", data)
        bad = data.replace(b"zzzz", b"\xff\xfe\xff\xfe")
        self.assertTrue(digest_codec.decode(bad, self.NOW).is_err())


if __name__ == "__main__":
    unittest.main()
