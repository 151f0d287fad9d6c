"""Enforces fleet-wide limits of client accounts by per-instance shares.

An instance's share of an account's limits is its fraction of the known demand.
A share decreases at once. It increases only after a report from every data
centre since the increase was requested, so that the two sides of a network
partition cannot both use the whole limit. Until then an instance uses a small
floor share or, if demand is low and all data centres have reported recently,
an early share.
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
"""Fraction of each limit that all instances share equally as their floors."""
EARLY_SHARE_FRACTION = 0.18
"""Fraction of each limit that is shared by demand before confirmation."""
LOW_DEMAND_FRACTION = 0.3
"""Total demand below which instances may use early shares."""
SHARE_REFRESH_INTERVAL_S = 0.2
FORGET_IDLE_AFTER_S = 30.0
REPORT_IDLE_FOR_S = 5.0
MIN_HURRY_INTERVAL_S = 0.5
MIN_DEMAND_FRACTION = 0.0005
ROUNDING_PERIOD_S = 5.0
MAX_ACTIVE_ACCOUNTS = 8192


@attrs.define
class LimiterCounters:
    """Counts of requests by result.

    Attributes:
        admitted: Requests admitted.
        refused: Requests refused because of a limit.
        full: Requests refused because the table of accounts was full.
    """

    admitted: int = 0
    refused: int = 0
    full: int = 0


class FleetLimiter:
    """Implements the `Limiter` contract."""

    def __init__(
        self,
        side: reach.Reach,
        claims: limit_claims.ClaimTable,
        hurry: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the limiter.

        Args:
            side: Reachable part of the fleet.
            claims: Demands of other instances and data centres.
            hurry: Called if the desired share is much higher than the
                confirmed one; requests an update of the other data centres
                from a delegate.
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
        """Number of accounts with recent requests on this instance."""
        return len(self._usage)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Returns one row per active account for the state dump."""
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
        """Sets an account's current limits."""
        self._accounts[account.name] = account

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account."""
        self._accounts.pop(name, None)
        self._usage.pop(name, None)

    def share(self, name: identifiers.AccountName, now: float) -> float:
        """Returns this instance's share of an account's limits, 0 to 1."""
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
        """Admits one request, or refuses it with a retry time."""
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
        """Releases the concurrency that a grant holds."""
        usage = self._usage.get(grant.account)
        if usage is None:
            return
        usage.held -= 1
        exceptions.check_invariant(
            usage.held >= 0, "grants held are not negative", grant.account
        )
        usage.active_at = now

    def hand_over(self) -> None:
        """Reduces the demands to the held grants, before a planned stop.

        Peers increase their shares when they receive the new demands. The
        caller should therefore publish the demands at once.
        """
        self._handing_over = True

    def demands(self, now: float) -> dict[identifiers.AccountName, float]:
        """Returns this instance's demands; removes accounts that are idle.

        An account without requests is still reported for a while, so that
        peers receive its lower demand.
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
        """Returns or adds an account's usage; None if the table is full."""
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
        """Returns the demand, which is at least the fraction of held grants."""
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
        """Returns the share that every instance may always use."""
        return FLOOR_FRACTION / max(self._reach.total(), 1)

    def _refresh_share(
        self,
        name: identifiers.AccountName,
        usage: limit_usage.Usage,
        now: float,
    ) -> None:
        """Updates the share from this instance's fraction of the demand."""
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
            0.0 <= usage.share <= 1.0, "a share is between 0 and 1", name
        )

    def _update_confirmed_share(
        self, usage: limit_usage.Usage, desired_share: float, now: float
    ) -> None:
        """Lowers the confirmed share at once; raises it after confirmation."""
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
        """Requests an update of the other data centres for a large increase."""
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
        """Returns how many grants this instance may hold at once.

        A fraction of a grant is rounded up on some instances and down on
        others. The selection changes every `ROUNDING_PERIOD_S`, and the sum
        over the fleet stays near the limit.
        """
        period = int(now / ROUNDING_PERIOD_S)
        key = f"{limits.name}\0{self._reach.me}\0{period}"
        rounding_offset = xxhash.xxh3_64_intdigest(key.encode()) / 2**64
        fleet_limit = limits.max_concurrent + limits.max_queued
        return int(fleet_limit * usage.share + rounding_offset)
