"""Retry budgets that prevent retries from amplifying an outage.

`RetryPolicy` has one budget per service: each first attempt adds a fraction of
a retry, and each retry or hedge consumes one. The fraction shrinks while most
attempts fail. `decide` returns a `Retry` (the delay and the target choice) or a
`GiveUp` with the reason and a retry-after time. Times are monotonic seconds.
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
