"""Ages as peers tell them: whole deciseconds, so that clocks need not agree."""

from __future__ import annotations

import math

DECISECONDS_PER_S = 10
MAX_AGE_DECISECONDS = 0xFFFF


def to_wire(age_s: float) -> int:
    """Returns an age in deciseconds, never younger than it is on arrival.

    One decisecond more covers the time in transit: rounded down, news relayed
    among a few instances would never grow old.

    Args:
        age_s: Age in seconds; below 0 counts as 0.
    """
    deciseconds = max(math.ceil(age_s * DECISECONDS_PER_S), 0) + 1
    return min(deciseconds, MAX_AGE_DECISECONDS)


def to_seconds(deciseconds: int) -> float:
    """Returns the seconds of an age in deciseconds."""
    return deciseconds / DECISECONDS_PER_S
