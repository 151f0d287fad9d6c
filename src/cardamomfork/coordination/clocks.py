"""Time, passed in so that tests can run it faster."""

from __future__ import annotations

from cardamomfork._internal.contracts import clock

__all__ = ["Clock", "LoopClock", "ManualClock"]

Clock = clock.Clock
LoopClock = clock.LoopClock
ManualClock = clock.ManualClock
