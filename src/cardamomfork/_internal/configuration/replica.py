"""One instance's copy of the configuration; only ever moves forward.

Every object carries the store's revision of its last change. The replica is
*complete* up to a revision: it knows every change up to there, so that an
unknown object of that age has been deleted and is refused. Changes reach it
three ways: a range that begins where the replica is complete, a snapshot of
everything at one revision, and single changes that run ahead of the ranges.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.configuration import index
from cardamomfork._internal.models import configuration

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomfork._internal.models import identifiers

    Subscriber = Callable[[configuration.Versioned], None]

MAX_TOMBSTONES = 2048
MAX_OBJECTS = 50_000

_ObjectKey = tuple[configuration.ObjectKind, str]


@attrs.frozen
class Snapshot:
    """Everything at one revision of the store.

    Attributes:
        revision: The revision.
        entries: All objects that existed then.
        unreadable: Objects that existed and could not be read; what the
            replica holds of them stays.
    """

    revision: int
    entries: tuple[configuration.Versioned, ...]
    unreadable: frozenset[tuple[configuration.ObjectKind, str]] = frozenset()


@attrs.define
class ReplicaCounters:
    """What came in.

    Attributes:
        applied: Changes that took effect.
        refused: Changes that were not newer than what is held.
        gaps: Ranges that began past the revision held.
        full: Changes refused because the table was full.
    """

    applied: int = 0
    refused: int = 0
    gaps: int = 0
    over_capacity: int = 0


class ConfigurationReplica:
    """Objects by kind and name, never replaced by older ones."""

    def __init__(
        self,
        max_tombstones: int = MAX_TOMBSTONES,
        max_objects: int = MAX_OBJECTS,
    ) -> None:
        """Starts empty at revision 0.

        Args:
            max_tombstones: Deletions remembered for slower peers.
            max_objects: Most objects held; further new ones are refused.
        """
        self._max_tombstones = max_tombstones
        self._max_objects = max_objects
        self._objects: dict[_ObjectKey, configuration.Versioned] = {}
        self._log: list[tuple[int, configuration.ObjectKind, str]] = []
        self._tombstones: list[tuple[int, configuration.ObjectKind, str]] = []
        # Deletions after this revision are all known.
        self._deletions_known_since = 0
        self._revision = 0
        self._subscribers: list[Subscriber] = []
        self._index = index.ConfigurationIndex()
        self.counters = ReplicaCounters()

    @property
    def revision(self) -> int:
        """The revision up to which every change is held."""
        return self._revision

    @property
    def newest(self) -> int:
        """The newest version held, which may run ahead of `revision`."""
        return max(self._revision, self._log[-1][0] if self._log else 0)

    @property
    def size(self) -> int:
        """Objects held, deletions not counted."""
        return len(self._objects) - len(self._tombstones)

    @property
    def tombstones(
        self,
    ) -> Sequence[tuple[int, configuration.ObjectKind, str]]:
        """Version, kind and name of each deletion remembered."""
        return self._tombstones

    @property
    def index(self) -> index.ConfigurationIndex:
        """Lookups over the objects in force."""
        return self._index

    def subscribe(self, callback: Subscriber) -> Callable[[], None]:
        """Calls back after each change; returns how to stop it."""
        self._subscribers.append(callback)
        return lambda: self._subscribers.remove(callback)

    def get(
        self, kind: configuration.ObjectKind, name: str
    ) -> configuration.Versioned | None:
        """Returns an object, its deletion while remembered, or None."""
        return self._objects.get((kind, name))

    def objects(
        self, kind: configuration.ObjectKind | None = None
    ) -> tuple[configuration.Versioned, ...]:
        """Returns the objects in force, of one kind or all, by name."""
        return tuple(
            current
            for key, current in sorted(self._objects.items())
            if current.value is not None and kind in (None, key[0])
        )

    def service(
        self, name: identifiers.ServiceName
    ) -> configuration.Service | None:
        """Returns a service by its name."""
        return self._index.services.get(name)

    def service_for_model(self, model: str) -> configuration.Service | None:
        """Returns the service of a model; the first by name if several."""
        return self._index.service_for_model(model)

    def account(
        self, name: identifiers.AccountName
    ) -> configuration.ClientAccount | None:
        """Returns an account by its name."""
        return self._index.accounts.get(name)

    def account_of_key(self, key_id: str) -> configuration.ClientAccount | None:
        """Returns the account that a key id belongs to."""
        return self._index.account_of_key(key_id)

    def is_drained(self, name: str) -> bool:
        """Tells whether an operator drains a target or instance."""
        return name in self._index.drains

    def apply(self, change: configuration.Versioned) -> bool:
        """Applies one change out of order; False if it is not newer."""
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
        """Applies every change after one revision up to another.

        Args:
            changes: The changes; the last of each object is enough.
            since: Revision that the range begins after.
            upto: Revision that it ends with.

        Returns:
            False if the range begins past the revision held; nothing is then
            applied, because an object may have been deleted in between.
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
        """Applies everything at one revision; what it lacks was deleted.

        Returns:
            False if the replica is past that revision already.
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
            # It does not name objects that came and went before it, which a
            # slower peer may hold.
            self._deletions_known_since = max(
                self._deletions_known_since, snapshot.revision
            )
            self._advance_revision(snapshot.revision)
        return True

    def changes_after(
        self, revision: int
    ) -> tuple[configuration.Versioned, ...] | None:
        """Returns the changes after a revision, by version.

        Returns None where deletions that recent are not known: the asker
        then needs a snapshot.
        """
        if revision < self._deletions_known_since:
            return None
        start = bisect.bisect_left(self._log, (revision + 1,))
        return tuple(
            self._objects[(kind, name)] for _, kind, name in self._log[start:]
        )

    def snapshot(self) -> Snapshot:
        """Returns everything in force, complete up to `revision`."""
        return Snapshot(self._revision, self.objects())

    def _apply_from_complete(self, change: configuration.Versioned) -> bool:
        """Applies a change from a complete source; False if it's full."""
        current = self._objects.get((change.kind, change.name))
        if current is None and change.version <= self._revision:
            self.counters.refused += 1
            return True
        if current is not None and change.version <= current.version:
            self.counters.refused += 1
            return True
        return self._store(change)

    def _store(self, change: configuration.Versioned) -> bool:
        """Replaces an object by a newer version and tells the subscribers."""
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
            subscriber(change)
        return True

    def _is_full(self, current: configuration.Versioned | None) -> bool:
        """Tells whether there is no room for one more object."""
        is_new = current is None or current.value is None
        return is_new and self.size >= self._max_objects

    def _remove_from_log(self, current: configuration.Versioned) -> None:
        """Takes a version out of the log and the tombstones."""
        entry = (current.version, current.kind, current.name)
        del self._log[bisect.bisect_left(self._log, entry)]
        if current.value is None:
            position = bisect.bisect_left(self._tombstones, entry)
            del self._tombstones[position]

    def _evict_tombstones(self) -> None:
        """Forgets the oldest deletions beyond the bound."""
        while len(self._tombstones) > self._max_tombstones:
            entry = self._tombstones.pop(0)
            version, kind, name = entry
            del self._log[bisect.bisect_left(self._log, entry)]
            del self._objects[(kind, name)]
            self._deletions_known_since = max(
                self._deletions_known_since, version
            )

    def _advance_revision(self, revision: int) -> None:
        """Moves the complete revision forward, never back."""
        old_revision = self._revision
        self._revision = max(self._revision, revision)
        exceptions.check_invariant(
            self._revision >= old_revision,
            "revision never falls",
            self._revision,
        )
