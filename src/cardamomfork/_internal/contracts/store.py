"""The platform's key-value store as the system uses it.

Compare-and-swap on a key's version, leases and watches. Every call is counted
by the platform, a waiting watch as one.
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


@attrs.frozen
class Entry:
    """A key as the store holds it.

    Attributes:
        key: Its name.
        value: Its bytes, at most `MAX_VALUE_BYTES`.
        version: Store revision of its last change; `ABSENT` if deleted.
        lease: Lease that it dies with, or 0.
    """

    key: str
    value: bytes
    version: int
    lease: int = 0


class StoreFaultKind(enum.StrEnum):
    """What is known of a store call that gave no answer."""

    UNAVAILABLE = "unavailable"
    """The store did not take the call; nothing was written."""
    INDETERMINATE = "indeterminate"
    """The answer was lost; a write may have taken effect."""
    LEASE_GONE = "lease_gone"
    """The lease does not exist (any more)."""
    COMPACTED = "compacted"
    """A watch asked for a revision that the store no longer holds."""


@attrs.frozen
class StoreFault:
    """A store call without an answer."""

    kind: StoreFaultKind
    key: str
    detail: str = ""


@attrs.frozen
class CompareFailed:
    """The key was not at the expected version.

    Attributes:
        key: The key.
        current: What stands there now, or None if it is absent.
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
    """A lease as granted.

    Attributes:
        lease_id: The store's name for it; grows, so it can fence.
        ttl_s: Seconds it lives after the last renewal.
    """

    lease_id: int
    ttl_s: float


@attrs.frozen
class WatchBatch:
    """Changes under a watched prefix, in order; may be empty (a heartbeat).

    Attributes:
        entries: Changed keys; a deletion has version `ABSENT` and no value.
        revision: Store revision that this batch brings the watcher up to.
    """

    entries: tuple[Entry, ...]
    revision: int


class LeasedStore(Protocol):
    """What all users of the store need. Calls end within their time limit."""

    async def scan(self, prefix: str) -> result.Result[Scan, StoreFault]:
        """Reads all keys under a prefix."""
        ...

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[Entry, CompareFailed | StoreFault]:
        """Writes a key if it is at the expected version.

        Args:
            key: The key.
            value: Its new bytes.
            expected: Version it must have; `ABSENT` to create it.
            lease: Lease to tie it to, or 0.
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
        """Renews a lease; `LEASE_GONE` once it has lapsed."""
        ...

    async def close(self) -> None:
        """Closes the session's connections; no call may follow."""
        ...


class PolledStore(LeasedStore, Protocol):
    """The store as an entry instance uses it, by long polls."""

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> result.Result[WatchBatch, StoreFault]:
        """Returns changes after a revision.

        Args:
            prefix: Beginning of the keys.
            after: Revision up to which all is known.
            wait_s: Time to wait for the first change.
        """
        ...


class Store(LeasedStore, Protocol):
    """The store with reads of single keys and watches."""

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
        """Ends a lease and deletes the keys tied to it."""
        ...

    def watch(
        self, prefix: str, from_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        AsyncIterator[result.Result[WatchBatch, StoreFault]]
    ]:
        """Follows changes under a prefix after a revision.

        The iterator ends after the first fault. A healthy watch yields an
        empty batch at least every few seconds.
        """
        ...
