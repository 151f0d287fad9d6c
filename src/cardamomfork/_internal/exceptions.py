"""Exceptions of this project.

An exception aborts a call or a program. Expected errors are returned as
`result.Err` values with a typed error instead.
"""

from __future__ import annotations


class CardamomforkError(Exception):
    """Base class of all exceptions of this project.

    Attributes:
        what: Description of the error and its subject.
        advice: Suggested remedy; may be empty.
    """

    def __init__(self, what: str, advice: str = "") -> None:
        """Initializes the exception with a message of both texts."""
        super().__init__(f"{what} {advice}".strip())
        self.what = what
        self.advice = advice


class SettingsError(CardamomforkError):
    """The settings file is invalid and the process cannot start."""


class InvariantViolationError(CardamomforkError):
    """An object detected that its internal state is inconsistent.

    Always indicates a bug in this project.
    """

    def __init__(self, invariant: str, subject: str) -> None:
        """Initializes the exception.

        Args:
            invariant: The violated invariant.
            subject: The object that violates it.
        """
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
