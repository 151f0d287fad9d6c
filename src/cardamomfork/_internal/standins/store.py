"""An in-memory key-value store with compare-and-swap, leases and watches.

Replaces the platform's store in tests, measurements and the embedded daemon.
Each client accesses a `MemoryStore` through its own `StoreSession`, whose
`StoreFaults` inject faults into that client's calls.
"""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.contracts import store as store_contract

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.contracts import clock as clock_contract

WATCH_HEARTBEAT_S = 2.0
MAX_HISTORY = 10_000
FIRST_LEASE_ID = 10**15
"""Ids of leases may be any whole numbers, also far above the revisions."""


@attrs.define
class StoreFaults:
    """Fault injection switches of one session.

    Attributes:
        down: Calls fail as unavailable and watches end.
        lose_answers: Number of next writes that take effect and whose answers
            are lost.
        delay_s: Duration of each call, in seconds.
        silent_watches: Watches yield nothing, not even heartbeats.
    """

    down: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0
    silent_watches: bool = False


@attrs.define
class StoreCounters:
    """Numbers of calls, in the platform's categories."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


@attrs.define
class _LeaseRecord:
    """A lease, its keys and its expiry time."""

    ttl_s: float
    expires_at: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen
class StoreCopy:
    """A copy of a store's state."""

    entries: dict[str, store_contract.Entry]
    history: tuple[tuple[int, store_contract.Entry], ...]
    leases: dict[int, _LeaseRecord]
    revision: int


class MemoryStore:
    """Entries, change history and leases of the store."""

    def __init__(self, clock: clock_contract.Clock) -> None:
        """Initializes an empty store at revision 0."""
        self._clock = clock
        self._entries: dict[str, store_contract.Entry] = {}
        self._history: list[tuple[int, store_contract.Entry]] = []
        self._leases: dict[int, _LeaseRecord] = {}
        self._revision = 0
        self._era = 0
        self._changed = anyio.Event()
        self.counters = StoreCounters()
        self.open_sessions = 0

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    @property
    def era(self) -> int:
        """Number of times that the store has been restored from a copy."""
        return self._era

    def copy(self) -> StoreCopy:
        """Returns a copy from which the store can be restored."""
        return StoreCopy(
            dict(self._entries),
            tuple(self._history),
            {
                lease_id: attrs.evolve(record, keys=set(record.keys))
                for lease_id, record in self._leases.items()
            },
            self._revision,
        )

    def restore(self, copied: StoreCopy) -> None:
        """Replaces the state by an older copy and wakes the watchers.

        Revisions after that of the copy are given out again.
        """
        now = self._clock.monotonic()
        self._era += 1
        self._entries = dict(copied.entries)
        self._history = list(copied.history)
        self._leases = {
            lease_id: _LeaseRecord(
                record.ttl_s, now + record.ttl_s, set(record.keys)
            )
            for lease_id, record in copied.leases.items()
        }
        self._revision = copied.revision
        self._wake_watchers()

    def read(self, key: str) -> store_contract.Entry | None:
        """Returns a key's entry."""
        self.expire_leases()
        return self._entries.get(key)

    def read_prefix(self, prefix: str) -> store_contract.Scan:
        """Returns all entries under a prefix, in key order."""
        self.expire_leases()
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return store_contract.Scan(
            tuple(self._entries[key] for key in keys), self._revision
        )

    def write(
        self, key: str, value: bytes | None, expected: int, lease: int
    ) -> result.Result[
        store_contract.Entry,
        store_contract.CompareFailed | store_contract.StoreFault,
    ]:
        """Writes a key by compare-and-swap; deletes it if value is None."""
        current = self.read(key)
        version = current.version if current else store_contract.ABSENT
        if version != expected:
            self.counters.conflicts += 1
            return result.Err(store_contract.CompareFailed(key, current))
        if lease and lease not in self._leases:
            return result.Err(
                store_contract.StoreFault(
                    store_contract.StoreFaultKind.LEASE_GONE, key
                )
            )
        return result.Ok(self._apply(key, value, lease))

    def grant(self, ttl_s: float) -> store_contract.Lease:
        """Grants a lease; its id follows a new revision, so ids increase."""
        self._revision += 1
        lease_id = FIRST_LEASE_ID + self._revision
        self._leases[lease_id] = _LeaseRecord(
            ttl_s, self._clock.monotonic() + ttl_s
        )
        return store_contract.Lease(lease_id, ttl_s)

    def renew(self, lease_id: int) -> store_contract.Lease | None:
        """Renews a lease; returns None if it has expired."""
        self.expire_leases()
        record = self._leases.get(lease_id)
        if record is None:
            return None
        record.expires_at = self._clock.monotonic() + record.ttl_s
        return store_contract.Lease(lease_id, record.ttl_s)

    def revoke(self, lease_id: int) -> None:
        """Revokes a lease and deletes its keys."""
        record = self._leases.pop(lease_id, None)
        for key in sorted(record.keys) if record else ():
            self._apply(key, None, 0)

    def expire_leases(self) -> None:
        """Revokes expired leases."""
        now = self._clock.monotonic()
        expired = [k for k, v in self._leases.items() if v.expires_at <= now]
        for lease_id in expired:
            self.revoke(lease_id)

    def changes_after(
        self, prefix: str, revision: int
    ) -> tuple[store_contract.Entry, ...] | None:
        """Returns the changes after a revision; None if it is not held."""
        is_truncated = len(self._history) >= MAX_HISTORY
        if is_truncated and revision < self._history[0][0] - 1:
            return None
        if revision > self._revision:
            return None
        return tuple(
            entry
            for changed_at, entry in self._history
            if changed_at > revision and entry.key.startswith(prefix)
        )

    async def wait_for_change(self, seconds: float) -> None:
        """Waits for the next change, or at most some seconds."""
        with anyio.move_on_after(seconds):
            await self._changed.wait()

    def _apply(
        self, key: str, value: bytes | None, lease: int
    ) -> store_contract.Entry:
        """Applies a change at a new revision and wakes the watchers."""
        self._revision += 1
        old = self._entries.pop(key, None)
        if old and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        if value is None:
            entry = store_contract.Entry(key, b"", store_contract.ABSENT)
        else:
            entry = store_contract.Entry(key, value, self._revision, lease)
            self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._history.append((self._revision, entry))
        del self._history[:-MAX_HISTORY]
        self._wake_watchers()
        return entry

    def _wake_watchers(self) -> None:
        """Wakes all calls that wait for a change."""
        self._changed.set()
        self._changed = anyio.Event()


class StoreSession:
    """One client's session with a `MemoryStore`; implements `Store`."""

    def __init__(self, store: MemoryStore) -> None:
        """Opens a session without faults."""
        self._store = store
        self._closed = False
        self.faults = StoreFaults()
        store.open_sessions += 1

    async def close(self) -> None:
        """Closes the session; closing it again has no effect."""
        self._store.open_sessions -= not self._closed
        self._closed = True

    async def get(
        self, key: str
    ) -> result.Result[store_contract.Entry | None, store_contract.StoreFault]:
        """Reads one key."""
        self._store.counters.reads += 1
        if fault := await self._simulate_call(key):
            return result.Err(fault)
        return result.Ok(self._store.read(key))

    async def scan(
        self, prefix: str
    ) -> result.Result[store_contract.Scan, store_contract.StoreFault]:
        """Reads all keys under a prefix."""
        self._store.counters.reads += 1
        if fault := await self._simulate_call(prefix):
            return result.Err(fault)
        return result.Ok(self._store.read_prefix(prefix))

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[
        store_contract.Entry,
        store_contract.CompareFailed | store_contract.StoreFault,
    ]:
        """Writes a key by compare-and-swap."""
        self._store.counters.writes += 1
        if fault := await self._simulate_call(key):
            return result.Err(fault)
        answer = self._store.write(key, value, expected, lease)
        if fault := self._simulate_lost_answer(key):
            return result.Err(fault)
        return answer

    async def delete(
        self, key: str, *, expected: int
    ) -> result.Result[
        None, store_contract.CompareFailed | store_contract.StoreFault
    ]:
        """Deletes a key by compare-and-swap."""
        self._store.counters.writes += 1
        if fault := await self._simulate_call(key):
            return result.Err(fault)
        answer = self._store.write(key, None, expected, 0)
        if fault := self._simulate_lost_answer(key):
            return result.Err(fault)
        return answer.map(lambda _: None)

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[store_contract.Lease, store_contract.StoreFault]:
        """Grants a new lease."""
        self._store.counters.writes += 1
        if fault := await self._simulate_call("lease"):
            return result.Err(fault)
        lease = self._store.grant(ttl_s)
        if fault := self._simulate_lost_answer("lease"):
            return result.Err(fault)
        return result.Ok(lease)

    async def renew_lease(
        self, lease_id: int
    ) -> result.Result[store_contract.Lease, store_contract.StoreFault]:
        """Renews a lease."""
        self._store.counters.writes += 1
        if fault := await self._simulate_call("lease"):
            return result.Err(fault)
        lease = self._store.renew(lease_id)
        if lease is None:
            return result.Err(
                store_contract.StoreFault(
                    store_contract.StoreFaultKind.LEASE_GONE, "lease"
                )
            )
        if fault := self._simulate_lost_answer("lease"):
            return result.Err(fault)
        return result.Ok(lease)

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store_contract.StoreFault]:
        """Revokes a lease and deletes the keys attached to it."""
        self._store.counters.writes += 1
        if fault := await self._simulate_call("lease"):
            return result.Err(fault)
        self._store.revoke(lease_id)
        if fault := self._simulate_lost_answer("lease"):
            return result.Err(fault)
        return result.Ok(None)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[store_contract.WatchBatch, store_contract.StoreFault]:
        """Returns the changes after a revision; waits until there is one."""
        async with self.watch(prefix, after) as batches:
            with anyio.move_on_after(wait_s):
                async for batch in batches:
                    if isinstance(batch, result.Err) or batch.ok_value.entries:
                        return batch
        return result.Ok(
            store_contract.WatchBatch((), max(after, self._store.revision))
        )

    async def wait_until_restored(self, since: int = 0) -> None:
        """Waits for ever; a session doesn't notice restorations."""
        del since
        await anyio.sleep_forever()

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[
        AsyncIterator[
            result.Result[store_contract.WatchBatch, store_contract.StoreFault]
        ]
    ]:
        """Watches changes under a prefix after a revision."""
        self._store.counters.watches += 1
        yield self._follow(prefix, from_revision)

    async def _follow(
        self, prefix: str, revision: int
    ) -> AsyncIterator[
        result.Result[store_contract.WatchBatch, store_contract.StoreFault]
    ]:
        """Yields batches until the first fault."""
        while True:
            if self.faults.silent_watches:
                await anyio.sleep(math.inf)
            if fault := await self._simulate_call(prefix):
                yield result.Err(fault)
                return
            changes = self._store.changes_after(prefix, revision)
            if changes is None:
                yield result.Err(
                    store_contract.StoreFault(
                        store_contract.StoreFaultKind.COMPACTED, prefix
                    )
                )
                return
            revision = self._store.revision
            yield result.Ok(store_contract.WatchBatch(changes, revision))
            if revision == self._store.revision:
                await self._store.wait_for_change(WATCH_HEARTBEAT_S)

    async def _simulate_call(
        self, key: str
    ) -> store_contract.StoreFault | None:
        """Delays a call; returns a fault if the store is down."""
        await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return store_contract.StoreFault(
                store_contract.StoreFaultKind.UNAVAILABLE, key
            )
        return None

    def _simulate_lost_answer(
        self, key: str
    ) -> store_contract.StoreFault | None:
        """Returns the fault of a lost answer if one is to be injected."""
        if self.faults.lose_answers <= 0:
            return None
        self.faults.lose_answers -= 1
        return store_contract.StoreFault(
            store_contract.StoreFaultKind.INDETERMINATE, key
        )
