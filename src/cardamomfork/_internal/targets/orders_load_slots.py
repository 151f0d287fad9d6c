"""Turns at the weight store: so many loads at once, so far apart."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import orders_models as models


class LoadSlots:
    """Engines that may load now, each until a time."""

    def __init__(self, budget: models.WeightStoreBudget) -> None:
        """Starts with all turns free.

        Args:
            budget: How many at once, and how far apart.
        """
        self._budget = budget
        self._expires_at: dict[identifiers.TargetId, float] = {}
        self._next_start_at = -math.inf

    def __len__(self) -> int:
        """Returns how many turns are taken."""
        return len(self._expires_at)

    def __contains__(self, target_id: identifiers.TargetId) -> bool:
        """Tells whether an engine has a turn."""
        return target_id in self._expires_at

    def is_free(self, now: float) -> bool:
        """Tells whether another engine may begin now."""
        has_free_slot = (
            len(self._expires_at) < self._budget.max_concurrent_loads
        )
        return has_free_slot and now >= self._next_start_at

    def next_free_at(self) -> float:
        """Returns when another engine may begin if none ends before."""
        if len(self._expires_at) < self._budget.max_concurrent_loads:
            return self._next_start_at
        return max(min(self._expires_at.values()), self._next_start_at)

    def acquire(
        self, target_id: identifiers.TargetId, now: float, expires_at: float
    ) -> None:
        """Gives an engine a turn, or a new end to the one that it has."""
        if target_id not in self._expires_at:
            self._next_start_at = now + self._budget.min_load_interval_s
        self._expires_at[target_id] = expires_at
        exceptions.check_invariant(
            len(self._expires_at) <= self._budget.max_concurrent_loads,
            "loads stay within the weight store's budget",
            target_id,
        )

    def release(self, target_id: identifiers.TargetId) -> None:
        """Takes an engine's turn back."""
        self._expires_at.pop(target_id, None)

    def release_expired(self, now: float) -> None:
        """Takes back the turns whose time is over."""
        expired = [
            target_id
            for target_id, end in self._expires_at.items()
            if now >= end
        ]
        for target_id in expired:
            del self._expires_at[target_id]

    def clear(self) -> None:
        """Takes all turns back."""
        self._expires_at.clear()
