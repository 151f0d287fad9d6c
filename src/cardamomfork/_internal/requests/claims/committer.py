"""Group commit of claim operations, by compare-and-swap on their records.

All operations that arrive between two writes of a record are committed with
one write. Two writes of a record are at least `interval_s` apart, so the number
of writes depends on the number of records and on time, not on the number of
requests. Correctness rests only on the store's compare-and-swap: concurrent
writers of a record are safe, but slow.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs

from cardamomfork._internal import supervision
from cardamomfork._internal.requests.claims import record_store
from cardamomfork._internal.requests.claims import records

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import store as store_contract

MAX_COMMIT_TRIES = 8
MAX_STORE_FAULTS = 3
MAX_BATCH_OPERATIONS = 256
MAX_PENDING_OPERATIONS = 20_000
CONTENTION_WINDOW_S = 5.0
"""After a conflict, records are read before each write for this long."""
IMMEDIATE_RETRIES = 2
"""Number of retries of a commit without a delay."""
MAX_BACKOFF_S = 0.4
MAX_INTERVAL_S = 0.5
TASK_NAME = "claim commits"
INTERVAL_GROWTH = 1.5
INTERVAL_DECAY = 0.97


@attrs.frozen
class CommitTiming:
    """Delays of group commits.

    Attributes:
        interval_s: Minimum time between two writes of one record.
        settle_linger_s: Maximum time for which an outcome waits to be written
            together with a claim.
        conflict_backoff_s: Initial maximum of the random delay after a
            conflict; doubles with each further conflict.
        fault_backoff_s: Delay before outcomes are retried after a failed
            commit.
    """

    interval_s: float = 0.02
    settle_linger_s: float = 0.05
    conflict_backoff_s: float = 0.05
    fault_backoff_s: float = 1.0


@attrs.define(eq=False)
class _PendingOperation:
    """An operation that waits for its commit.

    Attributes:
        operation: The operation.
        due_at: Monotonic time at which it is to be written.
        expires_at: Monotonic time after which it is dropped.
        done: Set once the operation is committed, has failed or has expired.
        operation_result: Its result; `UNAVAILABLE` until it is known.
    """

    operation: records.AnyOperation
    due_at: float
    expires_at: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    operation_result: records.OperationResult = records.UNAVAILABLE

    def resolve(self, operation_result: records.OperationResult) -> None:
        """Sets the result and wakes the waiting caller."""
        self.operation_result = operation_result
        self.done.set()

    @property
    def is_claim(self) -> bool:
        """Whether it is a claim, on which a call waits before it is sent."""
        return isinstance(self.operation, records.ClaimOperation)


@attrs.define(eq=False)
class _RecordQueue:
    """Operations that wait to be committed to one record."""

    pending: list[_PendingOperation] = attrs.field(factory=list)
    operation_added: anyio.Event = attrs.field(factory=anyio.Event)
    last_write_at: float = float("-inf")
    has_worker: bool = False


class GroupCommitter:
    """Commits operations to claim records; `run` must be running."""

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        rng: random.Random,
        retention_s: float,
        pace: CommitTiming = CommitTiming(),
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the committer.

        Args:
            store: The platform's store.
            clock: Clock, of which only monotonic time is used.
            rng: Random generator for backoff jitter.
            retention_s: Minimum lifetime of a record, in seconds.
            pace: Delays of the commits.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._records = record_store.RecordStore(store, clock, retention_s)
        self._clock = clock
        self._rng = rng
        self._timing = pace
        self._queues: OrderedDict[str, _RecordQueue] = OrderedDict()
        self._interval_s = pace.interval_s
        self._contended_until = float("-inf")
        self._waiting_count = 0
        self._drained = anyio.Event()
        self._drained.set()
        self._task_group: anyio.abc.TaskGroup | None = None
        self._has_started = False
        self.counters = self._records.counters

    @property
    def waiting(self) -> int:
        """Number of operations that wait for their commit."""
        return self._waiting_count

    def describe(self) -> list[dict[str, Any]]:
        """Returns a row for each record with waiting operations."""
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
        """Commits submitted operations until it is cancelled.

        After a failure it may run again; it then goes on with the operations
        that wait. Operations are accepted between the runs too.
        """
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self._has_started = True
            for record, queue in self._queues.items():
                if queue.pending:
                    self._start_worker(record, queue)
            task_status.started()
            try:
                await anyio.sleep_forever()
            finally:
                self._task_group = None

    async def submit(
        self,
        record: str,
        operation: records.AnyOperation,
        wait_s: float,
        keep_s: float = 0.0,
    ) -> records.OperationResult:
        """Submits an operation and waits for its commit.

        Args:
            record: Store key of the record.
            operation: The operation.
            wait_s: Maximum time to wait, in seconds.
            keep_s: Time, in seconds, for which the operation is retried even
                if this call has returned.

        Returns:
            The result, or `UNAVAILABLE` if it is not known in time. In that
            case the operation may have been committed or may yet be.
        """
        if (
            not self._has_started
            or self._waiting_count >= MAX_PENDING_OPERATIONS
        ):
            return records.UNAVAILABLE
        pending = self._enqueue(record, operation, max(wait_s, keep_s))
        with anyio.move_on_after(wait_s):
            await pending.done.wait()
        return pending.operation_result

    def submit_later(
        self, record: str, operation: records.AnyOperation, keep_s: float
    ) -> bool:
        """Submits an operation without waiting for its commit.

        Returns False if it is rejected: too many operations wait, or `run` has
        not been called.
        """
        if (
            not self._has_started
            or self._waiting_count >= MAX_PENDING_OPERATIONS
        ):
            return False
        self._enqueue(record, operation, keep_s)
        return True

    async def drain(self) -> None:
        """Waits until no operation is pending; the caller sets a time limit."""
        await self._drained.wait()

    def _enqueue(
        self, record: str, operation: records.AnyOperation, keep_s: float
    ) -> _PendingOperation:
        """Queues an operation and wakes or starts the record's worker."""
        now = self._clock.monotonic()
        is_claim = isinstance(operation, records.ClaimOperation)
        linger_s = 0.0 if is_claim else self._timing.settle_linger_s
        pending = _PendingOperation(operation, now + linger_s, now + keep_s)
        queue = self._queues.setdefault(record, _RecordQueue())
        self._queues.move_to_end(record)
        queue.pending.append(pending)
        self._waiting_count += 1
        if self._drained.is_set():
            self._drained = anyio.Event()
        self.counters.operations += 1
        queue.operation_added.set()
        self._start_worker(record, queue)
        return pending

    def _start_worker(self, record: str, queue: _RecordQueue) -> None:
        """Starts a record's worker unless it has one."""
        if not queue.has_worker and self._task_group is not None:
            queue.has_worker = True
            self._task_group.start_soon(self._run_worker, record, queue)

    async def _run_worker(self, record: str, queue: _RecordQueue) -> None:
        """Commits a record's operations until its queue is empty."""
        try:
            while queue.pending:
                await self._wait_until_due(queue)
                await self._commit_batch(record, queue)
        finally:
            queue.has_worker = False
            self._evict_idle_queues()

    async def _commit_batch(self, record: str, queue: _RecordQueue) -> None:
        """Commits one batch; keeps its operations that have no result yet."""
        batch = queue.pending[:MAX_BATCH_OPERATIONS]
        del queue.pending[: len(batch)]
        postponed = batch
        try:
            postponed = await self._commit(record, batch)
        except Exception as error:  # noqa: BLE001  # Any failure is contained.
            self._supervisor.record_failure(TASK_NAME, error)
            postponed = self._postpone(_without_result(batch))
        except BaseException:
            # A restarted `run` goes on with them.
            postponed = _without_result(batch)
            raise
        finally:
            queue.last_write_at = self._clock.monotonic()
            queue.pending[:0] = postponed
            self._waiting_count -= len(batch) - len(postponed)
            if not self._waiting_count:
                self._drained.set()

    def _evict_idle_queues(self) -> None:
        """Removes the oldest idle queues over a limit.

        An idle queue only holds the time of its record's last write. There are
        at most `MAX_CACHED_RECORDS` queues, plus those that are in use.
        """
        excess = len(self._queues) - record_store.MAX_CACHED_RECORDS
        idle = [
            record
            for record, queue in self._queues.items()
            if not queue.has_worker and not queue.pending
        ]
        for record in idle[: max(excess, 0)]:
            del self._queues[record]

    async def _wait_until_due(self, queue: _RecordQueue) -> None:
        """Waits until the record's next write is due."""
        while True:
            now = self._clock.monotonic()
            due_at = min(pending.due_at for pending in queue.pending)
            due_at = max(due_at, queue.last_write_at + self._interval_s)
            if due_at <= now:
                return
            queue.operation_added = anyio.Event()
            with anyio.move_on_after(due_at - now):
                await queue.operation_added.wait()

    async def _commit(
        self, record: str, batch: list[_PendingOperation]
    ) -> list[_PendingOperation]:
        """Commits a batch; returns the operations to retry later."""
        faults = 0
        for tries in range(MAX_COMMIT_TRIES):
            now = self._clock.monotonic()
            for pending in [p for p in batch if p.expires_at <= now]:
                pending.done.set()
            batch = [p for p in batch if p.expires_at > now]
            if not batch:
                return []
            results = await self._try_commit(record, batch)
            if not isinstance(results, record_store.RetryReason):
                if tries == 0:
                    self._shorten_interval()
                for pending, operation_result in zip(
                    batch, results, strict=True
                ):
                    pending.resolve(operation_result)
                return []
            faults += results is not record_store.RetryReason.CONFLICT
            if (
                results is record_store.RetryReason.DOWN
                or faults >= MAX_STORE_FAULTS
            ):
                break
            await self._back_off(tries)
        return self._postpone(batch)

    def _shorten_interval(self) -> None:
        """Shortens the write interval after a commit without a conflict."""
        self._interval_s = max(
            self._interval_s * INTERVAL_DECAY, self._timing.interval_s
        )

    async def _back_off(self, tries: int) -> None:
        """Waits before a retry, after a conflict or a lost answer.

        For `CONTENTION_WINDOW_S`, records are read before each write, since
        another instance writes them too. A further conflict in that time
        lengthens the write interval.
        """
        now = self._clock.monotonic()
        if now < self._contended_until:
            self._interval_s = min(
                self._interval_s * INTERVAL_GROWTH, MAX_INTERVAL_S
            )
        self._contended_until = now + CONTENTION_WINDOW_S
        exponent = tries - IMMEDIATE_RETRIES
        if exponent >= 0:
            max_delay_s = self._timing.conflict_backoff_s * 2.0**exponent
            await anyio.sleep(
                self._rng.random() * min(max_delay_s, MAX_BACKOFF_S)
            )

    def _postpone(
        self, batch: list[_PendingOperation]
    ) -> list[_PendingOperation]:
        """Fails the claims of a batch; returns the rest for a later retry."""
        retry_at = self._clock.monotonic() + self._timing.fault_backoff_s
        postponed = []
        for pending in batch:
            if pending.is_claim:
                pending.resolve(records.UNAVAILABLE)
            else:
                pending.due_at = retry_at
                postponed.append(pending)
        return postponed

    async def _try_commit(
        self, record: str, batch: Sequence[_PendingOperation]
    ) -> tuple[records.OperationResult, ...] | record_store.RetryReason:
        """Tries once to commit a batch; returns results or a retry reason.

        If the cached record would leave the batch without effect, and a later
        write could change that, the record is read again first.
        """
        operations = [pending.operation for pending in batch]
        cached: record_store.CachedRecord | None = self._records.cached(record)
        is_contended = self._clock.monotonic() < self._contended_until
        if is_contended:
            cached = await self._records.refresh(record)
        applied = _apply(cached, operations)
        if not is_contended and not applied.changed and not applied.is_final:
            cached = await self._records.refresh(record)
            applied = _apply(cached, operations)
        if cached is None:
            return record_store.RetryReason.DOWN
        if not applied.changed:
            return applied.results
        retry_reason = await self._records.write(record, cached, applied)
        return applied.results if retry_reason is None else retry_reason


def _without_result(
    batch: Sequence[_PendingOperation],
) -> list[_PendingOperation]:
    """Returns the operations that are neither committed nor failed."""
    return [pending for pending in batch if not pending.done.is_set()]


def _apply(
    cached: record_store.CachedRecord | None,
    operations: Sequence[records.AnyOperation],
) -> records.Applied:
    """Applies operations; they are `UNAVAILABLE` if the record is lost."""
    if cached is None or cached.lost:
        unknown = (records.UNAVAILABLE,) * len(operations)
        return records.Applied({}, unknown, False)
    return records.apply(cached.entries, operations)
