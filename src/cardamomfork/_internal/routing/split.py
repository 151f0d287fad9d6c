"""How many engines take prompts of which length; moves with the load.

Prompts fall into size classes. Engines stand in a fixed order; the first
`engines_for(c)` of them take prompts up to class c, so long prompts share few
engines and short ones find others free of them. Short prompts may go to any
engine, long ones never beyond theirs.
"""

from __future__ import annotations

import bisect
import math

CLASS_LIMITS = (16_000, 64_000, 256_000)
"""Longest prompt of each class but the last, in uncached tokens."""
CLASSES = len(CLASS_LIMITS) + 1
MEMORY_S = 60.0
PERIOD_S = 1.0
HYSTERESIS = 0.6
SPARE = 1.5
"""Engines left to shorter prompts beyond their work, by its square root."""
MIN_EVIDENCE = 0.2


def class_of(tokens: float) -> int:
    """Returns the size class of a prompt."""
    return bisect.bisect_left(CLASS_LIMITS, tokens)


class SizeSplit:
    """Counts the work that arrives in each class and sizes the groups."""

    def __init__(self, planned_load: float) -> None:
        """Starts with no work seen.

        Args:
            planned_load: Work that is planned for each engine that takes long
                prompts, in engines; above 1 since the work counts memory too.
        """
        self._planned_load = planned_load
        self._work = [0.0] * CLASSES
        self._engines = 0
        self._sizes = [0] * CLASSES
        self._started_at: float | None = None
        self._decayed_at = 0.0
        self._sized_at = -math.inf

    @property
    def sizes(self) -> tuple[int, ...]:
        """Engines that take each class; falls from class to class."""
        return tuple(self._sizes)

    def set_engines(self, engines: int) -> None:
        """Takes the number of engines; the groups keep their shares."""
        if engines == self._engines:
            return
        share = engines / self._engines if self._engines else 1.0
        if self._engines:
            sizes = [round(size * share) for size in self._sizes]
        else:
            sizes = [engines * (CLASSES - c) // CLASSES for c in range(CLASSES)]
        self._engines = engines
        self._sizes = [engines, *(self._bounded(size) for size in sizes[1:])]

    def note(self, size_class: int, seconds: float, now: float) -> None:
        """Notes a request that will take so many engine-seconds."""
        if self._started_at is None:
            self._started_at = self._decayed_at = now
        self._decay(now)
        self._work[size_class] += seconds

    def demand(self, now: float) -> list[float]:
        """Returns the engines that each class and those above it need."""
        if self._started_at is None:
            return [0.0] * CLASSES
        self._decay(now)
        seen = 1.0 - math.exp((self._started_at - now) / MEMORY_S)
        window = MEMORY_S * max(seen, MIN_EVIDENCE)
        demand = [work / window for work in self._work]
        for size_class in reversed(range(CLASSES - 1)):
            demand[size_class] += demand[size_class + 1]
        return demand

    def resize(self, now: float) -> bool:
        """Moves the groups if the load has moved enough; True if it did."""
        if now - self._sized_at < PERIOD_S or not self._engines:
            return False
        self._sized_at = now
        demand = self.demand(now)
        if demand[0] <= 0:
            return False
        before = list(self._sizes)
        for size_class in range(1, CLASSES):
            self._resize_class(size_class, demand)
        return self._sizes != before

    def _resize_class(self, size_class: int, demand: list[float]) -> None:
        """Moves one group's size toward what its work needs."""
        below = demand[0] - demand[size_class]
        spare = self._engines - below - SPARE * math.sqrt(below) - 1.0
        wanted = max(demand[size_class] / self._planned_load, spare)
        fair = self._engines * demand[size_class] / demand[0]
        wanted = min(wanted, max(fair, spare, 0.5))
        size = self._sizes[size_class]
        if wanted > size or wanted < size - 1 - HYSTERESIS:
            size = math.ceil(wanted)
        size = min(size, self._sizes[size_class - 1])
        self._sizes[size_class] = self._bounded(size)

    def _bounded(self, size: int) -> int:
        """Keeps a group within the pool; one engine is left to the short."""
        return max(min(size, self._engines - 1), 1)

    def _decay(self, now: float) -> None:
        """Lets earlier work count less."""
        if now <= self._decayed_at:
            return
        factor = math.exp((self._decayed_at - now) / MEMORY_S)
        self._decayed_at = now
        self._work = [work * factor for work in self._work]
