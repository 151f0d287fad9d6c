"""Group commits: one compare-and-swap for all that came in meanwhile.

Writes to one record follow each other by at least `interval_s`, so their
number grows with records and time and not with requests. Whoever writes, the
store's compare-and-swap decides: two writers of one record are slow and safe.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs

from cardamomfork._internal.requests.claims import record_store
from cardamomfork._internal.requests.claims import records

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import store as store_contract

MAX_TRIES = 8
MAX_FAULTS = 3
MAX_BATCH = 256
MAX_PENDING = 20_000
SHARED_S = 5.0
"""Seconds after a lost race for which records are read before a write."""
PROMPT_TRIES = 2
MAX_BACKOFF_S = 0.4
MAX_INTERVAL_S = 0.5
INTERVAL_GROWTH = 1.5
INTERVAL_DECAY = 0.97


@attrs.frozen
class Pace:
    """How long operations wait for company.

    Attributes:
        interval_s: Least time between two writes of one record.
        settle_linger_s: Longest time an outcome waits for a claim's write.
        conflict_backoff_s: Most time to wait after a lost race; doubles.
        fault_backoff_s: Time after which outcomes are tried again.
    """

    interval_s: float = 0.02
    settle_linger_s: float = 0.05
    conflict_backoff_s: float = 0.05
    fault_backoff_s: float = 1.0


@attrs.define(eq=False)
class _Pending:
    """An operation that waits for its commit."""

    operation: records.AnyOperation
    due: float
    expires: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    verdict: records.OperationResult = records.UNAVAILABLE

    def resolve(self, verdict: records.OperationResult) -> None:
        """Wakes the waiter."""
        self.verdict = verdict
        self.done.set()

    @property
    def is_claim(self) -> bool:
        """Whether somebody waits for it before sending anything."""
        return isinstance(self.operation, records.ClaimOperation)


@attrs.define(eq=False)
class _Queue:
    """Operations for one record."""

    pending: list[_Pending] = attrs.field(factory=list)
    arrived: anyio.Event = attrs.field(factory=anyio.Event)
    last_write: float = float("-inf")
    working: bool = False


class GroupCommitter:
    """Writes records of claims; `run` must be running while it is used."""

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        rng: random.Random,
        retention_s: float,
        pace: Pace = Pace(),
    ) -> None:
        """Starts with nothing cached.

        Args:
            store: The platform's store.
            clock: Its monotonic time is used.
            rng: Source of jitter.
            retention_s: Seconds for which a record must outlive its creation.
            pace: How long operations wait for company.
        """
        self._records = record_store.RecordStore(store, clock, retention_s)
        self._clock = clock
        self._rng = rng
        self._pace = pace
        self._queues: OrderedDict[str, _Queue] = OrderedDict()
        self._interval_s = pace.interval_s
        self._shared_until = float("-inf")
        self._waiting = 0
        self._idle = anyio.Event()
        self._idle.set()
        self._tasks: anyio.abc.TaskGroup | None = None
        self.counters = self._records.counters

    @property
    def waiting(self) -> int:
        """Operations that wait."""
        return self._waiting

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row a record that operations wait for."""
        return [
            {"record": record, "waiting": len(queue.pending)}
            for record, queue in self._queues.items()
            if queue.pending
        ]

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Commits what is submitted, until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def submit(
        self,
        record: str,
        operation: records.AnyOperation,
        wait_s: float,
        keep_s: float = 0.0,
    ) -> records.OperationResult:
        """Applies an operation and waits for its commit.

        Args:
            record: Store key of the record.
            operation: What to apply.
            wait_s: Longest time to wait, in seconds.
            keep_s: Seconds for which it is tried on without a waiter.

        Returns:
            Its result; `UNAVAILABLE` if that is not known in time. The
            operation may then have been, or still be, committed.
        """
        if self._tasks is None or self._waiting >= MAX_PENDING:
            return records.UNAVAILABLE
        pending = self._enqueue(record, operation, max(wait_s, keep_s))
        with anyio.move_on_after(wait_s):
            await pending.done.wait()
        return pending.verdict

    def submit_later(
        self, record: str, operation: records.AnyOperation, keep_s: float
    ) -> bool:
        """Applies an operation without a waiter; False if too many wait."""
        if self._tasks is None or self._waiting >= MAX_PENDING:
            return False
        self._enqueue(record, operation, keep_s)
        return True

    async def drain(self) -> None:
        """Waits until nothing waits; bound it by a time limit."""
        await self._idle.wait()

    def _enqueue(
        self, record: str, operation: records.AnyOperation, keep_s: float
    ) -> _Pending:
        """Queues an operation and wakes the record's worker."""
        now = self._clock.monotonic()
        is_claim = isinstance(operation, records.ClaimOperation)
        linger = 0.0 if is_claim else self._pace.settle_linger_s
        pending = _Pending(operation, now + linger, now + keep_s)
        queue = self._queues.setdefault(record, _Queue())
        self._queues.move_to_end(record)
        queue.pending.append(pending)
        self._waiting += 1
        if self._idle.is_set():
            self._idle = anyio.Event()
        self.counters.operations += 1
        queue.arrived.set()
        if not queue.working and self._tasks is not None:
            queue.working = True
            self._tasks.start_soon(self._work, record, queue)
        return pending

    async def _work(self, record: str, queue: _Queue) -> None:
        """Commits a record's operations until none is left."""
        try:
            while queue.pending:
                await self._wait_for_company(queue)
                batch = queue.pending[:MAX_BATCH]
                del queue.pending[: len(batch)]
                left = await self._commit(record, batch)
                queue.last_write = self._clock.monotonic()
                queue.pending[:0] = left
                self._waiting -= len(batch) - len(left)
                if not self._waiting:
                    self._idle.set()
        finally:
            queue.working = False
            self._forget_idle_queues()

    def _forget_idle_queues(self) -> None:
        """Keeps the times of the last writes of only so many records."""
        excess = len(self._queues) - record_store.MAX_CACHED_RECORDS
        idle = [r for r, q in self._queues.items() if not q.working]
        for record in idle[: max(excess, 0)]:
            del self._queues[record]

    async def _wait_for_company(self, queue: _Queue) -> None:
        """Waits until the record's next write is due."""
        while True:
            now = self._clock.monotonic()
            due = min(pending.due for pending in queue.pending)
            due = max(due, queue.last_write + self._interval_s)
            if due <= now:
                return
            queue.arrived = anyio.Event()
            with anyio.move_on_after(due - now):
                await queue.arrived.wait()

    async def _commit(
        self, record: str, batch: list[_Pending]
    ) -> list[_Pending]:
        """Commits a batch; returns the operations to be tried again later."""
        faults = 0
        for tries in range(MAX_TRIES):
            now = self._clock.monotonic()
            for pending in [p for p in batch if p.expires <= now]:
                pending.done.set()
            batch = [p for p in batch if p.expires > now]
            if not batch:
                return []
            results = await self._try(record, batch)
            if not isinstance(results, record_store.Again):
                if tries == 0:
                    self._speed_up()
                for pending, verdict in zip(batch, results, strict=True):
                    pending.resolve(verdict)
                return []
            faults += results is not record_store.Again.CONFLICT
            if results is record_store.Again.DOWN or faults >= MAX_FAULTS:
                break
            await self._back_off(tries)
        return self._postpone(batch)

    def _speed_up(self) -> None:
        """Writes more often again after a race that was not lost."""
        self._interval_s = max(
            self._interval_s * INTERVAL_DECAY, self._pace.interval_s
        )

    async def _back_off(self, tries: int) -> None:
        """Waits after a lost race or answer.

        Records that others write too are read before each write. A race
        lost in spite of that makes this writer write less often.
        """
        now = self._clock.monotonic()
        if now < self._shared_until:
            self._interval_s = min(
                self._interval_s * INTERVAL_GROWTH, MAX_INTERVAL_S
            )
        self._shared_until = now + SHARED_S
        late = tries - PROMPT_TRIES
        if late >= 0:
            limit = self._pace.conflict_backoff_s * 2.0**late
            await anyio.sleep(self._rng.random() * min(limit, MAX_BACKOFF_S))

    def _postpone(self, batch: list[_Pending]) -> list[_Pending]:
        """Fails the claims of a batch; the rest is tried again later."""
        later = self._clock.monotonic() + self._pace.fault_backoff_s
        kept = []
        for pending in batch:
            if pending.is_claim:
                pending.resolve(records.UNAVAILABLE)
            else:
                pending.due = later
                kept.append(pending)
        return kept

    async def _try(
        self, record: str, batch: Sequence[_Pending]
    ) -> tuple[records.OperationResult, ...] | record_store.Again:
        """Applies a batch once."""
        operations = [pending.operation for pending in batch]
        cached: record_store.Cached | None = self._records.cached(record)
        fresh = self._clock.monotonic() < self._shared_until
        if fresh:
            cached = await self._records.refresh(record)
        applied = _apply(cached, operations)
        if not fresh and not applied.changed and not applied.lasting:
            cached = await self._records.refresh(record)
            applied = _apply(cached, operations)
        if cached is None:
            return record_store.Again.DOWN
        if not applied.changed:
            return applied.results
        failed = await self._records.write(record, cached, applied)
        return applied.results if failed is None else failed


def _apply(
    cached: record_store.Cached | None,
    operations: Sequence[records.AnyOperation],
) -> records.Applied:
    """Applies operations; nothing is known of a record that is lost."""
    if cached is None or cached.lost:
        unknown = (records.UNAVAILABLE,) * len(operations)
        return records.Applied({}, unknown, False)
    return records.apply(cached.entries, operations)
