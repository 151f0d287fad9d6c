"""Follows a prefix of the platform's store.

Every call to the store is paid for, a waiting one too. So one instance of a
data centre asks often enough to notice a connection that has gone silent, and
the others wait longer: peers tell each other the revision that they have
seen, and an instance that is behind asks again at once.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

MIN_BACKOFF_S = 0.1
DELEGATE_MAX_BACKOFF_S = 0.8
NON_DELEGATE_MAX_BACKOFF_S = 1.6
"""Pauses after a failed call: the longest of a delegate is far under the time
in which a configuration must be in force after the store's return. The others
are told by peers when there is something to read, and read by themselves, half
as much later at most, before the 3 s after which an outage excuses nothing."""
DELEGATE_WAIT_S = 2.0
"""Wait of the data centre's delegate. With the margin for the answer it ends
before the 3 s after which a silent connection excuses nothing."""
NON_DELEGATE_WAIT_S = 28.0
"""Wait of the other instances; the platform allows 30 s."""
MAX_LAG_S = 0.3
"""Time for which a peer may know more before this instance asks again."""


class Handler(Protocol):
    """Takes what a prefix holds."""

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Takes all entries."""
        ...

    def apply_change(self, entry: store.Entry) -> None:
        """Takes one change."""
        ...


@attrs.frozen
class Subscription:
    """What is followed, and how closely.

    Attributes:
        prefix: Beginning of the keys.
        batch_delay_s: Time after a change in which others are gathered, so that a
            series of changes costs few calls.
    """

    prefix: str
    batch_delay_s: float


class Follower:
    """Keeps a handler up to date with a prefix of the store."""

    def __init__(
        self,
        polled_store: store.PolledStore,
        subscription: Subscription,
        handler: Handler,
        on_answer: Callable[[store.StoreFault | None], None],
        is_delegate: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Takes what to follow and whom to tell.

        Args:
            polled_store: The store.
            topic: What is followed.
            handler: Takes entries and changes.
            on_answer: Called with the fault, or None, after each call.
            is_delegate: Whether this instance asks for its data centre.
            source: Spreads calls after a failure.
        """
        self._store = polled_store
        self._subscription = subscription
        self._handler = handler
        self._on_answer = on_answer
        self._is_delegate = is_delegate
        self._rng = rng
        self._revision = 0
        self._last_change_revision = 0
        self._peer_revision = 0
        self._poll_scope: anyio.CancelScope | None = None
        self._behind_peers = anyio.Event()

    @property
    def last_change_revision(self) -> int:
        """The store's revision of the last change seen."""
        return self._last_change_revision

    def note_peer_revision(self, revision: int) -> None:
        """Takes the revision of a change that a peer has seen."""
        if revision > max(self._revision, self._peer_revision):
            self._peer_revision = revision
            self._behind_peers.set()

    async def run(self) -> None:
        """Follows the prefix while the task runs."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_stale_polls)
            await self._follow()

    async def _follow(self) -> None:
        """Reads the prefix, then its changes, again after each fault."""
        backoff_s = MIN_BACKOFF_S
        while True:
            scanned = await self._store.scan(self._subscription.prefix)
            if isinstance(scanned, result.Err):
                self._on_answer(scanned.err_value)
            else:
                self._on_answer(None)
                backoff_s = MIN_BACKOFF_S
                entries = scanned.ok_value.entries
                self._revision = scanned.ok_value.revision
                self._record_last_change(entries)
                self._handler.apply_snapshot(entries)
                await self._poll_changes()
            with anyio.move_on_after(backoff_s * (0.5 + self._rng.random())):
                await self._behind_peers.wait()
            max_backoff_s = (
                DELEGATE_MAX_BACKOFF_S
                if self._is_delegate()
                else NON_DELEGATE_MAX_BACKOFF_S
            )
            backoff_s = min(backoff_s * 2, max_backoff_s)

    async def _poll_changes(self) -> None:
        """Passes changes on until two calls in a row fail."""
        failures = 0
        while failures < 2:
            polled = await self._poll_once()
            if polled is None:
                continue
            if isinstance(polled, result.Err):
                self._on_answer(polled.err_value)
                if polled.err_value.kind is store.StoreFaultKind.COMPACTED:
                    return
                failures += 1
                continue
            failures = 0
            self._on_answer(None)
            entries = polled.ok_value.entries
            self._revision = polled.ok_value.revision
            if entries:
                self._record_last_change(entries)
                for entry in entries:
                    self._handler.apply_change(entry)
                await anyio.sleep(self._subscription.batch_delay_s)

    async def _poll_once(
        self,
    ) -> result.Result[store.WatchBatch, store.StoreFault] | None:
        """Waits for changes; None if the wait was cut short."""
        wait_s = DELEGATE_WAIT_S if self._is_delegate() else NON_DELEGATE_WAIT_S
        with anyio.CancelScope() as self._poll_scope:
            return await self._store.changes(
                self._subscription.prefix, self._revision, wait_s
            )
        return None

    async def _cancel_stale_polls(self) -> None:
        """Cuts a wait short while a peer knows more for too long."""
        while True:
            await self._behind_peers.wait()
            self._behind_peers = anyio.Event()
            await anyio.sleep(MAX_LAG_S)
            if self._peer_revision > self._revision and self._poll_scope:
                self._poll_scope.cancel()

    def _record_last_change(self, entries: Iterable[store.Entry]) -> None:
        """Notes the newest change; a removal has only the batch's revision."""
        for entry in entries:
            revision = entry.version or self._revision
            self._last_change_revision = max(
                self._last_change_revision, revision
            )
