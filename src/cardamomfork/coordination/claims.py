"""At-most-once execution with idempotency keys.

`StoreClaimLedger.claim` returns a `Claim` if the caller may run the request,
the `StoredOutcome` of an earlier run, or a `Refusal` (`in_progress`,
`key_reused`, `key_expired`, `store_unavailable`). `settle` stores the outcome
of the run. If a claim is never settled, later calls get the outcome `unknown`.

A key contains its creation time: it is a UUIDv7, or Unix seconds, a hyphen and
a name. `ClaimPolicy` defines for how many seconds a key is valid. Run
`GroupCommitter.run` as a task while the ledger is in use.
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
