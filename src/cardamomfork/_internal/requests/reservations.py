"""Reservations of engine memory and their release.

Each stream, KV export and KV import holds engine memory under a reservation.
Its name identifies the owner: instance, boot id and attempt. The owner
releases the reservation when the attempt ends and repeats the release until
the engine confirms it. Reservations that the owner fails to release are freed
by the engine's home instance (see `reservation_sweep`).
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

MAX_LOCAL_RELEASES = 65_536
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
MAX_RELEASE_DURATION_S = 600.0
"""Time after which the owner leaves a release to the home instance."""

_NAME_PART_COUNT = 4
_NO_DATA_CENTRE = identifiers.DataCentreId("")


@attrs.frozen
class ReservationName:
    """Name of a reservation, which identifies its owner.

    Attributes:
        data_centre: Data centre of the owner; empty if not given.
        instance_id: The entry instance that owns the reservation.
        boot_id: Boot id of the owning process.
        attempt_id: The attempt that holds the memory; ids are never reused.
    """

    data_centre: identifiers.DataCentreId
    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    attempt_id: identifiers.AttemptId

    def __str__(self) -> str:
        """Returns the name in the form that is sent to engines."""
        owner = f"{self.data_centre}/{self.instance_id}/{self.boot_id}"
        return f"{owner}/{self.attempt_id}"


def parse_name(text: str) -> ReservationName | None:
    """Parses a name; returns None if it isn't of the expected form."""
    parts = text.rsplit("/", _NAME_PART_COUNT - 1)
    if len(parts) != _NAME_PART_COUNT or not all(parts[1:]):
        return None
    return ReservationName(
        identifiers.DataCentreId(parts[0]),
        identifiers.InstanceId(parts[1]),
        identifiers.BootId(parts[2]),
        identifiers.AttemptId(parts[3]),
    )


@attrs.frozen
class Release:
    """A release to send now."""

    target_id: identifiers.TargetId
    name: str


@attrs.define
class _PendingRelease:
    """A release that the engine has not confirmed."""

    target_id: identifiers.TargetId
    requested_at: float
    due_at: float
    backoff_s: float = INITIAL_BACKOFF_S

    def schedule_next_try(self, now: float, rng: random.Random) -> None:
        """Schedules the next try with exponential backoff."""
        self.due_at = now + self.backoff_s * (0.5 + rng.random() / 2)
        self.backoff_s = min(self.backoff_s * 2.0, MAX_BACKOFF_S)


class PendingReleases:
    """Table of releases that are repeated until confirmed."""

    def __init__(self, rng: random.Random, max_count: int) -> None:
        """Initializes an empty table.

        Args:
            rng: Random generator for backoff jitter.
            max_count: Maximum number of pending releases.
        """
        self._rng = rng
        self._max_count = max_count
        self._pending: OrderedDict[str, _PendingRelease] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._pending

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def targets(self) -> dict[str, identifiers.TargetId]:
        """The target of each pending release, by reservation name."""
        return {
            name: release.target_id for name, release in self._pending.items()
        }

    def add(
        self, name: str, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Adds a release; drops the oldest ones above the maximum."""
        if name not in self._pending:
            self._pending[name] = _PendingRelease(target_id, now, now)
        while len(self._pending) > self._max_count:
            self._pending.popitem(last=False)

    def collect_due(self, now: float) -> list[Release]:
        """Returns the releases to send now and schedules their next tries.

        Drops those that are pending for `MAX_RELEASE_DURATION_S`.
        """
        due = [(n, p) for n, p in self._pending.items() if p.due_at <= now]
        for name, pending in due:
            pending.schedule_next_try(now, self._rng)
            if now - pending.requested_at > MAX_RELEASE_DURATION_S:
                del self._pending[name]
        return [Release(pending.target_id, name) for name, pending in due]

    def next_due(self) -> float | None:
        """Returns the time of the next try, or None without any release."""
        return min((p.due_at for p in self._pending.values()), default=None)

    def discard(self, name: str) -> None:
        """Removes a release that is confirmed or no longer wanted."""
        self._pending.pop(name, None)


class LocalReservations:
    """Reservations that this process of this instance owns."""

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        boot_id: identifiers.BootId,
        rng: random.Random,
        data_centre: identifiers.DataCentreId = _NO_DATA_CENTRE,
    ) -> None:
        """Initializes an empty table.

        Args:
            instance_id: Id of this instance.
            boot_id: Boot id of this process.
            rng: Random generator for backoff jitter.
            data_centre: Data centre of this instance. Home instances use it
                to tell whether they should know the owner.
        """
        self._data_centre = data_centre
        self._instance_id = instance_id
        self._boot_id = boot_id
        self._open: dict[str, identifiers.TargetId] = {}
        self._releases = PendingReleases(rng, MAX_LOCAL_RELEASES)

    @property
    def open_count(self) -> int:
        """The number of reservations in use."""
        return len(self._open)

    @property
    def releasing_count(self) -> int:
        """The number of reservations whose release is not confirmed."""
        return len(self._releases)

    @property
    def open_reservations(self) -> dict[str, identifiers.TargetId]:
        """The target of each reservation in use, by reservation name."""
        return dict(self._open)

    @property
    def releasing_reservations(self) -> dict[str, identifiers.TargetId]:
        """The target of each unconfirmed release, by reservation name."""
        return self._releases.targets

    def open(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
    ) -> str:
        """Opens a reservation and returns its name.

        Open a reservation before anything that uses it is sent to the engine,
        and keep it open while the attempt is resumed.
        """
        name = str(
            ReservationName(
                self._data_centre, self._instance_id, self._boot_id, attempt_id
            )
        )
        exceptions.check_invariant(
            name not in self._releases,
            "a released reservation must not be opened again",
            name,
        )
        self._open[name] = target_id
        return name

    def begin_release(self, name: str, now: float) -> None:
        """Ends a reservation and releases it until the engine confirms."""
        target_id = self._open.pop(name, None)
        if target_id is not None:
            self._releases.add(name, target_id, now)

    def close(self, name: str) -> None:
        """Ends a reservation whose memory the engine has already freed."""
        self._open.pop(name, None)

    def find_unused(self, names: Iterable[str]) -> frozenset[str]:
        """Returns which names are not in use, to answer a home instance.

        The home instance must list the engine before it sends the query. Each
        reservation is opened before an engine can list it, so a listed name
        that is not open here is not about to be used.
        """
        return frozenset(name for name in names if name not in self._open)

    def collect_due(self, now: float) -> list[Release]:
        """Returns the releases to send now and schedules their next tries."""
        return self._releases.collect_due(now)

    def next_due(self) -> float | None:
        """Returns when the next release is due; None without any release."""
        return self._releases.next_due()

    def confirm(self, name: str) -> None:
        """Records that the engine has freed a reservation."""
        self._releases.discard(name)
