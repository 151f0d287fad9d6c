"""Errors that say what happened, to which thing, and what to do.

Expected refusals travel as `result.Err` values with a typed error; the classes
here are for what stops a call or a program.
"""

from __future__ import annotations


class CardamomforkError(Exception):
    """Base of all errors this project raises.

    Attributes:
        what: What happened, and to which thing.
        advice: What the reader can do about it; may be empty.
    """

    def __init__(self, what: str, advice: str = "") -> None:
        """Keeps the two parts of the message."""
        super().__init__(f"{what} {advice}".strip())
        self.what = what
        self.advice = advice


class SettingsError(CardamomforkError):
    """The settings file has findings and the process cannot start."""


class InvariantViolationError(CardamomforkError):
    """A deciding object found its own state broken.

    Raised by checks inside the program; always a fault of this project.
    """

    def __init__(self, invariant: str, subject: str) -> None:
        """Names the invariant and the thing that breaks it."""
        super().__init__(
            f"invariant {invariant!r} does not hold for {subject}.",
            "Please report it with the state dump.",
        )
        self.invariant = invariant
        self.subject = subject


def check_invariant(condition: bool, invariant: str, subject: object) -> None:
    """Raises `InvariantViolationError` unless the condition holds."""
    if not condition:
        raise InvariantViolationError(invariant, str(subject))
