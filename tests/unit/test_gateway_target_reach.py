"""Tests of the decision whether an instance is cut off from all targets."""

import random
import time
import unittest

import anyio

from cardamomfork._internal.gateway.connections import target_reach
from tests.lib import gateway_parts


class ReachFixture:
    """Targets of two services that can be made unreachable."""

    def __init__(self, hangs=True):
        self.records = [
            gateway_parts.make_record(
                number, "ledger" if number < 2 else "engines"
            )
            for number in range(10)
        ]
        self.unreachable = set()
        self.hangs = hangs
        self.probed = []
        self.changes = []
        self.reach = target_reach.TargetReach(
            lambda: list(self.records),
            self.connect,
            time.monotonic,
            random.Random(1),
            lambda: self.changes.append(self.reach.is_isolated),
        )

    def cut_off(self):
        self.unreachable = {record.target_id for record in self.records}

    async def connect(self, record):
        self.probed.append(record.target_id)
        if record.target_id in self.unreachable:
            if self.hangs:
                await anyio.sleep(0.5)
            return None
        return object()

    def run(self, scenario):
        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.reach.run)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)


class TargetReachTest(unittest.TestCase):
    def test_instance_without_any_link_is_isolated_within_a_second(self):
        fixture = ReachFixture()

        async def scenario():
            fixture.cut_off()
            fixture.reach.record_failure()
            await anyio.sleep(1.0)
            self.assertTrue(fixture.reach.is_isolated)

        fixture.run(scenario)
        self.assertLessEqual(len(fixture.probed), target_reach.MAX_PROBES)

    def test_failure_of_one_target_is_no_isolation(self):
        fixture = ReachFixture()

        async def scenario():
            fixture.unreachable = {"t5"}
            for _ in range(20):
                fixture.reach.record_failure()
                await anyio.sleep(0.05)

        fixture.run(scenario)
        self.assertEqual(fixture.changes, [])
        self.assertLess(len(fixture.probed), 15)

    def test_end_of_a_whole_service_is_no_isolation(self):
        fixture = ReachFixture(hangs=False)

        async def scenario():
            fixture.unreachable = {f"t{number}" for number in range(2, 10)}
            for _ in range(5):
                fixture.reach.record_failure()
                await anyio.sleep(0.3)

        fixture.run(scenario)
        self.assertEqual(fixture.changes, [])

    def test_probe_finds_out_within_a_second_that_links_are_back(self):
        fixture = ReachFixture(hangs=False)

        async def scenario():
            fixture.cut_off()
            fixture.reach.record_failure()
            await anyio.sleep(0.6)
            self.assertTrue(fixture.reach.is_isolated)
            fixture.unreachable = set()
            await anyio.sleep(1.2)
            self.assertFalse(fixture.reach.is_isolated)

        fixture.run(scenario)
        self.assertEqual(fixture.changes, [True, False])

    def test_interrupted_round_of_probes_is_no_isolation(self):
        clock = gateway_parts.Clock()
        fixture = ReachFixture()
        is_first = True

        async def connect(record):
            nonlocal is_first
            if not is_first:
                return object()
            await anyio.sleep(0.35)
            clock.now += 3.0
            is_first = False
            return None

        fixture.records = fixture.records[:1]
        fixture.reach = target_reach.TargetReach(
            lambda: list(fixture.records),
            connect,
            clock,
            random.Random(1),
            lambda: fixture.changes.append(None),
        )

        async def scenario():
            fixture.reach.record_failure()
            await anyio.sleep(1.0)

        fixture.run(scenario)
        self.assertEqual(fixture.changes, [])

    def test_instance_without_targets_is_not_isolated(self):
        fixture = ReachFixture()
        fixture.records = []

        async def scenario():
            fixture.reach.record_failure()
            await anyio.sleep(0.3)
            self.assertFalse(fixture.reach.is_isolated)
            with anyio.fail_after(2.0):
                self.assertFalse(await fixture.reach.confirm())

        fixture.run(scenario)

    def test_reach_is_confirmed_by_new_connections_only(self):
        fixture = ReachFixture(hangs=False)

        async def scenario():
            self.assertTrue(await fixture.reach.confirm())
            fixture.cut_off()
            self.assertFalse(await fixture.reach.confirm())

        fixture.run(scenario)


if __name__ == "__main__":
    unittest.main()
