"""Interface of the platform's key-value store.

The store offers compare-and-swap on key versions, leases and watches. The
platform counts every call; a waiting watch counts as one call.

The store may be restored from an older copy, and then gives revisions out
again. Each restoration begins an era. Versions and revisions in this interface
include the era, so they never occur again and those of a later era are higher.
A lease ends with the era in which it was granted.
"""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import contextlib

    import result

MAX_VALUE_BYTES = 1_048_576
ABSENT = 0
"""Version of a key that does not exist."""
REVISIONS_PER_ERA = 10**12
"""A power of ten, so that the era and the revision can be read in logs."""


def join_era(era: int, revision: int) -> int:
    """Returns a revision including its era."""
    return era * REVISIONS_PER_ERA + revision


def split_era(version: int) -> tuple[int, int]:
    """Returns the era and the revision of a version."""
    return divmod(version, REVISIONS_PER_ERA)


@attrs.frozen
class Entry:
    """A key with its value in the store.

    Attributes:
        key: Name of the key.
        value: Its value, at most `MAX_VALUE_BYTES` long.
        version: Store revision of its last change, including the era in which
            it was read; `ABSENT` if deleted.
        lease: Lease that the key is attached to, or 0. The key is deleted when
            the lease ends.
    """

    key: str
    value: bytes
    version: int
    lease: int = 0


class StoreFaultKind(enum.StrEnum):
    """Why a store call failed."""

    UNAVAILABLE = "unavailable"
    """The store did not accept the call; nothing was written."""
    INDETERMINATE = "indeterminate"
    """The answer was lost; a write may have taken effect."""
    LEASE_GONE = "lease_gone"
    """The lease does not exist or has expired."""
    COMPACTED = "compacted"
    """A watch requested a revision that the store doesn't hold."""
    SILENT = "silent"
    """A watch had no answer when its wait was over. Its connection may have
    gone silent while the store answers others."""


@attrs.frozen
class StoreFault:
    """A failed store call."""

    kind: StoreFaultKind
    key: str
    detail: str = ""


@attrs.frozen
class CompareFailed:
    """The key was not at the expected version.

    Attributes:
        key: The key.
        current: Its current entry, or None if it is absent.
    """

    key: str
    current: Entry | None


@attrs.frozen
class Scan:
    """All entries under a prefix at one revision of the store."""

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class Lease:
    """A granted lease.

    Attributes:
        lease_id: Id of the lease. Ids increase, so they can be used as fencing
            tokens.
        ttl_s: Time to live after the last renewal, in seconds.
    """

    lease_id: int
    ttl_s: float


@attrs.frozen
class WatchBatch:
    """Changes under a watched prefix, in order; may be empty (a heartbeat).

    Attributes:
        entries: Changed keys; a deletion has version `ABSENT` and no value.
        revision: Store revision up to which the watcher now has all changes.
    """

    entries: tuple[Entry, ...]
    revision: int


class LeasedStore(Protocol):
    """Operations that all users of the store need.

    Each call has its own time limit.
    """

    async def scan(self, prefix: str) -> result.Result[Scan, StoreFault]:
        """Reads all keys under a prefix."""
        ...

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[Entry, CompareFailed | StoreFault]:
        """Writes a key if it is at the expected version.

        Args:
            key: The key.
            value: The new value.
            expected: Version that it must have; `ABSENT` to create it.
            lease: Lease to attach it to, or 0.
        """
        ...

    async def grant_lease(
        self, ttl_s: float
    ) -> result.Result[Lease, StoreFault]:
        """Grants a new lease."""
        ...

    async def renew_lease(
        self, lease_id: int
    ) -> result.Result[Lease, StoreFault]:
        """Renews a lease; fails with `LEASE_GONE` if it has expired."""
        ...

    async def close(self) -> None:
        """Closes the connections; no other call may follow."""
        ...


class PolledStore(LeasedStore, Protocol):
    """The store as used by entry instances, with long polls."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[WatchBatch, StoreFault]:
        """Returns the changes under a prefix after a revision.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Maximum time to wait for the first change, in seconds.
        """
        ...

    async def wait_until_restored(self, since: int = 0) -> None:
        """Waits until an answer shows that the store was restored.

        Args:
            since: Revision of an answer. Returns at once if the store is known
                to have been restored since then; 0 for none.
        """
        ...


class Store(LeasedStore, Protocol):
    """The store with single-key reads, deletions and watches."""

    async def get(self, key: str) -> result.Result[Entry | None, StoreFault]:
        """Reads one key."""
        ...

    async def delete(
        self, key: str, *, expected: int
    ) -> result.Result[None, CompareFailed | StoreFault]:
        """Deletes a key if it is at the expected version."""
        ...

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, StoreFault]:
        """Revokes a lease and deletes the keys attached to it."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        AsyncIterator[result.Result[WatchBatch, StoreFault]]
    ]:
        """Watches changes under a prefix after a revision.

        The iterator ends after the first fault. A healthy watch yields an
        empty batch at least every few seconds.
        """
        ...
