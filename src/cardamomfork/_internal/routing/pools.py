"""Pools of the engines that serve one service and model.

A pool keeps sets of free engines by size class, so that selecting an engine
needs no scan over the pool.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from cardamomfork._internal.routing import cost_model
from cardamomfork._internal.routing import size_classes
from cardamomfork._internal.routing import waiting_queue
from cardamomfork._internal.targets import health

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    import random

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import views

WEIGHT_UPDATE_PERIOD_S = 2.0
TYPICAL_PROMPT_TOKENS = 16_000.0
"""Prompt length that the pool's typical cost per token is taken from."""
_SHORT_PROMPT_CLASS_ORDER = (
    *range(1, size_classes.CLASS_COUNT - 1),
    0,
    size_classes.CLASS_COUNT - 1,
)


class TargetSet:
    """A set of targets with constant-time add, discard and sampling."""

    def __init__(self) -> None:
        """Initializes an empty set."""
        self.items: list[views.TargetView] = []
        """The targets, unordered."""
        self._indexes: dict[identifiers.TargetId, int] = {}

    def __len__(self) -> int:
        """Returns the number of targets."""
        return len(self.items)

    def __contains__(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a target is in the set."""
        return target_id in self._indexes

    def add(self, view: views.TargetView) -> None:
        """Adds a target."""
        if view.target.target_id not in self._indexes:
            self._indexes[view.target.target_id] = len(self.items)
            self.items.append(view)

    def discard(self, target_id: identifiers.TargetId) -> None:
        """Removes a target, if it is in the set."""
        index = self._indexes.pop(target_id, None)
        if index is None:
            return
        last = self.items.pop()
        if last.target.target_id != target_id:
            self.items[index] = last
            self._indexes[last.target.target_id] = index

    def sample(
        self, count: int, rng: random.Random
    ) -> Iterable[views.TargetView]:
        """Returns up to `count` targets, chosen at random."""
        size = len(self.items)
        if size <= count:
            return list(self.items)
        start = int(rng.random() * size)
        step = 1 + int(rng.random() * (size // count))
        return [self.items[(start + i * step) % size] for i in range(count)]


class Pool:
    """The engines of a pool, their size classes, and the queued requests."""

    def __init__(
        self, planned_load: float, *, adjusts_weights: bool = True
    ) -> None:
        """Initializes a pool without engines.

        Args:
            planned_load: Planned load of each engine that accepts long
                prompts, as a ratio of its capacity.
            adjusts_weights: Whether a target whose speed declines slowly
                loses weight.
        """
        self._adjusts_weights = adjusts_weights
        self.cost_model = cost_model.CostModel()
        self.engine_groups = size_classes.EngineGroups(planned_load)
        self.queues = [
            waiting_queue.WaitingQueue()
            for _ in range(size_classes.CLASS_COUNT)
        ]
        self._members: dict[identifiers.TargetId, views.TargetView] = {}
        self._largest_classes: dict[identifiers.TargetId, int] = {}
        self._free = [TargetSet() for _ in range(size_classes.CLASS_COUNT)]
        self._timers: list[tuple[float, identifiers.TargetId]] = []
        self._due_times: dict[identifiers.TargetId, float] = {}
        self._weights_updated_at = 0.0
        self._s_per_token = cost_model.PRIOR_S_PER_TOKEN
        self.freed = 0
        """Counts each time that one of the engines becomes free."""
        self.recheck_at = 0.0
        """When to try again to start a request that found no engine."""
        self.running = 0
        """Number of requests of this instance on the engines."""
        self.largest_memory = 0
        """KV memory of the largest engine, in tokens."""

    def __len__(self) -> int:
        """Returns the number of engines."""
        return len(self._members)

    @property
    def members(self) -> Iterable[views.TargetView]:
        """All engines that accept work, in the order of their groups."""
        return self._members.values()

    @property
    def typical_batch(self) -> float:
        """Average number of this instance's requests on an engine."""
        return self.running / max(len(self._members), 1)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(queue.count for queue in self.queues)

    def set_members(
        self, members: Iterable[views.TargetView], now: float
    ) -> None:
        """Sets the engines that accept work, in a fixed order."""
        self._members = {view.target_id: view for view in members}
        self.largest_memory = max(
            (v.target.memory_tokens for v in self._members.values()), default=0
        )
        self._largest_classes.clear()
        self._free = [TargetSet() for _ in range(size_classes.CLASS_COUNT)]
        self.engine_groups.set_engine_count(len(self._members))
        self._assign_classes()
        for view in self._members.values():
            self.refresh(view, now)

    def engines_for_class(
        self, size_class: int, min_count: int
    ) -> Iterable[views.TargetView]:
        """Returns the engines that accept prompts of a class.

        Args:
            size_class: The size class.
            min_count: Fewest engines to return, if the pool has as many.
        """
        size = max(self.engine_groups.sizes[size_class], min_count)
        return itertools.islice(self._members.values(), size)

    def largest_class(self, target_id: identifiers.TargetId) -> int:
        """Returns the largest class that an engine accepts, or -1.

        -1 means that the engine is not in the pool.
        """
        return self._largest_classes.get(target_id, -1)

    def member(
        self, target_id: identifiers.TargetId
    ) -> views.TargetView | None:
        """Returns an engine of the pool, or None."""
        return self._members.get(target_id)

    def refresh(self, view: views.TargetView, now: float) -> None:
        """Updates whether an engine is free, and its timer if it is not."""
        target_id = view.target.target_id
        largest_class = self._largest_classes.get(target_id)
        if largest_class is None:
            return
        if view.is_free(now, self.s_per_token()):
            if target_id not in self._free[largest_class]:
                self.freed += 1
                self._free[largest_class].add(view)
            return
        self._free[largest_class].discard(target_id)
        due = self._recheck_time(view, now)
        if due is not None and self._due_times.get(target_id) != due:
            self._due_times[target_id] = due
            heapq.heappush(self._timers, (due, target_id))

    def run_timers(self, now: float) -> None:
        """Refreshes engines whose timer is due, and group sizes and weights."""
        while self._timers and self._timers[0][0] <= now:
            due, target_id = heapq.heappop(self._timers)
            if self._due_times.get(target_id) == due:
                del self._due_times[target_id]
                view = self._members.get(target_id)
                if view is not None:
                    self.refresh(view, now)
        if self.engine_groups.resize(now):
            self._assign_classes()
        if now - self._weights_updated_at >= WEIGHT_UPDATE_PERIOD_S:
            self._weights_updated_at = now
            self._s_per_token = self.cost_model.prefill_s(TYPICAL_PROMPT_TOKENS)
            self._s_per_token /= TYPICAL_PROMPT_TOKENS
            if not self._adjusts_weights:
                return
            health.update_weights(
                [view.health for view in self._members.values()]
            )

    def next_times(self, now: float) -> list[float]:
        """Returns the times of the next engine timer and the next recheck."""
        times = [self._timers[0][0]] if self._timers else []
        if self.recheck_at > now:
            times.append(self.recheck_at)
        return times

    def has_free(self, size_class: int) -> bool:
        """Returns whether an engine that accepts a class is free."""
        if self._free[size_class].items:
            return True
        return any(free.items for free in self._free[size_class + 1 :])

    def free_count(self, size_class: int) -> int:
        """Returns the number of free engines that accept a class."""
        return sum(len(free) for free in self._free[size_class:])

    def free(
        self, size_class: int, count: int, rng: random.Random
    ) -> Iterator[views.TargetView]:
        """Yields up to `count` free engines that accept a class.

        Short prompts use engines of the middle classes first, so that engines
        that accept only short prompts stay free for later ones.
        """
        remaining = count
        for size_level in (
            _SHORT_PROMPT_CLASS_ORDER
            if not size_class
            else range(size_class, size_classes.CLASS_COUNT)
        ):
            free = self._free[size_level]
            for view in free.sample(remaining, rng):
                remaining -= 1
                yield view
            if remaining <= 0:
                return

    def s_per_token(self) -> float:
        """Returns the typical prefill time per token, in seconds."""
        return self._s_per_token

    def _recheck_time(self, view: views.TargetView, now: float) -> float | None:
        """Returns when to check a busy engine again; None without a time."""
        times = (
            view.health.probe_at,
            view.peer_prefills_end_at(self.s_per_token()),
            view.current_part_ends_at(now),
        )
        due = max(times)
        return due if due > now else None

    def _assign_classes(self) -> None:
        """Assigns to each engine the largest class that it accepts."""
        sizes = self.engine_groups.sizes
        for index, (target_id, view) in enumerate(self._members.items()):
            largest_class = 0
            while (
                largest_class + 1 < size_classes.CLASS_COUNT
                and index < sizes[largest_class + 1]
            ):
                largest_class += 1
            before = self._largest_classes.get(target_id)
            if before == largest_class:
                continue
            self._largest_classes[target_id] = largest_class
            if before is not None and target_id in self._free[before]:
                self._free[before].discard(target_id)
                self._free[largest_class].add(view)
