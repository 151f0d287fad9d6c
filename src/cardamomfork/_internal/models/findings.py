"""Findings about input, collected with their place and reported together."""

from __future__ import annotations

import attrs


@attrs.frozen
class Location:
    """Where a finding stands.

    Attributes:
        source: File, body or object that holds it.
        path: Place inside: a JSON path, `[section] key`, or a field name.
        line: Line number from 1, or None where lines mean nothing.
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
    """One thing wrong with an input: its place and what to change."""

    place: Location
    message: str

    def __str__(self) -> str:
        """Returns the place and the message on one line."""
        return f"{self.place}: {self.message}"
