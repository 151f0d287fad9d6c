"""Rendezvous hashing: who of a set of members is responsible for a key.

Every member ranks alike without talking, and when one leaves, only the keys
that were its own move.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def score(key: str, member: str) -> int:
    """Returns a member's 64-bit score for a key; the highest owns it."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns a key, or None if there is none."""
    return max(
        members, key=lambda member: (score(key, member), member), default=None
    )


def owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the first `count` members for a key, the owner first."""
    return heapq.nlargest(
        count, members, key=lambda member: (score(key, member), member)
    )
