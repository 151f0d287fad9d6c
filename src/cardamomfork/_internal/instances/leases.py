"""Holding a role by a lease in the platform's store.

The holder counts its lease from the moment before the call that granted or
renewed it, on the monotonic clock, so it stops before the store does. A
holder that was paused finds out at its next check: `perform` checks before
each step and after each await. Effects outside the store carry the fencing
number, which grows with each holder of the key.
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
"""Share of the lease's life kept back against differing clock rates."""

RENEWALS_PER_TTL = 3


@attrs.frozen
class LeaseLost:
    """The lease is not held (any more), or the key has another holder.

    Attributes:
        key: The key that names the role.
        holder: Value of the other holder's entry; `b""` if not known.
        fault: The store's fault, if that is why.
    """

    key: str
    holder: bytes = b""
    fault: store_contract.StoreFault | None = None


class LeaseHolder:
    """One role that at most one process of the fleet holds at a time."""

    def __init__(
        self,
        store: store_contract.Store,
        clock: clock_contract.Clock,
        key: str,
        value: bytes,
        ttl_s: float,
    ) -> None:
        """Starts without the role.

        Args:
            store: The platform's store.
            clock: Its monotonic time is what counts.
            key: The key that names the role.
            value: Names this holder; unique to it and its boot.
            ttl_s: Life of the lease, in seconds.
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
        """Whether the lease is surely still this holder's."""
        return self._clock.monotonic() < self._held_until

    @property
    def fencing(self) -> int:
        """The entry's version: grows from holder to holder; 0 if not held."""
        return self._fencing if self.held else 0

    @property
    def time_left_s(self) -> float:
        """Seconds for which it is surely held, at least 0."""
        return max(self._held_until - self._clock.monotonic(), 0.0)

    async def acquire(self) -> result.Result[int, LeaseLost]:
        """Takes the role if it is free; returns the fencing number."""
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
        """Renews the lease once; True while it is held.

        A lost answer extends nothing: the lease is counted from the last
        answer that came.
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
        """Renews the lease until it is lost or released, then returns."""
        while self.held:
            await anyio.sleep(self._ttl_s / RENEWALS_PER_TTL)
            await self.renew()
        logger.bind(key=self._key).info("lease no longer held")

    async def perform(
        self, step: Callable[[], Awaitable[T]]
    ) -> result.Result[T, LeaseLost]:
        """Runs one step under the lease; it is checked before and after.

        `Err` after the step means that it may have taken effect while
        another holder was at work: read back before going on.
        """
        if not self.held:
            return result.Err(LeaseLost(self._key))
        outcome = await step()
        if not self.held:
            return result.Err(LeaseLost(self._key))
        return result.Ok(outcome)

    async def release(self) -> None:
        """Gives the role up now, so that another can take it at once."""
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
        """Finds out whether the entry is ours; reads back a lost answer."""
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
        """Counts the lease from the moment before the call."""
        usable_s = min(ttl_s, self._ttl_s) * (1.0 - SAFETY_FRACTION)
        self._held_until = max(self._held_until, started_at + usable_s)

    def _clear(self) -> None:
        """Forgets the lease."""
        self._lease_id = 0
        self._fencing = 0
        self._held_until = -1.0
