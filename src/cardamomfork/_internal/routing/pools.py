"""The engines that serve one service and model, found without a scan."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from cardamomfork._internal.routing import costs
from cardamomfork._internal.routing import split
from cardamomfork._internal.routing import waiting
from cardamomfork._internal.targets import health

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    import random

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import views

WEIGH_PERIOD_S = 2.0
TYPICAL_TOKENS = 16_000.0
_BORROWING_ORDER = (*range(1, split.CLASSES - 1), 0, split.CLASSES - 1)


class TargetSet:
    """Targets with constant-time add, discard and random choice."""

    def __init__(self) -> None:
        """Starts empty."""
        self.items: list[views.TargetView] = []
        """The targets, in no order."""
        self._places: dict[identifiers.TargetId, int] = {}

    def __len__(self) -> int:
        """Returns the number of targets."""
        return len(self.items)

    def __contains__(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a target is in it."""
        return target_id in self._places

    def add(self, view: views.TargetView) -> None:
        """Adds a target."""
        if view.target.target_id not in self._places:
            self._places[view.target.target_id] = len(self.items)
            self.items.append(view)

    def discard(self, target_id: identifiers.TargetId) -> None:
        """Takes a target out."""
        place = self._places.pop(target_id, None)
        if place is None:
            return
        last = self.items.pop()
        if last.target.target_id != target_id:
            self.items[place] = last
            self._places[last.target.target_id] = place

    def sample(
        self, count: int, rng: random.Random
    ) -> Iterable[views.TargetView]:
        """Returns up to so many targets, chosen at random."""
        size = len(self.items)
        if size <= count:
            return list(self.items)
        start = int(rng.random() * size)
        step = 1 + int(rng.random() * (size // count))
        return [self.items[(start + i * step) % size] for i in range(count)]


class Pool:
    """Engines, their groups by size class, and what waits for them."""

    def __init__(
        self, planned_load: float, *, weighs_decline: bool = True
    ) -> None:
        """Starts without engines."""
        self._weighs_decline = weighs_decline
        self.costs = costs.CostModel()
        self.split = split.SizeSplit(planned_load)
        self.queues = [waiting.WaitingQueue() for _ in range(split.CLASSES)]
        self._members: dict[identifiers.TargetId, views.TargetView] = {}
        self._levels: dict[identifiers.TargetId, int] = {}
        self._free = [TargetSet() for _ in range(split.CLASSES)]
        self._timers: list[tuple[float, identifiers.TargetId]] = []
        self._timed: dict[identifiers.TargetId, float] = {}
        self._weighed_at = 0.0
        self._s_per_token = costs.PRIOR_S_PER_TOKEN
        self.freed = 0
        """Times that one of its engines became free."""
        self.look_again_at = 0.0
        """When a request that found no engine is tried again."""
        self.running = 0
        """Requests of this instance on its engines."""
        self.largest_memory = 0
        """KV memory of its largest engine, in tokens."""

    def __len__(self) -> int:
        """Returns the number of engines."""
        return len(self._members)

    @property
    def members(self) -> Iterable[views.TargetView]:
        """All engines that take work."""
        return self._members.values()

    @property
    def typical_batch(self) -> float:
        """Requests of this instance on an engine, on average."""
        return self.running / max(len(self._members), 1)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(queue.count for queue in self.queues)

    def set_members(
        self, members: Iterable[views.TargetView], now: float
    ) -> None:
        """Takes the engines that may get work, in a fixed order."""
        self._members = {view.target_id: view for view in members}
        self.largest_memory = max(
            (v.target.memory_tokens for v in self._members.values()), default=0
        )
        self._levels.clear()
        self._free = [TargetSet() for _ in range(split.CLASSES)]
        self.split.set_engines(len(self._members))
        self._regroup()
        for view in self._members.values():
            self.refresh(view, now)

    def group(self, size_class: int, least: int) -> Iterable[views.TargetView]:
        """Returns the engines that take prompts of a class.

        Args:
            size_class: The class.
            least: Engines to return at least, if the pool has them.
        """
        size = max(self.split.sizes[size_class], least)
        return itertools.islice(self._members.values(), size)

    def level(self, target_id: identifiers.TargetId) -> int:
        """Returns the largest class that an engine takes; -1 if not in it."""
        return self._levels.get(target_id, -1)

    def member(
        self, target_id: identifiers.TargetId
    ) -> views.TargetView | None:
        """Returns an engine of the pool."""
        return self._members.get(target_id)

    def refresh(self, view: views.TargetView, now: float) -> None:
        """Puts an engine among the free or takes it out."""
        target_id = view.target.target_id
        level = self._levels.get(target_id)
        if level is None:
            return
        if view.is_free(now, self.s_per_token()):
            if target_id not in self._free[level]:
                self.freed += 1
                self._free[level].add(view)
            return
        self._free[level].discard(target_id)
        due = self._due(view, now)
        if due is not None and self._timed.get(target_id) != due:
            self._timed[target_id] = due
            heapq.heappush(self._timers, (due, target_id))

    def wake(self, now: float) -> None:
        """Refreshes the engines whose time has come, and the groups."""
        while self._timers and self._timers[0][0] <= now:
            due, target_id = heapq.heappop(self._timers)
            if self._timed.get(target_id) == due:
                del self._timed[target_id]
                view = self._members.get(target_id)
                if view is not None:
                    self.refresh(view, now)
        if self.split.resize(now):
            self._regroup()
        if now - self._weighed_at >= WEIGH_PERIOD_S:
            self._weighed_at = now
            self._s_per_token = self.costs.prefill_s(TYPICAL_TOKENS)
            self._s_per_token /= TYPICAL_TOKENS
            if not self._weighs_decline:
                return
            health.weigh([view.health for view in self._members.values()])

    def timers(self, now: float) -> list[float]:
        """Returns when an engine is due, or a request to be tried again."""
        times = [self._timers[0][0]] if self._timers else []
        if self.look_again_at > now:
            times.append(self.look_again_at)
        return times

    def has_free(self, size_class: int) -> bool:
        """Returns whether an engine that takes a class is free."""
        if self._free[size_class].items:
            return True
        return any(free.items for free in self._free[size_class + 1 :])

    def free_count(self, size_class: int) -> int:
        """Returns how many engines that take a class are free."""
        return sum(len(free) for free in self._free[size_class:])

    def free(
        self, size_class: int, count: int, rng: random.Random
    ) -> Iterator[views.TargetView]:
        """Yields free engines that take a class.

        Short prompts borrow engines of the middle groups first, so that those
        left to them alone stay free for the short prompts that come next.
        """
        left = count
        for level in (
            _BORROWING_ORDER
            if not size_class
            else range(size_class, split.CLASSES)
        ):
            free = self._free[level]
            for view in free.sample(left, rng):
                left -= 1
                yield view
            if left <= 0:
                return

    def s_per_token(self) -> float:
        """Returns the typical prefill time of a queued token, in seconds."""
        return self._s_per_token

    def _due(self, view: views.TargetView, now: float) -> float | None:
        """Returns when to look at a busy engine again."""
        times = (
            view.health.probe_at,
            view.foreign_free_at(self.s_per_token()),
            view.claims_end(now),
        )
        due = max(times)
        return due if due > now else None

    def _regroup(self) -> None:
        """Gives each engine the largest class that it takes."""
        sizes = self.split.sizes
        for place, (target_id, view) in enumerate(self._members.items()):
            level = 0
            while level + 1 < split.CLASSES and place < sizes[level + 1]:
                level += 1
            before = self._levels.get(target_id)
            if before == level:
                continue
            self._levels[target_id] = level
            if before is not None and target_id in self._free[before]:
                self._free[before].discard(target_id)
                self._free[level].add(view)
