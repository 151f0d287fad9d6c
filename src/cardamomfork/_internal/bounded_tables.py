"""Bounded mappings with first-in, first-out eviction."""

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
    """Inserts an entry as the newest; evicts the oldest beyond the bound.

    Args:
        table: The mapping, ordered from the oldest to the newest entry.
        key: Key of the entry; an existing entry is replaced.
        value: Value of the entry.
        max_entries: Maximum number of entries after the insertion.
    """
    table[key] = value
    table.move_to_end(key)
    while len(table) > max_entries:
        table.popitem(last=False)
