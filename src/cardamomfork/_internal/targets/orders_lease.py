"""Lease of the instance that sends orders to a data centre's engines."""

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
    """Returns the store key of a data centre's order lease."""
    return f"{prefix}leases/orders/{data_centre}"


class OrderLease:
    """Acquires, renews and releases the order lease of a data centre."""

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
        """Initializes the lease; it is not held yet.

        Args:
            store: The platform's store.
            clock: Monotonic clock that measures the validity of the lease.
            rng: Random generator for the jitter between attempts.
            instance: This instance; its data centre determines the lease.
            prefix: Prefix of every key in the store.
            on_change: Called when the lease is acquired or lost.
            is_candidate: Returns whether this instance should try to acquire
                the lease. Each attempt is a request to the store, so only a
                few instances per data centre should try.
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
        """The lease, or None if another instance may hold it."""
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
        """Acquires and renews the lease until cancelled, then releases it."""
        try:
            while True:
                await self._acquire_and_renew()
                await anyio.sleep(
                    ACQUIRE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                )
        finally:
            # Lets another instance take over without waiting for the expiry.
            with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self._holder.release()

    async def _acquire_and_renew(self) -> None:
        """Tries to acquire the lease and renews it until it is lost."""
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
        """Returns whether nobody holds the lease.

        One read is cheaper for the store than a failed acquisition.
        """
        entry = await self._store.get(self._key)
        return entry == result.Ok(None)
