"""Decodes optional numbers that other programs write."""

from __future__ import annotations

import math

MAX_COLD_S = 60.0
"""Bound of the time for which a target may be cold."""
_MAX_DESCRIPTION_CHARACTERS = 40


def parse(value: object) -> float | None:
    """Returns a finite number that is not negative.

    Args:
        value: A JSON or TOML value.

    Returns:
        The number; None if the value is absent, negative, not finite or of
        another type.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def clamp(value: float, low: float, high: float) -> float:
    """Limits a number to a range; a NaN counts as the lowest."""
    return min(max(value, low), high) if value == value else low


def describe(value: object) -> str:
    """Returns a short description of a malformed value for the log."""
    try:
        return repr(value)[:_MAX_DESCRIPTION_CHARACTERS]
    except (ValueError, RecursionError):
        # repr() rejects integers with thousands of digits and deep nesting.
        return type(value).__name__
