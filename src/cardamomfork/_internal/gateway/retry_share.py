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

SAFETY = 0.7
"""Part of the bound that is used, so that unseen instances fit in too."""
MIN_INSTANCES = 3
"""Instances that the reserve is divided by at the least."""


@attrs.define
class _Counts:
    """Times of a service's requests and repeats, the oldest first."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


class RetryShare:
    """Counts requests and repeats of each service over a sliding window."""

    def __init__(self, settings: fleet.EntrySettings) -> None:
        """Takes the bound from the settings."""
        self._settings = settings
        self._services: dict[str, _Counts] = {}
        self._instances = MIN_INSTANCES

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Takes another bound; what has been counted stays."""
        self._settings = settings

    def update_instances(self, count: int) -> None:
        """Notes how many instances share the reserve."""
        self._instances = max(count, MIN_INSTANCES)

    def count_request(self, service: str, now: float) -> None:
        """Counts a caller's request for a service."""
        self._prune(service, now).requests.append(now)

    def left(self, service: str, now: float) -> float:
        """Returns how many repeats may be made now."""
        counts = self._prune(service, now)
        allowed = SAFETY * (
            self._settings.retry_share * len(counts.requests)
            + self._settings.retry_reserve / self._instances
        )
        return allowed - len(counts.repeats)

    def take(self, service: str, now: float) -> bool:
        """Takes one repeat; False if none is left."""
        if self.left(service, now) < 1:
            return False
        self._services[service].repeats.append(now)
        return True

    def _prune(self, service: str, now: float) -> _Counts:
        """Returns a service's counts without what left the window."""
        counts = self._services.setdefault(service, _Counts())
        oldest = now - self._settings.retry_window_s
        for times in (counts.requests, counts.repeats):
            while times and times[0] < oldest:
                times.popleft()
        return counts
