"""Sweep of orphaned reservations by an engine's home instance.

The home instance of an engine is chosen by rendezvous hashing over the live
instances of the data centre. It lists the engine's reservations, queries their
owners and frees the orphans. A reservation is an orphan if its owner no longer
uses it, if the owning process was replaced by a later one of the same
instance, or if the owner counts as dead or is unknown and has not confirmed it
for a grace period.
"""

from __future__ import annotations

from collections import OrderedDict
import enum
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.models import instances
from cardamomfork._internal.requests import reservations

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    import random

    from cardamomfork._internal.models import identifiers

MAX_TRACKED = 65_536
SWEEP_INTERVAL_S = 10.0
DEAD_OWNER_GRACE_S = 30.0
"""Time without confirmation after which a dead owner's memory is freed."""
UNKNOWN_OWNER_GRACE_S = 120.0
"""As above, for an owner of this data centre that isn't in the membership."""
REMOTE_OWNER_GRACE_S = 3900.0
"""As above, for an owner in another data centre: longer than any request."""


class OwnerState(enum.Enum):
    """State of a reservation's owner according to the membership."""

    ALIVE = "alive"
    REPLACED = "replaced"
    """A later process start of the instance is known."""
    DEAD = "dead"
    UNKNOWN = "unknown"
    REMOTE = "elsewhere"
    """It runs in another data centre, of which only delegates are known."""


@attrs.frozen
class Member:
    """An entry of the membership table, for an instance of any data centre."""

    boot_id: identifiers.BootId
    state: instances.InstanceState


@attrs.frozen
class OwnershipQuery:
    """Asks an owner which of its reservations on an engine it still uses."""

    owner: identifiers.InstanceId
    target_id: identifiers.TargetId
    names: tuple[str, ...]


@attrs.define
class _TrackedReservation:
    """A reservation on an engine whose home is this instance."""

    target_id: identifiers.TargetId
    last_confirmed_at: float
    """Time of the first listing or of the owner's last confirmation of use."""


class HomeSweep:
    """Finds and frees orphans on the engines whose home is this instance."""

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        rng: random.Random,
        data_centre: identifiers.DataCentreId | None = None,
    ) -> None:
        """Initializes a sweep that tracks no reservations yet.

        Args:
            instance_id: Id of this instance.
            rng: Random generator for jitter.
            data_centre: Data centre of this instance. None treats every
                unknown owner as one of another data centre.
        """
        self._data_centre = data_centre
        self._instance_id = instance_id
        self._rng = rng
        self._next_listing_at: dict[identifiers.TargetId, float] = {}
        self._tracked: OrderedDict[str, _TrackedReservation] = OrderedDict()
        self._releases = reservations.PendingReleases(rng, MAX_TRACKED)
        self.unrecognized_names = 0

    def collect_due_engines(
        self,
        engines: Collection[identifiers.TargetId],
        live: Collection[identifiers.InstanceId],
        now: float,
    ) -> list[identifiers.TargetId]:
        """Returns the engines to list now and schedules their next listing.

        Args:
            engines: Engines of this data centre.
            live: Live instances of this data centre, including this one.
            now: Monotonic time in seconds.
        """
        home = {
            engine
            for engine in engines
            if rendezvous.owner(f"home/{engine}", live) == self._instance_id
        }
        self._next_listing_at = {
            engine: at
            for engine, at in self._next_listing_at.items()
            if engine in home
        }
        due = sorted(
            e for e in home if self._next_listing_at.get(e, now) <= now
        )
        for engine in due:
            jitter = 0.75 + self._rng.random() / 2
            self._next_listing_at[engine] = now + SWEEP_INTERVAL_S * jitter
        return due

    def record_listing(
        self,
        target_id: identifiers.TargetId,
        names: Collection[str],
        members: Mapping[identifiers.InstanceId, Member],
        now: float,
    ) -> list[OwnershipQuery]:
        """Records an engine's reservations; returns queries to their owners.

        Queues the release of reservations whose owning process was replaced,
        and of those whose owner is dead or unknown and has not confirmed them
        for the grace period.
        """
        self._drop_unlisted(target_id, names)
        names_by_owner: dict[identifiers.InstanceId, list[str]] = {}
        for full_name in names:
            name = reservations.parse_name(full_name)
            if name is None:
                self.unrecognized_names += 1
                continue
            tracked = self._track(full_name, target_id, now)
            owner_state = _owner_state(name, members, self._data_centre)
            if _is_orphan(owner_state, now - tracked.last_confirmed_at):
                self._releases.add(full_name, target_id, now)
            else:
                names_by_owner.setdefault(name.instance_id, []).append(
                    full_name
                )
        return [
            OwnershipQuery(owner, target_id, tuple(owner_names))
            for owner, owner_names in sorted(names_by_owner.items())
        ]

    def record_answer(
        self, query: OwnershipQuery, unused: Collection[str], now: float
    ) -> None:
        """Records an owner's answer; not called if the owner doesn't answer."""
        for name in query.names:
            if name in unused:
                self._releases.add(name, query.target_id, now)
                continue
            self._releases.discard(name)
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.last_confirmed_at = now

    def collect_due(self, now: float) -> list[reservations.Release]:
        """Returns the releases to send now and schedules their next tries."""
        return self._releases.collect_due(now)

    def confirm(self, name: str) -> None:
        """Records that the engine has freed a reservation."""
        self._releases.discard(name)
        self._tracked.pop(name, None)

    def _track(
        self, name: str, target_id: identifiers.TargetId, now: float
    ) -> _TrackedReservation:
        """Returns the entry of a listed reservation, creating it if needed.

        Evicts the oldest entries above `MAX_TRACKED`.
        """
        tracked = self._tracked.get(name)
        if tracked is None:
            tracked = _TrackedReservation(target_id, now)
            self._tracked[name] = tracked
        while len(self._tracked) > MAX_TRACKED:
            self._tracked.popitem(last=False)
        return tracked

    def _drop_unlisted(
        self, target_id: identifiers.TargetId, names: Collection[str]
    ) -> None:
        """Drops tracked reservations that the engine no longer lists."""
        present = frozenset(names)
        gone = [
            name
            for name, tracked in self._tracked.items()
            if tracked.target_id == target_id and name not in present
        ]
        for name in gone:
            self.confirm(name)


def _owner_state(
    name: reservations.ReservationName,
    members: Mapping[identifiers.InstanceId, Member],
    data_centre: identifiers.DataCentreId | None,
) -> OwnerState:
    """Returns the state of a reservation's owner."""
    member = members.get(name.instance_id)
    if member is None or member.boot_id < name.boot_id:
        if name.data_centre == data_centre:
            return OwnerState.UNKNOWN
        return OwnerState.REMOTE
    if member.boot_id > name.boot_id:
        return OwnerState.REPLACED
    if member.state is instances.InstanceState.DEAD:
        return OwnerState.DEAD
    return OwnerState.ALIVE


def _is_orphan(owner_state: OwnerState, unconfirmed_s: float) -> bool:
    """Returns whether to free a reservation without asking its owner."""
    if owner_state is OwnerState.REPLACED:
        return True
    if owner_state is OwnerState.DEAD:
        return unconfirmed_s >= DEAD_OWNER_GRACE_S
    if owner_state is OwnerState.UNKNOWN:
        return unconfirmed_s >= UNKNOWN_OWNER_GRACE_S
    if owner_state is OwnerState.REMOTE:
        return unconfirmed_s >= REMOTE_OWNER_GRACE_S
    return False
