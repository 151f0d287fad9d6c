"""Follows the changes of a key prefix in the platform's store by long polling.

Each call to the store is billed, including a long poll. To save calls, only one
instance per data centre, the delegate, polls with a short wait, so that it soon
notices a connection that no longer delivers. The other instances wait longer.
Peers exchange the revisions that they have received, and an instance that is
behind its peers scans the prefix.
"""

from __future__ import annotations

import math
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

MIN_BACKOFF_S = 0.1
DELEGATE_MAX_BACKOFF_S = 0.8
NON_DELEGATE_MAX_BACKOFF_S = 1.6
"""Backoff after a failed call, before a jitter of ±50%. The maximum of the
delegate is far below the time within which a configuration must be in force
after the store recovers. Other instances scan when a peer reports a newer
revision. Without a report they scan after 2.4 s at the latest, within the 3 s
in which an instance must be up to date after an outage."""
MIN_SCAN_INTERVAL_S = 0.6
"""Time between two scans even if peers report newer revisions meanwhile. The
store may refuse this instance for long."""
DELEGATE_WAIT_S = 2.0
"""Wait of a delegate's poll. Including the margin for the answer, it
ends within the 3 s in which a silent connection must be detected."""
NON_DELEGATE_WAIT_S = 28.0
"""Wait of the other instances' polls; the platform allows 30 s."""


class Handler(Protocol):
    """Receives the entries of a prefix and their changes."""

    def store_restored(self, revision: int) -> None:
        """Prepares for the first scan after a restoration from a copy.

        The scan may lack entries that are about to be written again, and may
        have entries that had been removed.

        Args:
            revision: Revision of that scan.
        """
        ...

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Replaces all entries by those of a full scan."""
        ...

    def apply_change(self, entry: store.Entry) -> None:
        """Applies a change of one entry."""
        ...


@attrs.frozen
class Subscription:
    """A key prefix to follow.

    Attributes:
        prefix: Prefix of the keys.
        batch_delay_s: Pause after a change, in seconds, in which further
            changes accumulate, so that a series of changes costs few calls.
        max_lag_s: Time for which this instance may be behind a peer before it
            scans, in seconds; infinite if peers don't report revisions.
    """

    prefix: str
    batch_delay_s: float
    max_lag_s: float = math.inf


class Follower:
    """Passes the entries of a prefix and their changes to a handler."""

    def __init__(
        self,
        polled_store: store.PolledStore,
        subscription: Subscription,
        handler: Handler,
        on_answer: Callable[[store.StoreFault | None], None],
        is_delegate: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Initializes the follower.

        Args:
            polled_store: The store.
            subscription: The prefix to follow.
            handler: Receives entries and changes.
            on_answer: Called after each call to the store with its fault, or
                with None if it succeeded.
            is_delegate: Returns whether this instance is the delegate of its
                data centre.
            rng: Random generator for the jitter of the backoff.
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
        """Store revision of the last change received."""
        return self._last_change_revision

    def note_peer_revision(self, revision: int) -> None:
        """Records the revision of a change that a peer has received."""
        if revision > max(self._revision, self._peer_revision):
            self._peer_revision = revision
            self._behind_peers.set()

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_stale_polls)
            await self._follow()

    async def _follow(self) -> None:
        """Scans the prefix and polls for changes; rescans after faults.

        The backoff starts anew with the first scan after an outage, but not
        while scans succeed and polls are refused.
        """
        backoff_s = MIN_BACKOFF_S
        has_polled = True
        while True:
            started_at = anyio.current_time()
            scanned = await self._store.scan(self._subscription.prefix)
            if isinstance(scanned, result.Err):
                self._log_call("scan failed", started_at, scanned.err_value)
                self._on_answer(scanned.err_value)
                has_polled = True
            else:
                self._log_call(
                    "scanned",
                    started_at,
                    revision=scanned.ok_value.revision,
                    count=len(scanned.ok_value.entries),
                )
                self._on_answer(None)
                entries = scanned.ok_value.entries
                if self._is_restored(scanned.ok_value.revision):
                    self._handler.store_restored(scanned.ok_value.revision)
                self._revision = scanned.ok_value.revision
                self._record_last_change(entries)
                self._handler.apply_snapshot(entries)
                if has_polled:
                    backoff_s = MIN_BACKOFF_S
                polling_since = anyio.current_time()
                await self._poll_changes()
                polled_s = anyio.current_time() - polling_since
                has_polled = polled_s >= NON_DELEGATE_MAX_BACKOFF_S
            with anyio.move_on_after(backoff_s * (0.5 + self._rng.random())):
                await self._behind_peers.wait()
                next_scan_at = started_at + MIN_SCAN_INTERVAL_S
                await anyio.sleep(max(next_scan_at - anyio.current_time(), 0))
            max_backoff_s = (
                DELEGATE_MAX_BACKOFF_S
                if self._is_delegate()
                else NON_DELEGATE_MAX_BACKOFF_S
            )
            backoff_s = min(backoff_s * 2, max_backoff_s)

    def _is_restored(self, revision: int) -> bool:
        """Returns whether the store was restored before a scan's revision."""
        if not self._revision:
            return False
        era, _ = store.split_era(revision)
        return era != store.split_era(self._revision)[0]

    async def _poll_changes(self) -> None:
        """Passes changes to the handler until a poll fails or is cancelled.

        The store may have dropped the changes since the last revision, and
        then sends nothing to a poll from there. So the next call after a
        failure must be a scan.
        """
        while True:
            started_at = anyio.current_time()
            polled = await self._poll_once()
            if polled is None:
                self._log_call("poll cancelled", started_at)
                return
            if isinstance(polled, result.Err):
                self._log_call("poll failed", started_at, polled.err_value)
                self._on_answer(polled.err_value)
                return
            self._on_answer(None)
            entries = polled.ok_value.entries
            self._log_call(
                "polled",
                started_at,
                revision=polled.ok_value.revision,
                count=len(entries),
            )
            self._revision = polled.ok_value.revision
            if entries:
                self._record_last_change(entries)
                for entry in entries:
                    self._handler.apply_change(entry)
                await anyio.sleep(self._subscription.batch_delay_s)

    async def _poll_once(
        self,
    ) -> result.Result[store.WatchBatch, store.StoreFault] | None:
        """Waits for changes; returns None if the poll was cancelled."""
        wait_s = DELEGATE_WAIT_S if self._is_delegate() else NON_DELEGATE_WAIT_S
        with anyio.CancelScope() as self._poll_scope:
            return await self._store.changes(
                self._subscription.prefix, self._revision, wait_s
            )
        return None

    async def _cancel_stale_polls(self) -> None:
        """Cancels a poll if this instance is behind a peer for too long.

        The next call is a scan.
        """
        while True:
            await self._behind_peers.wait()
            self._behind_peers = anyio.Event()
            await anyio.sleep(self._subscription.max_lag_s)
            if self._peer_revision > self._revision and self._poll_scope:
                self._poll_scope.cancel()

    def _log_call(
        self,
        outcome: str,
        started_at: float,
        fault: store.StoreFault | None = None,
        *,
        revision: int | None = None,
        count: int | None = None,
    ) -> None:
        """Logs the end of a call to the store.

        Args:
            outcome: How the call ended.
            started_at: Time at which it was sent.
            fault: Its fault, if it failed.
            revision: Store revision of the answer.
            count: Number of entries or changes in the answer.
        """
        logger.info(
            "store followed",
            name=self._subscription.prefix,
            outcome=outcome,
            seconds=round(anyio.current_time() - started_at, 3),
            version=self._revision,
            revision=revision,
            count=count,
            reason=f"{fault.kind} {fault.detail}" if fault else None,
        )

    def _record_last_change(self, entries: Iterable[store.Entry]) -> None:
        """Records the newest revision among some changes.

        A deleted entry has no revision of its own; the revision of its batch
        counts for it.
        """
        for entry in entries:
            revision = entry.version or self._revision
            self._last_change_revision = max(
                self._last_change_revision, revision
            )
