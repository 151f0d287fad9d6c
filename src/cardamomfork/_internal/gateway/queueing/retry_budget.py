"""The part of each service's retry budget that this instance may use.

All instances together stay within one budget without coordination. The budget
is a ratio of the requests, of which each instance counts only its own, plus a
fixed reserve, which is divided by the number of known instances. A process that
has just started does not know what its predecessor used, so it gets little of
the reserve in its first window.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

USED_BUDGET_FRACTION = 0.7
"""Fraction of the budget in use; the rest is for instances not yet known."""
STARTUP_RESERVE_FRACTION = 0.1
"""Fraction of its part of the reserve that a process may use in its first
window. It allows single retries of services with few requests."""
MIN_INSTANCE_COUNT = 3
"""Least number of instances that the reserve is divided by."""


@attrs.define
class _ServiceUsage:
    """Times of a service's requests and retries, oldest first."""

    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)


class RetryBudget:
    """Counts requests and retries of each service in a sliding window."""

    def __init__(
        self, settings: fleet.EntrySettings, started_at: float
    ) -> None:
        """Initializes the budget.

        Args:
            settings: Settings of the process.
            started_at: Monotonic time at which the process started.
        """
        self._settings = settings
        self._started_at = started_at
        self._usage_by_service: dict[str, _ServiceUsage] = {}
        self._instance_count = MIN_INSTANCE_COUNT

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Replaces the settings; the counts stay."""
        self._settings = settings

    def update_instances(self, count: int) -> None:
        """Sets the number of instances that may use the reserve."""
        self._instance_count = max(count, MIN_INSTANCE_COUNT)

    def count_request(self, service: str, now: float) -> None:
        """Counts a request of a caller to a service."""
        self._prune(service, now).requests.append(now)

    def available(self, service: str, now: float) -> float:
        """Returns the number of retries that are available now."""
        usage = self._prune(service, now)
        allowed = USED_BUDGET_FRACTION * (
            self._settings.retry_ratio * len(usage.requests)
            + self._reserve_share(now)
        )
        return allowed - len(usage.retries)

    def try_acquire(self, service: str, now: float) -> bool:
        """Uses one retry of the budget; returns False if none is available."""
        if self.available(service, now) < 1:
            return False
        self._usage_by_service[service].retries.append(now)
        return True

    def _reserve_share(self, now: float) -> float:
        """Returns this instance's part of the reserve.

        An earlier process of this instance may have used it within the window.
        """
        share = self._settings.retry_reserve / self._instance_count
        if now - self._started_at < self._settings.retry_window_s:
            return STARTUP_RESERVE_FRACTION * share
        return share

    def _prune(self, service: str, now: float) -> _ServiceUsage:
        """Drops a service's times before the window; returns the rest."""
        usage = self._usage_by_service.setdefault(service, _ServiceUsage())
        oldest = now - self._settings.retry_window_s
        for timestamps in (usage.requests, usage.retries):
            while timestamps and timestamps[0] < oldest:
                timestamps.popleft()
        return usage
