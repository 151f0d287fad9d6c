"""On-demand dump of the internal tables of a process.

Components register their tables by name. A dump contains the size and bound of
each table and a limited number of its rows. It can be formatted as text or as
JSON.
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
    """A registered table.

    Attributes:
        name: Unique name, such as `accounts.verified`.
        size: Returns the current number of rows.
        bound: Maximum number of rows.
        rows: Returns the rows; called only when a dump is taken.
    """

    name: str
    size: Callable[[], int]
    bound: int
    rows: Callable[[], Iterable[Row]] = tuple


@attrs.frozen
class TableDump:
    """The dump of one table.

    Attributes:
        name: Name of the table.
        size: Number of rows in the table.
        bound: Maximum number of rows.
        rows: The first rows, with truncated cells and redacted secrets.
        fault: Type of the exception raised while reading the rows; empty
            if they were read.
    """

    name: str
    size: int
    bound: int
    rows: tuple[dict[str, Any], ...] = ()
    fault: str = ""

    @property
    def omitted_row_count(self) -> int:
        """Number of rows in the table that the dump omits."""
        return max(self.size - len(self.rows), 0)


@attrs.frozen
class Dump:
    """The dumped tables of a process at one point in time.

    Attributes:
        instance_id: Id of the instance.
        taken_at: Unix time of the dump, in seconds.
        tables: Dumps of the tables, sorted by name.
    """

    instance_id: str
    taken_at: float
    tables: tuple[TableDump, ...]

    def to_json(self) -> bytes:
        """Serializes the dump to JSON."""
        return msgspec.json.encode(self)

    def to_text(self) -> str:
        """Formats the dump as human-readable text."""
        parts = [f"state of {self.instance_id} at {self.taken_at:.3f}"]
        parts += [_format_table(table) for table in self.tables]
        return "\n\n".join(parts) + "\n"


class TableRegistry:
    """Registry of the tables that a state dump contains."""

    def __init__(self, instance_id: str) -> None:
        """Initializes an empty registry."""
        self._instance_id = instance_id
        self._tables: dict[str, Table] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Sorted names of the registered tables."""
        return tuple(sorted(self._tables))

    def register(self, table: Table) -> None:
        """Registers a table.

        Raises:
            CardamomforkError: The name is already registered, or the maximum
                number of tables is reached.
        """
        if table.name in self._tables or len(self._tables) >= MAX_TABLES:
            raise exceptions.CardamomforkError(
                f"table {table.name!r} cannot be registered for the dump.",
                f"Names are unique, and there are at most {MAX_TABLES}.",
            )
        self._tables[table.name] = table

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Returns the size and bound of each table by name."""
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
            names: Tables to dump; all if empty. Unknown names are ignored.
            max_rows: Maximum number of rows per table.
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
    """Parses a dump from JSON.

    Raises:
        msgspec.DecodeError: The data is not a valid dump.
    """
    return msgspec.json.decode(data, type=Dump)


def _dump_table(table: Table, max_table_rows: int) -> TableDump:
    """Dumps one table; records an exception instead of raising it."""
    try:
        rows = tuple(
            {key: _to_json_value(value) for key, value in row.items()}
            for row in itertools.islice(table.rows(), max_table_rows)
        )
        return TableDump(table.name, table.size(), table.bound, rows)
    except Exception as error:  # noqa: BLE001
        return TableDump(table.name, 0, table.bound, (), type(error).__name__)


def _to_json_value(value: Any) -> Any:
    """Converts a cell to a JSON value, truncated and redacted."""
    if value is None or isinstance(value, bool | int | float):
        return value
    return logs.redact(str(value))[:MAX_CELL_CHARACTERS]


def _format_table(table: TableDump) -> str:
    """Formats one table as text."""
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
    """Formats a cell for the text output."""
    if isinstance(value, float):
        return f"{value:.6g}"
    return str(value)[:MAX_TEXT_CELL_CHARACTERS]
