"""Tests of the evidence that a target crashed while it ran a request."""

from typing import ClassVar
import unittest

import anyio
import anyio.lowlevel
import attrs
import result

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.state import target_table
from tests.lib import gateway_parts

FINGERPRINT = 7


class FakeExchange:
    """An exchange as far as the detector uses it."""

    fingerprint = FINGERPRINT
    parts: ClassVar = {}
    log = request_log.RequestLog("r1")


@attrs.frozen
class FakeConnection:
    """A connection that is open until its target crashes."""

    fixture: "DetectorFixture"
    target_id: str

    @property
    def is_open(self):
        return self.target_id not in self.fixture.crashed


class DetectorFixture:
    """A detector whose targets crash by command."""

    def __init__(self):
        self.clock = gateway_parts.Clock()
        self.guard = poison_guard.PoisonGuard()
        self.table = target_table.TargetTable(self.report_end)
        self.crashed = set()
        self.refuses = False
        self.checked = []
        self.crash_count = 0
        self.detector = crash_detector.CrashDetector(
            self.guard,
            self.table,
            self.connect,
            self.clock,
            self.count_crash,
        )

    def report_end(self, record):
        self.detector.target_ended(record)

    def count_crash(self):
        self.crash_count += 1

    async def connect(self, record):
        self.checked.append(record.target_id)
        is_crashed = record.target_id in self.crashed
        await anyio.lowlevel.checkpoint()
        if is_crashed:
            return result.Err(
                outcomes.Failed(
                    outcomes.Failure.UNREACHABLE, is_refused=self.refuses
                )
            )
        return result.Ok(FakeConnection(self, record.target_id))

    def add_target(self, number, **changes):
        record = gateway_parts.make_record(number, **changes)
        self.table.put(record)
        return record

    def lose(self, record, reason="broken"):
        self.detector.attempt_lost(FakeExchange(), record, reason)

    def crashes(self):
        return self.guard.crash_count(FINGERPRINT)


def run_with_checks(scenario):
    """Runs a scenario beside the detector's checks."""

    async def main():
        fixture = DetectorFixture()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.detector.run)
            await scenario(fixture)
            tasks.cancel_scope.cancel()
        return fixture

    return anyio.run(main)


class CheckTest(unittest.TestCase):
    def test_crash_counts_though_no_other_request_goes_to_the_target(self):
        async def scenario(fixture):
            for number in range(3):
                record = fixture.add_target(number)
                fixture.crashed.add(record.target_id)
                fixture.lose(record)
                await fixture.detector.wait_for_check(record)

        fixture = run_with_checks(scenario)
        self.assertTrue(
            fixture.guard.is_blocked(FINGERPRINT, fixture.clock.now)
        )
        self.assertEqual(fixture.crash_count, 3)

    def test_crash_that_ends_in_silence_counts(self):
        async def scenario(fixture):
            record = fixture.add_target(0)
            fixture.crashed.add(record.target_id)
            fixture.lose(record, "silent")
            await fixture.detector.wait_for_check(record)

        self.assertEqual(run_with_checks(scenario).crashes(), 1)

    def test_reachable_target_accuses_no_request(self):
        async def scenario(fixture):
            record = fixture.add_target(0)
            for _ in range(3):
                fixture.lose(record)
                await anyio.sleep(2 * crash_detector.RECHECK_DELAY_S)

        fixture = run_with_checks(scenario)
        self.assertEqual(fixture.crashes(), 0)
        self.assertEqual(len(fixture.checked), 3)

    def test_attempt_lost_during_a_check_is_covered_by_another(self):
        async def scenario(fixture):
            record = fixture.add_target(0)
            fixture.lose(record)
            while not fixture.checked:
                await anyio.lowlevel.checkpoint()
            fixture.crashed.add(record.target_id)
            fixture.lose(record)
            await anyio.sleep(2 * crash_detector.RECHECK_DELAY_S)

        fixture = run_with_checks(scenario)
        self.assertEqual(fixture.crashes(), 1)
        self.assertEqual(len(fixture.checked), 2)

    def test_target_that_still_accepts_connections_in_its_crash_counts(self):
        async def scenario(fixture):
            record = fixture.add_target(0)
            fixture.lose(record)
            await fixture.detector.wait_for_check(record)
            self.assertEqual(fixture.crashes(), 0)
            fixture.crashed.add(record.target_id)
            await anyio.sleep(2 * crash_detector.RECHECK_DELAY_S)

        self.assertEqual(run_with_checks(scenario).crashes(), 1)

    def test_crashed_target_gets_no_work_at_once(self):
        async def scenario(fixture):
            record = fixture.add_target(0)
            fixture.crashed.add(record.target_id)
            fixture.lose(record)
            await fixture.detector.wait_for_check(record)

        fixture = run_with_checks(scenario)
        self.assertEqual(
            fixture.table.list_service("engines", fixture.clock.now), []
        )

    def test_wait_for_a_check_without_an_answer_is_short(self):
        async def scenario(fixture):
            async def hang(_):
                await anyio.sleep_forever()

            fixture.detector = crash_detector.CrashDetector(
                fixture.guard, fixture.table, hang, fixture.clock, lambda: None
            )
            record = fixture.add_target(0)
            fixture.lose(record)
            with anyio.fail_after(10 * crash_detector.MAX_CHECK_WAIT_S):
                await fixture.detector.wait_for_check(record)

        run_with_checks(scenario)


class EntryTest(unittest.TestCase):
    def test_crash_counts_though_the_target_has_restarted_already(self):
        fixture = DetectorFixture()
        fixture.lose(fixture.add_target(0, started_at_ms=1))
        fixture.clock.now += 2.0
        fixture.add_target(0, started_at_ms=2)
        self.assertEqual(fixture.crashes(), 1)

    def test_crash_counts_though_the_caller_left_first(self):
        fixture = DetectorFixture()
        record = fixture.add_target(0)
        fixture.detector.attempt_abandoned(FakeExchange(), record)
        fixture.clock.now += 6.0
        fixture.table.remove("t0", fixture.clock.now, may_return=False)
        self.assertEqual(fixture.crashes(), 1)

    def test_lapse_in_a_store_outage_accuses_no_request(self):
        fixture = DetectorFixture()
        fixture.lose(fixture.add_target(0))
        fixture.table.remove("t0", fixture.clock.now, may_return=True)
        fixture.clock.now += target_table.LOST_ENTRY_GRACE_S
        self.assertEqual(fixture.table.expire(fixture.clock.now), ["t0"])
        self.assertEqual(fixture.crashes(), 0)

    def test_planned_end_accuses_no_request(self):
        fixture = DetectorFixture()
        record = fixture.add_target(0)
        fixture.add_target(0, is_leaving=True)
        fixture.lose(record)
        fixture.detector.target_ended(fixture.table.find("t0").record)
        self.assertEqual(fixture.crashes(), 0)


class IsolatedInstanceTest(unittest.TestCase):
    """What a detector concludes while its instance reaches no target."""

    def run_detector(self, scenario, *, is_reaching):
        fixture = DetectorFixture()

        async def confirm_reach():
            await anyio.lowlevel.checkpoint()
            return is_reaching

        fixture.detector = crash_detector.CrashDetector(
            fixture.guard,
            fixture.table,
            fixture.connect,
            fixture.clock,
            fixture.count_crash,
            confirm_reach,
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.detector.run)
                await scenario(fixture)
                await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return fixture.crashes()

    async def lose_unreachable(self, fixture):
        record = fixture.add_target(1)
        fixture.crashed.add(record.target_id)
        fixture.lose(record)

    async def fail_to_connect(self, fixture):
        record = fixture.add_target(1)
        fixture.guard.add_suspect(FINGERPRINT, record, fixture.clock())
        fixture.detector.target_unreachable(record)

    def test_failed_checks_of_an_isolated_instance_confirm_no_crash(self):
        for scenario in (self.lose_unreachable, self.fail_to_connect):
            with self.subTest(scenario=scenario.__name__):
                self.assertEqual(
                    self.run_detector(scenario, is_reaching=False), 0
                )
                self.assertEqual(
                    self.run_detector(scenario, is_reaching=True), 1
                )

    async def lose_refused(self, fixture):
        fixture.refuses = True
        await self.lose_unreachable(fixture)

    async def fail_to_connect_refused(self, fixture):
        record = fixture.add_target(1)
        fixture.guard.add_suspect(FINGERPRINT, record, fixture.clock())
        fixture.detector.target_unreachable(record, is_refused=True)

    def test_refused_check_counts_though_no_other_target_is_reached(self):
        # Guards against crashes of the last targets that are up, which are
        # taken for a fault of this instance's links.
        for scenario in (self.lose_refused, self.fail_to_connect_refused):
            with self.subTest(scenario=scenario.__name__):
                self.assertEqual(
                    self.run_detector(scenario, is_reaching=False), 1
                )

    async def lose_and_discard(self, fixture):
        """Loses an attempt; the instance is isolated before its check ends."""
        fixture.clock.now += 1.0
        await self.lose_unreachable(fixture)
        while not fixture.checked:
            await anyio.lowlevel.checkpoint()
        fixture.detector.discard_suspects(fixture.clock() - 0.5)

    async def discard_beside_refused_check(self, fixture):
        fixture.refuses = True
        await self.lose_and_discard(fixture)

    def test_check_that_is_refused_after_the_isolation_counts(self):
        # Guards against evidence that is dropped while a check looks for it.
        found = self.run_detector(
            self.discard_beside_refused_check, is_reaching=False
        )
        self.assertEqual(found, 1)

    async def discard_and_end(self, fixture):
        await self.lose_and_discard(fixture)
        await anyio.sleep(0.05)
        fixture.detector.target_ended(fixture.table.find("t1").record)

    def test_silent_check_of_an_isolated_instance_leaves_no_suspect(self):
        # Guards against requests that are accused after a cut has ended.
        found = self.run_detector(self.discard_and_end, is_reaching=False)
        self.assertEqual(found, 0)

    def test_suspects_of_a_cut_are_discarded(self):
        fixture = DetectorFixture()
        record = fixture.add_target(1)
        fixture.guard.add_suspect(FINGERPRINT, record, 5.0)
        fixture.guard.discard_suspects(4.0)
        self.assertEqual(fixture.guard.confirm_crash(record, 6.0), [])


if __name__ == "__main__":
    unittest.main()
