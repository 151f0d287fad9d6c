"""Order lease: single holder, increasing fencing numbers, quick handover."""

import random
import unittest

import anyio

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import virtual_time
from cardamomfork._internal.targets import orders_lease


class OrderLeaseTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.LoopClock()

    def make(self, store, name, is_candidate=lambda: True):
        instance = instances.Instance(name, "boot", "dc", "127.0.0.1", 1)
        session = store_standin.StoreSession(store)
        lease = orders_lease.OrderLease(
            session,
            self.clock,
            random.Random(1),
            instance,
            is_candidate=is_candidate,
        )
        return session, lease

    def run_scenario(self, scenario):
        virtual_time.run(scenario)

    def test_one_holder_at_a_time_with_increasing_fencing_numbers(self):
        async def scenario():
            store = store_standin.MemoryStore(self.clock)
            session, first = self.make(store, "one")
            _, second = self.make(store, "two")
            async with anyio.create_task_group() as group:
                group.start_soon(first.run)
                await anyio.sleep(1)
                group.start_soon(second.run)
                await anyio.sleep(30)
                before = first.held_lease
                self.assertIsNone(second.held_lease)
                self.assertGreater(before.valid_until, anyio.current_time())
                session.faults.down = True
                for _ in range(300):
                    await anyio.sleep(0.1)
                    held_by_both = first.held_lease and second.held_lease
                    self.assertFalse(held_by_both)
                after = second.held_lease
                self.assertGreater(after.fencing, before.fencing)
                self.assertGreater(after.acquired_at, before.valid_until)
                group.cancel_scope.cancel()

        self.run_scenario(scenario)

    def test_held_lease_costs_candidates_reads_and_others_nothing(self):
        async def scenario():
            store = store_standin.MemoryStore(self.clock)
            _, first = self.make(store, "one")
            _, second = self.make(store, "two")
            _, other = self.make(store, "three", lambda: False)
            async with anyio.create_task_group() as group:
                group.start_soon(first.run)
                await anyio.sleep(1)
                before = store.counters.writes
                group.start_soon(other.run)
                await anyio.sleep(60)
                renewals = store.counters.writes - before
                self.assertEqual(store.counters.reads, 1)
                group.start_soon(second.run)
                await anyio.sleep(60)
                self.assertGreater(store.counters.reads, 1)
                self.assertAlmostEqual(
                    store.counters.writes - before, 2 * renewals, delta=2
                )
                group.cancel_scope.cancel()

        self.run_scenario(scenario)

    def test_lease_is_released_when_cancelled(self):
        async def scenario():
            store = store_standin.MemoryStore(self.clock)
            _, first = self.make(store, "one")
            async with anyio.create_task_group() as group:
                group.start_soon(first.run)
                await anyio.sleep(1)
                self.assertIsNotNone(first.held_lease)
                group.cancel_scope.cancel()
            _, second = self.make(store, "two")
            async with anyio.create_task_group() as group:
                group.start_soon(second.run)
                await anyio.sleep(0.1)
                self.assertIsNotNone(second.held_lease)
                group.cancel_scope.cancel()

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
