"""Retry policy: whether, when and where a failed request is retried.

Retries and hedges of a service draw on one retry budget, a share of its
recent first tries. The budget grows more slowly while most tries fail, because
retries then only add load. A request that can't be retried is ended
immediately with a retry-after time instead of being held until its deadline.
"""

from __future__ import annotations

from collections import OrderedDict
import enum
from typing import Any
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.models import identifiers

MAX_TRIES = 4
MAX_SERVICES = 4096
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
RATE_WINDOW_S = 10.0
MIN_BUDGET_CAPACITY = 10.0
"""Retries that a service may save up even at a low request rate."""
MIN_EARNED_FRACTION = 0.2
FAILURE_WEIGHT = 0.02
"""Weight of one try in the moving average of failures."""
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
MAX_HEDGED_TOKENS = 4096
HEDGE_DELAY_FACTOR = 3.0
HEDGE_RESERVE_FRACTION = 0.5
"""Fraction of the budget's capacity that hedges leave to retries."""


class Place(enum.Enum):
    """Where the next attempt is sent."""

    OTHER_TARGET = "other_target"
    OTHER_DATA_CENTRE = "other_data_centre"


@attrs.frozen
class Failure:
    """A failed attempt of a request that is still open.

    Attributes:
        service: Service of the request.
        kind: How the attempt failed.
        tries: Attempts started so far, including the first.
        may_run_again: Whether the request may be executed again.
        time_left_s: Time until the deadline, in seconds.
        expected_s: Predicted duration of another attempt, in seconds.
        retry_after_s: Retry-after time sent by the target, in seconds, or
            None.
    """

    service: identifiers.ServiceName
    kind: targets.FaultKind
    tries: int
    may_run_again: bool
    time_left_s: float
    expected_s: float
    retry_after_s: float | None = None


@attrs.frozen
class Retry:
    """Decision to retry a request.

    Attributes:
        wait_s: Backoff before the retry, in seconds.
        place: Where the retry is sent.
    """

    wait_s: float
    place: Place


@attrs.frozen
class GiveUp:
    """Decision to end a request without another attempt.

    Attributes:
        reason: Reason for the refusal.
        detail: Explanation for the caller, in one sentence.
        retry_after_s: Time after which the caller may resend the request, in
            seconds; None if resending it does not help.
    """

    reason: outcomes.RefusalReason
    detail: str
    retry_after_s: float | None = None


@attrs.define
class _Budget:
    """Retry budget of a service.

    Attributes:
        share: Retries that one first try earns while no tries fail.
        updated_at: Monotonic time of the last first try, in seconds.
        saved: Retries that may be made now.
        first_tries_per_s: First tries a second, averaged over
            `RATE_WINDOW_S`.
        failures: Moving average of the fraction of tries that fail.
    """

    share: float
    updated_at: float
    saved: float = 0.0
    first_tries_per_s: float = 0.0
    failures: float = 0.0

    @property
    def capacity(self) -> float:
        """The maximum number of saved retries."""
        return max(
            self.share * self.first_tries_per_s * RATE_WINDOW_S,
            MIN_BUDGET_CAPACITY,
        )

    def earn(self, now: float) -> None:
        """Adds the retries earned by a first try."""
        elapsed_s = max(now - self.updated_at, 0.0)
        self.updated_at = now
        decay = max(1.0 - elapsed_s / RATE_WINDOW_S, 0.0)
        self.first_tries_per_s = (
            self.first_tries_per_s * decay + 1.0 / RATE_WINDOW_S
        )
        earned_fraction = max(1.0 - self.failures, MIN_EARNED_FRACTION)
        self.saved = min(
            self.saved + self.share * earned_fraction, self.capacity
        )

    def spend(self, reserve: float = 0.0) -> bool:
        """Spends one retry; returns False if only the reserve is left."""
        if self.saved < 1.0 + reserve:
            return False
        self.saved -= 1.0
        return True


@attrs.define
class RetryCounters:
    """Counts of tries by kind.

    The load amplification is `tries / first_tries`.

    Attributes:
        first_tries: First tries.
        retries: Allowed retries.
        hedges: Allowed hedges.
        over_budget: Retries refused because the budget was spent.
    """

    first_tries: int = 0
    retries: int = 0
    hedges: int = 0
    over_budget: int = 0

    @property
    def tries(self) -> int:
        """The number of tries of all kinds."""
        return self.first_tries + self.retries + self.hedges


class RetryPolicy:
    """Decides on retries and hedges with a retry budget for each service."""

    def __init__(self, rng: random.Random, first_saved: float = 0.0) -> None:
        """Initializes a policy without services.

        Args:
            rng: Random generator for jitter.
            first_saved: Initial balance of a new service's budget in retries,
                at most `MIN_BUDGET_CAPACITY`.
        """
        self._rng = rng
        self._first_saved = min(first_saved, MIN_BUDGET_CAPACITY)
        self._budgets: OrderedDict[identifiers.ServiceName, _Budget] = (
            OrderedDict()
        )
        self.counters = RetryCounters()

    @property
    def size(self) -> int:
        """The number of services with a budget."""
        return len(self._budgets)

    def describe(self) -> list[dict[str, Any]]:
        """Returns one row per service for the state dump."""
        return [
            {
                "service": service,
                "share": budget.share,
                "saved": round(budget.saved, 2),
                "most": round(budget.capacity, 2),
                "failures": round(budget.failures, 3),
            }
            for service, budget in self._budgets.items()
        ]

    def note_first_try(
        self, service: identifiers.ServiceName, share: float, now: float
    ) -> None:
        """Records the first try of a request.

        Args:
            service: Service of the request.
            share: The service's retry budget as a share of first tries.
            now: Current time in seconds.
        """
        budget = self._get_or_create_budget(service, share, now)
        budget.share = share
        budget.earn(now)
        self.counters.first_tries += 1

    def note_end(self, service: identifiers.ServiceName, failed: bool) -> None:
        """Records the end of any try, failed or not."""
        budget = self._budgets.get(service)
        if budget is not None:
            budget.failures += FAILURE_WEIGHT * (failed - budget.failures)

    def decide(self, failure: Failure) -> result.Result[Retry, GiveUp]:
        """Decides whether to retry after a failure; call `note_end` first."""
        if not failure.may_run_again:
            return result.Err(_give_up_unrepeatable(failure))
        if failure.tries >= MAX_TRIES:
            return result.Err(self._give_up_exhausted(failure))
        max_wait_s = min(BASE_BACKOFF_S * 2.0**failure.tries, MAX_BACKOFF_S)
        wait_s = self._rng.random() * max_wait_s
        if wait_s + failure.expected_s > failure.time_left_s:
            return result.Err(
                GiveUp(
                    outcomes.RefusalReason.DEADLINE_UNREACHABLE,
                    "The time left does not suffice for another try.",
                    self._retry_after(failure),
                )
            )
        budget = self._budgets.get(failure.service)
        if budget is None or not budget.spend():
            self.counters.over_budget += 1
            return result.Err(self._give_up_exhausted(failure))
        self.counters.retries += 1
        self._check_bounds(budget)
        place = Place.OTHER_TARGET
        if failure.tries > 1:
            place = Place.OTHER_DATA_CENTRE
        return result.Ok(Retry(wait_s, place))

    def may_hedge(
        self,
        service: identifiers.ServiceName,
        prompt_tokens: int,
        idempotent: bool,
        waited_s: float,
        expected_s: float,
    ) -> bool:
        """Returns whether to hedge a request that has no first token yet.

        A hedge is a second attempt on another target. If it is allowed, it is
        counted and spent from the budget. Call this at most once per request.

        Args:
            service: Service of the request.
            prompt_tokens: Length of the prompt in tokens.
            idempotent: Whether the request may safely run twice.
            waited_s: Time since the first attempt was sent, in seconds.
            expected_s: Predicted time to the first token, in seconds.
        """
        if not idempotent or prompt_tokens > MAX_HEDGED_TOKENS:
            return False
        if waited_s < HEDGE_DELAY_FACTOR * expected_s:
            return False
        budget = self._budgets.get(service)
        if budget is None:
            return False
        if not budget.spend(HEDGE_RESERVE_FRACTION * budget.capacity):
            return False
        self.counters.hedges += 1
        return True

    def saved(self, service: identifiers.ServiceName) -> float:
        """Returns the number of retries that a service may make now."""
        budget = self._budgets.get(service)
        return budget.saved if budget else 0.0

    def _get_or_create_budget(
        self, service: identifiers.ServiceName, share: float, now: float
    ) -> _Budget:
        """Returns a service's budget, creating it if there is none.

        Evicts the least recently used budgets above `MAX_SERVICES`.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = _Budget(share, now, saved=self._first_saved)
            self._budgets[service] = budget
        self._budgets.move_to_end(service)
        while len(self._budgets) > MAX_SERVICES:
            self._budgets.popitem(last=False)
        return budget

    def _give_up_exhausted(self, failure: Failure) -> GiveUp:
        """Returns the decision for a request with no retry left."""
        return GiveUp(
            outcomes.RefusalReason.RETRIES_EXHAUSTED,
            "The targets failed and no more retries are allowed now.",
            self._retry_after(failure),
        )

    def _retry_after(self, failure: Failure) -> float:
        """Returns the retry-after time in seconds, with jitter.

        It increases with the failure rate and is at least the target's value.
        """
        budget = self._budgets.get(failure.service)
        failures = budget.failures if budget else 1.0
        range_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        advised = MIN_RETRY_AFTER_S + range_s * failures * self._rng.random()
        return max(advised, failure.retry_after_s or 0.0)

    def _check_bounds(self, budget: _Budget) -> None:
        """Checks that a budget is within its bounds."""
        exceptions.check_invariant(
            0.0 <= budget.saved <= budget.capacity,
            "a retry budget stays within its bounds",
            budget,
        )


def _give_up_unrepeatable(failure: Failure) -> GiveUp:
    """Returns the decision for a request that must not run again."""
    if failure.kind is targets.FaultKind.REJECTED:
        return GiveUp(
            outcomes.RefusalReason.TARGET_REFUSED,
            "The target ran the request and answered with an error.",
        )
    return GiveUp(
        outcomes.RefusalReason.TARGET_LOST,
        "The target was lost and the request must not run twice.",
    )
