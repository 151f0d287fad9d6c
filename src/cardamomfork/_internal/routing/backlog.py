"""The queued requests of all pools, with counts, timers and ageing."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from cardamomfork._internal.models import requests
from cardamomfork._internal.routing import size_classes
from cardamomfork._internal.routing import waiting_queue

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import prefixes

REQUIRED_ANSWER_FRACTION = 0.5
"""Fraction of the expected generation time that must fit the deadline."""
NORMAL_AGE_FRACTION = 0.5
"""Fraction of its longest wait after which a request gets normal urgency."""
INTERACTIVE_AGE_FRACTION = 0.8
"""Fraction of its longest wait after which a request is interactive."""
MIN_STALE_TIMERS = 256
"""Stale timers that are always tolerated before the heap is rebuilt."""


class Backlog:
    """Queued requests, each with its pool and its next timer."""

    def __init__(self) -> None:
        """Initializes an empty backlog."""
        self._entries: dict[identifiers.RequestId, waiting_queue.Entry] = {}
        self._pools: dict[identifiers.RequestId, pools.Pool] = {}
        self._by_account: dict[identifiers.AccountName, int] = {}
        self._timers: list[tuple[float, int, waiting_queue.Entry]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._entries)

    def __contains__(self, request_id: identifiers.RequestId) -> bool:
        """Returns whether a request is queued."""
        return request_id in self._entries

    @property
    def entries(self) -> Iterable[waiting_queue.Entry]:
        """All queued requests."""
        return self._entries.values()

    def entry(
        self, request_id: identifiers.RequestId
    ) -> waiting_queue.Entry | None:
        """Returns a queued request, or None."""
        return self._entries.get(request_id)

    def pool(self, entry: waiting_queue.Entry) -> pools.Pool:
        """Returns the pool that a request is queued for."""
        return self._pools[entry.request.request_id]

    def account_count(self, account: identifiers.AccountName) -> int:
        """Returns the number of queued requests of an account."""
        return self._by_account.get(account, 0)

    def add(
        self, entry: waiting_queue.Entry, pool: pools.Pool, now: float
    ) -> None:
        """Queues an admitted request."""
        request = entry.request
        self._entries[request.request_id] = entry
        self._pools[request.request_id] = pool
        account = request.account
        self._by_account[account] = self._by_account.get(account, 0) + 1
        pool.queues[entry.size_class].push(entry)
        pool.engine_groups.record_work(
            entry.size_class, _engine_time_s(entry, pool), now
        )
        self._set_timer(entry)

    def remove(self, entry: waiting_queue.Entry, *, served: bool) -> None:
        """Removes a request; `served` if it starts now."""
        request = entry.request
        del self._entries[request.request_id]
        pool = self._pools.pop(request.request_id)
        self._by_account[request.account] -= 1
        if not self._by_account[request.account]:
            del self._by_account[request.account]
        pool.queues[entry.size_class].remove(entry, served=served)
        self._drop_stale_timers()

    def next_timer(self) -> float | None:
        """Returns the time of the next timer, or None without timers."""
        while self._timers and not self._timers[0][2].is_waiting:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run_timers(self, now: float) -> list[waiting_queue.Entry]:
        """Runs the timers that are due.

        Raises the urgency of requests that have waited long enough.

        Returns:
            The requests that can no longer end in time.
        """
        late = []
        while self._timers and self._timers[0][0] <= now:
            entry = heapq.heappop(self._timers)[2]
            if not entry.is_waiting:
                continue
            if entry.latest_start <= now:
                late.append(entry)
                continue
            urgency = requests.Urgency.INTERACTIVE
            if entry.urgency > requests.Urgency.NORMAL:
                urgency = requests.Urgency.NORMAL
            queue = self.pool(entry).queues[entry.size_class]
            queue.raise_urgency(entry, urgency)
            self._set_timer(entry)
        return late

    def _set_timer(self, entry: waiting_queue.Entry) -> None:
        """Sets the timer for a request's next ageing step or its expiry."""
        max_wait_s = entry.latest_start - entry.queued_at
        due = entry.latest_start
        if entry.urgency > requests.Urgency.NORMAL:
            due = entry.queued_at + NORMAL_AGE_FRACTION * max_wait_s
        elif entry.urgency > requests.Urgency.INTERACTIVE:
            due = entry.queued_at + INTERACTIVE_AGE_FRACTION * max_wait_s
        heapq.heappush(self._timers, (due, next(self._sequence), entry))

    def _drop_stale_timers(self) -> None:
        """Rebuilds the heap once most timers belong to removed requests."""
        if len(self._timers) <= 2 * len(self._entries) + MIN_STALE_TIMERS:
            return
        self._timers = [t for t in self._timers if t[2].is_waiting]
        heapq.heapify(self._timers)


def make_entry(
    request: requests.Request,
    avoid: frozenset[identifiers.TargetId],
    pool: pools.Pool,
    match: prefixes.Match,
    now: float,
) -> waiting_queue.Entry:
    """Returns the queue entry of a request, with its predicted times."""
    tokens = max(request.prompt_tokens, 1)
    if not request.max_tokens:
        work_s = needed_s = pool.cost_model.call_s
        answer_s = 0.0
        size_class = 0
    else:
        work_s = pool.cost_model.prefill_s(tokens)
        answer_s = pool.cost_model.generation_s(request.max_tokens)
        needed_s = work_s * (1.0 - match.covered_fraction)
        needed_s += answer_s * REQUIRED_ANSWER_FRACTION
        size_class = size_classes.class_of(tokens)
    needs_parts = exceeds_one_engine(request, pool)
    return waiting_queue.Entry(
        request=request,
        avoid=avoid,
        size_class=size_class,
        work_s=work_s,
        answer_s=answer_s,
        latest_start=request.deadline - needed_s,
        match=match,
        urgency=request.urgency,
        queued_at=now,
        is_class_exempt=size_class > 0
        and (needs_parts or match.covered_fraction > 0),
    )


def exceeds_one_engine(request: requests.Request, pool: pools.Pool) -> bool:
    """Returns whether a request needs the memory of several engines."""
    needed_tokens = request.prompt_tokens + request.max_tokens
    return request.max_tokens > 0 and needed_tokens > pool.largest_memory


def _engine_time_s(entry: waiting_queue.Entry, pool: pools.Pool) -> float:
    """Returns the engine time that a request will use, in seconds.

    A long prompt also blocks other requests through the KV memory that it
    occupies until its answer ends, so the time is the larger of the prefill
    time and the total time multiplied by the fraction of memory in use.
    """
    prefill_s = entry.work_s * pool.cost_model.batch_factor(pool.typical_batch)
    memory = max(pool.largest_memory, 1)
    memory_fraction = entry.request.prompt_tokens / memory
    return max(prefill_s, (prefill_s + entry.answer_s) * memory_fraction)
