"""Engine memory that is held for attempts, and getting it back.

Every stream, KV export and import is under a reservation that names its
owner: instance, boot and attempt. The owner frees what it has done with and
repeats that until the engine confirms; what it can't free, the engine's home
instance finds (`reservation_sweep`).
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
"""Seconds after which an owner leaves a release to the home instance."""

_NAME_PART_COUNT = 4
_NO_DATA_CENTRE = identifiers.DataCentreId("")


@attrs.frozen
class ReservationName:
    """Who holds engine memory.

    Attributes:
        data_centre: Where the owner stands; empty if it does not say.
        instance_id: The owning entry instance.
        boot_id: Which life of it.
        attempt_id: The attempt that it is for; never used again.
    """

    data_centre: identifiers.DataCentreId
    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    attempt_id: identifiers.AttemptId

    def __str__(self) -> str:
        """Returns the name as engines see it."""
        owner = f"{self.data_centre}/{self.instance_id}/{self.boot_id}"
        return f"{owner}/{self.attempt_id}"


def parse_name(text: str) -> ReservationName | None:
    """Reads a name; None if it is not of this form."""
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
    """A reservation to free now."""

    target_id: identifiers.TargetId
    name: str


@attrs.define
class _PendingRelease:
    """A release that is not confirmed yet."""

    target_id: identifiers.TargetId
    requested_at: float
    due_at: float
    backoff_s: float = INITIAL_BACKOFF_S

    def schedule_next_try(self, now: float, rng: random.Random) -> None:
        """Plans the next try, later each time."""
        self.due_at = now + self.backoff_s * (0.5 + rng.random() / 2)
        self.backoff_s = min(self.backoff_s * 2.0, MAX_BACKOFF_S)


class PendingReleases:
    """Releases that are repeated until they are confirmed."""

    def __init__(self, rng: random.Random, max_count: int) -> None:
        """Starts empty."""
        self._rng = rng
        self._max_count = max_count
        self._pending: OrderedDict[str, _PendingRelease] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._pending

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def targets(self) -> dict[str, identifiers.TargetId]:
        """The target of each release, by its name."""
        return {name: one.target_id for name, one in self._pending.items()}

    def add(
        self, name: str, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Asks for a release; drops the oldest past the limit."""
        if name not in self._pending:
            self._pending[name] = _PendingRelease(target_id, now, now)
        while len(self._pending) > self._max_count:
            self._pending.popitem(last=False)

    def collect_due(self, now: float) -> list[Release]:
        """Returns what to try now and plans the next try of each."""
        due = [(n, p) for n, p in self._pending.items() if p.due_at <= now]
        for name, pending in due:
            pending.schedule_next_try(now, self._rng)
            if now - pending.requested_at > MAX_RELEASE_DURATION_S:
                del self._pending[name]
        return [Release(pending.target_id, name) for name, pending in due]

    def next_due(self) -> float | None:
        """Returns the monotonic time of the next try; None if none is due."""
        return min((p.due_at for p in self._pending.values()), default=None)

    def discard(self, name: str) -> None:
        """Notes that a release is confirmed or not wanted."""
        self._pending.pop(name, None)


class LocalReservations:
    """The reservations of this instance in this life of it."""

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        boot_id: identifiers.BootId,
        rng: random.Random,
        data_centre: identifiers.DataCentreId = _NO_DATA_CENTRE,
    ) -> None:
        """Starts with none.

        Args:
            instance_id: This instance.
            boot_id: This life of it.
            rng: Source of jitter.
            data_centre: Where it stands, so that homes know whether they
                must have heard of it.
        """
        self._data_centre = data_centre
        self._instance_id = instance_id
        self._boot_id = boot_id
        self._open: dict[str, identifiers.TargetId] = {}
        self._releases = PendingReleases(rng, MAX_LOCAL_RELEASES)

    @property
    def open_count(self) -> int:
        """Reservations in use."""
        return len(self._open)

    @property
    def releasing_count(self) -> int:
        """Reservations whose release is not confirmed."""
        return len(self._releases)

    @property
    def open_reservations(self) -> dict[str, identifiers.TargetId]:
        """The target of each reservation in use, by its name."""
        return dict(self._open)

    @property
    def releasing_reservations(self) -> dict[str, identifiers.TargetId]:
        """The target of each release not confirmed, by its name."""
        return self._releases.targets

    def open(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
    ) -> str:
        """Opens a reservation and returns its name.

        Call it before anything under it is sent; a resume of the attempt
        keeps it open meanwhile.
        """
        name = str(
            ReservationName(
                self._data_centre, self._instance_id, self._boot_id, attempt_id
            )
        )
        exceptions.check_invariant(
            name not in self._releases,
            "a reservation that was let go is not used again",
            name,
        )
        self._open[name] = target_id
        return name

    def begin_release(self, name: str, now: float) -> None:
        """Ends a reservation: it is freed until the engine confirms."""
        target_id = self._open.pop(name, None)
        if target_id is not None:
            self._releases.add(name, target_id, now)

    def close(self, name: str) -> None:
        """Ends a reservation whose memory the engine has freed itself."""
        self._open.pop(name, None)

    def find_unused(self, names: Iterable[str]) -> frozenset[str]:
        """Returns which names are not in use here, for a home instance.

        Only names that the engine listed before the question: each was
        opened before it could be listed.
        """
        return frozenset(name for name in names if name not in self._open)

    def collect_due(self, now: float) -> list[Release]:
        """Returns the releases to try now."""
        return self._releases.collect_due(now)

    def next_due(self) -> float | None:
        """Returns when the next release is due."""
        return self._releases.next_due()

    def confirm(self, name: str) -> None:
        """Notes that the engine has freed a reservation."""
        self._releases.discard(name)
