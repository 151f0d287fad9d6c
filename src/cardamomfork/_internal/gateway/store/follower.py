"""Follows the changes of a key prefix in the platform's store by long polling.

Each call to the store is billed, including a long poll. To save calls, only one
instance per data centre, the delegate, polls with a short wait, so that it soon
notices a connection that no longer delivers. The other instances wait longer;
one that becomes the delegate ends its poll, and scans.
Peers exchange the revisions that they have received and fingerprints of the
keys that they know. An instance that is behind its peers scans the prefix.

In a large fleet, only some instances poll. The others wait for their updates
(`change_relay`). They scan when they are behind a peer, and when they must poll
themselves.
"""

from __future__ import annotations

import math
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.store import entry_faults
from cardamomfork._internal.gateway.store import key_set

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from cardamomfork._internal.gateway.store import change_relay

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
ROLE_CHECK_INTERVAL_S = 0.5
"""Interval at which an instance that doesn't poll checks whether it must."""
DELEGATE_CHECK_INTERVAL_S = 0.25
"""Interval at which an instance in a long poll checks whether it has become
the delegate. Nobody else notices then that its connection is silent."""
FAILED_RESCAN_S = 2.0
"""Time for which changes are polled before another scan, if the entries of a
scan could not be applied."""
UPDATE_WAIT_S = 0.6
"""Additional time for which an instance that doesn't poll may be behind a peer
before it scans. Together with that of the subscription, it is longer than the
pauses in which the peers that poll accumulate changes."""
RESEND_DELAY_S = 0.2
"""Time after which the news of a restored store is sent to peers again."""
RESTORED_SPREAD_S = 0.1
"""Longest random delay before a scan after a peer's revision shows that the
store was restored from a copy: registrations may be lost, and have to be
written again within 2 s."""
MAX_SILENT_POLL_S = 3.0
"""Duration of a poll up to which its silence may be that of its connection. In
a longer one, the store may have been down long enough for leases to expire."""
PEER_DISCOVERY_S = 1.2
"""Time after the first scan in which peers are discovered that poll."""


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

    def apply_snapshot(self, scan: store.Scan) -> None:
        """Replaces all entries by those of a full scan."""
        ...

    def apply_changes(self, batch: store.WatchBatch) -> None:
        """Applies the changes of one poll, in their order."""
        ...


class RelayedHandler(Handler, Protocol):
    """Receives changes from peers as well."""

    def apply_relayed_change(self, change: change_relay.Change) -> None:
        """Applies a change that a peer has received."""
        ...


@attrs.frozen
class RelayedChanges:
    """Connects a follower to the peers that poll the same prefix.

    Attributes:
        relay: Sends changes that this instance receives to the others.
        handler: Receives changes from peers.
    """

    relay: change_relay.ChangeRelay
    handler: RelayedHandler


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
        must_poll: Callable[[], bool] | None = None,
        relayed: RelayedChanges | None = None,
        on_failure: Callable[[Exception], None] = lambda _: None,
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
            must_poll: Returns whether this instance polls, rather than rely on
                its peers; None if it always does.
            relayed: Exchanges changes with peers; None if peers don't send
                them.
            on_failure: Called with an unexpected exception of the handler or
                the relay. It does not end the following.
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
        self._keys = key_set.KeySet()
        self._peer_keys = key_set.KnownKeys()
        self._poll_scope: anyio.CancelScope | None = None
        self._is_in_long_poll = False
        self._cancel_reason: str | None = None
        self._behind_peers = anyio.Event()
        self._may_rely_on_peers = must_poll is not None
        self._must_poll = must_poll or (lambda: True)
        self._relayed = relayed
        self._on_failure = on_failure
        self._gets_changes_itself = False
        self._missed_update = anyio.Event()
        self._faults = entry_faults.EntryFaults("store entries not applied")

    @property
    def last_change_revision(self) -> int:
        """Store revision of the last change received."""
        return self._last_change_revision

    @property
    def known_keys(self) -> key_set.KnownKeys:
        """The keys known here, which a peer compares with its own."""
        return key_set.KnownKeys(self._revision, self._keys.fingerprint)

    def note_peer_keys(self, known: key_set.KnownKeys) -> None:
        """Records the keys that a peer knows.

        They show a removal that a scan has revealed to the peer, as the
        revisions of entries don't.
        """
        if known.revision > max(self._revision, self._peer_keys.revision):
            self._peer_keys = known
            if self._lacks_change_of_keys():
                self._behind_peers.set()

    def note_peer_revision(self, revision: int) -> None:
        """Records the revision of a change that a peer has received."""
        if revision > max(self._revision, self._peer_revision):
            self._peer_revision = revision
            self._behind_peers.set()
            if (
                store.split_era(revision)[0]
                > store.split_era(self._revision)[0]
            ):
                # Changes before the restoration will not be relayed any more.
                self._missed_update.set()

    def _lacks_change_of_keys(self) -> bool:
        """Returns whether a peer has seen a change of the keys that is new."""
        return (
            self._peer_keys.revision > self._revision
            and self._peer_keys.fingerprint != self._keys.fingerprint
        )

    def note_received(self, revision: int) -> None:
        """Records that a peer has sent all that this instance follows.

        Args:
            revision: Store revision up to which it is known. While this
                instance calls the store itself, its answers decide.
        """
        if not self._gets_changes_itself:
            self._revision = max(self._revision, revision)

    def apply_update(self, update: change_relay.Update) -> bool:
        """Applies changes that a peer has received.

        While this instance calls the store itself, an answer that is still to
        come may be older, and must not replace what is newer.

        Returns:
            Whether the update was applied.
        """
        if self._relayed is None or self._gets_changes_itself:
            return False
        if not update.applies_to(self._revision):
            if update.base_revision > self._revision > 0:
                # Later updates begin after this one, so none fills the gap.
                self.note_peer_revision(update.revision)
                self._missed_update.set()
            return False
        for change in update.changes:
            if change.revision > self._revision:
                self._keys.apply(change.to_entry())
                with self._faults.contained(change.key, change.revision):
                    self._relayed.handler.apply_relayed_change(change)
                self._last_change_revision = max(
                    self._last_change_revision, change.revision
                )
        self._relayed.relay.record_update(update)
        self._revision = update.revision
        return True

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_stale_polls)
            tasks.start_soon(self._cancel_long_poll_of_delegate)
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
            scanned = await self._scan()
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
                is_restored = self._is_restored(scanned.ok_value.revision)
                if is_restored:
                    self._call(
                        self._handler.store_restored, scanned.ok_value.revision
                    )
                is_first = not self._revision
                self._revision = scanned.ok_value.revision
                # A peer that really has more reports it again.
                self._peer_revision = min(self._peer_revision, self._revision)
                self._peer_keys = key_set.KnownKeys()
                self._keys.replace(entries)
                self._record_last_change(entries)
                is_applied = self._call(
                    self._handler.apply_snapshot, scanned.ok_value
                )
                if self._relayed is not None:
                    self._call(
                        self._relayed.relay.record_scan, entries, self._revision
                    )
                    if is_restored:
                        # A datagram may be lost, and peers that don't poll
                        # have to register again.
                        await anyio.sleep(RESEND_DELAY_S)
                        self._relayed.relay.resend()
                if is_first and self._may_rely_on_peers:
                    await anyio.sleep(PEER_DISCOVERY_S)
                if has_polled:
                    backoff_s = MIN_BACKOFF_S
                polling_since = anyio.current_time()
                with anyio.move_on_after(
                    None if is_applied else FAILED_RESCAN_S
                ):
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

    def _call(self, function: Callable[..., object], *arguments: Any) -> bool:
        """Calls the handler or the relay; returns whether that succeeded."""
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001  # The next call may succeed.
            self._on_failure(error)
            return False
        return True

    def _is_restored(self, revision: int) -> bool:
        """Returns whether the store was restored before a revision."""
        if not self._revision:
            return False
        era, _ = store.split_era(revision)
        return era != store.split_era(self._revision)[0]

    async def _poll_changes(self) -> None:
        """Passes changes to the handler until a poll fails or is cancelled.

        The store may have dropped the changes since the last revision, and
        then sends nothing to a poll from there. So the next call after a
        failure must be a scan. The same holds for an instance that has relied
        on its peers.
        """
        while True:
            if not self._must_poll():
                await self._wait_for_peers()
                return
            started_at = anyio.current_time()
            polled = await self._poll_once()
            if polled is None:
                self._log_call(
                    "poll cancelled", started_at, reason=self._cancel_reason
                )
                return
            if isinstance(polled, result.Err):
                self._log_call("poll failed", started_at, polled.err_value)
                waited_s = anyio.current_time() - started_at
                self._on_answer(_to_outage(polled.err_value, waited_s))
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
                for entry in entries:
                    self._keys.apply(entry)
                self._record_last_change(entries)
                if not self._call(self._handler.apply_changes, polled.ok_value):
                    # A scan brings these changes again.
                    return
                await self._pause_after_changes(entries)

    async def _pause_after_changes(
        self, entries: tuple[store.Entry, ...]
    ) -> None:
        """Sends changes to peers and lets further ones accumulate.

        They are sent twice, since a datagram may be lost.
        """
        delay_s = self._subscription.batch_delay_s
        if self._relayed is None:
            await self._sleep_unless_restored(delay_s)
            return
        # A poller that applied a peer's update here would not pass it on.
        self._gets_changes_itself = self._must_poll()
        try:
            if not self._call(
                self._relayed.relay.record_changes, entries, self._revision
            ):
                return
            await self._sleep_unless_restored(delay_s / 3)
            self._relayed.relay.resend()
            await self._sleep_unless_restored(delay_s - delay_s / 3)
        finally:
            self._gets_changes_itself = False

    async def _sleep_unless_restored(self, seconds: float) -> None:
        """Sleeps; returns at once when the store is restored from a copy.

        Instances that don't poll learn of it by the next scan here.
        """
        with anyio.move_on_after(seconds):
            await self._store.wait_until_restored(self._revision)

    async def _wait_for_peers(self) -> None:
        """Returns when this instance must call the store itself.

        That is when it must poll, is behind its peers, or has learned that the
        store was restored.
        """
        with anyio.CancelScope() as self._poll_scope:
            while not self._must_poll():
                with anyio.move_on_after(ROLE_CHECK_INTERVAL_S):
                    await self._store.wait_until_restored(self._revision)
                    return

    async def _scan(self) -> result.Result[store.Scan, store.StoreFault]:
        """Reads all entries of the prefix."""
        self._gets_changes_itself = True
        try:
            return await self._store.scan(self._subscription.prefix)
        finally:
            self._gets_changes_itself = False

    async def _poll_once(
        self,
    ) -> result.Result[store.WatchBatch, store.StoreFault] | None:
        """Waits for changes; returns None if the poll was cancelled."""
        is_delegate = self._is_delegate()
        wait_s = DELEGATE_WAIT_S if is_delegate else NON_DELEGATE_WAIT_S
        self._gets_changes_itself = True
        self._is_in_long_poll = not is_delegate
        try:
            with anyio.CancelScope() as self._poll_scope:
                return await self._store.changes(
                    self._subscription.prefix, self._revision, wait_s
                )
        finally:
            self._gets_changes_itself = False
            self._is_in_long_poll = False
        return None

    async def _cancel_long_poll_of_delegate(self) -> None:
        """Cancels a long poll once this instance becomes the delegate.

        Its connection may have gone silent while another instance was the
        delegate, and changes may have been missed since. The next call is a
        scan.
        """
        while True:
            await anyio.sleep(DELEGATE_CHECK_INTERVAL_S)
            if self._is_in_long_poll and self._is_delegate():
                self._cancel_poll("became the delegate")

    async def _cancel_stale_polls(self) -> None:
        """Cancels a poll if this instance is behind a peer for too long.

        The next call is a scan.
        """
        while True:
            await self._behind_peers.wait()
            self._behind_peers = anyio.Event()
            if not self._must_poll():
                with anyio.move_on_after(UPDATE_WAIT_S):
                    await self._missed_update.wait()
            if self._is_restored(self._peer_revision):
                await anyio.sleep(RESTORED_SPREAD_S * self._rng.random())
            else:
                await anyio.sleep(self._subscription.max_lag_s)
            self._missed_update = anyio.Event()
            is_behind = (
                self._peer_revision > self._revision
                or self._lacks_change_of_keys()
            )
            if is_behind:
                self._cancel_poll("behind a peer")

    def _cancel_poll(self, reason: str) -> None:
        """Cancels the call that is in progress, if it is a poll."""
        if self._poll_scope:
            self._cancel_reason = reason
            self._poll_scope.cancel()

    def _log_call(
        self,
        outcome: str,
        started_at: float,
        fault: store.StoreFault | None = None,
        *,
        revision: int | None = None,
        count: int | None = None,
        reason: str | None = None,
    ) -> None:
        """Logs the end of a call to the store.

        Args:
            outcome: How the call ended.
            started_at: Time at which it was sent.
            fault: Its fault, if it failed.
            revision: Store revision of the answer.
            count: Number of entries or changes in the answer.
            reason: Why it was cancelled.
        """
        logger.info(
            "store followed",
            name=self._subscription.prefix,
            outcome=outcome,
            seconds=round(anyio.current_time() - started_at, 3),
            version=self._revision,
            revision=revision,
            count=count,
            reason=f"{fault.kind} {fault.detail}" if fault else reason,
        )

    def _record_last_change(self, entries: Iterable[store.Entry]) -> None:
        """Records the newest revision among some changes.

        A deleted entry has no revision of its own; the revision of its batch
        counts for it, and for a malformed one beyond it.
        """
        for entry in entries:
            revision = min(entry.version or self._revision, self._revision)
            self._last_change_revision = max(
                self._last_change_revision, revision
            )


def _to_outage(fault: store.StoreFault, waited_s: float) -> store.StoreFault:
    """Returns the fault of a poll; long silence counts as an outage."""
    if (
        fault.kind is not store.StoreFaultKind.SILENT
        or waited_s <= MAX_SILENT_POLL_S
    ):
        return fault
    return attrs.evolve(fault, kind=store.StoreFaultKind.UNAVAILABLE)
