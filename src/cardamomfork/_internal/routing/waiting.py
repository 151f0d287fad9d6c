"""Requests that wait at the entry: by urgency, fair, then by deadline.

One queue holds one size class of one pool. Inside an urgency, accounts take
turns by virtual time: each request served moves its account's time on by the
work that it is, and the account furthest behind is next. Inside an account
the earliest deadline is next.
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

MAX_REMEMBERED_ACCOUNTS = 10_000
MIN_DEAD_TO_COMPACT = 64


@attrs.define(eq=False)
class Entry:
    """A request that waits.

    Attributes:
        request: The request.
        avoid: Targets that it must not go to.
        size_class: Size class of its whole prompt.
        work_s: Predicted prefill time of its whole prompt, in seconds.
        answer_s: Predicted time from first to last token, in seconds.
        latest_start: Time after which it can no longer end in time.
        match: Prefix that engines hold.
        urgency: RFC 9218 urgency, raised as its deadline comes near.
        is_selective: Whether engines outside its class could take it.
        is_waiting: Whether it is still in the queue.
        queued_at: When it was queued.
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
    is_selective: bool = False
    is_waiting: bool = True
    look_again_at: float = 0.0

    @property
    def turn_key(self) -> tuple[str, frozenset[identifiers.TargetId]]:
        """Whose turn it counts as; a retry never holds up first tries."""
        return self.request.account, self.avoid

    def response_ratio(self, now: float) -> float:
        """Returns time waited and to be served over time to be served."""
        return (now - self.queued_at + self.work_s) / self.work_s


@attrs.define(eq=False)
class _Turn:
    """One account's requests of one urgency, earliest deadline first.

    Attributes:
        start: Virtual time of its next request.
        place: Number of its valid place in the order of turns.
        heap: Its requests.
    """

    start: float
    place: int = 0
    heap: list[tuple[float, int, Entry]] = attrs.field(factory=list)


class _Level:
    """The requests of one urgency."""

    def __init__(self, urgency: int) -> None:
        """Starts empty."""
        self.urgency = urgency
        self.count = 0
        self.work_s = 0.0
        self._time = 0.0
        self._turns: dict[object, _Turn] = {}
        self._order: list[tuple[float, int, object]] = []
        self._finished: collections.OrderedDict[object, float] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        self._sequence += 1
        key = entry.turn_key
        turn = self._turns.get(key)
        if turn is None:
            start = max(self._finished.get(key, 0.0), self._time)
            turn = self._turns[key] = _Turn(start)
            self._queue_turn(turn, key)
        item = (entry.request.deadline, self._sequence, entry)
        heapq.heappush(turn.heap, item)
        self.count += 1
        self.work_s += entry.work_s

    def leave(self, entry: Entry) -> None:
        """Counts a request that left; its place in the heap goes later."""
        self.count -= 1
        self.work_s = max(self.work_s - entry.work_s, 0.0)

    def charge(self, entry: Entry) -> None:
        """Moves the account's time on by a request that was served."""
        key = entry.turn_key
        turn = self._turns.get(key)
        if turn is None:
            return
        self._time = max(self._time, turn.start)
        turn.start += entry.work_s
        self._queue_turn(turn, key)
        self._finished[key] = turn.start
        self._finished.move_to_end(key)
        if len(self._finished) > MAX_REMEMBERED_ACCOUNTS:
            self._finished.popitem(last=False)

    def heads(self, limit: int) -> list[Entry]:
        """Returns the next request of each of the first accounts."""
        found: list[Entry] = []
        taken: list[tuple[float, int, object]] = []
        while self._order and len(found) < limit:
            item = heapq.heappop(self._order)
            turn = self._turns.get(item[2])
            if turn is None or turn.place != item[1]:
                continue
            head = self._head(turn)
            if head is None:
                del self._turns[item[2]]
                continue
            taken.append(item)
            found.append(head)
        for item in taken:
            heapq.heappush(self._order, item)
        return found

    def first(self) -> Entry | None:
        """Returns the next request of the first account, or None."""
        while self._order:
            _, place, key = self._order[0]
            turn = self._turns.get(key)
            if turn is not None and turn.place == place:
                head = self._head(turn)
                if head is not None:
                    return head
                del self._turns[key]
            heapq.heappop(self._order)
        return None

    def compact(self) -> None:
        """Drops the places of requests that have left."""
        for turn in self._turns.values():
            turn.heap = [item for item in turn.heap if self._is_here(item[2])]
            heapq.heapify(turn.heap)

    def _queue_turn(self, turn: _Turn, key: object) -> None:
        """Gives an account's turn its place; an earlier one is void."""
        self._sequence += 1
        turn.place = self._sequence
        heapq.heappush(self._order, (turn.start, turn.place, key))

    def _head(self, turn: _Turn) -> Entry | None:
        """Returns an account's next request, or None."""
        heap = turn.heap
        while heap and not self._is_here(heap[0][2]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def _is_here(self, entry: Entry) -> bool:
        """Returns whether a request still waits at this urgency."""
        return entry.is_waiting and entry.urgency == self.urgency


@attrs.define
class Blocked:
    """A time in which a queue need not be looked at.

    Attributes:
        until: End of the time.
        freed: The pool's count of freed engines at which it ends before;
            None if a freed engine does not end it, because all requests of
            the queue have been tried or are so long that the time is nothing
            to them.
    """

    until: float = 0.0
    freed: int | None = None

    def holds(self, now: float, freed: int) -> bool:
        """Returns whether it still holds."""
        return now < self.until and self.freed in (None, freed)


class WaitingQueue:
    """All that waits of one size class."""

    def __init__(self) -> None:
        """Starts empty."""
        self._levels: dict[int, _Level] = {}
        self._dead = 0
        self.count = 0
        self.selective = 0
        """Requests that engines outside their class could take."""
        self.blocked = Blocked()
        """When its first requests last found no engine."""

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        self._level(entry.urgency).push(entry)
        self.count += 1
        self.selective += entry.is_selective
        self.blocked.until = 0.0

    def take(self, entry: Entry, *, served: bool) -> None:
        """Takes a request out.

        Args:
            entry: The request; it must be waiting.
            served: Whether it starts now, which its account pays for.
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
        level.leave(entry)
        self.count -= 1
        self.selective -= entry.is_selective
        self._bury()
        exceptions.check_invariant(
            level.count >= 0 and self.count >= level.count,
            "queue counts add up",
            self.count,
        )

    def raise_urgency(self, entry: Entry, urgency: int) -> None:
        """Moves a waiting request to a more urgent level."""
        self._levels[entry.urgency].leave(entry)
        entry.urgency = urgency
        self._level(urgency).push(entry)
        self._bury()

    def first(self) -> Entry | None:
        """Returns the request that is next, or None."""
        if not self.count:
            return None
        urgency = min(u for u, v in self._levels.items() if v.count)
        return self._levels[urgency].first()

    def heads(self, limit: int) -> Iterator[Entry]:
        """Yields the requests that are next, most urgent first."""
        left = limit
        for urgency in sorted(self._levels):
            level = self._levels[urgency]
            if level.count == 0:
                continue
            found = level.heads(left)
            yield from found
            left -= len(found)
            if left <= 0:
                return

    def work_s(self, urgency: int) -> float:
        """Returns the prefill time that waits at that urgency or before."""
        return sum(
            level.work_s
            for level in self._levels.values()
            if level.urgency <= urgency
        )

    def _level(self, urgency: int) -> _Level:
        """Returns the level of an urgency."""
        level = self._levels.get(urgency)
        if level is None:
            level = self._levels[urgency] = _Level(urgency)
        return level

    def _bury(self) -> None:
        """Clears the heaps once most of their places are dead."""
        self._dead += 1
        if self._dead > max(MIN_DEAD_TO_COMPACT, self.count):
            self._dead = 0
            for level in self._levels.values():
                level.compact()
