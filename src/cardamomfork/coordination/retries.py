"""Retries that never amplify an outage.

`RetryPolicy` keeps a budget a service: each first try earns a share of a
retry, each retry or hedge spends one, and the share shrinks while most tries
fail. `decide` gives a `Retry` (how long to wait, where to go) or a `GiveUp`
with the reason and when to come back. Times are monotonic seconds.
"""

from __future__ import annotations

from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import retries

__all__ = ["Failure", "FaultKind", "GiveUp", "Place", "Retry", "RetryPolicy"]

Failure = retries.Failure
FaultKind = targets.FaultKind
GiveUp = retries.GiveUp
Place = retries.Place
Retry = retries.Retry
RetryPolicy = retries.RetryPolicy
