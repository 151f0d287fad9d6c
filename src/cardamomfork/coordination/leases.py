"""Leases for roles that one process holds at a time, with fencing tokens.

`LeaseHolder.acquire` acquires the lease or returns `LeaseLost`. `keep` renews
it until it is lost. `perform` runs a step and checks the lease before and
after. The holder counts the TTL from before the call that granted the lease,
so its lease expires before the store can grant it to another process.
`fencing` increases with each holder; pass it to the resources that the role
modifies.
"""

from __future__ import annotations

from cardamomfork._internal.instances import leases

__all__ = ["LeaseHolder", "LeaseLost"]

LeaseHolder = leases.LeaseHolder
LeaseLost = leases.LeaseLost
