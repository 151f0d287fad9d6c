"""Issues permits at the rate that a target limits its requests to."""

from __future__ import annotations

import attrs

from cardamomfork._internal.gateway.peers import permit_codec

BURST_REQUESTS = 2
"""Requests that may follow each other without a pause."""
MIN_RATE_PER_S = 0.1
"""Least rate of permits. A target that gets no requests at all could not tell
that its limit has ended."""
MAX_ISSUED_TARGETS = 1000


@attrs.define
class _Schedule:
    """Schedule of the permits of one target.

    Attributes:
        rate_per_s: Rate of the permits.
        available_at: Time from which the next permit may be used.
    """

    rate_per_s: float
    available_at: float


class PermitIssuer:
    """Issues permits at the rate of each target's limit.

    A permit may be for a time in the future, so that requests that can wait
    are served in the order in which they asked.
    """

    def __init__(self) -> None:
        """Initializes the issuer without schedules."""
        self._schedules: dict[tuple[str, int], _Schedule] = {}

    def __len__(self) -> int:
        """Returns the number of targets with a schedule."""
        return len(self._schedules)

    def issue(
        self, request: permit_codec.PermitRequest, now: float
    ) -> permit_codec.PermitDecision:
        """Grants a permit if its time is within the requested wait."""
        rate_per_s = max(request.rate_per_s, MIN_RATE_PER_S)
        burst_s = (BURST_REQUESTS - 1) / rate_per_s
        schedule = self._find_schedule(request, rate_per_s, now)
        wait_s = max(schedule.available_at - now, 0.0)
        if wait_s > request.max_wait_s:
            return permit_codec.PermitDecision(False, wait_s)
        schedule.available_at = (
            max(schedule.available_at, now - burst_s) + 1.0 / rate_per_s
        )
        return permit_codec.PermitDecision(True, wait_s)

    def _find_schedule(
        self,
        request: permit_codec.PermitRequest,
        rate_per_s: float,
        now: float,
    ) -> _Schedule:
        """Returns the schedule of a target; a new one allows no burst."""
        key = (request.target_id, request.started_at_ms)
        schedule = self._schedules.get(key)
        if schedule is None:
            if len(self._schedules) >= MAX_ISSUED_TARGETS:
                self._schedules.pop(next(iter(self._schedules)))
            schedule = _Schedule(rate_per_s, now)
            self._schedules[key] = schedule
        elif schedule.rate_per_s != rate_per_s:
            schedule.rate_per_s = rate_per_s
            schedule.available_at = min(schedule.available_at, now)
        return schedule
