"""Decides whether a failed request is retried, or how it ends."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.requests import exchanges

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.crashes import poison_guard
    from cardamomfork._internal.gateway.queueing import retry_budget

MIN_ATTEMPT_S = 0.05
"""Least time left that allows another attempt."""
RETRY_AFTER_NOT_RUN_S = 0.3
"""Retry-after time for a request that no target ran. The queue of a target that
refused it drains in a fraction of a second."""
MAX_RESERVATIONS_REFUSED = 3
MAX_PERMITS_REFUSED = 8
"""Number of targets whose rate limit may refuse one request."""
MAX_PEERS_REFUSED = 3
RETRY_AFTER_CUT_OFF_S = 1.0
"""Retry-after time while no target can be reached. Probes find out once a
second whether that is over."""
CUT_OFF_REASON = "cut off from all targets"
NOTHING_SENT = (
    outcomes.Failure.NO_MEMORY,
    outcomes.Failure.RATE_LIMITED,
    outcomes.Failure.PEER_REFUSED,
    outcomes.Failure.UNWANTED,
)
"""Failures after which another attempt is no retry."""
MAX_REFUSED_ATTEMPTS = 2
"""Number of attempts that targets may refuse, beyond the maximum number of
attempts of the route."""


class RetryDecider:
    """Decides between a retry and a final answer after a failed attempt."""

    def __init__(
        self,
        budget: retry_budget.RetryBudget,
        guard: poison_guard.PoisonGuard,
        clock: Callable[[], float],
    ) -> None:
        """Initializes the decider.

        Args:
            budget: The retry budget of this instance.
            guard: Records of requests that crash targets.
            clock: Monotonic time.
        """
        self._retry_budget = budget
        self._guard = guard
        self._clock = clock

    def after_failure(
        self, exchange: exchanges.Exchange, failed: outcomes.Failed
    ) -> exchanges.FinalAnswer | None:
        """Returns the final answer, or None if the request is retried."""
        now = self._clock()
        block = self._guard.find_block(exchange.suspects, now)
        stop_reason = (
            self._find_stop_reason(exchange, failed, now)
            if block is None
            else block.reason
        )
        if stop_reason is None:
            exchange.log.retried(failed, exchange.deadline - now)
            return None
        retry_after_s = RETRY_AFTER_NOT_RUN_S
        if block is not None:
            retry_after_s = block.retry_after_s
        elif failed.failure is outcomes.Failure.NO_PATH:
            retry_after_s = RETRY_AFTER_CUT_OFF_S
        return _make_final_answer(exchange, failed, stop_reason, retry_after_s)

    def may_follow_silence(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether another attempt may follow one without an answer."""
        now = self._clock()
        return (
            exchange.match.route.may_repeat
            and exchange.progress.may_continue
            and self._guard.find_block(exchange.suspects, now) is None
            and self._guard.may_retry(exchange.suspects)
            and exchange.deadline - now >= MIN_ATTEMPT_S
            and _find_reached_limit(exchange) is None
            and self._retry_budget.available(exchange.match.service.name, now)
            >= 1
        )

    def _find_stop_reason(
        self, exchange: exchanges.Exchange, failed: outcomes.Failed, now: float
    ) -> str | None:
        """Returns why a request is not retried; None if it is."""
        if failed.failure is outcomes.Failure.NO_PATH:
            return CUT_OFF_REASON
        if not failed.is_known_not_run and not exchange.match.route.may_repeat:
            return "may not run again"
        if not exchange.progress.may_continue:
            return "its answer has begun"
        if failed.is_lost and not self._guard.may_retry(exchange.suspects):
            return "a part of its prompt may crash targets"
        if exchange.deadline - now < MIN_ATTEMPT_S:
            return "no time left"
        if (reason := _find_reached_limit(exchange)) is not None:
            return reason
        is_retry = exchange.sent_attempts and failed.failure not in NOTHING_SENT
        if is_retry and not self._retry_budget.try_acquire(
            exchange.match.service.name, now
        ):
            return "no retry left"
        return None


def _find_reached_limit(exchange: exchanges.Exchange) -> str | None:
    """Returns which limit on attempts a request has reached, or None."""
    max_attempts = exchange.match.route.max_attempts
    if exchange.possible_runs >= max_attempts:
        return "no attempt left"
    if exchange.sent_attempts >= max_attempts + MAX_REFUSED_ATTEMPTS:
        return "refused by several targets"
    if exchange.reservations_refused > MAX_RESERVATIONS_REFUSED:
        return "no memory in several places"
    if exchange.permits_refused > MAX_PERMITS_REFUSED:
        return "rate limits of several targets"
    if exchange.peers_refused > MAX_PEERS_REFUSED:
        return "refused by several peers"
    return None


def _make_final_answer(
    exchange: exchanges.Exchange,
    failed: outcomes.Failed,
    stop_reason: str,
    retry_after_s: float,
) -> exchanges.FinalAnswer:
    """Returns the final answer after a failure.

    Only status 503 states that the request has not run on any target.
    """
    reason = f"{failed.failure.value}: {failed.detail}; {stop_reason}"
    if exchange.possible_runs == 0:
        return exchanges.FinalAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s
        )
    if failed.failure is outcomes.Failure.SILENT:
        return exchanges.FinalAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, reason)
    return exchanges.FinalAnswer(http.HTTPStatus.BAD_GATEWAY, reason)
