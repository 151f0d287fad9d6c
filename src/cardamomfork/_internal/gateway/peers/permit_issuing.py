"""Issues permits at the rate that a target limits its requests to."""

from __future__ import annotations

from collections import OrderedDict

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.gateway.peers import permit_codec

BURST_REQUESTS = 2
"""Requests that may follow each other without a pause."""
MIN_RATE_PER_S = 0.1
"""Least rate of permits. A target that gets no requests at all could not tell
that its limit has ended."""
MAX_ISSUED_TARGETS = 1000


class PermitIssuer:
    """Issues permits at the rate of each target's limit.

    A permit may be for a time in the future, so that requests that can wait
    are served in the order in which they asked. The rate is that of each
    request, since instances may know different limits of a target; the pause
    after the last permit holds for all of them.

    A target has one schedule, also while instances know different processes
    of it: the one that runs receives all requests.
    """

    def __init__(self) -> None:
        """Initializes the issuer without schedules."""
        # Times from which the last permits may be used, by target.
        self._last_at: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of targets with a schedule."""
        return len(self._last_at)

    def issue(
        self, request: permit_codec.PermitRequest, now: float
    ) -> permit_codec.PermitDecision:
        """Grants a permit if its time is within the requested wait.

        A new schedule allows no burst.
        """
        pause_s = 1.0 / max(request.rate_per_s, MIN_RATE_PER_S)
        last_at = self._last_at.get(request.target_id)
        available_at = now if last_at is None else last_at + pause_s
        wait_s = max(available_at - now, 0.0)
        if wait_s > request.max_wait_s:
            return permit_codec.PermitDecision(False, wait_s)
        burst_s = (BURST_REQUESTS - 1) * pause_s
        bounded_tables.put_newest(
            self._last_at,
            request.target_id,
            max(available_at, now - burst_s),
            MAX_ISSUED_TARGETS,
        )
        return permit_codec.PermitDecision(True, wait_s)
