"""Tracks which request fingerprints are running on which targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from cardamomfork._internal.models import identifiers


class RunningFingerprints:
    """Counts the attempts in progress by target and by fingerprint.

    An entry exists only while its attempts are in progress, so the limit on
    concurrent attempts also bounds the size of this table.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._by_target: dict[identifiers.TargetId, dict[bytes, int]] = {}
        self._totals: dict[bytes, int] = {}

    def add(self, key: bytes, target_id: identifiers.TargetId) -> None:
        """Adds an attempt that is sent to a target."""
        counts = self._by_target.setdefault(target_id, {})
        counts[key] = counts.get(key, 0) + 1
        self._totals[key] = self._totals.get(key, 0) + 1

    def remove(self, key: bytes, target_id: identifiers.TargetId) -> bool:
        """Removes an attempt; returns False if the target has none with it."""
        counts = self._by_target.get(target_id, {})
        if key not in counts:
            return False
        counts[key] -= 1
        if counts[key] == 0:
            del counts[key]
            if not counts:
                del self._by_target[target_id]
        self._subtract(key, 1)
        return True

    def remove_all(self, target_id: identifiers.TargetId) -> Collection[bytes]:
        """Removes all attempts of a target and returns their fingerprints."""
        counts = self._by_target.pop(target_id, {})
        for key, count in counts.items():
            self._subtract(key, count)
        return counts.keys()

    def on_target(self, target_id: identifiers.TargetId) -> Collection[bytes]:
        """Returns the fingerprints that are running on a target."""
        return self._by_target.get(target_id, {}).keys()

    def is_running(self, key: bytes) -> bool:
        """Returns whether a fingerprint is running on any target."""
        return key in self._totals

    def _subtract(self, key: bytes, count: int) -> None:
        """Subtracts attempts from a fingerprint's total."""
        self._totals[key] -= count
        if self._totals[key] == 0:
            del self._totals[key]
