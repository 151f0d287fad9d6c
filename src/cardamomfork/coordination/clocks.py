"""Injectable clocks; tests use `ManualClock` to control the time."""

from __future__ import annotations

from cardamomfork._internal.contracts import clock

__all__ = ["Clock", "LoopClock", "ManualClock"]

Clock = clock.Clock
LoopClock = clock.LoopClock
ManualClock = clock.ManualClock
