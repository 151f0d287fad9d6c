"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    """Done, or accepted."""
    FINDINGS = 1
    """The input is wrong; every finding was printed and nothing changed."""
    USAGE = 2
    """The command line is wrong."""
    CONFLICT = 3
    """Another operator's change came first; both sides were printed."""
    UNAVAILABLE = 4
    """The instance or the store gave no answer; nothing changed, unless the
    message says that the end is not known."""
    UNAUTHENTICATED = 5
    """The operator's key was refused."""
    TIMEOUT = 6
    """The waited-for state was not reached in time."""
    NOT_FOUND = 7
    """No object, table or measurement has this name."""
    DIFFERENT = 8
    """`diff` found differences."""
    INTERNAL = 70
    """A fault of this project."""


def describe() -> str:
    """Returns a line for each code, for the help text."""
    return "; ".join(
        f"{code.value} {code.name.lower().replace('_', ' ')}"
        for code in ExitCode
    )
