"""One account's use of its limits on one instance."""

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
    """One account's use of its limits on this instance.

    Attributes:
        requests: Requests that may start now; below 0 is a debt.
        tokens: Prompt tokens that may start now; below 0 is a debt.
        held: Grants not given back.
        demand: Offered load as a part of the fleet-wide limit, smoothed.
        share: Part of the fleet-wide limit that this instance uses.
        confirmed: What of it all data centres had the chance to object to.
        raise_requested_at: Since when a higher share is wanted, or None.
        filled_at: Time of the last refill.
        decayed_at: Time up to which the demand has faded.
        refreshed_at: Time of the last look at the share.
        active_at: Time of the last request.
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
        """Lets the smoothed demand fade."""
        elapsed_s = max(now - self.decayed_at, 0.0)
        self.decayed_at = now
        self.demand *= math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)

    def record_demand(
        self,
        limits: configuration.ClientAccount,
        prompt_tokens: int,
        now: float,
    ) -> None:
        """Adds a request to the smoothed demand, refused or not."""
        self.decay(now)
        fraction = max(
            1.0 / limits.requests_per_s,
            prompt_tokens / limits.prompt_tokens_per_s,
        )
        self.demand += fraction / DEMAND_TIME_CONSTANT_S

    def add_burst(
        self, limits: configuration.ClientAccount, fraction: float
    ) -> None:
        """Puts a burst's worth of a part of the limits into the buckets."""
        self.requests += limits.requests_per_s * fraction * BURST_S
        self.tokens += limits.prompt_tokens_per_s * fraction * BURST_S

    def refill(self, limits: configuration.ClientAccount, now: float) -> None:
        """Lets the buckets fill at this instance's part of the rates."""
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
        """Returns why a request may not start now, or None.

        Args:
            limits: The account's limits, fleet-wide.
            room: Grants that may be held here at once.
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
    """Makes the refusal of a request over a limit."""
    return outcomes.refuse(
        outcomes.RefusalReason.OVER_LIMIT,
        f"the account is over its limit of {limit_name}",
        min(max(wait_s, 0.1), MAX_RETRY_AFTER_S),
    )
