"""Keeps an instance's configuration up with the store and its peers.

A few instances of each data centre, the watchers, follow the store; the rest
hear from them. A watch lives for a bounded time and is then opened anew; one
that says nothing for longer than its heartbeat is given up; and every while a
watcher asks on a new session for what changed, which catches a watch that
beats but tells nothing. While the store is away the last configuration stays
in force. A newcomer loads the store's scan or, failing that, a peer's.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio
import attrs
import loguru
import result

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
WATCH_LIFETIME_S = 120.0
POLL_INTERVAL_S = 15.0
ROLE_CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 2.0
LAG_CHECK_INTERVAL_S = 0.2
MAX_SNAPSHOT_PAGES = 2000
CLOSE_TIMEOUT_S = 2.0


@attrs.define
class FollowerCounters:
    """What happened.

    Attributes:
        watches: Watches opened.
        silent: Watches given up for silence.
        polls: Questions on a new session for what changed.
        caught: Polls that found what the watch had not told.
        scans: Loads of everything from the store.
        snapshots: Loads of everything from a peer.
        ranges: Loads from a peer of changes that its envelopes did not hold.
        unreadable: Objects in the store that could not be read.
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
    """Brings changes into a replica until cancelled."""

    def __init__(
        self,
        connect: Callable[[], store_contract.Store],
        held: replica.ConfigurationReplica,
        told: distribution.ConfigurationGossip,
        members: membership.Membership,
        clock: clock_contract.Clock,
        rng: random.Random,
        prefix: str = codec.DEFAULT_PREFIX,
    ) -> None:
        """Takes what it follows and what it fills.

        Args:
            connect: Opens a new session with the store.
            held: The copy to fill.
            told: What peers tell; knows when this copy lags.
            members: Who lives; decides who watches.
            clock: Time.
            rng: Jitter.
            prefix: Put before every key.
        """
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
        """Waits until a first configuration is in force."""
        await self._loaded.wait()

    async def run(self, link: peering.PeerLink) -> None:
        """Follows until cancelled.

        Args:
            link: Loads a peer's snapshot.
        """
        await self._load_initial(link)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_loop)
            group.start_soon(self._poll_loop)
            group.start_soon(self._lag_loop, link)

    async def _load_initial(self, link: peering.PeerLink) -> None:
        """Loads everything once, from the store or else from a peer."""
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
        """Returns the other instances, those near first, in random order."""
        me = self._members.me.instance.instance_id
        peers = [p for p in self._members.live() if p.instance_id != me]
        self._rng.shuffle(peers)
        return sorted(
            peers, key=lambda peer: peer.data_centre != local_data_centre
        )

    @contextlib.asynccontextmanager
    async def _session(self) -> AsyncIterator[store_contract.Store]:
        """Opens a session and closes it, also if cancelled."""
        store = self._connect()
        try:
            yield store
        finally:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await store.close()

    async def _scan_once(self) -> bool:
        """Loads everything from the store on a session of its own."""
        async with self._session() as store:
            return await self._scan(store)

    async def _scan(self, store: store_contract.Store) -> bool:
        """Loads everything from the store."""
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
        """Watches while this instance is a watcher."""
        pause_s = ROLE_CHECK_INTERVAL_S
        while True:
            if self.is_watcher:
                async with self._session() as store:
                    has_answered = await self._watch_once(store)
                pause_s = ROLE_CHECK_INTERVAL_S if has_answered else pause_s * 2
            pause_s = min(pause_s, MAX_RETRY_DELAY_S)
            await anyio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _watch_once(self, store: store_contract.Store) -> bool:
        """Follows one watch until it ends, falls silent or grows old.

        Returns:
            Whether it told anything, be it that nothing changed.
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
        """Waits for a batch; None if the watch has fallen silent or ended."""
        with anyio.move_on_after(WATCH_IDLE_TIMEOUT_S):
            with contextlib.suppress(StopAsyncIteration):
                return await anext(batches)
            return None
        self.counters.idle_watches += 1
        return None

    async def _rescan_if_compacted(
        self, store: store_contract.Store, fault: store_contract.StoreFault
    ) -> None:
        """Loads everything where the store no longer holds the changes."""
        if fault.kind is store_contract.StoreFaultKind.COMPACTED:
            await self._scan(store)

    async def _poll_loop(self) -> None:
        """Asks on a new session for what the watch may have missed."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if self.is_watcher:
                async with self._session() as store:
                    await self._poll(store)

    async def _poll(self, store: store_contract.Store) -> None:
        """Takes the first batch of a short watch."""
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
        """Catches up by a snapshot where the peers' changes don't suffice."""
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
        """Loads what is missing, or everything, from a peer by pages."""
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
        """Applies a batch; of several changes to a key only the last."""
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
        """Reads an entry; None, and a log line, if that fails.

        A deletion carries no version of its own; the batch's revision lies
        past it and before every later change.
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
            loguru.logger.error("configuration unread: {}", value.err_value)
            return None
        return configuration.Versioned(
            kind, name, entry.version, value.ok_value
        )
