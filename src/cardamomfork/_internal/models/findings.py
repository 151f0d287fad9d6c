"""Errors found in input, collected with their locations."""

from __future__ import annotations

import attrs


@attrs.frozen
class Location:
    """The location of a finding.

    Attributes:
        source: File, request body or object that has the error.
        path: Path in the source: JSON path, `[section] key` or field name.
        line: Line number from 1, or None if the source has no lines.
    """

    source: str
    path: str
    line: int | None = None

    def __str__(self) -> str:
        """Returns `source:line: path`."""
        line = "" if self.line is None else f":{self.line}"
        return f"{self.source}{line}: {self.path}"


@attrs.frozen
class Finding:
    """One error in an input: its location and what is wrong."""

    place: Location
    message: str

    def __str__(self) -> str:
        """Returns `location: message`."""
        return f"{self.place}: {self.message}"
