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

MAX_WATCHED = 65_536
SWEEP_S = 10.0
DEAD_GRACE_S = 30.0
"""Seconds for which a dead owner's silence must last."""
UNKNOWN_GRACE_S = 120.0
"""The same for an owner of this data centre that was never heard of."""
ELSEWHERE_GRACE_S = 3900.0
"""The same for one of another data centre: longer than any request lasts."""


class OwnerStanding(enum.Enum):
    """What is known of a reservation's owner."""

    ALIVE = "alive"
    REPLACED = "replaced"
    """A later life of the instance is known."""
    DEAD = "dead"
    UNKNOWN = "unknown"
    ELSEWHERE = "elsewhere"
    """It stands in another data centre, of which only delegates are known."""


@attrs.frozen
class Member:
    """An instance as the membership holds it, of any data centre."""

    boot_id: identifiers.BootId
    state: instances.InstanceState


@attrs.frozen
class Question:
    """Names to ask their owner about."""

    owner: identifiers.InstanceId
    target_id: identifiers.TargetId
    names: tuple[str, ...]


@attrs.define
class _Watched:
    """A reservation on an engine of this home."""

    target_id: identifiers.TargetId
    heard_at: float
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
        self._next_list: dict[identifiers.TargetId, float] = {}
        self._watched: OrderedDict[str, _Watched] = OrderedDict()
        self._releases = reservations.Releases(rng, MAX_WATCHED)
        self.foreign_names = 0

    def engines_to_list(
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
        self._next_list = {
            engine: at
            for engine, at in self._next_list.items()
            if engine in home
        }
        due = sorted(e for e in home if self._next_list.get(e, now) <= now)
        for engine in due:
            jitter = 0.75 + self._rng.random() / 2
            self._next_list[engine] = now + SWEEP_S * jitter
        return due

    def listed(
        self,
        target_id: identifiers.TargetId,
        names: Collection[str],
        members: Mapping[identifiers.InstanceId, Member],
        now: float,
    ) -> list[Question]:
        """Takes an engine's list; returns what to ask the owners.

        Frees at once what a replaced life of an instance held, and what an
        owner that is dead or unknown has kept silent about for long enough.
        """
        self._forget_absent(target_id, names)
        asked: dict[identifiers.InstanceId, list[str]] = {}
        for text in names:
            name = reservations.parse_name(text)
            if name is None:
                self.foreign_names += 1
                continue
            watched = self._watch(text, target_id, now)
            standing = _standing(name, members, self._data_centre)
            if _is_orphan(standing, now - watched.heard_at):
                self._releases.add(text, target_id, now)
            else:
                asked.setdefault(name.instance_id, []).append(text)
        return [
            Question(owner, target_id, tuple(texts))
            for owner, texts in sorted(asked.items())
        ]

    def answered(
        self, question: Question, disowned: Collection[str], now: float
    ) -> None:
        """Takes an owner's answer; no answer is no call of this."""
        for name in question.names:
            if name in disowned:
                self._releases.add(name, question.target_id, now)
                continue
            self._releases.discard(name)
            watched = self._watched.get(name)
            if watched is not None:
                watched.heard_at = now

    def take_due(self, now: float) -> list[reservations.Release]:
        """Returns the releases to try now."""
        return self._releases.take_due(now)

    def confirm(self, name: str) -> None:
        """Notes that the engine has freed a reservation."""
        self._releases.discard(name)
        self._watched.pop(name, None)

    def _watch(
        self, name: str, target_id: identifiers.TargetId, now: float
    ) -> _Watched:
        """Returns the record of a listed name; bounded."""
        watched = self._watched.get(name)
        if watched is None:
            watched = _Watched(target_id, now)
            self._watched[name] = watched
        while len(self._watched) > MAX_WATCHED:
            self._watched.popitem(last=False)
        return watched

    def _forget_absent(
        self, target_id: identifiers.TargetId, names: Collection[str]
    ) -> None:
        """Forgets the engine's reservations that it no longer lists."""
        present = frozenset(names)
        gone = [
            name
            for name, watched in self._watched.items()
            if watched.target_id == target_id and name not in present
        ]
        for name in gone:
            self.confirm(name)


def _standing(
    name: reservations.ReservationName,
    members: Mapping[identifiers.InstanceId, Member],
    data_centre: identifiers.DataCentreId | None,
) -> OwnerStanding:
    """Returns what is known of a reservation's owner."""
    member = members.get(name.instance_id)
    if member is None or member.boot_id < name.boot_id:
        if name.data_centre == data_centre:
            return OwnerStanding.UNKNOWN
        return OwnerStanding.ELSEWHERE
    if member.boot_id > name.boot_id:
        return OwnerStanding.REPLACED
    if member.state is instances.InstanceState.DEAD:
        return OwnerStanding.DEAD
    return OwnerStanding.ALIVE


def _is_orphan(standing: OwnerStanding, silent_s: float) -> bool:
    """Whether a reservation can be freed without its owner's word."""
    if standing is OwnerStanding.REPLACED:
        return True
    if standing is OwnerStanding.DEAD:
        return silent_s >= DEAD_GRACE_S
    if standing is OwnerStanding.UNKNOWN:
        return silent_s >= UNKNOWN_GRACE_S
    if standing is OwnerStanding.ELSEWHERE:
        return silent_s >= ELSEWHERE_GRACE_S
    return False
