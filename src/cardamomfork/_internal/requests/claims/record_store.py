"""Reads, writes and caches claim records in the store.

The latest known version of each record is cached, so that a write usually
needs no read before it.
"""

from __future__ import annotations

from collections import OrderedDict
import enum
from typing import TYPE_CHECKING

import attrs
from loguru import logger
import result

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.requests.claims import records

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomfork._internal.contracts import clock as clock_contract

MAX_CACHED_RECORDS = 64
RETENTION_LEASE_REUSE_S = 60.0
"""Time for which new records are attached to the same lease."""


@attrs.define
class CommitCounters:
    """Counts of store calls and operations.

    Attributes:
        writes: Compare-and-swap writes sent.
        reads: Reads sent.
        conflicts: Writes that failed because of a concurrent write.
        faults: Store calls without an answer.
        operations: Operations submitted.
        vanished: Records that vanished before the end of their retention, or
            cannot be decoded.
    """

    writes: int = 0
    reads: int = 0
    conflicts: int = 0
    faults: int = 0
    operations: int = 0
    vanished: int = 0


class RetryReason(enum.Enum):
    """Why a batch was not committed and may be retried."""

    CONFLICT = "conflict"
    LOST_ANSWER = "lost_answer"
    DOWN = "down"


@attrs.define(eq=False)
class CachedRecord:
    """Latest known state of a record.

    Attributes:
        version: Version in the store; `ABSENT` if the record does not exist.
        lease: Lease that the record is attached to, or 0.
        entries: Claims by digest.
        lost: Whether the record vanished before the end of its retention, or
            cannot be decoded.
    """

    version: int = store_contract.ABSENT
    lease: int = 0
    entries: Mapping[bytes, records.ClaimEntry] = attrs.field(factory=dict)
    lost: bool = False


class RecordStore:
    """Reads records and writes them by compare-and-swap."""

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        retention_s: float,
    ) -> None:
        """Initializes the record store with an empty cache.

        Args:
            store: The platform's store.
            clock: Clock, of which only monotonic time is used.
            retention_s: Minimum lifetime of a record, in seconds.
        """
        self._store = store
        self._clock = clock
        self._retention_s = retention_s
        self._cache: OrderedDict[str, CachedRecord] = OrderedDict()
        self._lease = store_contract.Lease(0, 0.0)
        self._lease_reusable_until = float("-inf")
        self.counters = CommitCounters()

    async def write(
        self, record: str, cached: CachedRecord, applied: records.Applied
    ) -> RetryReason | None:
        """Writes a record; returns None on success.

        After a lost answer, the same write can be retried safely. Either the
        retry takes effect, and the lost write then never can, or it fails with
        a conflict and returns the current record.
        """
        lease = cached.lease or await self._retention_lease()
        if lease is None:
            return RetryReason.DOWN
        self.counters.writes += 1
        write_result = await self._store.put(
            record,
            records.encode(applied.entries),
            expected=cached.version,
            lease=lease,
        )
        if isinstance(write_result, result.Ok):
            entry = write_result.ok_value
            self._cache_record(
                record, CachedRecord(entry.version, lease, applied.entries)
            )
            return None
        error = write_result.err_value
        if isinstance(error, store_contract.CompareFailed):
            self.counters.conflicts += 1
            self._update_cache(record, error.current, cached)
            return RetryReason.CONFLICT
        self.counters.faults += 1
        if error.kind is store_contract.StoreFaultKind.LEASE_GONE:
            self._lease_reusable_until = float("-inf")
            return RetryReason.LOST_ANSWER
        if error.kind is store_contract.StoreFaultKind.INDETERMINATE:
            return RetryReason.LOST_ANSWER
        return RetryReason.DOWN

    async def refresh(self, record: str) -> CachedRecord | None:
        """Reads a record into the cache; None if the store does not answer."""
        self.counters.reads += 1
        before = self.cached(record)
        read = await self._store.get(record)
        if isinstance(read, result.Err):
            self.counters.faults += 1
            return None
        return self._update_cache(record, read.ok_value, before)

    def _update_cache(
        self,
        record: str,
        entry: store_contract.Entry | None,
        before: CachedRecord,
    ) -> CachedRecord:
        """Updates the cache from the store's answer and returns the record.

        Args:
            record: Store key of the record.
            entry: Entry in the store, or None if it is absent.
            before: Cached state at the time of the store call.
        """
        if entry is None:
            has_vanished = before.version != store_contract.ABSENT
            cached = CachedRecord(lost=before.lost or has_vanished)
        else:
            cached = self._decode(entry)
        if cached.lost and not before.lost:
            self.counters.vanished += 1
            logger.bind(record=record).error(
                "claim record vanished or cannot be decoded"
            )
        if cached.lost or cached.version >= self.cached(record).version:
            self._cache_record(record, cached)
        return cached

    @staticmethod
    def _decode(entry: store_contract.Entry) -> CachedRecord:
        """Decodes an entry; an undecodable record counts as lost."""
        decoded = records.decode(entry.value)
        if isinstance(decoded, result.Err):
            return CachedRecord(entry.version, entry.lease, lost=True)
        return CachedRecord(entry.version, entry.lease, decoded.ok_value)

    def cached(self, record: str) -> CachedRecord:
        """Returns the cached record; one not in the cache counts as absent."""
        return self._cache.get(record) or CachedRecord()

    def _cache_record(self, record: str, cached: CachedRecord) -> None:
        """Caches a record; evicts the least recently updated one if needed."""
        bounded_tables.put_newest(
            self._cache, record, cached, MAX_CACHED_RECORDS
        )

    async def _retention_lease(self) -> int | None:
        """Returns the lease for new records; None if it cannot be granted."""
        now = self._clock.monotonic()
        if now < self._lease_reusable_until:
            return self._lease.lease_id
        lease_result = await self._store.grant_lease(
            self._retention_s + RETENTION_LEASE_REUSE_S
        )
        if isinstance(lease_result, result.Err):
            self.counters.faults += 1
            return None
        self._lease = lease_result.ok_value
        self._lease_reusable_until = now + RETENTION_LEASE_REUSE_S
        return self._lease.lease_id
