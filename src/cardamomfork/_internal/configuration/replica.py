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

_Key = tuple[configuration.ObjectKind, str]


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
    full: int = 0


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
        self._held: dict[_Key, configuration.Versioned] = {}
        self._log: list[tuple[int, configuration.ObjectKind, str]] = []
        self._tombstones: list[tuple[int, configuration.ObjectKind, str]] = []
        # Deletions after this revision are all known.
        self._deletions_from = 0
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
        return len(self._held) - len(self._tombstones)

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
        return self._held.get((kind, name))

    def objects(
        self, kind: configuration.ObjectKind | None = None
    ) -> tuple[configuration.Versioned, ...]:
        """Returns the objects in force, of one kind or all, by name."""
        return tuple(
            held
            for key, held in sorted(self._held.items())
            if held.value is not None and kind in (None, key[0])
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
        held = self._held.get((change.kind, change.name))
        floor = (
            held.version if held else max(self._revision, self._deletions_from)
        )
        if change.version <= floor:
            self.counters.refused += 1
            return False
        if change.value is None and (
            len(self._tombstones) >= self._max_tombstones
        ):
            self.counters.full += 1
            return False
        return self._put(change)

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
            complete = self._apply_known(change) and complete
        if complete:
            self._advance(upto)
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
            complete = self._apply_known(entry) and complete
        for key, held in list(self._held.items()):
            gone = key not in present and held.value is not None
            if gone and held.version < snapshot.revision:
                self._put(
                    configuration.Versioned(*key, snapshot.revision, None)
                )
        if complete and snapshot.revision > self._revision:
            # It does not name objects that came and went before it, which a
            # slower peer may hold.
            self._deletions_from = max(self._deletions_from, snapshot.revision)
            self._advance(snapshot.revision)
        return True

    def changes_after(
        self, revision: int
    ) -> tuple[configuration.Versioned, ...] | None:
        """Returns the changes after a revision, by version.

        Returns None where deletions that recent are not known: the asker
        then needs a snapshot.
        """
        if revision < self._deletions_from:
            return None
        start = bisect.bisect_left(self._log, (revision + 1,))
        return tuple(
            self._held[(kind, name)] for _, kind, name in self._log[start:]
        )

    def snapshot(self) -> Snapshot:
        """Returns everything in force, complete up to `revision`."""
        return Snapshot(self._revision, self.objects())

    def _apply_known(self, change: configuration.Versioned) -> bool:
        """Applies a change from a complete source; False if it's full."""
        held = self._held.get((change.kind, change.name))
        if held is None and change.version <= self._revision:
            self.counters.refused += 1
            return True
        if held is not None and change.version <= held.version:
            self.counters.refused += 1
            return True
        return self._put(change)

    def _put(self, change: configuration.Versioned) -> bool:
        """Replaces an object by a newer version and tells the subscribers."""
        key = (change.kind, change.name)
        held = self._held.get(key)
        if change.value is not None and self._is_full(held):
            self.counters.full += 1
            return False
        if held is not None:
            exceptions.check_invariant(
                change.version > held.version, "never reverts", key
            )
            self._unlist(held)
        self._held[key] = change
        entry = (change.version, change.kind, change.name)
        bisect.insort(self._log, entry)
        if change.value is None:
            bisect.insort(self._tombstones, entry)
            self._evict()
        self.counters.applied += 1
        self._index.replace(held.value if held else None, change.value)
        for subscriber in tuple(self._subscribers):
            subscriber(change)
        return True

    def _is_full(self, held: configuration.Versioned | None) -> bool:
        """Tells whether there is no room for one more object."""
        is_new = held is None or held.value is None
        return is_new and self.size >= self._max_objects

    def _unlist(self, held: configuration.Versioned) -> None:
        """Takes a version out of the log and the tombstones."""
        entry = (held.version, held.kind, held.name)
        del self._log[bisect.bisect_left(self._log, entry)]
        if held.value is None:
            place = bisect.bisect_left(self._tombstones, entry)
            del self._tombstones[place]

    def _evict(self) -> None:
        """Forgets the oldest deletions beyond the bound."""
        while len(self._tombstones) > self._max_tombstones:
            entry = self._tombstones.pop(0)
            version, kind, name = entry
            del self._log[bisect.bisect_left(self._log, entry)]
            del self._held[(kind, name)]
            self._deletions_from = max(self._deletions_from, version)

    def _advance(self, revision: int) -> None:
        """Moves the complete revision forward, never back."""
        before = self._revision
        self._revision = max(self._revision, revision)
        exceptions.check_invariant(
            self._revision >= before, "revision never falls", self._revision
        )
