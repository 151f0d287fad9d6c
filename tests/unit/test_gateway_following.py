"""How an instance follows the store, and what that costs in calls."""

import random
import unittest

import anyio
import result
import trio.testing

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway import following

KINDS = store_contract.StoreFaultKind


class FakeStore:
    """A store whose answers tests set."""

    def __init__(self):
        self.entries = {}
        self.revision = 1
        self.calls = []
        self.fault = None
        self.is_silent = False

    def write(self, key, value=b"v"):
        self.revision += 1
        self.entries[key] = store_contract.Entry(key, value, self.revision)

    async def scan(self, prefix):
        self.calls.append("scan")
        if self.fault:
            return result.Err(store_contract.StoreFault(self.fault, prefix))
        return result.Ok(
            store_contract.Scan(tuple(self.entries.values()), self.revision)
        )

    async def changes(self, prefix, after, wait_s):
        self.calls.append(wait_s)
        until = anyio.current_time() + wait_s
        silent = self.is_silent
        while True:
            if self.fault:
                await anyio.sleep(0.01)
                fault = store_contract.StoreFault(self.fault, prefix)
                return result.Err(fault)
            newer = [e for e in self.entries.values() if e.version > after]
            if (newer and not silent) or anyio.current_time() >= until:
                found = () if silent else tuple(newer)
                return result.Ok(
                    store_contract.WatchBatch(
                        found, after if silent else self.revision
                    )
                )
            await anyio.sleep(0.01)


class Seen:
    """Keeps what a follower tells."""

    def __init__(self):
        self.keys = {}
        self.faults = 0

    def replaced(self, entries):
        self.keys = {}
        for entry in entries:
            self.changed(entry)

    def changed(self, entry):
        self.keys[entry.key] = anyio.current_time()

    def answered(self, fault):
        self.faults += fault is not None


class FollowerTest(unittest.TestCase):
    seed = 1

    def play(self, scenario, *, is_delegate=True):
        async def main():
            self.store = FakeStore()
            self.seen = Seen()
            self.follower = following.Follower(
                self.store,
                following.Topic("p/", 0.2),
                self.seen,
                self.seen.answered,
                lambda: is_delegate,
                random.Random(self.seed),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await anyio.sleep(0.1)
                await scenario()
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_change_is_told_at_once(self):
        async def scenario():
            self.store.write("p/a")
            written = anyio.current_time()
            await anyio.sleep(0.05)
            self.assertLess(self.seen.keys["p/a"] - written, 0.05)

        self.play(scenario)

    def test_series_of_changes_costs_few_calls(self):
        async def scenario():
            before = len(self.store.calls)
            for number in range(100):
                self.store.write(f"p/{number}")
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            self.assertEqual(len(self.seen.keys), 100)
            self.assertLess(len(self.store.calls) - before, 10)

        self.play(scenario)

    def test_others_ask_rarely(self):
        async def scenario():
            await anyio.sleep(60.0)
            self.assertLessEqual(len(self.store.calls), 6)

        self.play(scenario, is_delegate=False)

    def test_silent_wait_is_cut_when_a_peer_knows_more(self):
        async def scenario():
            self.store.is_silent = True
            await anyio.sleep(21.0)
            self.store.is_silent = False
            self.store.write("p/a")
            self.follower.hear(self.store.revision)
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.seen.keys)

        self.play(scenario, is_delegate=False)

    def test_delegate_notices_a_silent_wait_within_its_bound(self):
        async def scenario():
            self.store.is_silent = True
            await anyio.sleep(1.0)
            self.store.is_silent = False
            self.store.write("p/a")
            written = anyio.current_time()
            await anyio.sleep(3.0)
            self.assertLess(self.seen.keys["p/a"] - written, 3.0)

        self.play(scenario)

    def test_dropped_history_is_made_good_by_a_full_read(self):
        async def scenario():
            self.store.fault = KINDS.COMPACTED
            await anyio.sleep(0.05)
            self.store.write("p/a")
            self.store.fault = None
            await anyio.sleep(1.0)
            self.assertIn("p/a", self.seen.keys)
            self.assertGreaterEqual(self.store.calls.count("scan"), 2)

        self.play(scenario)

    def test_outage_ends_with_a_full_read_soon_after(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(8.0)
            self.assertLess(len(self.store.calls), 40)
            self.store.write("p/a")
            self.store.fault = None
            ended = anyio.current_time()
            await anyio.sleep(2.0)
            self.assertLess(self.seen.keys["p/a"] - ended, 1.5)

        self.play(scenario)

    def test_others_read_again_before_an_outage_excuses_nothing(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(9.0)
            self.store.write("p/a")
            self.store.fault = None
            ended = anyio.current_time()
            await anyio.sleep(6.0)
            self.assertLess(self.seen.keys["p/a"] - ended, 3.0)

        for self.seed in range(8):
            self.play(scenario, is_delegate=False)

    def test_others_spare_a_store_that_is_away(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(8.0)
            self.assertLess(len(self.store.calls), 12)
            self.store.write("p/a")
            self.store.fault = None
            self.follower.hear(self.store.revision)
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.seen.keys)

        self.play(scenario, is_delegate=False)


if __name__ == "__main__":
    unittest.main()
