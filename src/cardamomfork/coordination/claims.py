"""At-most-once execution by idempotency keys.

`StoreClaimLedger.claim` gives a `Claim` to the one who may run a request, the
`StoredOutcome` of an earlier run, or a `Refusal` (`in_progress`, `key_reused`,
`key_expired`, `store_unavailable`); `settle` stores how it ended. A claim that
is never settled reads as `unknown` for every later call. Keys carry their time
(UUIDv7, or Unix seconds, a hyphen and a name); `ClaimPolicy` says for how many
seconds they are good. `GroupCommitter.run` must run beside the ledger.
"""

from __future__ import annotations

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import ledger

__all__ = [
    "Claim",
    "ClaimPolicy",
    "GroupCommitter",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "StoreClaimLedger",
    "StoredOutcome",
    "new_key",
]

Claim = claiming.Claim
ClaimPolicy = keys.ClaimPolicy
GroupCommitter = committer.GroupCommitter
Outcome = outcomes.Outcome
Refusal = outcomes.Refusal
RefusalReason = outcomes.RefusalReason
StoreClaimLedger = ledger.StoreClaimLedger
StoredOutcome = claiming.StoredOutcome
new_key = identifiers.new_time_ordered_id
