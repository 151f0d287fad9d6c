"""Tests of the decision which data centres an instance reaches."""

import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.gateway.connections import data_centre_probing
from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.state import data_centre_reach
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

Reach = data_centre_reach.Reach
FLEET = 69
MIN_FLEET = 13
INSTANCES = 23


class ReachTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.changes = []
        self.reach = data_centre_reach.DataCentreReach(
            "a", MIN_FLEET, lambda name, _: self.changes.append(name)
        )
        self.reach.tick(self.now, FLEET, FLEET)
        # Failures count only some time after the start.
        self.run_for(1.0)

    def run_for(self, seconds, heard=(), instances=INSTANCES):
        """Ticks, while instances of some data centres send each second."""
        end = self.now + seconds
        number = 0
        while self.now < end - 1e-9:
            self.now += 1.0 / INSTANCES
            number += 1
            for name in heard:
                self.hear(name, number % instances)
            self.reach.tick(self.now, FLEET, FLEET)

    def hear(self, name="b", number=0, *, leaves=False):
        self.reach.record_digest(
            name, f"{name}{number}", self.now, leaves=leaves
        )

    def fail(self, target_id, name="b", *, is_timeout=False):
        self.reach.record_failure(
            name, target_id, self.now, is_timeout=is_timeout
        )

    def probe(self, name="b", *, is_open=False, takes_s=0.0):
        """Plays the probe that is due."""
        self.assertEqual(self.reach.next_probe(self.now), name)
        started_at = self.now
        self.reach.start_probe(name, self.now)
        self.run_for(takes_s)
        if not is_open:
            self.fail("t9", name)
        self.reach.end_probe(name, started_at, self.now, is_open=is_open)

    def state(self, name="b"):
        return next(
            one["reach"]
            for one in self.reach.dump(self.now)
            if one["data_centre"] == name
        )

    def is_excluded(self, name="b"):
        return self.reach.is_excluded(name, self.now)

    def cut_off(self):
        """Makes the data centre unreachable after it was heard."""
        self.run_for(3.0, "bc")
        self.run_for(0.7, "c")
        self.probe(takes_s=0.3)
        self.assertEqual(self.state(), Reach.UNREACHABLE.value)

    def test_silence_excludes_until_a_digest_arrives(self):
        # Requests must not go on to a data centre that is cut off.
        self.run_for(3.0, "bc")
        self.assertFalse(self.is_excluded())
        self.run_for(0.7, "c")
        self.assertTrue(self.is_excluded())
        self.assertEqual(self.reach.unreachable(self.now), {"b"})
        self.probe(takes_s=0.3)
        self.assertEqual(self.state(), "unreachable")
        self.hear()
        self.assertFalse(self.is_excluded())
        self.assertEqual(self.changes, ["b", "b"])

    def test_silence_counts_between_two_ticks(self):
        # A request between two ticks must not be sent there either.
        self.run_for(3.0, "b")
        silent_at = self.now + data_centre_reach.MIN_ALLOWED_SILENCE_S
        while self.now < silent_at - 0.04:
            self.now += 0.02
            self.reach.tick(self.now, FLEET, FLEET)
        self.assertFalse(self.reach.is_excluded("b", silent_at - 0.01))
        self.assertTrue(self.reach.is_excluded("b", silent_at + 0.01))

    def test_connection_ends_the_suspicion_and_holds_silence_off(self):
        # Lost digests alone must not keep a data centre without requests.
        self.run_for(3.0, "b")
        self.run_for(0.7)
        self.probe(is_open=True)
        self.assertFalse(self.is_excluded())
        self.run_for(data_centre_reach.SILENCE_HOLD_S - 0.1)
        self.assertFalse(self.is_excluded())
        self.run_for(0.2)
        self.assertTrue(self.is_excluded())

    def test_two_failed_targets_without_a_digest_exclude(self):
        # With refused connections, silence alone would take too long.
        self.run_for(3.0, "b")
        self.fail("t1")
        self.assertFalse(self.is_excluded())
        self.fail("t2")
        self.assertTrue(self.is_excluded())

    def test_time_outs_count_only_after_some_silence(self):
        # Packets of two connections in succession may be lost.
        self.run_for(3.0, "b")
        self.fail("t1", is_timeout=True)
        self.fail("t2", is_timeout=True)
        self.assertFalse(self.is_excluded())
        self.run_for(0.45)
        self.assertFalse(self.is_excluded())
        self.fail("t2", is_timeout=True)
        self.assertTrue(self.is_excluded())

    def test_time_out_does_not_delay_what_refusals_show(self):
        # A packet may be lost just before the cut.
        self.run_for(3.0, "b")
        self.fail("t1", is_timeout=True)
        self.fail("t2")
        self.assertFalse(self.is_excluded())
        self.fail("t3")
        self.assertTrue(self.is_excluded())

    def test_failures_of_one_target_do_not_exclude(self):
        # A crashed target must not exclude those beside it.
        self.run_for(3.0, "b")
        for _ in range(5):
            self.fail("t1")
        self.assertFalse(self.is_excluded())

    def test_digest_or_connection_between_two_failures_refutes_the_first(self):
        # Targets that crash one after the other are no partition.
        for refute in (
            self.hear,
            lambda: self.reach.record_connected("b", self.now),
        ):
            self.run_for(3.0, "b")
            self.fail("t1")
            refute()
            self.fail("t2")
            self.assertFalse(self.is_excluded())

    def test_failures_far_apart_do_not_exclude(self):
        # Without instances, nothing but their age refutes old failures.
        self.fail("t1", "d")
        self.run_for(data_centre_reach.FAILURE_WINDOW_S + 0.1)
        self.fail("t2", "d")
        self.assertFalse(self.is_excluded("d"))

    def test_single_failure_is_confirmed_by_another_target(self):
        # An instance with few requests must not wait for its next failure.
        self.run_for(3.0, "b")
        self.fail("t1")
        self.assertIsNone(self.reach.next_probe(self.now))
        self.run_for(data_centre_reach.CONFIRM_DELAY_S + 0.01)
        self.probe()
        self.assertTrue(self.is_excluded())

    def test_failures_of_the_only_target_cause_one_probe_a_second(self):
        # Connections are highly priced; a crashed target must cause few.
        self.run_for(3.0, "b")
        probes = 0
        for _ in range(100):
            self.run_for(0.05, "c")
            self.reach.record_connected("b", self.now)
            self.fail("t9")
            self.run_for(0.1, "c")
            if self.reach.next_probe(self.now) is not None:
                probes += 1
                self.probe()
        self.assertLessEqual(probes, 20)
        self.assertGreater(probes, 0)

    def test_unreachable_data_centre_is_probed_once_a_second(self):
        # Its return must be noticed, also if none of its instances is left.
        self.cut_off()
        for _ in range(3):
            self.run_for(data_centre_reach.PROBE_INTERVAL_S - 0.05)
            self.assertIsNone(self.reach.next_probe(self.now))
            self.run_for(0.1)
            self.probe()
            self.assertTrue(self.is_excluded())
        self.run_for(data_centre_reach.PROBE_INTERVAL_S + 0.05)
        self.probe(is_open=True)
        self.assertFalse(self.is_excluded())

    def test_pause_of_this_instance_starts_evidence_anew(self):
        # A frozen instance must not suspect all others after it wakes.
        self.run_for(3.0, "bc")
        self.fail("t1")
        self.now += 3.0
        self.assertFalse(self.is_excluded())
        self.fail("t2")
        self.reach.tick(self.now, FLEET, FLEET)
        self.assertFalse(self.is_excluded())
        self.run_for(data_centre_reach.MIN_ALLOWED_SILENCE_S - 0.1)
        self.assertFalse(self.is_excluded())
        self.run_for(0.2)
        self.assertTrue(self.is_excluded())

    def test_timeouts_of_attempts_from_before_a_pause_show_nothing(self):
        # All connections under way time out when a frozen process wakes.
        self.run_for(3.0, "bc")
        self.now += 3.0
        for number in range(5):
            self.fail(f"t{number}")
        self.assertFalse(self.is_excluded())

    def test_probe_interrupted_by_a_pause_shows_nothing(self):
        # The limit of a probe passes while the process is frozen.
        self.run_for(3.0, "b")
        self.run_for(0.7)
        self.reach.start_probe("b", self.now)
        started_at = self.now
        self.now += 2.0
        self.reach.end_probe("b", started_at, self.now, is_open=False)
        self.assertFalse(self.is_excluded())

    def test_new_instance_suspects_nobody(self):
        # An instance that starts has heard few digests.
        self.hear()
        self.run_for(1.0)
        self.assertFalse(self.is_excluded())

    def test_instances_that_leave_in_turn_are_no_partition(self):
        # A rolling restart must not exclude the targets beside it.
        self.run_for(3.0, "bc")
        for left in range(INSTANCES):
            for number in range(left, INSTANCES):
                self.hear(number=number)
            self.hear(number=left, leaves=True)
            self.run_for(0.3, "c")
            self.assertFalse(self.is_excluded(), left)
        self.run_for(10.0, "c")
        self.assertFalse(self.is_excluded())

    def test_end_of_all_instances_ends_the_evidence_of_silence(self):
        # Targets whose instances have all died must not be probed for ever.
        self.run_for(3.0, "b")
        suspicions = 0
        for _ in range(600):
            self.run_for(0.05)
            if self.is_excluded():
                suspicions += 1
                self.probe(is_open=True)
        self.assertLessEqual(suspicions, 3)
        self.assertFalse(self.is_excluded())

    def test_data_centre_without_targets_returns_with_a_digest(self):
        # There is nothing to probe.
        self.run_for(3.0, "b")
        self.run_for(0.7)
        self.reach.start_probe("b", self.now)
        self.reach.end_probe(
            "b", self.now, self.now, is_open=False, has_target=False
        )
        self.assertEqual(self.state(), "unreachable")
        self.hear()
        self.assertFalse(self.is_excluded())

    def test_data_centre_that_is_gone_is_forgotten(self):
        # The gauge must not show a data centre that was shut down.
        self.run_for(3.0, "b")
        self.run_for(0.7)
        self.reach.start_probe("b", self.now)
        self.reach.end_probe(
            "b", self.now, self.now, is_open=False, has_target=False
        )
        self.run_for(data_centre_reach.FORGET_S)
        self.reach.start_probe("b", self.now)
        self.reach.end_probe(
            "b", self.now, self.now, is_open=False, has_target=False
        )
        self.assertEqual(self.reach.unreachable(self.now), frozenset())

    def test_data_centre_without_instances_is_judged_by_connections(self):
        # Silence of instances that don't exist shows nothing.
        self.reach.record_connected("d", self.now)
        self.run_for(30.0)
        self.assertFalse(self.is_excluded("d"))
        self.fail("t1", "d")
        self.fail("t2", "d")
        self.assertTrue(self.is_excluded("d"))
        self.probe("d")
        self.run_for(1.1)
        self.probe("d", is_open=True)
        self.assertFalse(self.is_excluded("d"))

    def test_own_data_centre_is_never_excluded(self):
        # Its targets are what callers are served by during a partition.
        self.run_for(3.0, "a")
        self.fail("t1", "a")
        self.fail("t2", "a")
        self.run_for(3.0)
        self.assertFalse(self.is_excluded("a"))

    def test_small_fleet_keeps_no_evidence(self):
        # Smaller fleets are served as before.
        reach = data_centre_reach.DataCentreReach("a", MIN_FLEET)
        for number in range(100):
            now = 100.0 + number * 0.1
            reach.tick(now, MIN_FLEET - 1, MIN_FLEET - 1)
            reach.record_digest("b", "b1", now, leaves=False)
            reach.record_failure("b", f"t{number}", now)
            reach.record_helper_refusal("a", "b", "t1", now)
            self.assertFalse(reach.unreachable(now))
            self.assertFalse(reach.pairs_apart(now))
            self.assertIsNone(reach.next_probe(now))

    def test_fleet_that_a_partition_divides_stays_large(self):
        # Fewer instances are heard during the partition than before.
        self.cut_off()
        self.reach.tick(self.now, MIN_FLEET - 1, FLEET)
        self.assertTrue(self.is_excluded())
        self.reach.tick(self.now, MIN_FLEET - 1, MIN_FLEET - 1)
        self.assertFalse(self.is_excluded())

    def test_refused_helper_keeps_two_data_centres_apart_for_a_second(self):
        # Every prompt whose parts cross the partition would be lost.
        self.reach.record_helper_refusal("c", "b", "t1", self.now)
        self.assertEqual(
            set(self.reach.pairs_apart(self.now)), {frozenset("bc")}
        )
        self.assertFalse(self.reach.unreachable(self.now))
        later = self.now + data_centre_reach.PAIR_APART_S
        self.assertFalse(self.reach.pairs_apart(later))

    def test_refused_helper_within_a_data_centre_keeps_nothing_apart(self):
        # A crashed helper is no partition.
        self.reach.record_helper_refusal("b", "b", "t1", self.now)
        self.assertFalse(self.reach.pairs_apart(self.now))

    def test_targets_beside_this_instance_give_evidence_too(self):
        # Their links to other data centres are those of this instance.
        self.run_for(3.0, "b")
        self.reach.record_helper_refusal("a", "b", "t1", self.now)
        self.reach.record_helper_refusal("a", "b", "t2", self.now)
        self.assertTrue(self.is_excluded())

    def test_failures_that_no_longer_count_are_not_shown(self):
        # Probes would avoid targets that have long recovered.
        self.fail("t1")
        self.assertEqual(self.reach.failed_targets("b", self.now), {"t1"})
        self.run_for(data_centre_reach.FAILURE_WINDOW_S + 0.1)
        self.assertEqual(self.reach.failed_targets("b", self.now), set())
        self.assertEqual(self.reach.dump(self.now)[0]["failed_targets"], [])

    def test_tables_have_bounds(self):
        # Names in digests are whatever a peer sends.
        for number in range(300):
            self.hear(f"x{number}", number)
            self.fail(f"t{number}", "b")
            self.reach.record_helper_refusal(f"x{number}", "b", "t", self.now)
        for number in range(2000):
            self.hear("b", number)
        dump = self.reach.dump(self.now)
        self.assertLessEqual(len(dump), data_centre_reach.MAX_DATA_CENTRES)
        self.assertLessEqual(
            max(one["instances"] for one in dump),
            data_centre_reach.MAX_INSTANCES,
        )
        self.assertLessEqual(
            len(self.reach.pairs_apart(self.now)),
            data_centre_reach.MAX_DATA_CENTRES,
        )


class AnySequenceTest(unittest.TestCase):
    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ("tick", "small", "hear", "leave", "open", "fail",
                     "time-out", "helper", "probe")
                ),
                strategies.sampled_from(("a", "b", "c", "", "\0")),
                strategies.floats(0.0, 0.3),
            ),
            max_size=60,
        )
    )  # fmt: skip
    def test_no_sequence_of_evidence_excludes_without_reason(self, events):
        # Names and order of evidence are whatever peers and targets send.
        now = 100.0
        changes = []
        reach = data_centre_reach.DataCentreReach(
            "a", MIN_FLEET, lambda name, _: changes.append(name)
        )
        reach.tick(now, FLEET, FLEET)
        for kind, name, pause_s in events:
            now += pause_s
            if kind == "tick":
                reach.tick(now, FLEET, FLEET)
            elif kind == "small":
                reach.tick(now, 1, 1)
                self.assertFalse(reach.unreachable(now))
            elif kind in {"hear", "leave"}:
                reach.record_digest(name, "i", now, leaves=kind == "leave")
                self.assertFalse(reach.is_excluded(name, now))
            elif kind == "open":
                reach.record_connected(name, now)
                self.assertFalse(reach.is_excluded(name, now))
            elif kind == "helper":
                reach.record_helper_refusal(name, "c", "t", now)
            elif kind == "probe":
                due = reach.next_probe(now)
                if due is not None:
                    reach.start_probe(due, now)
                    reach.end_probe(due, now, now, is_open=False)
                    self.assertNotEqual(reach.next_probe(now), due)
            else:
                reach.record_failure(
                    name, f"t{pause_s}", now, is_timeout=kind == "time-out"
                )
            self.assertNotIn("a", reach.unreachable(now))
            for pair, left_s in reach.pairs_apart(now).items():
                self.assertEqual(len(pair), 2)
                self.assertLessEqual(left_s, data_centre_reach.PAIR_APART_S)
            reach.dump(now)
        self.assertNotIn("a", changes)


class AllowedSilenceTest(unittest.TestCase):
    def test_silences_of_packet_loss_are_as_rare_as_stated(self):
        # The figures of the module's docstring.
        for instances, silence_s, rate in (
            (4, 1.35, 9.3e-7),
            (12, 0.8, 8.5e-7),
            (25, 0.6, 2.0e-8),
        ):
            self.assertAlmostEqual(
                data_centre_reach.allowed_silence_s(instances), silence_s
            )
            self.assertAlmostEqual(
                data_centre_reach.silence_rate_per_s(instances, silence_s)
                / rate,
                1.0,
                delta=0.05,
            )

    def test_more_instances_never_allow_a_longer_silence(self):
        allowed = [data_centre_reach.allowed_silence_s(n) for n in range(1, 99)]
        self.assertEqual(allowed, sorted(allowed, reverse=True))

    def test_stated_rate_is_that_of_idle_senders(self):
        # The formula must not claim fewer silences than heartbeats cause.
        rng = random.Random(1)
        loss = data_centre_reach.PACKET_LOSS
        for instances, silence_s in ((2, 0.7), (4, 0.5), (8, 0.3), (2, 1.2)):
            silences = 0
            trials = 100_000
            for _ in range(trials):
                # One instance sends at 0, the others at random phases.
                phases = [1.0] + [rng.random() for _ in range(instances - 1)]
                silences += all(
                    rng.random() < loss
                    for phase in phases
                    for time in (phase, phase + 1.0)
                    if time <= silence_s
                )
            expected = data_centre_reach.silence_rate_per_s(
                instances, silence_s
            )
            self.assertAlmostEqual(
                instances * silences / trials / expected, 1.0, delta=0.15
            )


class ProberTest(unittest.TestCase):
    def run_prober(self, connect, seconds):
        """Runs a prober of a data centre that has fallen silent."""
        table = target_table.TargetTable()
        for number in range(4):
            table.put(gateway_parts.make_record(number, data_centre="b"))

        async def main():
            clock = anyio.current_time
            reach = data_centre_reach.DataCentreReach("a", MIN_FLEET)
            prober = data_centre_probing.DataCentreProber(
                reach,
                table,
                connect,
                lambda: FLEET,
                lambda: FLEET,
                clock,
                random.Random(1),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(prober.run)
                await anyio.sleep(0.05)
                for number in range(INSTANCES):
                    reach.record_digest(
                        "b", f"b{number}", clock(), leaves=False
                    )
                await anyio.sleep(seconds)
                state = reach.dump(clock())[0]["reach"]
                tasks.cancel_scope.cancel()
            return state

        return anyio.run(main)

    def test_only_one_connection_is_attempted_at_a_time(self):
        # Connections to engines are highly priced, and hang in a partition.
        running = most = attempts = 0

        async def connect(_):
            nonlocal running, most, attempts
            attempts += 1
            running += 1
            most = max(most, running)
            try:
                await anyio.sleep(5.0)
            finally:
                running -= 1

        state = self.run_prober(connect, 2.0)
        self.assertEqual(state, "unreachable")
        self.assertEqual(most, 1)
        self.assertLessEqual(attempts, 2)
        self.assertGreaterEqual(attempts, 1)

    def test_opened_connection_keeps_a_silent_data_centre_in_use(self):
        # All instances of a data centre may die while its targets live.
        probed = []

        async def connect(record):
            probed.append(record.data_centre)
            return object()

        self.assertEqual(self.run_prober(connect, 1.2), "reachable")
        self.assertEqual(probed, ["b"])


class PoolReportTest(unittest.TestCase):
    def test_pool_names_the_target_of_each_connection(self):
        # Without the target, evidence can't be told apart by data centre.
        reports = []

        async def main():
            pool = target_pool.TargetConnectionPool(
                wire_format.WireFormat(),
                lambda record: reports.append(("opened", record.target_id)),
                lambda record, is_timeout: reports.append(
                    ("failed", record.target_id, is_timeout)
                ),
            )
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await pool.open_idle(gateway_parts.make_record(1, port=port))
            await listener.aclose()
            await pool.open_idle(gateway_parts.make_record(2, port=port))
            pool.close()

        anyio.run(main)
        self.assertEqual(reports[0], ("opened", "t1"))
        self.assertIn(("failed", "t2", False), reports)


if __name__ == "__main__":
    unittest.main()
