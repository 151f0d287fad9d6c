"""One failing check, probe or order loses no other one's work."""

import random
import unittest

import anyio
import anyio.lowlevel
import result
import trio.testing

from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.connections import data_centre_probing
from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.connections import target_reach
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.paths import reservations
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.state import data_centre_reach
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

FINGERPRINT = 7
UNREACHABLE = result.Err(outcomes.Failed(outcomes.Failure.UNREACHABLE))
INSTANCES = 8


class FakeExchange:
    """A request as far as the crash detector uses it."""

    fingerprint = FINGERPRINT
    parts = {}  # noqa: RUF012
    log = request_log.RequestLog("r1")


class SupervisedTest(unittest.TestCase):
    """Base class of tests beside one supervised task."""

    def run_task(self, make, scenario):
        """Runs a scenario beside a supervised task, in virtual time."""

        async def main():
            clock = anyio.current_time
            self.supervisor = supervision.Supervisor(random.Random(1), clock)
            subject = make(clock)
            async with anyio.create_task_group() as tasks:
                self.restartable = anyio.CancelScope()

                async def run():
                    with anyio.CancelScope() as self.restartable:
                        await subject.run()

                self.supervisor.start(tasks, "one", run, max_backoff_s=1.0)
                await anyio.lowlevel.checkpoint()
                await scenario(subject)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def interrupt(self):
        """Restarts the task; what it does at the time is cancelled."""
        self.restartable.cancel()


class CrashDetectorTest(SupervisedTest):
    def make_detector(self, connect):
        self.guard = poison_guard.PoisonGuard()
        self.table = target_table.TargetTable()
        self.records = [gateway_parts.make_record(n) for n in range(2)]
        for record in self.records:
            self.table.put(record)
        return lambda clock: crash_detector.CrashDetector(
            self.guard,
            self.table,
            connect,
            clock,
            lambda: None,
            supervisor=self.supervisor,
        )

    def test_failing_check_loses_no_crash_of_another_target(self):
        async def connect(record):
            if record.target_id == "t0":
                raise KeyError(record)
            await anyio.sleep(0.2)
            return UNREACHABLE

        async def scenario(detector):
            for record in self.records:
                detector.attempt_lost(FakeExchange(), record, "broken")
            await anyio.sleep(1.0)
            self.assertEqual(self.guard.crash_count(FINGERPRINT), 1)
            # The target whose check failed is checked again.
            detector.attempt_lost(FakeExchange(), self.records[0], "broken")
            await anyio.sleep(1.0)
            failures = self.supervisor.failures
            self.assertEqual(failures, {"one": 0, "crash detector": 2})

        self.run_task(self.make_detector(connect), scenario)

    def test_check_that_a_restart_interrupts_is_repeated(self):
        async def connect(_):
            await anyio.sleep(0.2)
            return UNREACHABLE

        async def scenario(detector):
            detector.attempt_lost(FakeExchange(), self.records[1], "broken")
            await anyio.sleep(0.1)
            self.interrupt()
            await anyio.sleep(1.0)
            self.assertEqual(self.guard.crash_count(FINGERPRINT), 1)

        self.run_task(self.make_detector(connect), scenario)


class TargetReachTest(SupervisedTest):
    def make_reach(self, connect):
        records = [gateway_parts.make_record(number) for number in range(4)]
        return lambda clock: target_reach.TargetReach(
            lambda: list(records),
            connect,
            clock,
            random.Random(1),
            lambda: None,
            self.supervisor,
        )

    def test_failing_probe_does_not_hide_that_no_target_is_reached(self):
        async def connect(record):
            if record.target_id == "t0":
                raise KeyError(record)
            await anyio.lowlevel.checkpoint()

        async def scenario(reach):
            with anyio.fail_after(5.0):
                self.assertFalse(await reach.confirm())
            self.assertTrue(reach.is_isolated)
            self.assertEqual(self.supervisor.failures["one"], 0)

        self.run_task(self.make_reach(connect), scenario)

    def test_probes_that_all_fail_unexpectedly_show_no_isolation(self):
        async def connect(record):
            raise KeyError(record)

        async def scenario(reach):
            with anyio.fail_after(5.0):
                self.assertFalse(await reach.confirm())
            self.assertFalse(reach.is_isolated)

        self.run_task(self.make_reach(connect), scenario)

    def test_round_of_probes_that_a_restart_interrupts_is_repeated(self):
        async def connect(record):
            await anyio.sleep(0.3)
            return record

        async def scenario(reach):
            async with anyio.create_task_group() as tasks:
                results = []
                has_result = anyio.Event()

                async def confirm():
                    results.append(await reach.confirm())
                    has_result.set()

                tasks.start_soon(confirm)
                await anyio.sleep(0.2)
                self.interrupt()
                with anyio.fail_after(5.0):
                    await has_result.wait()
            self.assertEqual(results, [True])

        self.run_task(self.make_reach(connect), scenario)


class DataCentreProberTest(SupervisedTest):
    def run_prober(self, connect, scenario):
        table = target_table.TargetTable()
        table.put(gateway_parts.make_record(0, data_centre="b"))

        def make(clock):
            self.reach = data_centre_reach.DataCentreReach("a", 2)
            return data_centre_probing.DataCentreProber(
                self.reach,
                table,
                connect,
                lambda: INSTANCES,
                lambda: INSTANCES,
                clock,
                random.Random(1),
                self.supervisor,
            )

        async def run(prober):
            await anyio.sleep(0.05)
            for number in range(INSTANCES):
                self.reach.record_digest(
                    "b", f"b{number}", anyio.current_time(), leaves=False
                )
            # The data centre falls silent and is probed.
            await scenario(prober)

        self.run_task(make, run)

    def test_data_centre_is_probed_again_after_a_failing_probe(self):
        attempts = []

        async def connect(record):
            attempts.append(record)
            if len(attempts) == 1:
                raise KeyError(record)
            await anyio.lowlevel.checkpoint()
            return record

        async def scenario(_):
            await anyio.sleep(10.0)
            self.assertGreater(len(attempts), 1)
            state = self.reach.dump(anyio.current_time())[0]["reach"]
            self.assertEqual(state, "reachable")
            self.assertEqual(self.supervisor.failures["one"], 0)

        self.run_prober(connect, scenario)

    def test_data_centre_is_probed_again_after_a_restart_in_a_probe(self):
        attempts = []

        async def connect(record):
            attempts.append(record)
            if len(attempts) == 1:
                self.interrupt()
                await anyio.sleep(0.2)
            return record

        async def scenario(_):
            await anyio.sleep(10.0)
            self.assertGreater(len(attempts), 1)
            state = self.reach.dump(anyio.current_time())[0]["reach"]
            self.assertEqual(state, "reachable")

        self.run_prober(connect, scenario)


class MemoryReserverTest(SupervisedTest):
    def run_reserver(self, scenario, send):
        known = [
            target_table.Target(gateway_parts.make_record(number))
            for number in range(3)
        ]
        self.chosen = placement.Placement(
            known[0],
            tuple(placement.Helper(one, 70_000) for one in known),
            1.0,
            1.0,
            0.0,
        )

        def make(clock):
            wire = wire_format.WireFormat()
            reserver = reservations.MemoryReserver(
                wire,
                None,
                target_statements.TargetStatements(
                    target_table.TargetTable(), clock
                ),
                self.supervisor,
            )
            reserver._send = send
            return reserver

        self.run_task(make, scenario)

    def test_failing_release_loses_no_release_at_other_engines(self):
        released = []

        async def send(order, target):
            await anyio.sleep(0.1 * int(target.target_id[1:]))
            if type(order).__name__ == "ReleaseMemory":
                if target.target_id == "t0":
                    raise KeyError(order)
                released.append(target.target_id)
            return 200

        async def scenario(reserver):
            async with reserver.hold(self.chosen):
                pass
            await anyio.sleep(1.0)
            self.assertEqual(released, ["t1", "t2"])
            self.assertEqual(self.supervisor.failures["one"], 0)

        self.run_reserver(scenario, send)

    def test_releases_that_a_restart_interrupts_are_sent_again(self):
        released = []

        async def send(order, target):
            await anyio.sleep(0.2)
            if type(order).__name__ == "ReleaseMemory":
                released.append(target.target_id)
            return 200

        async def scenario(reserver):
            async with reserver.hold(self.chosen):
                pass
            await anyio.sleep(0.1)
            self.interrupt()
            await anyio.sleep(1.0)
            self.assertEqual(sorted(released), ["t0", "t1", "t2"])

        self.run_reserver(scenario, send)

    def test_failing_order_of_one_engine_does_not_fail_the_request(self):
        async def send(order, target):
            await anyio.lowlevel.checkpoint()
            if target.target_id == "t0":
                raise KeyError(order)
            return 200

        async def scenario(reserver):
            async with reserver.hold(self.chosen) as held:
                await anyio.sleep(2 * reservations.RENEWAL_INTERVAL_S)
                self.assertEqual(held.refused_by, ("t0",))
                self.assertNotEqual(held.find("t1"), "")

        self.run_reserver(scenario, send)


if __name__ == "__main__":
    unittest.main()
