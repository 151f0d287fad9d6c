"""The keys under a prefix of the store, and a fingerprint to compare them.

A removed key has no revision of its own in a scan. So instances compare their
keys as well as revisions to find out that one of them has missed a removal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class KnownKeys:
    """Keys that an instance knows, in short.

    Attributes:
        revision: Store revision up to which it has received all changes; 0 if
            it doesn't say.
        fingerprint: Fingerprint of the keys.
    """

    revision: int = 0
    fingerprint: int = 0


class KeySet:
    """The keys under a prefix."""

    def __init__(self) -> None:
        """Initializes an empty set."""
        self._keys: set[str] = set()
        self._fingerprint = 0

    @property
    def fingerprint(self) -> int:
        """Fingerprint that is equal for equal keys; 64 bits."""
        return self._fingerprint

    def replace(self, entries: Iterable[store.Entry]) -> None:
        """Replaces all keys by those of a scan."""
        self._keys = {entry.key for entry in entries}
        self._fingerprint = 0
        for key in self._keys:
            self._fingerprint ^= _hash(key)

    def apply(self, entry: store.Entry) -> None:
        """Adds the key of an entry, or drops that of a removed one."""
        is_removed = entry.version == store.ABSENT
        if is_removed == (entry.key in self._keys):
            self._keys ^= {entry.key}
            self._fingerprint ^= _hash(entry.key)


def _hash(key: str) -> int:
    """Returns the hash of a key."""
    return xxhash.xxh3_64_intdigest(key.encode())
