"""Clocks, injected so that tests can use simulated time."""

from __future__ import annotations

import time
from typing import Protocol

import anyio
import attrs


class Clock(Protocol):
    """Provides monotonic time and wall time."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never decreases."""
        ...

    def wall(self) -> float:
        """Returns Unix time in seconds; may jump."""
        ...


@attrs.frozen
class LoopClock:
    """The event loop's clock; under trio's MockClock it is virtual."""

    def monotonic(self) -> float:
        """Returns the loop's time in seconds."""
        return anyio.current_time()

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()


@attrs.define
class ManualClock:
    """A clock that a test or measurement advances explicitly.

    Attributes:
        now: Monotonic time in seconds.
        wall_offset: Unix time minus monotonic time, in seconds.
    """

    now: float = 0.0
    wall_offset: float = 1_750_000_000.0

    def monotonic(self) -> float:
        """Returns the monotonic time that was set."""
        return self.now

    def wall(self) -> float:
        """Returns the time that was set as Unix time in seconds."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.now += seconds
