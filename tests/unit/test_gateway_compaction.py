"""Tests that followers catch up after the store has dropped its history."""

import random
import unittest

import anyio
import result
import trio.testing

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.gateway.wiring import store_side

KINDS = store_contract.StoreFaultKind
KEY = "op/config"
DATA_CENTRES = 3
READ_S = 0.004
DEAF_S = 1.0
"""Time in which watches hear nothing before they are cut."""
APPLY_LIMIT_S = 2.0
"""Time from the acknowledgement of a version until it must be in force."""
SETTLE_S = 0.5
STORM_GAP_S = 0.4
STORM_CHANGES = 20
MAX_READS_PER_S = 2.0
"""Scans of one prefix by one instance. With three prefixes and 86 instances
that is a quarter of the reads that the platform allows."""


class CompactingStore:
    """A store that loses its history and does not answer polls for it.

    A poll from a revision that is no longer held waits for the next change, or
    for its time limit, before it is refused.
    """

    def __init__(self):
        self.revision = 1
        self.is_deaf = False
        self.is_refusing = False
        self.compacted_revision = 0
        self.cuts = 0
        self.reads = []

    def write(self):
        self.revision += 1

    def compact(self, *, cuts_watches=True):
        """Drops the history."""
        self.compacted_revision = self.revision
        self.cuts += cuts_watches

    async def wait_until_restored(self, since=0):
        del since
        await anyio.sleep_forever()

    async def scan(self, prefix):
        self.reads.append(anyio.current_time())
        await anyio.sleep(READ_S)
        if self.is_refusing:
            fault = store_contract.StoreFault(KINDS.UNAVAILABLE, prefix)
            return result.Err(fault)
        entry = store_contract.Entry(prefix, b"v", self.revision)
        return result.Ok(store_contract.Scan((entry,), self.revision))

    async def changes(self, prefix, after, wait_s):
        until = anyio.current_time() + wait_s
        is_lost = after < self.compacted_revision
        cuts, revision = self.cuts, self.revision
        while anyio.current_time() < until:
            await anyio.sleep(0.01)
            if self.cuts > cuts:
                fault = store_contract.StoreFault(KINDS.UNAVAILABLE, prefix)
                return result.Err(fault)
            if is_lost and self.revision > revision:
                break
            if self.revision > after and not (self.is_deaf or is_lost):
                entry = store_contract.Entry(prefix, b"v", self.revision)
                batch = store_contract.WatchBatch((entry,), self.revision)
                return result.Ok(batch)
        if is_lost:
            fault = store_contract.StoreFault(KINDS.COMPACTED, prefix)
            return result.Err(fault)
        return result.Ok(store_contract.WatchBatch((), after))


class RevisionHandler:
    """Records the newest revision and the time at which it arrived."""

    def __init__(self):
        self.revision = 0
        self.received_at = 0.0

    def store_restored(self, revision):
        pass

    def apply_snapshot(self, scan):
        for entry in scan.entries:
            self.apply_change(entry)

    def apply_changes(self, batch):
        for entry in batch.entries:
            self.apply_change(entry)

    def apply_change(self, entry):
        if entry.version > self.revision:
            self.revision = entry.version
            self.received_at = anyio.current_time()


class CompactionTest(unittest.TestCase):
    def run_fleet(
        self, instances, scenario, max_lag_s=store_side.TARGETS_MAX_LAG_S
    ):
        """Runs a scenario beside the followers of some instances."""

        async def main():
            self.store = CompactingStore()
            self.handlers = [RevisionHandler() for _ in range(instances)]
            self.followers = []
            async with anyio.create_task_group() as tasks:
                for number, handler in enumerate(self.handlers):
                    follows = follower.Follower(
                        self.store,
                        follower.Subscription(KEY, 0.5, max_lag_s),
                        handler,
                        lambda fault: None,
                        lambda number=number: number < DATA_CENTRES,
                        random.Random(number),
                    )
                    self.followers.append(follows)
                    tasks.start_soon(follows.run)
                await anyio.sleep(SETTLE_S)
                await scenario()
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_change_lost_in_a_compaction_is_read_after_the_watches_are_cut(
        self,
    ):
        async def scenario():
            self.store.is_deaf = True
            self.store.write()
            written_at = anyio.current_time()
            await anyio.sleep(DEAF_S)
            self.store.compact()
            self.store.is_deaf = False
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertLessEqual(self.slowest_s(written_at), APPLY_LIMIT_S)

        for instances in (6, 86):
            with self.subTest(instances=instances):
                self.run_fleet(instances, scenario)

    def test_instance_behind_its_peers_reads_what_its_poll_cannot_get(self):
        async def scenario():
            self.store.is_deaf = True
            self.store.write()
            written_at = anyio.current_time()
            self.store.compact(cuts_watches=False)
            for follows in self.followers:
                follows.note_peer_revision(self.store.revision)
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertLessEqual(self.slowest_s(written_at), APPLY_LIMIT_S)

        self.run_fleet(6, scenario)

    async def run_storm(self):
        """Changes an entry again and again; peers report each revision."""
        self.store.reads.clear()
        for _ in range(STORM_CHANGES):
            self.store.write()
            await anyio.sleep(STORM_GAP_S / 2)
            for follows in self.followers:
                follows.note_peer_revision(self.store.revision)
            await anyio.sleep(STORM_GAP_S / 2)

    def test_series_of_changes_does_not_make_instances_scan(self):
        async def scenario():
            await self.run_storm()
            self.assertEqual(self.store.reads, [])

        for instances in (6, 86):
            with self.subTest(instances=instances):
                self.run_fleet(instances, scenario)

    def test_refused_scans_are_not_repeated_at_once_when_peers_have_changes(
        self,
    ):
        async def scenario():
            self.store.is_refusing = True
            self.store.compact()
            await self.run_storm()
            scans = len(self.store.reads) / len(self.followers)
            seconds = STORM_CHANGES * STORM_GAP_S
            self.assertLessEqual(scans / seconds, MAX_READS_PER_S)

        for max_lag_s in (
            store_side.TARGETS_MAX_LAG_S,
            store_side.CONFIGURATION_MAX_LAG_S,
        ):
            for instances in (6, 86):
                with self.subTest(instances=instances, max_lag_s=max_lag_s):
                    self.run_fleet(instances, scenario, max_lag_s)

    def slowest_s(self, written_at):
        """Returns how long after a write the last instance received it."""
        return max(
            handler.received_at - written_at
            if handler.revision == self.store.revision
            else float("inf")
            for handler in self.handlers
        )


if __name__ == "__main__":
    unittest.main()
