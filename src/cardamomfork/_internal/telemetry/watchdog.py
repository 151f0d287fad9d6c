"""Monitors the loop lag, memory growth and table sizes of the process."""

from __future__ import annotations

import collections
import math
import os
import pathlib
import statistics
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract

TICK_INTERVAL_S = 0.1
TICKS_PER_MEMORY_SAMPLE = 600
MAX_LAG_SAMPLES = 600
MAX_MEMORY_SAMPLES = 60
MIN_MEMORY_SAMPLES = 60
WARN_LAG_S = 0.25
WARN_SLOPE_BYTES_PER_H = 16e6
WARN_FILL_FRACTION = 0.9
REARM_FILL_FRACTION = 0.8
MIN_WARNING_INTERVAL_S = 60.0
_HOUR_S = 3600.0
_STATM = pathlib.Path("/proc/self/statm")


class LagWindow:
    """Sliding window of the most recent loop lags."""

    def __init__(self, samples: int = MAX_LAG_SAMPLES) -> None:
        """Initializes without samples."""
        self._lags: collections.deque[float] = collections.deque(maxlen=samples)

    def __len__(self) -> int:
        """Returns the number of samples."""
        return len(self._lags)

    def add(self, lag_s: float) -> None:
        """Adds a lag and evicts the oldest if the window is full."""
        self._lags.append(max(lag_s, 0.0))

    def quantile(self, fraction: float) -> float:
        """Returns a quantile of the lags in seconds; 0 without samples."""
        if not self._lags:
            return 0.0
        ordered = sorted(self._lags)
        index = math.ceil(fraction * len(ordered)) - 1
        return ordered[min(max(index, 0), len(ordered) - 1)]


class MemoryTrend:
    """Sliding window of resident memory samples and their trend."""

    def __init__(self, samples: int = MAX_MEMORY_SAMPLES) -> None:
        """Initializes without samples."""
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=samples)
        )

    @property
    def bytes_per_h(self) -> float | None:
        """Growth in bytes per hour; None if there are too few samples."""
        if len(self._samples) < MIN_MEMORY_SAMPLES:
            return None
        times, sizes = zip(*self._samples, strict=True)
        return statistics.linear_regression(times, sizes).slope * _HOUR_S

    def add(self, now: float, memory_bytes: float) -> None:
        """Adds a sample and evicts the oldest if the window is full."""
        self._samples.append((now, memory_bytes))


@attrs.define
class WarningLimiter:
    """Selects the warnings to log, at most one of each kind per minute.

    A table that stays near its bound, such as a cache, is reported only once.
    """

    _last_warned_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _full_tables: set[str] = attrs.field(factory=set, init=False)

    def due(
        self,
        now: float,
        lag_s: float,
        bytes_per_h: float | None,
        sizes: dict[str, tuple[int, int]],
    ) -> tuple[str, ...]:
        """Returns the warnings to log now.

        Args:
            now: Monotonic time in seconds.
            lag_s: Latest loop lag in seconds.
            bytes_per_h: Growth of the memory; None if unknown.
            sizes: Size and bound of each table by name.
        """
        candidates = {}
        if lag_s > WARN_LAG_S:
            candidates["lag"] = f"event loop lagged by {lag_s * 1000:.0f} ms"
        if bytes_per_h is not None and bytes_per_h > WARN_SLOPE_BYTES_PER_H:
            candidates["memory"] = (
                f"memory grows {bytes_per_h / 1e6:.0f} MB an hour"
            )
        newly_full = self._find_newly_full(sizes)
        if newly_full:
            candidates["tables"] = "tables near their bound: " + ", ".join(
                newly_full
            )
        return tuple(
            text
            for kind, text in candidates.items()
            if self._is_allowed(kind, now)
        )

    def _find_newly_full(self, sizes: dict[str, tuple[int, int]]) -> list[str]:
        """Returns the tables that newly came near their bound.

        A reported table is reported again only after its size has fallen
        below `REARM_FILL_FRACTION` of the bound.
        """
        newly_full = []
        for name, (size, bound) in sorted(sizes.items()):
            if size < REARM_FILL_FRACTION * bound:
                self._full_tables.discard(name)
            elif (
                size >= WARN_FILL_FRACTION * bound
                and name not in self._full_tables
            ):
                self._full_tables.add(name)
                newly_full.append(f"{name} {size}/{bound}")
        return newly_full

    def _is_allowed(self, kind: str, now: float) -> bool:
        """Returns whether a kind may be logged now, and records the time."""
        if (
            now - self._last_warned_at.get(kind, -math.inf)
            < MIN_WARNING_INTERVAL_S
        ):
            return False
        self._last_warned_at[kind] = now
        return True


@attrs.define
class Watchdog:
    """Measures loop lag and memory, and logs warnings.

    Attributes:
        clock: Clock that measures the lag.
        sizes: Returns the size and bound of each table by name.
        on_lag: Called with each lag in seconds.
    """

    clock: clock_contract.Clock
    sizes: Callable[[], dict[str, tuple[int, int]]] = dict
    on_lag: Callable[[float], None] = lambda _: None
    lags: LagWindow = attrs.field(factory=LagWindow, init=False)
    memory: MemoryTrend = attrs.field(factory=MemoryTrend, init=False)
    _warning_limiter: WarningLimiter = attrs.field(
        factory=WarningLimiter, init=False
    )

    async def run(self) -> None:
        """Monitors the process until cancelled."""
        tick = 0
        while True:
            before = self.clock.monotonic()
            await anyio.sleep(TICK_INTERVAL_S)
            now = self.clock.monotonic()
            self._process_tick(now, now - before - TICK_INTERVAL_S, tick)
            tick += 1

    def _process_tick(self, now: float, lag_s: float, tick: int) -> None:
        """Records the lag of one tick and, periodically, the memory."""
        self.lags.add(lag_s)
        self.on_lag(max(lag_s, 0.0))
        sampled = tick % TICKS_PER_MEMORY_SAMPLE == 0
        if sampled:
            self.memory.add(now, float(resident_bytes()))
        if not sampled and lag_s <= WARN_LAG_S:
            return
        slope = self.memory.bytes_per_h
        for text in self._warning_limiter.due(now, lag_s, slope, self.sizes()):
            logger.warning(text)


def resident_bytes() -> int:
    """Returns the resident memory of the process in bytes."""
    pages = int(_STATM.read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
