"""Priority queue with fair queueing between accounts.

A queue holds the requests of one size class of one pool. More urgent requests
go first. Within an urgency, accounts share by start-time fair queueing: each
started request advances the virtual time of its account by its predicted
work, and the account with the earliest virtual time is next. Within an
account, the earliest deadline is next.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.routing import prefixes

MAX_FINISHED_FLOWS = 10_000
"""Most flows whose virtual finish time is kept at each urgency."""
MIN_STALE_TO_COMPACT = 64


@attrs.define(eq=False)
class Entry:
    """A queued request.

    Attributes:
        request: The request.
        avoid: Targets that it must not run on.
        size_class: Size class of its whole prompt.
        work_s: Predicted prefill time of its whole prompt, in seconds.
        answer_s: Predicted time from first to last token, in seconds.
        latest_start: Time after which it can no longer end in time.
        match: Longest prefix of its prompt that engines hold.
        urgency: RFC 9218 urgency, raised as its deadline approaches.
        queued_at: When it was queued.
        is_class_exempt: Whether engines outside its class could run it.
        is_waiting: Whether it is still in the queue.
        recheck_at: Time before which no engine is selected for it again.
    """

    request: requests.Request
    avoid: frozenset[identifiers.TargetId]
    size_class: int
    work_s: float
    answer_s: float
    latest_start: float
    match: prefixes.Match
    urgency: int
    queued_at: float
    is_class_exempt: bool = False
    is_waiting: bool = True
    recheck_at: float = 0.0

    @property
    def flow_key(self) -> tuple[str, frozenset[identifiers.TargetId]]:
        """Key of its flow: the account and the avoided targets.

        Retries avoid targets, so they have flows of their own and never delay
        first attempts.
        """
        return self.request.account, self.avoid

    def response_ratio(self, now: float) -> float:
        """Returns the ratio of time waited plus work to work, as in HRRN."""
        return (now - self.queued_at + self.work_s) / self.work_s


@attrs.define(eq=False)
class _Flow:
    """One account's requests of one urgency, earliest deadline first.

    Attributes:
        start: Virtual start time of the next request.
        order_number: Number of its valid item in the heap of flows; items
            with other numbers are stale.
        heap: Its requests, including removed ones until they are dropped.
    """

    start: float
    order_number: int = 0
    heap: list[tuple[float, int, Entry]] = attrs.field(factory=list)


class _UrgencyLevel:
    """The requests of one urgency."""

    def __init__(self, urgency: int) -> None:
        """Initializes an empty level."""
        self.urgency = urgency
        self.count = 0
        self.work_s = 0.0
        self._virtual_time = 0.0
        self._flows: dict[object, _Flow] = {}
        self._flow_order: list[tuple[float, int, object]] = []
        self._finish_times: collections.OrderedDict[object, float] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        self._sequence += 1
        key = entry.flow_key
        flow = self._flows.get(key)
        if flow is None:
            start = max(self._finish_times.get(key, 0.0), self._virtual_time)
            flow = self._flows[key] = _Flow(start)
            self._schedule_flow(flow, key)
        item = (entry.request.deadline, self._sequence, entry)
        heapq.heappush(flow.heap, item)
        self.count += 1
        self.work_s += entry.work_s

    def remove(self, entry: Entry) -> None:
        """Uncounts a request; its heap item is dropped later."""
        self.count -= 1
        self.work_s = max(self.work_s - entry.work_s, 0.0)

    def charge(self, entry: Entry) -> None:
        """Advances the flow's virtual time by a request that starts."""
        key = entry.flow_key
        flow = self._flows.get(key)
        if flow is None:
            return
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += entry.work_s
        self._schedule_flow(flow, key)
        self._finish_times[key] = flow.start
        self._finish_times.move_to_end(key)
        if len(self._finish_times) > MAX_FINISHED_FLOWS:
            self._finish_times.popitem(last=False)

    def heads(self, limit: int) -> list[Entry]:
        """Returns the next request of each of the first flows."""
        found: list[Entry] = []
        popped: list[tuple[float, int, object]] = []
        while self._flow_order and len(found) < limit:
            item = heapq.heappop(self._flow_order)
            flow = self._flows.get(item[2])
            if flow is None or flow.order_number != item[1]:
                continue
            head = self._head(flow)
            if head is None:
                del self._flows[item[2]]
                continue
            popped.append(item)
            found.append(head)
        for item in popped:
            heapq.heappush(self._flow_order, item)
        return found

    def first(self) -> Entry | None:
        """Returns the next request of the first flow, or None."""
        while self._flow_order:
            _, order_number, key = self._flow_order[0]
            flow = self._flows.get(key)
            if flow is not None and flow.order_number == order_number:
                head = self._head(flow)
                if head is not None:
                    return head
                del self._flows[key]
            heapq.heappop(self._flow_order)
        return None

    def compact(self) -> None:
        """Drops the heap items of removed requests."""
        for flow in self._flows.values():
            flow.heap = [
                item for item in flow.heap if self._is_current(item[2])
            ]
            heapq.heapify(flow.heap)

    def _schedule_flow(self, flow: _Flow, key: object) -> None:
        """Adds a flow to the heap of flows; its earlier item gets stale."""
        self._sequence += 1
        flow.order_number = self._sequence
        heapq.heappush(self._flow_order, (flow.start, flow.order_number, key))

    def _head(self, flow: _Flow) -> Entry | None:
        """Returns a flow's next request, or None."""
        heap = flow.heap
        while heap and not self._is_current(heap[0][2]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _is_current(self, entry: Entry) -> bool:
        """Returns whether a request is still queued at this urgency."""
        return entry.is_waiting and entry.urgency == self.urgency


@attrs.define
class QueuePause:
    """A period in which a queue is not checked.

    Attributes:
        until: End of the period.
        freed: The pool's count of freed engines when the period began; the
            period ends early once the count differs. None if a freed engine
            doesn't end it, because all requests of the queue have been tried,
            or because their prompts are so long that the period is negligible.
    """

    until: float = 0.0
    freed: int | None = None

    def is_active(self, now: float, freed: int) -> bool:
        """Returns whether the pause is in effect."""
        return now < self.until and self.freed in (None, freed)


class WaitingQueue:
    """The queued requests of one size class of a pool."""

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._levels: dict[int, _UrgencyLevel] = {}
        self._stale_count = 0
        self.count = 0
        self.class_exempt_count = 0
        """Queued requests that engines outside their class could run."""
        self.pause = QueuePause()
        """Pause after no engine was found for its first requests."""

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        self._level(entry.urgency).push(entry)
        self.count += 1
        self.class_exempt_count += entry.is_class_exempt
        self.pause.until = 0.0

    def remove(self, entry: Entry, *, served: bool) -> None:
        """Removes a request.

        Args:
            entry: The request; it must be queued.
            served: Whether it starts now, so that its account is charged.
        """
        exceptions.check_invariant(
            entry.is_waiting,
            "a request leaves the queue once",
            entry.request.request_id,
        )
        level = self._levels[entry.urgency]
        if served:
            level.charge(entry)
        entry.is_waiting = False
        level.remove(entry)
        self.count -= 1
        self.class_exempt_count -= entry.is_class_exempt
        self._compact_if_stale()
        exceptions.check_invariant(
            level.count >= 0 and self.count >= level.count,
            "queue counts add up",
            self.count,
        )

    def raise_urgency(self, entry: Entry, urgency: int) -> None:
        """Moves a queued request to a more urgent level."""
        self._levels[entry.urgency].remove(entry)
        entry.urgency = urgency
        self._level(urgency).push(entry)
        self._compact_if_stale()

    def first(self) -> Entry | None:
        """Returns the next request, or None."""
        if not self.count:
            return None
        urgency = min(u for u, v in self._levels.items() if v.count)
        return self._levels[urgency].first()

    def heads(self, limit: int) -> Iterator[Entry]:
        """Yields up to `limit` next requests, most urgent first."""
        remaining = limit
        for urgency in sorted(self._levels):
            level = self._levels[urgency]
            if level.count == 0:
                continue
            found = level.heads(remaining)
            yield from found
            remaining -= len(found)
            if remaining <= 0:
                return

    def work_s(self, urgency: int) -> float:
        """Returns the queued work of at least that urgency, in seconds."""
        return sum(
            level.work_s
            for level in self._levels.values()
            if level.urgency <= urgency
        )

    def _level(self, urgency: int) -> _UrgencyLevel:
        """Returns the level of an urgency, created if it is missing."""
        level = self._levels.get(urgency)
        if level is None:
            level = self._levels[urgency] = _UrgencyLevel(urgency)
        return level

    def _compact_if_stale(self) -> None:
        """Compacts the heaps once most of their items are stale."""
        self._stale_count += 1
        if self._stale_count > max(MIN_STALE_TO_COMPACT, self.count):
            self._stale_count = 0
            for level in self._levels.values():
                level.compact()
