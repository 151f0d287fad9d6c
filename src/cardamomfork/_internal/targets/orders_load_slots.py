"""Load slots: limits concurrent loads and the rate of load starts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import orders_models as models


class LoadSlots:
    """Load slots held by engines, each with an expiry time."""

    def __init__(self, budget: models.WeightStoreBudget) -> None:
        """Initializes the slots; all are free.

        Args:
            budget: Number of slots and shortest interval between starts.
        """
        self._budget = budget
        self._expires_at: dict[identifiers.TargetId, float] = {}
        self._next_start_at = -math.inf

    def __len__(self) -> int:
        """Returns the number of slots held."""
        return len(self._expires_at)

    def __contains__(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether an engine holds a slot."""
        return target_id in self._expires_at

    def is_free(self, now: float) -> bool:
        """Returns whether another engine may start a load now."""
        has_free_slot = (
            len(self._expires_at) < self._budget.max_concurrent_loads
        )
        return has_free_slot and now >= self._next_start_at

    def next_free_at(self) -> float:
        """Returns when the next load may start if no slot is released early."""
        if len(self._expires_at) < self._budget.max_concurrent_loads:
            return self._next_start_at
        return max(min(self._expires_at.values()), self._next_start_at)

    def acquire(
        self, target_id: identifiers.TargetId, now: float, expires_at: float
    ) -> None:
        """Gives an engine a slot, or extends the slot that it holds."""
        if target_id not in self._expires_at:
            self._next_start_at = now + self._budget.min_load_interval_s
        self._expires_at[target_id] = expires_at
        exceptions.check_invariant(
            len(self._expires_at) <= self._budget.max_concurrent_loads,
            "loads stay within the weight store's budget",
            target_id,
        )

    def release(self, target_id: identifiers.TargetId) -> None:
        """Releases an engine's slot."""
        self._expires_at.pop(target_id, None)

    def release_expired(self, now: float) -> None:
        """Releases all slots whose expiry time has passed."""
        expired = [
            target_id
            for target_id, end in self._expires_at.items()
            if now >= end
        ]
        for target_id in expired:
            del self._expires_at[target_id]

    def clear(self) -> None:
        """Releases all slots."""
        self._expires_at.clear()
