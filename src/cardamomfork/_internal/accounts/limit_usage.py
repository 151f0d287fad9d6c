"""Usage of one account's limits on one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from cardamomfork._internal.models import configuration

DEMAND_TIME_CONSTANT_S = 0.6
BURST_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@attrs.define
class Usage:
    """Usage of one account's limits on this instance.

    Times are monotonic, in seconds.

    Attributes:
        filled_at: Time of the last refill of the token buckets.
        decayed_at: Time up to which the decay of the demand is applied.
        active_at: Time of the last request or release.
        requests: Fill of the token bucket for requests; may be negative.
        tokens: Fill of the token bucket for prompt tokens; may be negative.
        held: Grants that have not been released.
        demand: Smoothed offered load as a fraction of the fleet-wide limit.
        share: Fraction of the fleet-wide limit that this instance uses.
        confirmed_share: Share on which all data centres have had the
            opportunity to report competing demand.
        raise_requested_at: Time since which a higher share is desired, or
            None.
        refreshed_at: Time of the last update of the share.
    """

    filled_at: float
    decayed_at: float
    active_at: float
    requests: float = 0.0
    tokens: float = 0.0
    held: int = 0
    demand: float = 0.0
    share: float = 0.0
    confirmed_share: float = 0.0
    raise_requested_at: float | None = None
    refreshed_at: float = -1.0

    def decay(self, now: float) -> None:
        """Applies the exponential decay of the demand."""
        elapsed_s = max(now - self.decayed_at, 0.0)
        self.decayed_at = now
        self.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)

    def record_demand(
        self,
        limits: configuration.ClientAccount,
        prompt_tokens: int,
        now: float,
    ) -> None:
        """Adds a request, admitted or not, to the smoothed demand."""
        self.decay(now)
        fraction = max(
            1.0 / limits.requests_per_s,
            prompt_tokens / limits.prompt_tokens_per_s,
        )
        self.demand += fraction / DEMAND_TIME_CONSTANT_S

    def add_burst(
        self, limits: configuration.ClientAccount, fraction: float
    ) -> None:
        """Adds `BURST_S` seconds of a fraction of the limits to the buckets."""
        self.requests += limits.requests_per_s * fraction * BURST_S
        self.tokens += limits.prompt_tokens_per_s * fraction * BURST_S

    def refill(self, limits: configuration.ClientAccount, now: float) -> None:
        """Refills the buckets at this instance's share of the rates."""
        elapsed_s = max(now - self.filled_at, 0.0)
        self.filled_at = now
        rate = limits.requests_per_s * self.share
        capacity = max(rate * BURST_S, 1.0)
        self.requests = min(self.requests + rate * elapsed_s, capacity)
        rate = limits.prompt_tokens_per_s * self.share
        capacity = max(rate * BURST_S, 1.0)
        self.tokens = min(self.tokens + rate * elapsed_s, capacity)

    def find_refusal(
        self, limits: configuration.ClientAccount, max_grants: int
    ) -> outcomes.Refusal | None:
        """Returns the refusal of a request that may not start now, or None.

        Args:
            limits: The account's fleet-wide limits.
            max_grants: Largest number of grants held on this instance.
        """
        if self.held >= max_grants:
            return over_limit("requests at once", 1.0)
        if self.requests <= 0:
            rate = limits.requests_per_s * self.share
            return over_limit("requests a second", -self.requests / rate)
        if self.tokens <= 0:
            rate = limits.prompt_tokens_per_s * self.share
            return over_limit("prompt tokens a second", -self.tokens / rate)
        return None


def over_limit(limit_name: str, wait_s: float) -> outcomes.Refusal:
    """Returns the refusal of a request that exceeds a limit."""
    return outcomes.refuse(
        outcomes.RefusalReason.OVER_LIMIT,
        f"the account is over its limit of {limit_name}",
        min(max(wait_s, 0.1), MAX_RETRY_AFTER_S),
    )
