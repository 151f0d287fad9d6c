"""Tests of crash reports that are kept in the store."""

import random
import unittest

import anyio
import trio.testing

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.state import crash_attribution
from cardamomfork._internal.gateway.state import fingerprints
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.standins import store
from tests.lib import gateway_parts

FINGERPRINT = 2**64 - 1
PART = fingerprints.of_part("bad")
SETTLE_S = 1.0


class Instance:
    """The guard of an instance and what keeps its reports."""

    def __init__(self, memory, name):
        self.session = store.StoreSession(memory)
        self.guard = poison_guard.PoisonGuard()
        self.faults = []
        self.persistence = crash_persistence.CrashPersistence(
            self.session,
            self.guard,
            name,
            anyio.current_time,
            self.record_answer,
            lambda: None,
        )

    def record_answer(self, fault):
        if fault is not None:
            self.faults.append(fault)

    def crash(self, number, fingerprint=FINGERPRINT):
        """Confirms a crash of a target."""
        target = gateway_parts.make_record(number)
        self.guard.add_suspect(fingerprint, target, anyio.current_time())
        self.guard.confirm_crash(target, anyio.current_time())
        self.persistence.notify()

    def is_blocked(self, fingerprint=FINGERPRINT):
        return self.guard.is_blocked(fingerprint, anyio.current_time())

    async def run(self):
        """Writes and follows the reports until cancelled."""
        crashes_follower = follower.Follower(
            self.session,
            follower.Subscription(
                crash_persistence.KEY_PREFIX,
                crash_persistence.FOLLOWER_BATCH_DELAY_S,
            ),
            self.persistence,
            self.record_answer,
            lambda: False,
            random.Random(1),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.persistence.run)
            tasks.start_soon(crashes_follower.run)


def count_calls(memory):
    """Returns the number of calls to the store."""
    counters = memory.counters
    return counters.reads + counters.writes + counters.watches


def run_scenario(scenario):
    """Runs a scenario in virtual time with a store and a starter."""

    async def main():
        memory = store.MemoryStore(clock.LoopClock())
        async with anyio.create_task_group() as tasks:

            def start(name):
                instance = Instance(memory, name)
                tasks.start_soon(instance.run)
                return instance

            await scenario(memory, start)
            tasks.cancel_scope.cancel()

    anyio.run(
        main,
        backend="trio",
        backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
    )


class CrashPersistenceTest(unittest.TestCase):
    def test_block_outlives_a_restart_of_all_instances(self):
        async def scenario(_, start):
            first = start("one")
            for number in range(poison_guard.MAX_CRASHES):
                first.crash(number)
            await anyio.sleep(SETTLE_S)
            restarted = start("one")
            other = start("two")
            await anyio.sleep(SETTLE_S)
            self.assertTrue(restarted.is_blocked())
            self.assertTrue(other.is_blocked())

        run_scenario(scenario)

    def test_part_is_blocked_at_once_after_a_restart_of_all_instances(self):
        async def scenario(_, start):
            one = start("one")
            for number in range(crash_attribution.MAX_PART_CRASHES):
                one.crash(number, PART)
            await anyio.sleep(SETTLE_S + poison_guard.OBJECTION_TIME_S)
            self.assertTrue(one.is_blocked(PART))
            restarted = start("one")
            await anyio.sleep(0.1)
            self.assertTrue(restarted.is_blocked(PART))

        run_scenario(scenario)

    def test_reports_outlive_their_lease_while_crashes_go_on(self):
        async def scenario(memory, start):
            one = start("one")
            for number in range(poison_guard.MAX_CRASHES):
                one.crash(number)
            for _ in range(20):
                await anyio.sleep(crash_persistence.LEASE_S / 10)
                # A crash that adds nothing to the reports.
                one.persistence.notify()
            memory.expire_leases()
            self.assertIsNotNone(memory.read("crashes/one"))

        run_scenario(scenario)

    def test_refuted_crashes_are_not_read_again_after_a_restart(self):
        async def scenario(_, start):
            one = start("one")
            for number in range(crash_attribution.MAX_PART_CRASHES):
                one.crash(number, PART)
            await anyio.sleep(SETTLE_S)
            now = anyio.current_time()
            one.guard.record_writing([PART], now, now)
            one.persistence.notify()
            await anyio.sleep(SETTLE_S)
            restarted = start("one")
            await anyio.sleep(SETTLE_S + poison_guard.OBJECTION_TIME_S)
            self.assertFalse(restarted.is_blocked(PART))

        run_scenario(scenario)

    def test_instance_that_is_cut_off_from_peers_learns_of_a_block(self):
        async def scenario(_, start):
            isolated = start("two")
            await anyio.sleep(SETTLE_S)
            one = start("one")
            for number in range(poison_guard.MAX_CRASHES):
                one.crash(number)
            await anyio.sleep(SETTLE_S)
            self.assertTrue(isolated.is_blocked())

        run_scenario(scenario)

    def test_crashes_seen_on_two_sides_of_a_partition_add_up(self):
        async def scenario(_, start):
            sides = [start("one"), start("two")]
            for number in range(poison_guard.MAX_CRASHES - 1):
                sides[0].crash(number)
            sides[1].crash(9)
            await anyio.sleep(SETTLE_S)
            self.assertTrue(sides[1].is_blocked())

        run_scenario(scenario)

    def test_reports_are_written_after_an_outage_of_the_store(self):
        async def scenario(_, start):
            one = start("one")
            one.session.faults.down = True
            for number in range(poison_guard.MAX_CRASHES):
                one.crash(number)
            await anyio.sleep(10.0)
            one.session.faults.down = False
            await anyio.sleep(SETTLE_S)
            self.assertGreater(len(one.faults), 1)
            two = start("two")
            await anyio.sleep(SETTLE_S)
            self.assertTrue(two.is_blocked())

        run_scenario(scenario)

    def test_lost_answer_of_a_write_does_not_stop_later_writes(self):
        async def scenario(_, start):
            one = start("one")
            for number in range(poison_guard.MAX_CRASHES):
                one.session.faults.lose_answers = number % 3
                one.crash(number)
                await anyio.sleep(4 * SETTLE_S)
            two = start("two")
            await anyio.sleep(SETTLE_S)
            self.assertTrue(two.is_blocked())

        run_scenario(scenario)

    def test_reports_are_kept_as_long_as_a_block_and_no_longer(self):
        async def scenario(memory, start):
            one = start("one")
            for number in range(poison_guard.MAX_CRASHES):
                one.crash(number)
            await anyio.sleep(poison_guard.BLOCK_S - 10.0)
            memory.expire_leases()
            prefix = crash_persistence.KEY_PREFIX
            self.assertEqual(len(memory.read_prefix(prefix).entries), 1)
            await anyio.sleep(2 * crash_persistence.LEASE_S)
            memory.expire_leases()
            self.assertEqual(memory.read_prefix(prefix).entries, ())

        run_scenario(scenario)

    def test_calls_per_crash_are_few(self):
        async def scenario(memory, start):
            one = start("one")
            await anyio.sleep(SETTLE_S)
            self.assertEqual(count_calls(memory), 2)
            one.crash(0)
            await anyio.sleep(SETTLE_S)
            self.assertEqual(count_calls(memory), 2)
            for number in range(1, poison_guard.MAX_CRASHES):
                one.crash(number)
            one.persistence.notify()
            await anyio.sleep(SETTLE_S)
            # A lease, a write, and the watch after the one that returned it.
            self.assertEqual(count_calls(memory), 5)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
