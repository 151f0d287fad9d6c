"""Whether a request is tried once more after a failure, and its end if not."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from cardamomfork._internal.gateway import exchanges
from cardamomfork._internal.gateway import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway import poison_guard
    from cardamomfork._internal.gateway import retry_share

MIN_SENDING_S = 0.05
"""Least time for which an attempt is worth sending."""
RETRY_AFTER_NOT_RUN_S = 0.3
"""Time to come back after a target refused; its queue drains in parts of a
second."""
MAX_RESERVATIONS_REFUSED = 3
EXTRA_ARRIVALS = 2
"""Targets that may refuse a request beside those that may run it."""


class RetryDecider:
    """Decides what follows a failed attempt."""

    def __init__(
        self,
        retries: retry_share.RetryShare,
        guard: poison_guard.PoisonGuard,
        clock: Callable[[], float],
    ) -> None:
        """Takes what decides beside the request.

        Args:
            retries: This instance's share of repeats.
            guard: Requests that crash targets.
            clock: Monotonic time.
        """
        self._retries = retries
        self._guard = guard
        self._clock = clock

    def after_failure(
        self, exchange: exchanges.Exchange, failed: outcomes.Failed
    ) -> exchanges.FinalAnswer | None:
        """Returns the end of a request, or None to try once more."""
        route = exchange.match.route
        now = self._clock()
        may_run_again = failed.surely_not_run or route.may_repeat
        left = exchange.ends_at - now
        why = None
        if not may_run_again:
            why = "may not run again"
        elif left < MIN_SENDING_S:
            why = "no time left"
        elif exchange.runs >= route.max_attempts:
            why = "no attempt left"
        elif exchange.arrivals >= route.max_attempts + EXTRA_ARRIVALS:
            why = "refused by several targets"
        elif exchange.reservations_refused > MAX_RESERVATIONS_REFUSED:
            why = "no memory in several places"
        elif self._guard.is_blocked(exchange.fingerprint, now):
            why = "crashed several targets"
        elif (
            exchange.arrivals
            and failed.failure is not outcomes.Failure.NO_MEMORY
            and not self._retries.take(exchange.match.service.name, now)
        ):
            why = "no retry left"
        if why is None:
            exchange.log.tries_again(failed, left)
            return None
        return _make_final(exchange, failed, why)


def _make_final(
    exchange: exchanges.Exchange, failed: outcomes.Failed, why: str
) -> exchanges.FinalAnswer:
    """Returns the truthful end after a failure."""
    reason = f"{failed.failure.value}: {failed.detail}; {why}"
    if exchange.runs == 0:
        return exchanges.FinalAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_NOT_RUN_S
        )
    if failed.failure is outcomes.Failure.SILENT:
        return exchanges.FinalAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, reason)
    return exchanges.FinalAnswer(http.HTTPStatus.BAD_GATEWAY, reason)
