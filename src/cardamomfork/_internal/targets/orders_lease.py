"""The lease under which one instance of a data centre gives orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal.instances import leases
from cardamomfork._internal.targets import orders_models as models

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

LEASE_TTL_S = 10.0
ACQUIRE_INTERVAL_S = 5.0
RELEASE_TIMEOUT_S = 2.0


def lease_key(prefix: str, data_centre: identifiers.DataCentreId) -> str:
    """Returns the key in the store that names the role."""
    return f"{prefix}leases/orders/{data_centre}"


class OrderLease:
    """Tries to take the lease, keeps it while it can, and gives it back."""

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        rng: random.Random,
        instance: instances.Instance,
        prefix: str = "/cardamomfork/",
        on_change: Callable[[], None] = lambda: None,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        """Starts without the lease.

        Args:
            store: The platform's store.
            clock: Its monotonic time bounds the lease.
            rng: Spreads the tries of the instances.
            instance: This one; its data centre names the role.
            prefix: Put before every key of the store.
            on_change: Called when the lease is taken or lost.
            is_candidate: Whether this instance is to try; each try costs
                the store, so only a few of a data centre should.
        """
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._is_candidate = is_candidate
        self._store = store
        self._key = lease_key(prefix, instance.data_centre)
        self._acquired_at = 0.0
        self._holder = leases.LeaseHolder(
            store,
            clock,
            self._key,
            f"{instance.instance_id}/{instance.boot_id}".encode(),
            LEASE_TTL_S,
        )

    @property
    def held_lease(self) -> models.HeldLease | None:
        """The lease, or None while another instance may hold it."""
        fencing = self._holder.fencing
        if not fencing:
            return None
        now = self._clock.monotonic()
        return models.HeldLease(
            fencing,
            self._acquired_at,
            LEASE_TTL_S,
            now + self._holder.time_left_s,
        )

    async def run(self) -> None:
        """Holds the lease whenever it can; gives it back when cancelled."""
        try:
            while True:
                await self._acquire_and_renew()
                await anyio.sleep(
                    ACQUIRE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                )
        finally:
            # Another instance can then take over without waiting it out.
            with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._holder.release()

    async def _acquire_and_renew(self) -> None:
        """Tries to take the lease and keeps it until it is lost."""
        if not self._is_candidate() or not await self._is_free():
            return
        acquired = await self._holder.acquire()
        if isinstance(acquired, result.Err):
            return
        self._acquired_at = self._clock.monotonic()
        self._on_change()
        await self._holder.keep()
        self._on_change()

    async def _is_free(self) -> bool:
        """Looks whether the role is taken: one read in place of writes."""
        entry = await self._store.get(self._key)
        return entry == result.Ok(None)
