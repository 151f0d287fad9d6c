"""Fleet-wide account limits, divided into shares that follow demand.

`FleetLimiter.admit` returns a `Grant` or a `Refusal` (`over_limit`, with the
seconds to wait); return the grant with `release`. `LimitsGossip` is the gossip
participant that exchanges demands between instances. `ClaimTable` holds the
demands of other instances and `Reach` the reachable part of the fleet. An
instance that is partitioned from the fleet falls back to its fixed part of the
limit. Times are monotonic seconds and rates are per second.
"""

from __future__ import annotations

from cardamomfork._internal.accounts import limit_claims
from cardamomfork._internal.accounts import limits
from cardamomfork._internal.contracts import limiting
from cardamomfork._internal.data_centres import reach
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import outcomes

__all__ = [
    "ClaimTable",
    "ClientAccount",
    "FleetLimiter",
    "Grant",
    "LimitsGossip",
    "Reach",
    "Refusal",
]

ClaimTable = limit_claims.ClaimTable
ClientAccount = configuration.ClientAccount
FleetLimiter = limits.FleetLimiter
Grant = limiting.Grant
LimitsGossip = limit_claims.LimitsGossip
Reach = reach.Reach
Refusal = outcomes.Refusal
