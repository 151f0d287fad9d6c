"""Fleet-wide limits of accounts, held as shares that follow demand.

`FleetLimiter.admit` gives a `Grant` or a `Refusal` (`over_limit`, with the
seconds to wait); give the grant back with `release`. `LimitsGossip` is the
participant that moves shares between instances; `ClaimTable` holds the others'
demands and `Reach` how much of the fleet is heard. Cut off, an instance falls
back to its part. Times are monotonic seconds, rates are per second.
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
