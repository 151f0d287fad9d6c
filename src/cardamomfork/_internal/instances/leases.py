"""Leases: at most one process holds a role, through the platform's store.

The holder measures its lease on the monotonic clock, starting before the call
that granted or renewed it, so its lease expires before the store's does. A
holder that was paused detects the expiry at its next check: `perform` checks
before and after each step. Effects outside the store carry the fencing number,
which increases with each holder of the key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.contracts import store as store_contract

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract

T = TypeVar("T")

SAFETY_FRACTION = 0.1
"""Fraction of the lease that is left unused, for clock drift."""

RENEWALS_PER_TTL = 3


@attrs.frozen
class LeaseLost:
    """The lease is not or no longer held, or the key has another holder.

    Attributes:
        key: Key of the role in the store.
        holder: Value of the other holder's entry; `b""` if unknown.
        fault: The fault of the store that caused the loss, if any.
    """

    key: str
    holder: bytes = b""
    fault: store_contract.StoreFault | None = None


class LeaseHolder:
    """Acquires and renews the lease of one role.

    At most one process of the fleet holds the role at a time.
    """

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        key: str,
        value: bytes,
        ttl_s: float,
    ) -> None:
        """Initializes a holder without the lease.

        Args:
            store: The platform's store.
            clock: Source of monotonic time.
            key: Key of the role in the store.
            value: Value that identifies this holder and its boot.
            ttl_s: Time to live of the lease, in seconds.
        """
        self._store = store
        self._clock = clock
        self._key = key
        self._value = value
        self._ttl_s = ttl_s
        self._lease_id = 0
        self._fencing = 0
        self._held_until = -1.0

    @property
    def held(self) -> bool:
        """Whether the lease is certainly held."""
        return self._clock.monotonic() < self._held_until

    @property
    def fencing(self) -> int:
        """Fencing number: version of the key's entry; 0 if not held."""
        return self._fencing if self.held else 0

    @property
    def time_left_s(self) -> float:
        """Time for which the lease is certainly held, at least 0."""
        return max(self._held_until - self._clock.monotonic(), 0.0)

    async def acquire(self) -> result.Result[int, LeaseLost]:
        """Acquires the lease if it is free; returns the fencing number."""
        if self.held:
            return result.Ok(self._fencing)
        await self.release()
        started_at = self._clock.monotonic()
        grant_result = await self._store.grant_lease(self._ttl_s)
        if isinstance(grant_result, result.Err):
            return result.Err(
                LeaseLost(self._key, fault=grant_result.err_value)
            )
        lease = grant_result.ok_value
        put_result = await self._store.put(
            self._key,
            self._value,
            expected=store_contract.ABSENT,
            lease=lease.lease_id,
        )
        entry = await self._confirm_entry(put_result, lease.lease_id)
        if isinstance(entry, result.Err):
            await self._store.revoke_lease(lease.lease_id)
            return entry
        self._lease_id = lease.lease_id
        self._fencing = entry.ok_value.version
        self._extend(started_at, lease.ttl_s)
        if not self.held:
            return result.Err(LeaseLost(self._key))
        return result.Ok(self._fencing)

    async def renew(self) -> bool:
        """Renews the lease once.

        If the answer is lost, the lease is not extended: it still expires
        relative to the last answered call.

        Returns:
            Whether the lease is held.
        """
        if not self.held:
            return False
        started_at = self._clock.monotonic()
        renew_result = await self._store.renew_lease(self._lease_id)
        if isinstance(renew_result, result.Ok):
            if self.held:
                self._extend(started_at, renew_result.ok_value.ttl_s)
        elif (
            renew_result.err_value.kind
            is store_contract.StoreFaultKind.LEASE_GONE
        ):
            self._clear()
        return self.held

    async def keep(self) -> None:
        """Renews the lease periodically until it is lost or released."""
        while self.held:
            await anyio.sleep(self._ttl_s / RENEWALS_PER_TTL)
            await self.renew()
        logger.bind(key=self._key).info("lease no longer held")

    async def perform(
        self, step: Callable[[], Awaitable[T]]
    ) -> result.Result[T, LeaseLost]:
        """Runs one step while the lease is held; checks before and after it.

        If the lease was lost during the step, the step may have taken effect
        while another process held the lease. The caller must read the state
        back before it continues.

        Args:
            step: Awaitable function to run.

        Returns:
            The result of the step, or the loss of the lease.
        """
        if not self.held:
            return result.Err(LeaseLost(self._key))
        outcome = await step()
        if not self.held:
            return result.Err(LeaseLost(self._key))
        return result.Ok(outcome)

    async def release(self) -> None:
        """Releases the lease, so that another process can acquire it."""
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            await self._store.revoke_lease(lease_id)

    async def _confirm_entry(
        self,
        put_result: result.Result[
            store_contract.Entry,
            store_contract.CompareFailed | store_contract.StoreFault,
        ],
        lease_id: int,
    ) -> result.Result[store_contract.Entry, LeaseLost]:
        """Checks that the entry was written; reads it back if in doubt."""
        if isinstance(put_result, result.Ok):
            return result.Ok(put_result.ok_value)
        error = put_result.err_value
        if isinstance(error, store_contract.CompareFailed):
            holder = error.current.value if error.current else b""
            return result.Err(LeaseLost(self._key, holder))
        if error.kind is not store_contract.StoreFaultKind.INDETERMINATE:
            return result.Err(LeaseLost(self._key, fault=error))
        get_result = await self._store.get(self._key)
        if isinstance(get_result, result.Err):
            return result.Err(LeaseLost(self._key, fault=get_result.err_value))
        entry = get_result.ok_value
        if entry is None or entry.lease != lease_id:
            holder = entry.value if entry else b""
            return result.Err(LeaseLost(self._key, holder, error))
        return result.Ok(entry)

    def _extend(self, started_at: float, ttl_s: float) -> None:
        """Extends the local expiry, relative to the start of the call."""
        usable_s = min(ttl_s, self._ttl_s) * (1.0 - SAFETY_FRACTION)
        self._held_until = max(self._held_until, started_at + usable_s)

    def _clear(self) -> None:
        """Resets the holder to a state without a lease."""
        self._lease_id = 0
        self._fencing = 0
        self._held_until = -1.0
