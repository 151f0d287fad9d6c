"""Keeps an instance's configuration up to date with the store and its peers.

A few instances of each data centre, the watchers, watch the store; the others
receive changes from them by gossip. A watch is reopened after a bounded time,
and closed if no batch arrives within its idle time-out. A watcher also polls
for changes on a new session, which detects a watch that sends heartbeats but no
changes. While the store is unavailable the last configuration stays in force. A
new instance loads a scan of the store or, if that fails, a peer's snapshot.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs
import loguru
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import distribution
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.models import configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import peering
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

    _BatchResult = result.Result[
        store_contract.WatchBatch, store_contract.StoreFault
    ]

WATCHERS_PER_DATA_CENTRE = 2
WATCH_IDLE_TIMEOUT_S = 5.0
"""Longer than the interval of a watch's heartbeats."""
WATCH_LIFETIME_S = 120.0
POLL_INTERVAL_S = 15.0
"""Mean time between polls for changes that the watch did not deliver."""
ROLE_CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 2.0
LAG_CHECK_INTERVAL_S = 0.2
MAX_SNAPSHOT_PAGES = 2000
CLOSE_TIMEOUT_S = 2.0


@attrs.define
class FollowerCounters:
    """Counters of the follower's operations.

    Attributes:
        watches: Watches opened.
        idle_watches: Watches closed, and polls ended, by the idle time-out.
        polls: Polls for changes on a new session.
        missed_by_watch: Polls that found changes the watch had not delivered.
        scans: Full loads from the store.
        snapshots: Full loads from a peer.
        ranges: Loads from a peer of changes too large for its envelopes.
        unreadable: Objects in the store that could not be decoded.
    """

    watches: int = 0
    idle_watches: int = 0
    polls: int = 0
    missed_by_watch: int = 0
    scans: int = 0
    snapshots: int = 0
    ranges: int = 0
    unreadable: int = 0


class ConfigurationFollower:
    """Applies changes from the store and from peers to a replica."""

    def __init__(
        self,
        connect: Callable[[], store_contract.Store],
        held: replica.ConfigurationReplica,
        told: distribution.ConfigurationGossip,
        members: membership.Membership,
        clock: clock_contract.Clock,
        rng: random.Random,
        prefix: str = codec.DEFAULT_PREFIX,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the follower.

        Args:
            connect: Opens a new session with the store.
            held: The replica to update.
            told: The configuration gossip, which detects that the replica
                lags behind a peer.
            members: The membership, from which the watchers are chosen.
            clock: Clock for the detection of lag.
            rng: Random generator for jitter.
            prefix: Prefix of every key in the store.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._connect = connect
        self._replica = held
        self._gossip = told
        self._members = members
        self._clock = clock
        self._rng = rng
        self._prefix = codec.section_prefix(prefix)
        self._key_prefix = prefix
        self._loaded = anyio.Event()
        self.counters = FollowerCounters()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the store for its data centre."""
        me = self._members.me.instance
        key = f"configuration/{me.data_centre}"
        names = rendezvous.owners(
            key, self._members.staying(), WATCHERS_PER_DATA_CENTRE
        )
        return me.instance_id in names

    async def wait_loaded(self) -> None:
        """Waits until the first configuration is loaded."""
        await self._loaded.wait()

    async def run(self, link: peering.PeerLink) -> None:
        """Loads the configuration, then follows changes until cancelled.

        Args:
            link: Link for loading from peers.
        """
        if not self._loaded.is_set():
            await self._load_initial(link)
        async with anyio.create_task_group() as group:
            for name, loop, arguments in (
                ("configuration watch", self._watch_loop, ()),
                ("configuration poll", self._poll_loop, ()),
                ("configuration lag", self._lag_loop, (link,)),
            ):
                self._supervisor.start(group, name, loop, *arguments)

    async def _load_initial(self, link: peering.PeerLink) -> None:
        """Loads all objects from the store or, if that fails, from a peer."""
        while not await self._scan_once():
            local_data_centre = self._members.me.instance.data_centre
            for peer in self._shuffled_peers(local_data_centre):
                if await self._load_from_peer(link, peer):
                    break
            if self._replica.revision:
                break
            await anyio.sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
        self._loaded.set()

    def _shuffled_peers(
        self, local_data_centre: identifiers.DataCentreId
    ) -> list[instances.Instance]:
        """Returns the peers in random order, local data centre first."""
        me = self._members.me.instance.instance_id
        peers = [p for p in self._members.live() if p.instance_id != me]
        self._rng.shuffle(peers)
        return sorted(
            peers, key=lambda peer: peer.data_centre != local_data_centre
        )

    @contextlib.asynccontextmanager
    async def _session(self) -> AsyncIterator[store_contract.Store]:
        """Opens a session and closes it, even if cancelled."""
        store = self._connect()
        try:
            yield store
        finally:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await store.close()

    async def _scan_once(self) -> bool:
        """Loads all objects from the store on a new session."""
        async with self._session() as store:
            return await self._scan(store)

    async def _scan(self, store: store_contract.Store) -> bool:
        """Loads all objects from the store."""
        self.counters.scans += 1
        scan = await store.scan(self._prefix)
        if isinstance(scan, result.Err):
            return False
        entries = []
        unreadable = set()
        for entry in scan.ok_value.entries:
            key = codec.parse_key(entry.key, self._key_prefix)
            change = self._decode_entry(entry, entry.version)
            if change is not None:
                entries.append(change)
            elif key is not None:
                unreadable.add(key)
        return self._replica.apply_snapshot(
            replica.Snapshot(
                scan.ok_value.revision, tuple(entries), frozenset(unreadable)
            )
        )

    async def _watch_loop(self) -> None:
        """Watches the store while this instance is a watcher."""
        pause_s = ROLE_CHECK_INTERVAL_S
        while True:
            if self.is_watcher:
                async with self._session() as store:
                    has_answered = await self._watch_once(store)
                pause_s = ROLE_CHECK_INTERVAL_S if has_answered else pause_s * 2
            pause_s = min(pause_s, MAX_RETRY_DELAY_S)
            await anyio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _watch_once(self, store: store_contract.Store) -> bool:
        """Applies one watch's batches until it ends or must be replaced.

        A watch is replaced when it is idle or has reached its lifetime.

        Returns:
            Whether any batch arrived; one without changes counts too.
        """
        self.counters.watches += 1
        has_answered = False
        lifetime_s = WATCH_LIFETIME_S * self._rng.uniform(0.8, 1.2)
        with anyio.move_on_after(lifetime_s):
            async with store.watch(
                self._prefix, self._replica.revision
            ) as batches:
                since = self._replica.revision
                while self.is_watcher:
                    batch = await self._next_batch(batches)
                    if batch is None:
                        return has_answered
                    if isinstance(batch, result.Err):
                        await self._rescan_if_compacted(store, batch.err_value)
                        return has_answered
                    has_answered = True
                    self._apply(batch.ok_value, since)
                    since = batch.ok_value.revision
        return has_answered

    async def _next_batch(
        self, batches: AsyncIterator[_BatchResult]
    ) -> _BatchResult | None:
        """Waits for a batch; None if the watch is idle or has ended."""
        with anyio.move_on_after(WATCH_IDLE_TIMEOUT_S):
            with contextlib.suppress(StopAsyncIteration):
                return await anext(batches)
            return None
        self.counters.idle_watches += 1
        return None

    async def _rescan_if_compacted(
        self, store: store_contract.Store, fault: store_contract.StoreFault
    ) -> None:
        """Loads all objects if the store has compacted the changes."""
        if fault.kind is store_contract.StoreFaultKind.COMPACTED:
            await self._scan(store)

    async def _poll_loop(self) -> None:
        """Polls on a new session for changes that the watch may have missed."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if self.is_watcher:
                async with self._session() as store:
                    await self._poll(store)

    async def _poll(self, store: store_contract.Store) -> None:
        """Opens a watch and applies its first batch."""
        self.counters.polls += 1
        since = self._replica.revision
        async with store.watch(self._prefix, since) as batches:
            batch = await self._next_batch(batches)
        if isinstance(batch, result.Ok):
            is_newer = self._replica.revision < batch.ok_value.revision
            self.counters.missed_by_watch += is_newer and bool(
                batch.ok_value.entries
            )
            self._apply(batch.ok_value, since)
        elif batch is not None:
            await self._rescan_if_compacted(store, batch.err_value)

    async def _lag_loop(self, link: peering.PeerLink) -> None:
        """Loads from a peer by pages when gossip does not close the lag."""
        while True:
            await anyio.sleep(
                LAG_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            )
            name = self._gossip.peer_ahead
            if name is None or not self._gossip.is_behind(
                self._clock.monotonic()
            ):
                continue
            record = self._members.record(name)
            if record is None or not await self._load_from_peer(
                link, record.instance
            ):
                await anyio.sleep(RETRY_DELAY_S)

    async def _load_from_peer(
        self, link: peering.PeerLink, peer: instances.Instance
    ) -> bool:
        """Loads the missing changes or a snapshot from a peer by pages."""
        reader = distribution.SnapshotReader(self._replica.revision)
        for _ in range(MAX_SNAPSHOT_PAGES):
            page = await link.fetch_page(peer, reader.next_request())
            if isinstance(page, result.Err):
                return False
            loaded = reader.take(page.ok_value)
            if isinstance(loaded, distribution.ChangeRange):
                self.counters.ranges += 1
                return self._replica.apply_range(
                    loaded.changes, loaded.since, loaded.upto
                )
            if isinstance(loaded, replica.Snapshot):
                self.counters.snapshots += 1
                return loaded.revision > 0 and self._replica.apply_snapshot(
                    loaded
                )
            if loaded is False:
                return False
        return False

    def _apply(self, batch: store_contract.WatchBatch, since: int) -> None:
        """Applies a batch, of several changes to a key only the last."""
        latest_by_key = {entry.key: entry for entry in batch.entries}
        changes = [
            self._decode_entry(entry, batch.revision)
            for entry in latest_by_key.values()
        ]
        self._replica.apply_range(
            [change for change in changes if change is not None],
            since,
            batch.revision,
        )

    def _decode_entry(
        self, entry: store_contract.Entry, revision: int
    ) -> configuration.Versioned | None:
        """Decodes an entry; logs an error and returns None if that fails.

        Returns None also for a key of another form. A deletion has no version
        of its own. It gets the batch's revision, which is not below the
        deletion's and is below that of every later change.
        """
        key = codec.parse_key(entry.key, self._key_prefix)
        if key is None:
            return None
        kind, name = key
        if entry.version == store_contract.ABSENT:
            return configuration.Versioned(kind, name, revision, None)
        value = codec.decode(kind, name, entry.value)
        if isinstance(value, result.Err):
            self.counters.unreadable += 1
            loguru.logger.error(
                "can't decode a configuration object: {}", value.err_value
            )
            return None
        return configuration.Versioned(
            kind, name, entry.version, value.ok_value
        )
