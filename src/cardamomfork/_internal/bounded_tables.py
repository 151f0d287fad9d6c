"""Tables that drop what was put in longest ago once they are full."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections import OrderedDict

K = TypeVar("K")
V = TypeVar("V")


def put_newest(
    table: OrderedDict[K, V], key: K, value: V, max_entries: int
) -> None:
    """Puts an entry in as the newest; drops the oldest past the bound.

    Args:
        table: Its entries, the oldest first.
        key: The entry's key; an entry that has it is replaced.
        value: The entry.
        max_entries: Most entries that remain.
    """
    table[key] = value
    table.move_to_end(key)
    while len(table) > max_entries:
        table.popitem(last=False)
