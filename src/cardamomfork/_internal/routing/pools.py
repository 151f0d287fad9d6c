"""The engines that serve one service and model, found without a scan."""

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
_SHORT_PROMPT_CLASS_ORDER = (
    *range(1, size_classes.CLASS_COUNT - 1),
    0,
    size_classes.CLASS_COUNT - 1,
)


class TargetSet:
    """Targets with constant-time add, discard and random choice."""

    def __init__(self) -> None:
        """Starts empty."""
        self.items: list[views.TargetView] = []
        """The targets, in no order."""
        self._indexes: dict[identifiers.TargetId, int] = {}

    def __len__(self) -> int:
        """Returns the number of targets."""
        return len(self.items)

    def __contains__(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a target is in it."""
        return target_id in self._indexes

    def add(self, view: views.TargetView) -> None:
        """Adds a target."""
        if view.target.target_id not in self._indexes:
            self._indexes[view.target.target_id] = len(self.items)
            self.items.append(view)

    def discard(self, target_id: identifiers.TargetId) -> None:
        """Takes a target out."""
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
        self, planned_load: float, *, adjusts_weights: bool = True
    ) -> None:
        """Starts without engines."""
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
        """Times that one of its engines became free."""
        self.recheck_at = 0.0
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
        self._largest_classes.clear()
        self._free = [TargetSet() for _ in range(size_classes.CLASS_COUNT)]
        self.engine_groups.set_engine_count(len(self._members))
        self._assign_classes()
        for view in self._members.values():
            self.refresh(view, now)

    def engines_for_class(
        self, size_class: int, min_count: int
    ) -> Iterable[views.TargetView]:
        """Returns the engines that take prompts of a class.

        Args:
            size_class: The class.
            least: Engines to return at least, if the pool has them.
        """
        size = max(self.engine_groups.sizes[size_class], min_count)
        return itertools.islice(self._members.values(), size)

    def largest_class(self, target_id: identifiers.TargetId) -> int:
        """Returns the largest class that an engine takes; -1 if not in it."""
        return self._largest_classes.get(target_id, -1)

    def member(
        self, target_id: identifiers.TargetId
    ) -> views.TargetView | None:
        """Returns an engine of the pool."""
        return self._members.get(target_id)

    def refresh(self, view: views.TargetView, now: float) -> None:
        """Puts an engine among the free or takes it out."""
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
        """Refreshes the engines whose time has come, and the groups."""
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
            health.weigh([view.health for view in self._members.values()])

    def next_times(self, now: float) -> list[float]:
        """Returns when an engine is due, or a request to be tried again."""
        times = [self._timers[0][0]] if self._timers else []
        if self.recheck_at > now:
            times.append(self.recheck_at)
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
        """Returns the typical prefill time of a queued token, in seconds."""
        return self._s_per_token

    def _recheck_time(self, view: views.TargetView, now: float) -> float | None:
        """Returns when to look at a busy engine again."""
        times = (
            view.health.probe_at,
            view.foreign_free_at(self.s_per_token()),
            view.claims_end(now),
        )
        due = max(times)
        return due if due > now else None

    def _assign_classes(self) -> None:
        """Gives each engine the largest class that it takes."""
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
