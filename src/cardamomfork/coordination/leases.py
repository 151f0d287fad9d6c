"""A role that one process holds at a time, with a fencing number.

`LeaseHolder.acquire` takes the role or returns `LeaseLost`; `keep` renews it
until it is lost; `perform` runs a step and checks the lease before and after.
The holder counts its lease (seconds) from before the call that granted it, so
it stops before the store gives the role away. `fencing` grows with each
holder: pass it to whatever the role acts on.
"""

from __future__ import annotations

from cardamomfork._internal.instances import leases

__all__ = ["LeaseHolder", "LeaseLost"]

LeaseHolder = leases.LeaseHolder
LeaseLost = leases.LeaseLost
