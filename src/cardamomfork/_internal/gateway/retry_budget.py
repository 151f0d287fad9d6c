"""This instance's share of the repeats that a service may get.

All instances together stay under one bound without asking each other: the
share that goes with requests counts only this instance's own requests, and
the fixed reserve is divided among the instances that are known.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

USED_BUDGET_FRACTION = 0.7
"""Part of the bound that is used, so that unseen instances fit in too."""
MIN_INSTANCE_COUNT = 3
"""Instances that the reserve is divided by at the least."""


@attrs.define
class _ServiceUsage:
    """Times of a service's requests and repeats, the oldest first."""

    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)


class RetryBudget:
    """Counts requests and repeats of each service over a sliding window."""

    def __init__(self, settings: fleet.EntrySettings) -> None:
        """Takes the bound from the settings."""
        self._settings = settings
        self._usage_by_service: dict[str, _ServiceUsage] = {}
        self._instance_count = MIN_INSTANCE_COUNT

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Takes another bound; what has been counted stays."""
        self._settings = settings

    def update_instances(self, count: int) -> None:
        """Notes how many instances share the reserve."""
        self._instance_count = max(count, MIN_INSTANCE_COUNT)

    def count_request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        self._prune(service, now).requests.append(now)

    def available(self, service: str, now: float) -> float:
        """Returns how many repeats may be made now."""
        usage = self._prune(service, now)
        allowed = USED_BUDGET_FRACTION * (
            self._settings.retry_share * len(usage.requests)
            + self._settings.retry_reserve / self._instance_count
        )
        return allowed - len(usage.retries)

    def try_acquire(self, service: str, now: float) -> bool:
        """Takes one repeat; False if none is left."""
        if self.available(service, now) < 1:
            return False
        self._usage_by_service[service].retries.append(now)
        return True

    def _prune(self, service: str, now: float) -> _ServiceUsage:
        """Returns a service's counts without what left the window."""
        usage = self._usage_by_service.setdefault(service, _ServiceUsage())
        oldest = now - self._settings.retry_window_s
        for timestamps in (usage.requests, usage.retries):
            while timestamps and timestamps[0] < oldest:
                timestamps.popleft()
        return usage
