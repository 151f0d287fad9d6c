"""Time, passed in so that tests can run it faster."""

from __future__ import annotations

import time
from typing import Protocol

import anyio
import attrs


class Clock(Protocol):
    """Two times: one that only moves on, and the wall's."""

    def monotonic(self) -> float:
        """Returns seconds from an arbitrary start; never goes back."""
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
    """A clock that a test or measurement moves by hand.

    Attributes:
        now: Monotonic time in seconds.
        wall_offset: Unix time minus monotonic time, in seconds.
    """

    now: float = 0.0
    wall_offset: float = 1_750_000_000.0

    def monotonic(self) -> float:
        """Returns the time that was set."""
        return self.now

    def wall(self) -> float:
        """Returns the time that was set, on the wall's scale."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Moves the clock on."""
        self.now += seconds
