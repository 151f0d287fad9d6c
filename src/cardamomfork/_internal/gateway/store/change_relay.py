"""Relays changes of a key prefix from instances that poll the store to others.

The store bills each call, and a long poll of every instance returns for every
change. In a large fleet only some instances of a data centre poll. They send
what they receive to the others in datagrams. Each update also holds the changes
of the last seconds, so that the next one makes up for one that was lost. An
instance that still misses a change learns from digests that it is behind, and
scans the prefix.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

REPEAT_WINDOW_S = 3.0
"""Time for which a change is repeated in later updates."""
MAX_REPEATED_CHANGES = 16
"""Changes that updates hold in addition to new ones; bounds the load of slow
links while many targets start."""
MAX_LOGGED_CHANGES = 512
MAX_UPDATE_BYTES = 5000
"""Size of an update at which another one is begun, before its compression.
Changes of one revision stay together."""


@attrs.frozen
class Change:
    """The newest change of a key.

    Attributes:
        key: The key.
        value: Its value, or None if it was removed.
        revision: Store revision of the change. For a removal, the revision up
            to which its sender had received all changes.
        may_return: Whether a removed key may have lapsed in a store outage.
    """

    key: str
    value: bytes | None
    revision: int
    may_return: bool = False

    def to_entry(self) -> store.Entry:
        """Returns the change as an entry of the store."""
        if self.value is None:
            return store.Entry(self.key, b"", store.ABSENT)
        return store.Entry(self.key, self.value, self.revision)


@attrs.frozen
class Update:
    """All changes of the prefix within a range of revisions.

    Attributes:
        base_revision: Revision after which the range begins.
        revision: Last revision of the range.
        changes: The newest change of each key, by revision.
    """

    base_revision: int
    revision: int
    changes: tuple[Change, ...]

    def applies_to(self, revision: int) -> bool:
        """Returns whether it leads on from a revision without a gap.

        After a restoration of the store, entries may be older than what is
        known, so each instance scans the prefix itself.
        """
        eras = {
            store.split_era(one)[0]
            for one in (self.base_revision, self.revision, revision)
        }
        return len(eras) == 1 and (
            self.base_revision <= revision < self.revision
        )


class ChangeRelay:
    """Logs the newest changes of a prefix and sends them to peers."""

    def __init__(
        self,
        send: Callable[[tuple[Update, ...]], None],
        clock: Callable[[], float],
        may_have_lapsed: Callable[[bool], bool],
    ) -> None:
        """Initializes an empty log.

        Args:
            send: Sends updates to the peers that don't poll.
            clock: Monotonic time.
            may_have_lapsed: Returns whether a key that is missing may have
                lapsed in a store outage; called with whether it was missing
                in a scan.
        """
        self._send = send
        self._clock = clock
        self._may_have_lapsed = may_have_lapsed
        self._versions: dict[str, int] = {}
        self._base_revision = 0
        self._revision = 0
        # Changes after the base revision, oldest first, with the time at which
        # they were received.
        self._log: OrderedDict[str, tuple[float, Change]] = OrderedDict()
        self._new_changes = 0

    def record_scan(
        self, entries: Iterable[store.Entry], revision: int
    ) -> None:
        """Records the entries of a scan and sends what has changed.

        Args:
            entries: All entries.
            revision: Store revision of the scan.
        """
        versions = {entry.key: entry.version for entry in entries}
        changed = [
            entry
            for entry in entries
            if self._versions.get(entry.key) != entry.version
        ]
        removed = [
            store.Entry(key, b"", store.ABSENT)
            for key in self._versions
            if key not in versions
        ]
        is_first = not self._revision
        is_restored = (
            store.split_era(revision)[0] != store.split_era(self._revision)[0]
        )
        if is_first or is_restored:
            self._log.clear()
            self._base_revision = self._revision = revision
            self._versions = versions
            if is_restored and not is_first:
                # An empty range shows peers that they have to scan.
                self._send(self.updates())
            return
        self._record((*changed, *removed), revision, is_scan=True)

    def record_changes(
        self, entries: Iterable[store.Entry], revision: int
    ) -> None:
        """Records the changes that a poll returned and sends them.

        Args:
            entries: The changes, oldest first.
            revision: Store revision up to which they are complete.
        """
        self._record(entries, revision, is_scan=False)

    def resend(self) -> None:
        """Sends the changes of the last seconds again."""
        self._send(self.updates())

    def record_update(self, update: Update) -> None:
        """Records an update of a peer, which this instance doesn't send on."""
        for change in update.changes:
            if change.revision > self._revision:
                self._log_change(change)
        self._revision = max(self._revision, update.revision)

    def _record(
        self, entries: Iterable[store.Entry], revision: int, *, is_scan: bool
    ) -> None:
        """Logs changes and sends the updates of the last seconds."""
        may_return = self._may_have_lapsed(is_scan)
        self._new_changes = 0
        for entry in entries:
            self._new_changes += 1
            is_removed = entry.version == store.ABSENT
            self._log_change(
                Change(
                    entry.key,
                    None if is_removed else entry.value,
                    # A larger one would put later updates out of order.
                    revision if is_removed else min(entry.version, revision),
                    is_removed and may_return,
                )
            )
        self._revision = max(self._revision, revision)
        if self._new_changes:
            self._send(self.updates())

    def _log_change(self, change: Change) -> None:
        """Logs a change in place of an earlier one of its key."""
        self._log.pop(change.key, None)
        self._log[change.key] = (self._clock(), change)
        if change.value is None:
            self._versions.pop(change.key, None)
        else:
            self._versions[change.key] = change.revision

    def updates(self) -> tuple[Update, ...]:
        """Returns the changes of the last seconds, split by size."""
        self._drop_old_changes()
        changes = sorted(
            (
                change
                for _, change in self._log.values()
                if change.revision > self._base_revision
            ),
            key=lambda change: change.revision,
        )
        updates: list[Update] = []
        base = self._base_revision
        part: list[Change] = []
        size = 0
        for change in changes:
            if size >= MAX_UPDATE_BYTES and change.revision > part[-1].revision:
                updates.append(Update(base, part[-1].revision, tuple(part)))
                base = part[-1].revision
                part, size = [], 0
            part.append(change)
            size += len(change.key) + len(change.value or b"")
        updates.append(Update(base, self._revision, tuple(part)))
        return tuple(updates)

    def _drop_old_changes(self) -> None:
        """Drops changes that are no longer repeated, or too many."""
        oldest = self._clock() - REPEAT_WINDOW_S
        max_count = min(
            self._new_changes + MAX_REPEATED_CHANGES, MAX_LOGGED_CHANGES
        )
        while self._log:
            key, (received_at, change) = next(iter(self._log.items()))
            if received_at >= oldest and len(self._log) <= max_count:
                break
            del self._log[key]
            self._base_revision = max(self._base_revision, change.revision)
        if not self._log:
            self._base_revision = self._revision
