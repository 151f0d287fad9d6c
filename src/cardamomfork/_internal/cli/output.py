"""Output of commands as text tables or JSON."""

from __future__ import annotations

import enum
import sys
from typing import Any
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomfork._internal.models import findings

MAX_CELL_CHARACTERS = 60


class OutputFormat(enum.StrEnum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


@attrs.frozen
class Table:
    """Rows under named columns.

    Attributes:
        columns: Names of the columns.
        rows: Cells of each row; any JSON value.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]

    def to_text(self) -> str:
        """Formats the table with aligned columns, numeric ones to the right."""
        if not self.rows:
            return "(none)"
        lines = [[name.upper() for name in self.columns]]
        lines += [[_format_cell(value) for value in row] for row in self.rows]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        is_numeric = [
            all(isinstance(value, int | float) for value in column)
            for column in zip(*self.rows, strict=True)
        ]
        return "\n".join(
            _format_line(line, widths, is_numeric) for line in lines
        )

    def to_objects(self) -> list[dict[str, Any]]:
        """Returns one mapping per row, from column names to cells."""
        return [dict(zip(self.columns, row, strict=True)) for row in self.rows]


def print_table(table: Table, output: OutputFormat) -> None:
    """Prints a table in the given format."""
    if output is OutputFormat.JSON:
        print_json(table.to_objects())
    else:
        print(table.to_text())


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_findings(
    found: Iterable[findings.Finding], output: OutputFormat
) -> None:
    """Prints findings: as text to stderr, or as JSON to stdout."""
    if output is OutputFormat.JSON:
        print_json(
            {
                "findings": [
                    {
                        "source": finding.place.source,
                        "path": finding.place.path,
                        "line": finding.place.line,
                        "message": finding.message,
                    }
                    for finding in found
                ]
            }
        )
        return
    for finding in found:
        print(finding, file=sys.stderr)


def print_error(message: str) -> None:
    """Prints one line to stderr."""
    print(f"cardamomfork: {message}", file=sys.stderr)


def _format_cell(value: Any) -> str:
    """Formats a value as one line, truncated if it is too long."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if not isinstance(value, str):
        value = msgspec.json.encode(value).decode()
    text = " ".join(value.split())
    if len(text) > MAX_CELL_CHARACTERS:
        return text[: MAX_CELL_CHARACTERS - 3] + "..."
    return text


def _format_line(
    line: Sequence[str], widths: Sequence[int], is_numeric: Sequence[bool]
) -> str:
    """Pads and joins the cells of a line."""
    cells = [
        cell.rjust(width) if is_right_aligned else cell.ljust(width)
        for cell, width, is_right_aligned in zip(
            line, widths, is_numeric, strict=True
        )
    ]
    return "  ".join(cells).rstrip()
