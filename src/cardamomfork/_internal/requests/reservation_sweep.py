"""What an engine's home instance does about the engine's reservations.

The home (rendezvous hash over the live instances of the data centre) lists
what the engine holds, asks the owners, and frees what belongs to nobody: what
its owner disowns, what an earlier life of an instance held, and what the
owner has kept silent about for long enough while it counts as dead.
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
"""Seconds for which a dead owner's silence must last."""
UNKNOWN_OWNER_GRACE_S = 120.0
"""The same for an owner of this data centre that was never heard of."""
REMOTE_OWNER_GRACE_S = 3900.0
"""The same for one of another data centre: longer than any request lasts."""


class OwnerState(enum.Enum):
    """What is known of a reservation's owner."""

    ALIVE = "alive"
    REPLACED = "replaced"
    """A later life of the instance is known."""
    DEAD = "dead"
    UNKNOWN = "unknown"
    REMOTE = "elsewhere"
    """It stands in another data centre, of which only delegates are known."""


@attrs.frozen
class Member:
    """An instance as the membership holds it, of any data centre."""

    boot_id: identifiers.BootId
    state: instances.InstanceState


@attrs.frozen
class OwnershipQuery:
    """Names to ask their owner about."""

    owner: identifiers.InstanceId
    target_id: identifiers.TargetId
    names: tuple[str, ...]


@attrs.define
class _TrackedReservation:
    """A reservation on an engine of this home."""

    target_id: identifiers.TargetId
    last_confirmed_at: float
    """When it was first listed or its owner last said that it uses it."""


class HomeSweep:
    """What the home instance of engines does about their reservations."""

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        rng: random.Random,
        data_centre: identifiers.DataCentreId | None = None,
    ) -> None:
        """Starts with nothing watched.

        Args:
            instance_id: This instance.
            rng: Source of jitter.
            data_centre: Where it stands; None to take every owner that was
                never heard of for one of another data centre.
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
        """Returns the engines of this home whose list is due.

        Args:
            engines: Engines of this data centre.
            live: Live instances of this data centre, this one included.
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
        """Takes an engine's list; returns what to ask the owners.

        Frees at once what a replaced life of an instance held, and what an
        owner that is dead or unknown has kept silent about for long enough.
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
        """Takes an owner's answer; no answer is no call of this."""
        for name in query.names:
            if name in unused:
                self._releases.add(name, query.target_id, now)
                continue
            self._releases.discard(name)
            tracked = self._tracked.get(name)
            if tracked is not None:
                tracked.last_confirmed_at = now

    def collect_due(self, now: float) -> list[reservations.Release]:
        """Returns the releases to try now."""
        return self._releases.collect_due(now)

    def confirm(self, name: str) -> None:
        """Notes that the engine has freed a reservation."""
        self._releases.discard(name)
        self._tracked.pop(name, None)

    def _track(
        self, name: str, target_id: identifiers.TargetId, now: float
    ) -> _TrackedReservation:
        """Returns the record of a listed name; bounded."""
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
        """Forgets the engine's reservations that it no longer lists."""
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
    """Returns what is known of a reservation's owner."""
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
    """Whether a reservation can be freed without its owner's word."""
    if owner_state is OwnerState.REPLACED:
        return True
    if owner_state is OwnerState.DEAD:
        return unconfirmed_s >= DEAD_OWNER_GRACE_S
    if owner_state is OwnerState.UNKNOWN:
        return unconfirmed_s >= UNKNOWN_OWNER_GRACE_S
    if owner_state is OwnerState.REMOTE:
        return unconfirmed_s >= REMOTE_OWNER_GRACE_S
    return False
