"""How many engines take prompts of which length; moves with the load.

Prompts fall into size classes. Engines stand in a fixed order; the first
`engines_for(c)` of them take prompts up to class c, so long prompts share few
engines and short ones find others free of them. Short prompts may go to any
engine, long ones never beyond theirs.
"""

from __future__ import annotations

import bisect
import math

CLASS_LIMITS_TOKENS = (16_000, 64_000, 256_000)
"""Longest prompt of each class but the last, in uncached tokens."""
CLASS_COUNT = len(CLASS_LIMITS_TOKENS) + 1
DEMAND_WINDOW_S = 60.0
RESIZE_PERIOD_S = 1.0
SHRINK_HYSTERESIS = 0.6
SPARE_ENGINES_FACTOR = 1.5
"""Engines left to shorter prompts beyond their work, by its square root."""
MIN_OBSERVED_FRACTION = 0.2


def class_of(tokens: float) -> int:
    """Returns the size class of a prompt."""
    return bisect.bisect_left(CLASS_LIMITS_TOKENS, tokens)


class EngineGroups:
    """Counts the work that arrives in each class and sizes the groups."""

    def __init__(self, planned_load: float) -> None:
        """Starts with no work seen.

        Args:
            planned_load: Work that is planned for each engine that takes long
                prompts, in engines; above 1 since the work counts memory too.
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
        """Engines that take each class; falls from class to class."""
        return tuple(self._sizes)

    def set_engine_count(self, engine_count: int) -> None:
        """Takes the number of engines; the groups keep their shares."""
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
        """Notes a request that will take so many engine-seconds."""
        if self._started_at is None:
            self._started_at = self._decayed_at = now
        self._decay(now)
        self._work_s[size_class] += seconds

    def demand(self, now: float) -> list[float]:
        """Returns the engines that each class and those above it need."""
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
        """Moves the groups if the load has moved enough; True if it did."""
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
        """Moves one group's size toward what its work needs."""
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
        """Keeps a group within the pool; one engine is left to the short."""
        return max(min(size, self._engine_count - 1), 1)

    def _decay(self, now: float) -> None:
        """Lets earlier work count less."""
        if now <= self._decayed_at:
            return
        factor = math.exp((self._decayed_at - now) / DEMAND_WINDOW_S)
        self._decayed_at = now
        self._work_s = [work * factor for work in self._work_s]
