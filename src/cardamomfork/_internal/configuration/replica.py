"""One instance's replica of the configuration; versions only increase.

Every object carries the store's revision of its last change. The replica is
*complete* up to a revision: it has every change up to that revision. A change
that is not newer is refused if the replica does not have its object, since the
object has been deleted. The replica accepts three kinds of input: a range of
changes that begins at or below its revision, a snapshot of all objects at one
revision, and single changes, which may be newer than its revision.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal import supervision
from cardamomfork._internal.configuration import index
from cardamomfork._internal.models import configuration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomfork._internal.models import identifiers

    Subscriber = Callable[[configuration.Versioned], None]

MAX_TOMBSTONES = 2048
"""Deletions kept, so that peers that lag behind can receive them."""
TASK_NAME = "configuration changes"
MAX_OBJECTS = 50_000

_ObjectKey = tuple[configuration.ObjectKind, str]


@attrs.frozen
class Snapshot:
    """All objects at one revision of the store.

    Attributes:
        revision: The revision.
        entries: All objects that existed at that revision.
        unreadable: Kind and name of objects that existed but could not be
            decoded; the replica keeps the versions that it has of them.
    """

    revision: int
    entries: tuple[configuration.Versioned, ...]
    unreadable: frozenset[tuple[configuration.ObjectKind, str]] = frozenset()


@attrs.define
class ReplicaCounters:
    """Counters of applied and refused input.

    Attributes:
        applied: Changes that took effect.
        refused: Changes and snapshots that were not newer than the replica.
        gaps: Ranges refused because they began after the replica's revision.
        over_capacity: Changes refused because a table was full.
    """

    applied: int = 0
    refused: int = 0
    gaps: int = 0
    over_capacity: int = 0


class ConfigurationReplica:
    """Objects by kind and name; only newer versions replace them."""

    def __init__(
        self,
        max_tombstones: int = MAX_TOMBSTONES,
        max_objects: int = MAX_OBJECTS,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes an empty replica at revision 0.

        Args:
            max_tombstones: Deletions kept for peers that lag behind.
            max_objects: Most objects held; further new objects are refused.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._max_tombstones = max_tombstones
        self._max_objects = max_objects
        self._objects: dict[_ObjectKey, configuration.Versioned] = {}
        self._log: list[tuple[int, configuration.ObjectKind, str]] = []
        self._tombstones: list[tuple[int, configuration.ObjectKind, str]] = []
        # All deletions after this revision are known.
        self._deletions_known_since = 0
        self._revision = 0
        self._subscribers: list[Subscriber] = []
        self._index = index.ConfigurationIndex()
        self.counters = ReplicaCounters()

    @property
    def revision(self) -> int:
        """The revision up to which the replica has every change."""
        return self._revision

    @property
    def newest(self) -> int:
        """The newest version held; may be above `revision`."""
        return max(self._revision, self._log[-1][0] if self._log else 0)

    @property
    def size(self) -> int:
        """Number of objects held, without deletions."""
        return len(self._objects) - len(self._tombstones)

    @property
    def tombstones(
        self,
    ) -> Sequence[tuple[int, configuration.ObjectKind, str]]:
        """Version, kind and name of each deletion kept, oldest first."""
        return self._tombstones

    @property
    def index(self) -> index.ConfigurationIndex:
        """Lookups over the objects in force."""
        return self._index

    def subscribe(self, callback: Subscriber) -> Callable[[], None]:
        """Calls `callback` after each change; returns the unsubscriber."""
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    def get(
        self, kind: configuration.ObjectKind, name: str
    ) -> configuration.Versioned | None:
        """Returns an object or its tombstone, or None if there is neither."""
        return self._objects.get((kind, name))

    def objects(
        self, kind: configuration.ObjectKind | None = None
    ) -> tuple[configuration.Versioned, ...]:
        """Returns the objects in force, of one kind or all, sorted by name."""
        return tuple(
            current
            for key, current in sorted(self._objects.items())
            if current.value is not None and kind in (None, key[0])
        )

    def service(
        self, name: identifiers.ServiceName
    ) -> configuration.Service | None:
        """Returns the service of a name."""
        return self._index.services.get(name)

    def service_for_model(self, model: str) -> configuration.Service | None:
        """Returns the service of a model; if several, the first by name."""
        return self._index.service_for_model(model)

    def account(
        self, name: identifiers.AccountName
    ) -> configuration.ClientAccount | None:
        """Returns the account of a name."""
        return self._index.accounts.get(name)

    def account_of_key(self, key_id: str) -> configuration.ClientAccount | None:
        """Returns the account that a key id belongs to."""
        return self._index.account_of_key(key_id)

    def is_drained(self, name: str) -> bool:
        """Returns whether an operator drains a target or instance."""
        return name in self._index.drains

    def apply(self, change: configuration.Versioned) -> bool:
        """Applies a single change, possibly ahead of `revision`.

        Returns:
            False if the change is not newer than what is known of the object,
            or if there is no capacity for it.
        """
        current = self._objects.get((change.kind, change.name))
        known_version = (
            current.version
            if current
            else max(self._revision, self._deletions_known_since)
        )
        if change.version <= known_version:
            self.counters.refused += 1
            return False
        if change.value is None and (
            len(self._tombstones) >= self._max_tombstones
        ):
            self.counters.over_capacity += 1
            return False
        return self._store(change)

    def apply_range(
        self,
        changes: Iterable[configuration.Versioned],
        since: int,
        upto: int,
    ) -> bool:
        """Applies all changes after one revision, up to another.

        Args:
            changes: The changes; the last one of each object is enough.
            since: Revision after which the range begins.
            upto: Revision with which the range ends.

        Returns:
            False if the range begins after the replica's revision. Nothing is
            then applied, because the gap may hold the deletion of an object.
        """
        if since > self._revision:
            self.counters.gaps += 1
            return False
        complete = True
        for change in changes:
            complete = self._apply_from_complete(change) and complete
        if complete:
            self._advance_revision(upto)
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Applies a snapshot; objects that it lacks count as deleted.

        Returns:
            False if the replica has already passed the snapshot's revision.
        """
        if snapshot.revision < self._revision:
            self.counters.refused += 1
            return False
        present = {(entry.kind, entry.name) for entry in snapshot.entries}
        present |= snapshot.unreadable
        complete = True
        for entry in snapshot.entries:
            complete = self._apply_from_complete(entry) and complete
        for key, current in list(self._objects.items()):
            is_deleted = key not in present and current.value is not None
            if is_deleted and current.version < snapshot.revision:
                self._store(
                    configuration.Versioned(*key, snapshot.revision, None)
                )
        if complete and snapshot.revision > self._revision:
            # A snapshot does not list objects that were deleted before it,
            # which a peer that lags behind may still hold.
            self._deletions_known_since = max(
                self._deletions_known_since, snapshot.revision
            )
            self._advance_revision(snapshot.revision)
        return True

    def changes_after(
        self, revision: int
    ) -> tuple[configuration.Versioned, ...] | None:
        """Returns the changes after a revision, sorted by version.

        Returns None if not all deletions after that revision are known; the
        caller then needs a snapshot.
        """
        if revision < self._deletions_known_since:
            return None
        start = bisect.bisect_left(self._log, (revision + 1,))
        return tuple(
            self._objects[(kind, name)] for _, kind, name in self._log[start:]
        )

    def snapshot(self) -> Snapshot:
        """Returns all objects in force, complete up to `revision`."""
        return Snapshot(self._revision, self.objects())

    def _apply_from_complete(self, change: configuration.Versioned) -> bool:
        """Applies a change of a range or snapshot; False if out of capacity.

        A change that is not newer counts as applied. One that is not newer
        than `revision`, of an unknown object, precedes the object's deletion.
        """
        current = self._objects.get((change.kind, change.name))
        if current is None and change.version <= self._revision:
            self.counters.refused += 1
            return True
        if current is not None and change.version <= current.version:
            self.counters.refused += 1
            return True
        return self._store(change)

    def _store(self, change: configuration.Versioned) -> bool:
        """Stores a newer version of an object and notifies the subscribers."""
        key = (change.kind, change.name)
        current = self._objects.get(key)
        if change.value is not None and self._is_full(current):
            self.counters.over_capacity += 1
            return False
        if current is not None:
            exceptions.check_invariant(
                change.version > current.version, "never reverts", key
            )
            self._remove_from_log(current)
        self._objects[key] = change
        entry = (change.version, change.kind, change.name)
        bisect.insort(self._log, entry)
        if change.value is None:
            bisect.insort(self._tombstones, entry)
            self._evict_tombstones()
        self.counters.applied += 1
        self._index.replace(current.value if current else None, change.value)
        for subscriber in tuple(self._subscribers):
            self._supervisor.call(TASK_NAME, subscriber, change)
        return True

    def _is_full(self, current: configuration.Versioned | None) -> bool:
        """Returns whether a new value would exceed the maximum of objects."""
        is_new = current is None or current.value is None
        return is_new and self.size >= self._max_objects

    def _remove_from_log(self, current: configuration.Versioned) -> None:
        """Removes a version from the log and the tombstones."""
        entry = (current.version, current.kind, current.name)
        del self._log[bisect.bisect_left(self._log, entry)]
        if current.value is None:
            position = bisect.bisect_left(self._tombstones, entry)
            del self._tombstones[position]

    def _evict_tombstones(self) -> None:
        """Removes the oldest tombstones above the maximum."""
        while len(self._tombstones) > self._max_tombstones:
            entry = self._tombstones.pop(0)
            version, kind, name = entry
            del self._log[bisect.bisect_left(self._log, entry)]
            del self._objects[(kind, name)]
            self._deletions_known_since = max(
                self._deletions_known_since, version
            )

    def _advance_revision(self, revision: int) -> None:
        """Raises `revision`; never lowers it."""
        old_revision = self._revision
        self._revision = max(self._revision, revision)
        exceptions.check_invariant(
            self._revision >= old_revision,
            "revision never falls",
            self._revision,
        )
