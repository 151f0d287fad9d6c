"""Sizes the groups of engines that accept prompts of each size class.

Prompts are divided into size classes by length. The engines of a pool have a
fixed order, and the first `sizes[c]` of them accept prompts up to class c. So
long prompts share a few engines, and the other engines stay free of them.
Short prompts may run on any engine, long prompts only in their group. The
group sizes follow the load.
"""

from __future__ import annotations

import bisect
import math

CLASS_LIMITS_TOKENS = (16_000, 64_000, 256_000)
"""Longest prompt of each class except the last, in uncached tokens."""
CLASS_COUNT = len(CLASS_LIMITS_TOKENS) + 1
DEMAND_WINDOW_S = 60.0
"""Time constant of the exponential decay of earlier work."""
RESIZE_PERIOD_S = 1.0
SHRINK_HYSTERESIS = 0.6
"""Engines of excess, beyond one, that a group must have before it shrinks."""
SPARE_ENGINES_FACTOR = 1.5
"""Spare engines for shorter prompts, per square root of their demand."""
MIN_OBSERVED_FRACTION = 0.2
"""Least fraction of the window that is assumed to be observed; avoids an
overestimate of the demand after the start."""


def class_of(tokens: float) -> int:
    """Returns the size class of a prompt length."""
    return bisect.bisect_left(CLASS_LIMITS_TOKENS, tokens)


class EngineGroups:
    """Measures the demand of each size class and sizes the engine groups."""

    def __init__(self, planned_load: float) -> None:
        """Initializes the groups without engines.

        Args:
            planned_load: Planned load of each engine that accepts long
                prompts, as a ratio of its capacity. It may exceed 1, because
                the work also accounts for the KV memory that prompts occupy.
        """
        self._planned_load = planned_load
        self._work_s = [0.0] * CLASS_COUNT
        self._engine_count = 0
        self._sizes = [0] * CLASS_COUNT
        self._started_at: float | None = None
        self._decayed_at = 0.0
        self._sized_at = -math.inf

    @property
    def sizes(self) -> tuple[int, ...]:
        """Engines that accept each class; never rises with the class."""
        return tuple(self._sizes)

    def set_engine_count(self, engine_count: int) -> None:
        """Sets the number of engines; group sizes scale in proportion."""
        if engine_count == self._engine_count:
            return
        size_ratio = (
            engine_count / self._engine_count if self._engine_count else 1.0
        )
        if self._engine_count:
            sizes = [round(size * size_ratio) for size in self._sizes]
        else:
            sizes = [
                engine_count * (CLASS_COUNT - c) // CLASS_COUNT
                for c in range(CLASS_COUNT)
            ]
        self._engine_count = engine_count
        self._sizes = [
            engine_count,
            *(self._clamp_size(size) for size in sizes[1:]),
        ]

    def record_work(self, size_class: int, seconds: float, now: float) -> None:
        """Records the predicted engine time of a queued request."""
        if self._started_at is None:
            self._started_at = self._decayed_at = now
        self._decay(now)
        self._work_s[size_class] += seconds

    def demand(self, now: float) -> list[float]:
        """Returns, for each class, the engines that it and larger ones use."""
        if self._started_at is None:
            return [0.0] * CLASS_COUNT
        self._decay(now)
        observed_fraction = 1.0 - math.exp(
            (self._started_at - now) / DEMAND_WINDOW_S
        )
        window = DEMAND_WINDOW_S * max(observed_fraction, MIN_OBSERVED_FRACTION)
        demand = [work / window for work in self._work_s]
        for size_class in reversed(range(CLASS_COUNT - 1)):
            demand[size_class] += demand[size_class + 1]
        return demand

    def resize(self, now: float) -> bool:
        """Adapts the group sizes to the demand; returns whether any changed."""
        if now - self._sized_at < RESIZE_PERIOD_S or not self._engine_count:
            return False
        self._sized_at = now
        demand = self.demand(now)
        if demand[0] <= 0:
            return False
        before = list(self._sizes)
        for size_class in range(1, CLASS_COUNT):
            self._resize_class(size_class, demand)
        return self._sizes != before

    def _resize_class(self, size_class: int, demand: list[float]) -> None:
        """Sets the size of one group from the demand.

        The group gets the engines that its own demand needs, or the engines
        that shorter prompts leave over if these are more. It gets no more
        than the larger of those left over and its proportional part of the
        pool. It grows at once and shrinks with hysteresis.
        """
        shorter_demand = demand[0] - demand[size_class]
        spare = (
            self._engine_count
            - shorter_demand
            - SPARE_ENGINES_FACTOR * math.sqrt(shorter_demand)
            - 1.0
        )
        target_size = max(demand[size_class] / self._planned_load, spare)
        proportional_size = self._engine_count * demand[size_class] / demand[0]
        target_size = min(target_size, max(proportional_size, spare, 0.5))
        size = self._sizes[size_class]
        if target_size > size or target_size < size - 1 - SHRINK_HYSTERESIS:
            size = math.ceil(target_size)
        size = min(size, self._sizes[size_class - 1])
        self._sizes[size_class] = self._clamp_size(size)

    def _clamp_size(self, size: int) -> int:
        """Limits a group's size; one engine remains for short prompts only."""
        return max(min(size, self._engine_count - 1), 1)

    def _decay(self, now: float) -> None:
        """Applies the exponential decay to the recorded work."""
        if now <= self._decayed_at:
            return
        factor = math.exp((self._decayed_at - now) / DEMAND_WINDOW_S)
        self._decayed_at = now
        self._work_s = [work * factor for work in self._work_s]
