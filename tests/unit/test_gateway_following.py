"""Tests of the store follower: latency, recovery and number of calls."""

import random
import unittest

import anyio
import result
import trio.testing

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.gateway.store import key_set

KINDS = store_contract.StoreFaultKind
UNAVAILABLE = KINDS.UNAVAILABLE


class FakeStore:
    """A store with entries and faults set by the test."""

    def __init__(self):
        self.entries = {}
        self.revision = 1
        self.calls = []
        self.fault = None
        self.poll_fault = None
        self.fault_after_s = 0.01
        self.is_silent = False
        self.removals = {}

    async def wait_until_restored(self, since=0):
        del since
        await anyio.sleep_forever()

    def write(self, key, value=b"v"):
        self.revision += 1
        self.entries[key] = store_contract.Entry(key, value, self.revision)

    def remove(self, key):
        self.revision += 1
        del self.entries[key]
        self.removals[key] = self.revision

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
            if self.fault or self.poll_fault:
                await anyio.sleep(self.fault_after_s)
                kind = self.fault or self.poll_fault
                fault = store_contract.StoreFault(kind, prefix)
                return result.Err(fault)
            newer = [e for e in self.entries.values() if e.version > after]
            newer += [
                store_contract.Entry(key, b"", store_contract.ABSENT)
                for key, revision in self.removals.items()
                if revision > after
            ]
            if (newer and not silent) or anyio.current_time() >= until:
                found = () if silent else tuple(newer)
                return result.Ok(
                    store_contract.WatchBatch(
                        found, after if silent else self.revision
                    )
                )
            await anyio.sleep(0.01)


class RecordingHandler:
    """Records when the follower delivered each key, and counts faults."""

    def __init__(self):
        self.keys = {}
        self.faults = 0
        self.kinds = set()

    def store_restored(self, revision):
        pass

    def apply_snapshot(self, scan):
        self.keys = {}
        for entry in scan.entries:
            self.apply_change(entry)

    def apply_changes(self, batch):
        for entry in batch.entries:
            self.apply_change(entry)

    def apply_change(self, entry):
        if entry.version == store_contract.ABSENT:
            self.keys.pop(entry.key, None)
            return
        self.keys[entry.key] = anyio.current_time()

    def on_answer(self, fault):
        if fault is not None:
            self.faults += 1
            self.kinds.add(fault.kind)


class FollowerTest(unittest.TestCase):
    seed = 1

    def run_scenario(self, scenario, *, is_delegate=True):
        async def main():
            self.is_delegate = is_delegate
            self.store = FakeStore()
            self.handler = RecordingHandler()
            self.follower = follower.Follower(
                self.store,
                follower.Subscription("p/", 0.2, 0.3),
                self.handler,
                self.handler.on_answer,
                lambda: self.is_delegate,
                random.Random(self.seed),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.follower.run)
                await anyio.sleep(0.1)
                await scenario()
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_change_is_delivered_immediately(self):
        async def scenario():
            self.store.write("p/a")
            written_at = anyio.current_time()
            await anyio.sleep(0.05)
            self.assertLess(self.handler.keys["p/a"] - written_at, 0.05)

        self.run_scenario(scenario)

    def test_series_of_changes_costs_few_calls(self):
        async def scenario():
            before = len(self.store.calls)
            for number in range(100):
                self.store.write(f"p/{number}")
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            self.assertEqual(len(self.handler.keys), 100)
            self.assertLess(len(self.store.calls) - before, 10)

        self.run_scenario(scenario)

    def test_non_delegates_poll_rarely(self):
        async def scenario():
            await anyio.sleep(60.0)
            self.assertLessEqual(len(self.store.calls), 6)

        self.run_scenario(scenario, is_delegate=False)

    def test_peer_revision_interrupts_a_silent_poll(self):
        async def scenario():
            self.store.is_silent = True
            await anyio.sleep(21.0)
            self.store.is_silent = False
            self.store.write("p/a")
            self.follower.note_peer_revision(self.store.revision)
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario, is_delegate=False)

    def known_to_peer(self, *keys):
        """Returns the keys that a peer knows at the store's revision."""
        known = key_set.KeySet()
        known.replace(self.store.entries[key] for key in keys)
        return key_set.KnownKeys(self.store.revision, known.fingerprint)

    def test_removal_that_a_peer_found_in_a_scan_interrupts_a_silent_poll(
        self,
    ):
        async def scenario():
            self.store.write("p/a")
            self.store.write("p/b")
            await anyio.sleep(1.0)
            self.assertIn("p/a", self.handler.keys)
            self.store.is_silent = True
            await anyio.sleep(30.0)
            self.store.remove("p/a")
            # No entry bears the revision of the removal.
            self.follower.note_peer_revision(self.store.revision - 1)
            self.follower.note_peer_keys(self.known_to_peer("p/b"))
            self.store.is_silent = False
            await anyio.sleep(0.5)
            self.assertEqual(list(self.handler.keys), ["p/b"])
            self.assertEqual(
                self.follower.known_keys, self.known_to_peer("p/b")
            )

        self.run_scenario(scenario, is_delegate=False)

    def test_peer_with_the_same_keys_costs_no_call(self):
        async def scenario():
            self.store.write("p/a")
            await anyio.sleep(1.0)
            before = len(self.store.calls)
            for _ in range(20):
                self.store.revision += 1
                self.follower.note_peer_keys(self.known_to_peer("p/a"))
                await anyio.sleep(0.2)
            self.assertEqual(len(self.store.calls), before)

        self.run_scenario(scenario, is_delegate=False)

    def test_removal_that_the_own_poll_brings_costs_no_scan(self):
        async def scenario():
            self.store.write("p/a")
            await anyio.sleep(1.0)
            self.store.remove("p/a")
            self.store.revision += 5
            self.follower.note_peer_keys(self.known_to_peer())
            await anyio.sleep(2.0)
            self.assertEqual(self.store.calls.count("scan"), 1)
            self.assertEqual(self.follower.known_keys.fingerprint, 0)

        self.run_scenario(scenario, is_delegate=False)

    def test_impossible_keys_of_a_peer_do_not_hide_later_ones(self):
        async def scenario():
            self.store.write("p/a")
            await anyio.sleep(1.0)
            self.follower.note_peer_keys(key_set.KnownKeys(10**9, 7))
            await anyio.sleep(5.0)
            self.store.is_silent = True
            await anyio.sleep(30.0)
            self.store.is_silent = False
            self.store.remove("p/a")
            self.follower.note_peer_keys(self.known_to_peer())
            await anyio.sleep(2.0)
            self.assertEqual(self.handler.keys, {})

        self.run_scenario(scenario, is_delegate=False)

    def test_impossible_revision_of_a_peer_does_not_hide_later_ones(self):
        async def scenario():
            self.follower.note_peer_revision(10**9)
            await anyio.sleep(5.0)
            self.store.is_silent = True
            await anyio.sleep(30.0)
            self.store.is_silent = False
            self.store.write("p/a")
            self.follower.note_peer_revision(self.store.revision)
            await anyio.sleep(2.0)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario, is_delegate=False)

    def test_impossible_revision_of_an_entry_is_not_reported_to_peers(self):
        async def scenario():
            self.store.entries["p/odd"] = store_contract.Entry(
                "p/odd", b"v", store_contract.REVISIONS_PER_ERA - 1
            )
            self.store.write("p/a")
            await anyio.sleep(1.0)
            self.assertEqual(
                self.follower.last_change_revision, self.store.revision
            )

        self.run_scenario(scenario)

    def test_delegate_recovers_from_a_silent_poll_within_3_s(self):
        async def scenario():
            self.store.is_silent = True
            await anyio.sleep(1.0)
            self.store.is_silent = False
            self.store.write("p/a")
            written_at = anyio.current_time()
            await anyio.sleep(3.0)
            self.assertLess(self.handler.keys["p/a"] - written_at, 3.0)

        self.run_scenario(scenario)

    def test_new_delegate_ends_a_silent_poll(self):
        # Guards against changes that are missed for the rest of a long poll
        # whose connection is silent, after the delegate has left.
        async def scenario():
            self.store.is_silent = True
            await anyio.sleep(follower.NON_DELEGATE_WAIT_S + 2.0)
            self.store.is_silent = False
            self.is_delegate = True
            self.store.write("p/a")
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario, is_delegate=False)

    def test_delegate_that_stays_ends_no_poll(self):
        # Guards against calls to the store that no change of role requires.
        async def scenario():
            await anyio.sleep(20.0)
            self.assertEqual(self.store.calls.count("scan"), 1)

        self.run_scenario(scenario)

    def test_long_silence_of_a_poll_is_reported_as_an_outage(self):
        for seconds, expected in ((2.6, KINDS.SILENT), (28.6, UNAVAILABLE)):
            with self.subTest(seconds=seconds):

                async def scenario(seconds=seconds):
                    self.store.poll_fault = KINDS.SILENT
                    self.store.fault_after_s = seconds
                    await anyio.sleep(60.0)

                self.run_scenario(scenario)
                self.assertIn(expected, self.handler.kinds)
                self.assertEqual(len(self.handler.kinds), 1)

    def test_compaction_triggers_a_full_scan(self):
        async def scenario():
            self.store.fault = KINDS.COMPACTED
            await anyio.sleep(0.05)
            self.store.write("p/a")
            self.store.fault = None
            await anyio.sleep(1.0)
            self.assertIn("p/a", self.handler.keys)
            self.assertGreaterEqual(self.store.calls.count("scan"), 2)

        self.run_scenario(scenario)

    def test_refused_polls_do_not_cause_a_scan_each_time(self):
        async def scenario():
            self.store.poll_fault = KINDS.UNAVAILABLE
            await anyio.sleep(0.05)
            before = len(self.store.calls)
            await anyio.sleep(8.0)
            self.assertLess(len(self.store.calls) - before, 40)

        self.run_scenario(scenario)

    def test_poll_cut_right_after_an_outage_is_followed_by_a_scan(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(8.0)
            self.store.fault = None
            self.follower.note_peer_revision(self.store.revision + 1)
            await anyio.sleep(0.5)
            self.store.poll_fault = KINDS.UNAVAILABLE
            self.store.write("p/a")
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario, is_delegate=False)

    def test_delegate_scans_soon_after_an_outage(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(8.0)
            self.assertLess(len(self.store.calls), 40)
            self.store.write("p/a")
            self.store.fault = None
            ended_at = anyio.current_time()
            await anyio.sleep(2.0)
            self.assertLess(self.handler.keys["p/a"] - ended_at, 1.5)

        self.run_scenario(scenario)

    def test_non_delegates_scan_within_3_s_after_an_outage(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(9.0)
            self.store.write("p/a")
            self.store.fault = None
            ended_at = anyio.current_time()
            await anyio.sleep(6.0)
            self.assertLess(self.handler.keys["p/a"] - ended_at, 3.0)

        for self.seed in range(8):
            self.run_scenario(scenario, is_delegate=False)

    def test_non_delegates_back_off_further_during_an_outage(self):
        async def scenario():
            self.store.fault = KINDS.UNAVAILABLE
            await anyio.sleep(8.0)
            self.assertLess(len(self.store.calls), 12)
            self.store.write("p/a")
            self.store.fault = None
            self.follower.note_peer_revision(self.store.revision)
            await anyio.sleep(0.5)
            self.assertIn("p/a", self.handler.keys)

        self.run_scenario(scenario, is_delegate=False)


if __name__ == "__main__":
    unittest.main()
