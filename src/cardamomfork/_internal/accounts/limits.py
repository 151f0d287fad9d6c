"""Fleet-wide limits of client accounts, as this instance's shares of them.

An instance's share of an account's limits follows its part of the demand that
it knows of. A share falls at once and rises only after every data centre has
spoken since the rise was wanted, so that two sides that no longer hear each
other can't both take the whole. Until then an instance uses a small floor or,
while demand is low and all data centres have spoken lately, an early share.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import attrs
import result
import xxhash

from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import limit_usage
from cardamomfork._internal.contracts import limiting
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.accounts import limit_claims
    from cardamomfork._internal.data_centres import reach
    from cardamomfork._internal.models import identifiers

FLOOR_FRACTION = 0.02
EARLY_SHARE_FRACTION = 0.18
LOW_DEMAND_FRACTION = 0.3
SHARE_REFRESH_INTERVAL_S = 0.2
FORGET_IDLE_AFTER_S = 30.0
REPORT_IDLE_FOR_S = 5.0
MIN_HURRY_INTERVAL_S = 0.5
MIN_DEMAND_FRACTION = 0.0005
ROUNDING_PERIOD_S = 5.0
MAX_ACTIVE_ACCOUNTS = 8192


@attrs.define
class LimiterCounters:
    """Requests admitted and refused, and tables found full."""

    admitted: int = 0
    refused: int = 0
    full: int = 0


class FleetLimiter:
    """Meets the `Limiter` contract."""

    def __init__(
        self,
        side: reach.Reach,
        claims: limit_claims.ClaimTable,
        hurry: Callable[[], None] = lambda: None,
    ) -> None:
        """Takes what is known of the fleet.

        Args:
            side: How much of the fleet is reachable.
            claims: Others' demands.
            hurry: Called while a share should be much larger; asks a
                delegate for news of the other data centres.
        """
        self._hurry = hurry
        self._handing_over = False
        self._last_hurry_at = -MIN_HURRY_INTERVAL_S
        self._reach = side
        self._claims = claims
        self._accounts: dict[
            identifiers.AccountName, configuration.ClientAccount
        ] = {}
        self._usage: dict[identifiers.AccountName, limit_usage.Usage] = {}
        self.counters = LimiterCounters()

    @property
    def active(self) -> int:
        """Accounts with recent requests here."""
        return len(self._usage)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Returns one row an active account, for the state dump."""
        return [
            {
                "account": name,
                "share": usage.share,
                "demand": usage.demand,
                "held": usage.held,
                "idle_s": round(now - usage.active_at, 1),
            }
            for name, usage in self._usage.items()
        ]

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes an account's current limits."""
        self._accounts[account.name] = account

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account."""
        self._accounts.pop(name, None)
        self._usage.pop(name, None)

    def share(self, name: identifiers.AccountName, now: float) -> float:
        """Returns this instance's part of an account's limits, 0 to 1."""
        usage = self._usage.get(name)
        if usage is None:
            return self._floor_share()
        self._refresh_share(name, usage, now)
        return usage.share

    def admit(
        self,
        account: identifiers.AccountName,
        prompt_tokens: int,
        now: float,
    ) -> result.Result[limiting.Grant, outcomes.Refusal]:
        """Takes one request's share, or refuses it with a retry time."""
        limits = self._accounts.get(account)
        if limits is None:
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.FORBIDDEN,
                    f"account {account!r} does not exist",
                )
            )
        usage = self._get_or_add_usage(account, now)
        if usage is None:
            self.counters.full += 1
            return result.Err(limit_usage.over_limit("active accounts", 1.0))
        usage.record_demand(limits, prompt_tokens, now)
        self._refresh_share(account, usage, now)
        usage.refill(limits, now)
        refusal = usage.find_refusal(
            limits, self._max_grants(limits, usage, now)
        )
        if refusal is not None:
            self.counters.refused += 1
            return result.Err(refusal)
        usage.requests -= 1.0
        usage.tokens -= prompt_tokens
        usage.held += 1
        self.counters.admitted += 1
        return result.Ok(limiting.Grant(account, prompt_tokens))

    def release(self, grant: limiting.Grant, now: float) -> None:
        """Gives back the concurrency that a grant holds."""
        usage = self._usage.get(grant.account)
        if usage is None:
            return
        usage.held -= 1
        exceptions.check_invariant(
            usage.held >= 0, "grants held are not negative", grant.account
        )
        usage.active_at = now

    def hand_over(self) -> None:
        """Gives the shares up at a planned stop, all but what is held.

        Peers take them once they hear of it; tell them at once.
        """
        self._handing_over = True

    def demands(self, now: float) -> dict[identifiers.AccountName, float]:
        """Returns this instance's demands; forgets the idle accounts.

        An account without requests is still stated for a while, so that
        peers hear of the fall.
        """
        demands = {}
        for name, usage in list(self._usage.items()):
            idle_s = now - usage.active_at
            if usage.held or idle_s < REPORT_IDLE_FOR_S:
                usage.decay(now)
                demands[name] = self._demand(name, usage)
            elif idle_s > FORGET_IDLE_AFTER_S:
                del self._usage[name]
        return demands

    def _get_or_add_usage(
        self, name: identifiers.AccountName, now: float
    ) -> limit_usage.Usage | None:
        """Returns an account's usage; None if the table is full."""
        usage = self._usage.get(name)
        if usage is None:
            if len(self._usage) >= MAX_ACTIVE_ACCOUNTS:
                self.demands(now)
            if len(self._usage) >= MAX_ACTIVE_ACCOUNTS:
                return None
            floor = self._floor_share()
            usage = limit_usage.Usage(
                now, now, now, share=floor, confirmed_share=floor
            )
            usage.add_burst(self._accounts[name], floor)
            self._usage[name] = usage
        usage.active_at = now
        return usage

    def _demand(
        self, name: identifiers.AccountName, usage: limit_usage.Usage
    ) -> float:
        """Returns the demand, with what is held as a part of the limit."""
        limits = self._accounts.get(name)
        if limits is None:
            return 0.0
        max_held = max(limits.max_concurrent + limits.max_queued, 1)
        held = usage.held / max_held
        if self._handing_over:
            return min(held, 1.0)
        demand = max(usage.demand, held, MIN_DEMAND_FRACTION)
        return min(demand, 1.0)

    def _floor_share(self) -> float:
        """Returns the part that every instance may always use."""
        return FLOOR_FRACTION / max(self._reach.total(), 1)

    def _refresh_share(
        self,
        name: identifiers.AccountName,
        usage: limit_usage.Usage,
        now: float,
    ) -> None:
        """Moves the share toward this instance's part of the demand."""
        if now - usage.refreshed_at < SHARE_REFRESH_INTERVAL_S:
            return
        usage.refreshed_at = now
        local_demand = self._demand(name, usage)
        total = local_demand + self._claims.total(name, now)
        desired_share = max(
            self._reach.fraction(now) * local_demand / total,
            self._floor_share(),
        )
        self._update_confirmed_share(usage, desired_share, now)
        previous_share = usage.share
        usage.share = usage.confirmed_share
        if total < LOW_DEMAND_FRACTION and self._reach.is_fresh(now):
            early_share = min(
                desired_share, EARLY_SHARE_FRACTION * local_demand / total
            )
            usage.share = max(usage.confirmed_share, early_share)
        limits = self._accounts.get(name)
        if limits is not None and usage.share > previous_share:
            usage.add_burst(limits, usage.share - previous_share)
        exceptions.check_invariant(
            0.0 <= usage.share <= 1.0, "a share is a part of one", name
        )

    def _update_confirmed_share(
        self, usage: limit_usage.Usage, desired_share: float, now: float
    ) -> None:
        """Lowers the confirmed share at once; raises it once confirmed."""
        if desired_share <= usage.confirmed_share:
            usage.confirmed_share = desired_share
            usage.raise_requested_at = None
        elif usage.raise_requested_at is None:
            usage.raise_requested_at = now
            self._request_update(usage, desired_share, now)
            if self._reach.confirmed_since(now, now):
                usage.confirmed_share = desired_share
        elif self._reach.confirmed_since(usage.raise_requested_at, now):
            usage.confirmed_share = desired_share
            usage.raise_requested_at = now
        else:
            self._request_update(usage, desired_share, now)

    def _request_update(
        self, usage: limit_usage.Usage, desired_share: float, now: float
    ) -> None:
        """Asks for news of the other data centres if much depends on it."""
        is_due = now - self._last_hurry_at >= MIN_HURRY_INTERVAL_S
        if is_due and desired_share > 2 * usage.confirmed_share:
            self._last_hurry_at = now
            self._hurry()

    def _max_grants(
        self,
        limits: configuration.ClientAccount,
        usage: limit_usage.Usage,
        now: float,
    ) -> int:
        """Returns how many grants may be held here at once.

        A share of less than one grant is rounded up on some instances and
        down on others, in turns, so that the sum stays near the limit.
        """
        period = int(now / ROUNDING_PERIOD_S)
        key = f"{limits.name}\0{self._reach.me}\0{period}"
        rounding_offset = xxhash.xxh3_64_intdigest(key.encode()) / 2**64
        fleet_limit = limits.max_concurrent + limits.max_queued
        return int(fleet_limit * usage.share + rounding_offset)
