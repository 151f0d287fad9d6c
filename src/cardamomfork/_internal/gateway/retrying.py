"""Whether a request is tried once more after a failure, and its end if not."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from cardamomfork._internal.gateway import exchanges
from cardamomfork._internal.gateway import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway import poison_guard
    from cardamomfork._internal.gateway import retry_budget

MIN_ATTEMPT_S = 0.05
"""Least time for which an attempt is worth sending."""
RETRY_AFTER_NOT_RUN_S = 0.3
"""Time to come back after a target refused; its queue drains in parts of a
second."""
MAX_RESERVATIONS_REFUSED = 3
MAX_REFUSED_ATTEMPTS = 2
"""Targets that may refuse a request beside those that may run it."""


class RetryDecider:
    """Decides what follows a failed attempt."""

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        guard: poison_guard.PoisonGuard,
        clock: Callable[[], float],
    ) -> None:
        """Takes what decides beside the request.

        Args:
            retries: This instance's share of repeats.
            guard: Requests that crash targets.
            clock: Monotonic time.
        """
        self._retry_budget = budget
        self._guard = guard
        self._clock = clock

    def after_failure(
        self, exchange: exchanges.Exchange, failed: outcomes.Failed
    ) -> exchanges.FinalAnswer | None:
        """Returns the end of a request, or None to try once more."""
        route = exchange.match.route
        now = self._clock()
        may_retry = failed.is_known_not_run or route.may_repeat
        remaining_s = exchange.deadline - now
        stop_reason = None
        if not may_retry:
            stop_reason = "may not run again"
        elif remaining_s < MIN_ATTEMPT_S:
            stop_reason = "no time left"
        elif exchange.possible_runs >= route.max_attempts:
            stop_reason = "no attempt left"
        elif (
            exchange.sent_attempts >= route.max_attempts + MAX_REFUSED_ATTEMPTS
        ):
            stop_reason = "refused by several targets"
        elif exchange.reservations_refused > MAX_RESERVATIONS_REFUSED:
            stop_reason = "no memory in several places"
        elif self._guard.is_blocked(exchange.fingerprint, now):
            stop_reason = "crashed several targets"
        elif (
            exchange.sent_attempts
            and failed.failure is not outcomes.Failure.NO_MEMORY
            and not self._retry_budget.try_acquire(
                exchange.match.service.name, now
            )
        ):
            stop_reason = "no retry left"
        if stop_reason is None:
            exchange.log.retried(failed, remaining_s)
            return None
        return _make_final_answer(exchange, failed, stop_reason)


def _make_final_answer(
    exchange: exchanges.Exchange, failed: outcomes.Failed, stop_reason: str
) -> exchanges.FinalAnswer:
    """Returns the truthful end after a failure."""
    reason = f"{failed.failure.value}: {failed.detail}; {stop_reason}"
    if exchange.possible_runs == 0:
        return exchanges.FinalAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE, reason, RETRY_AFTER_NOT_RUN_S
        )
    if failed.failure is outcomes.Failure.SILENT:
        return exchanges.FinalAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, reason)
    return exchanges.FinalAnswer(http.HTTPStatus.BAD_GATEWAY, reason)
