"""Rendezvous hashing: assigns each key to one member of a set.

All members compute the same ranking without communication. When a member
leaves, only the keys that it owned move.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def score(key: str, member: str) -> int:
    """Returns a member's 64-bit score for a key; the highest score owns it."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns a key; None without members."""
    return max(
        members, key=lambda member: (score(key, member), member), default=None
    )


def owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the `count` highest-ranked members for a key, owner first."""
    return heapq.nlargest(
        count, members, key=lambda member: (score(key, member), member)
    )
