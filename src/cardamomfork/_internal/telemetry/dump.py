"""State dump: every table of the process, on request, bounded.

Parts register their tables by name. A dump gives each table's size and bound
and at most a set number of its rows, as text for people or JSON for programs.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import Any

import attrs
import msgspec

from cardamomfork._internal import exceptions
from cardamomfork._internal.telemetry import logs

MAX_TABLES = 256
DEFAULT_ROWS = 100
MAX_ROWS = 10_000
MAX_CELL_CHARACTERS = 200
MAX_TEXT_CELL_CHARACTERS = 60

Row = Mapping[str, Any]


@attrs.frozen
class Table:
    """A table that can be dumped.

    Attributes:
        name: Unique name, such as `accounts.verified`.
        size: Returns the rows held now.
        bound: Most rows that it can hold.
        rows: Returns its rows; called only for a dump.
    """

    name: str
    size: Callable[[], int]
    bound: int
    rows: Callable[[], Iterable[Row]] = tuple


@attrs.frozen
class TableDump:
    """One table as dumped.

    Attributes:
        name: The table.
        size: Rows held.
        bound: Most rows that it can hold.
        rows: The first rows, cells cut and without secrets.
        fault: Why the rows could not be read; empty otherwise.
    """

    name: str
    size: int
    bound: int
    rows: tuple[dict[str, Any], ...] = ()
    fault: str = ""

    @property
    def omitted_row_count(self) -> int:
        """Rows that are held but not shown."""
        return max(self.size - len(self.rows), 0)


@attrs.frozen
class Dump:
    """All tables of a process at one moment.

    Attributes:
        instance_id: The process's instance.
        taken_at: Unix time in seconds.
        tables: The tables, by name.
    """

    instance_id: str
    taken_at: float
    tables: tuple[TableDump, ...]

    def to_json(self) -> bytes:
        """Returns the dump as JSON."""
        return msgspec.json.encode(self)

    def to_text(self) -> str:
        """Returns the dump for people, a table after the other."""
        parts = [f"state of {self.instance_id} at {self.taken_at:.3f}"]
        parts += [_format_table(table) for table in self.tables]
        return "\n\n".join(parts) + "\n"


class TableRegistry:
    """The tables of this process."""

    def __init__(self, instance_id: str) -> None:
        """Starts without tables."""
        self._instance_id = instance_id
        self._tables: dict[str, Table] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the tables, sorted."""
        return tuple(sorted(self._tables))

    def register(self, table: Table) -> None:
        """Adds a table.

        Raises:
            CardamomforkError: The name is taken, or there are too many.
        """
        if table.name in self._tables or len(self._tables) >= MAX_TABLES:
            raise exceptions.CardamomforkError(
                f"table {table.name!r} cannot be registered for the dump.",
                f"Names are unique, and there are at most {MAX_TABLES}.",
            )
        self._tables[table.name] = table

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Returns the size and bound of each table, for the metrics."""
        return {
            name: (table.size(), table.bound)
            for name, table in self._tables.items()
        }

    def take(
        self,
        now_wall: float,
        names: Iterable[str] = (),
        max_rows: int = DEFAULT_ROWS,
    ) -> Dump:
        """Takes a dump.

        Args:
            now_wall: Unix time in seconds.
            names: Tables to dump; all if empty, unknown ones are left out.
            max_rows: Most rows of each table.
        """
        selected_names = set(names) or set(self._tables)
        max_table_rows = min(max(max_rows, 0), MAX_ROWS)
        tables = tuple(
            _dump_table(self._tables[name], max_table_rows)
            for name in self.names
            if name in selected_names
        )
        return Dump(self._instance_id, now_wall, tables)


def from_json(data: bytes) -> Dump:
    """Reads a dump that another process took.

    Raises:
        msgspec.DecodeError: It is not a dump.
    """
    return msgspec.json.decode(data, type=Dump)


def _dump_table(table: Table, max_table_rows: int) -> TableDump:
    """Dumps one table; a fault in it leaves the others whole."""
    try:
        rows = tuple(
            {key: _to_json_value(value) for key, value in row.items()}
            for row in itertools.islice(table.rows(), max_table_rows)
        )
        return TableDump(table.name, table.size(), table.bound, rows)
    except Exception as error:  # noqa: BLE001
        return TableDump(table.name, 0, table.bound, (), type(error).__name__)


def _to_json_value(value: Any) -> Any:
    """Returns a cell as JSON holds it, cut and without secrets."""
    if value is None or isinstance(value, bool | int | float):
        return value
    return logs.redact(str(value))[:MAX_CELL_CHARACTERS]


def _format_table(table: TableDump) -> str:
    """Returns one table as text."""
    heading = f"{table.name}: {table.size} of at most {table.bound}"
    if table.fault:
        return f"{heading}; rows could not be read ({table.fault})"
    lines = [heading]
    for row in table.rows:
        cells = [f"{key}={_format_cell(value)}" for key, value in row.items()]
        lines.append("  " + " ".join(cells))
    if table.rows and table.omitted_row_count:
        lines.append(f"  ... {table.omitted_row_count} more")
    return "\n".join(lines)


def _format_cell(value: Any) -> str:
    """Returns a cell for people."""
    if isinstance(value, float):
        return f"{value:.6g}"
    return str(value)[:MAX_TEXT_CELL_CHARACTERS]
