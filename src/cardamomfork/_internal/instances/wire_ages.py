"""Wire format of ages: whole deciseconds.

Peers exchange ages rather than timestamps, so clocks need not be synchronized.
"""

from __future__ import annotations

import math

DECISECONDS_PER_S = 10
MAX_AGE_DECISECONDS = 0xFFFF


def to_wire(age_s: float) -> int:
    """Converts an age in seconds to deciseconds.

    The age is rounded up, and one decisecond is added for the time in
    transit. Rounded down, an update that a few instances relay to each other
    would never age.

    Args:
        age_s: Age in seconds; negative values count as 0.
    """
    deciseconds = max(math.ceil(age_s * DECISECONDS_PER_S), 0) + 1
    return min(deciseconds, MAX_AGE_DECISECONDS)


def to_seconds(deciseconds: int) -> float:
    """Converts an age in deciseconds to seconds."""
    return deciseconds / DECISECONDS_PER_S
