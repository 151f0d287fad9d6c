"""Turns at the weight store: so many loads at once, so far apart."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.targets import orders_models as models


class Turns:
    """Engines that may load now, each until a time."""

    def __init__(self, budget: models.WeightBudget) -> None:
        """Starts with all turns free.

        Args:
            budget: How many at once, and how far apart.
        """
        self._budget = budget
        self._held: dict[identifiers.TargetId, float] = {}
        self._next_start_at = -math.inf

    def __len__(self) -> int:
        """Returns how many turns are taken."""
        return len(self._held)

    def __contains__(self, name: identifiers.TargetId) -> bool:
        """Tells whether an engine has a turn."""
        return name in self._held

    def is_free(self, now: float) -> bool:
        """Tells whether another engine may begin now."""
        room = len(self._held) < self._budget.loads_at_once
        return room and now >= self._next_start_at

    def free_at(self) -> float:
        """Returns when another engine may begin if none ends before."""
        if len(self._held) < self._budget.loads_at_once:
            return self._next_start_at
        return max(min(self._held.values()), self._next_start_at)

    def take(
        self, name: identifiers.TargetId, now: float, until: float
    ) -> None:
        """Gives an engine a turn, or a new end to the one that it has."""
        if name not in self._held:
            self._next_start_at = now + self._budget.load_interval_s
        self._held[name] = until
        exceptions.check_invariant(
            len(self._held) <= self._budget.loads_at_once,
            "loads stay within the weight store's budget",
            name,
        )

    def release(self, name: identifiers.TargetId) -> None:
        """Takes an engine's turn back."""
        self._held.pop(name, None)

    def end_overdue(self, now: float) -> None:
        """Takes back the turns whose time is over."""
        over = [name for name, end in self._held.items() if now >= end]
        for name in over:
            del self._held[name]

    def clear(self) -> None:
        """Takes all turns back."""
        self._held.clear()
