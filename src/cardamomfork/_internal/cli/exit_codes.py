"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of commands."""

    OK = 0
    """The command succeeded."""
    FINDINGS = 1
    """The input is invalid. All findings were printed and nothing changed."""
    USAGE = 2
    """The command line is invalid."""
    CONFLICT = 3
    """A change isn't based on the version in force. The differences were
    printed."""
    UNAVAILABLE = 4
    """The instance or the store did not answer. Nothing changed, unless the
    message says that the change may have been written."""
    UNAUTHENTICATED = 5
    """The operator's key was rejected."""
    TIMEOUT = 6
    """The awaited state was not reached in time."""
    NOT_FOUND = 7
    """No object, key, table, measurement or log line matches."""
    DIFFERENT = 8
    """`diff` found differences."""
    INTERNAL = 70
    """An internal error of the tool."""


def describe() -> str:
    """Returns the list of all codes for the help text."""
    return "; ".join(
        f"{code.value} {code.name.lower().replace('_', ' ')}"
        for code in ExitCode
    )
