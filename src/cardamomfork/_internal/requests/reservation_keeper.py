"""Runs the releases and sweeps of engine memory against the links."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import result

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests import reservation_sweep
    from cardamomfork._internal.requests import reservations

TICK_S = 0.2
CALL_TIMEOUT_S = 5.0
MAX_CALLS_AT_ONCE = 16


class Surroundings(Protocol):
    """What the keeper has to know and reach."""

    def link(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target; None if it is not configured."""
        ...

    def local_engines(self) -> Collection[identifiers.TargetId]:
        """Returns the engines of this data centre."""
        ...

    def live_instances(self) -> Collection[identifiers.InstanceId]:
        """Returns the live instances of this data centre, this one too."""
        ...

    def members(
        self,
    ) -> Mapping[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns all instances that the membership holds."""
        ...

    async def ask_owner(
        self, question: reservation_sweep.Question
    ) -> frozenset[str] | None:
        """Has `OwnReservations.disown` of the owner answer; None for none.

        Ask on a new connection if the one in use is silent.
        """
        ...


class ReservationKeeper:
    """The loop behind `OwnReservations` and `HomeSweep`."""

    def __init__(
        self,
        own: reservations.OwnReservations,
        sweep: reservation_sweep.HomeSweep,
        surroundings: Surroundings,
        clock: clock_contract.Clock,
    ) -> None:
        """Keeps its collaborators."""
        self._own = own
        self._sweep = sweep
        self._surroundings = surroundings
        self._clock = clock
        self._slots = anyio.Semaphore(MAX_CALLS_AT_ONCE)

    async def run(self) -> None:
        """Releases and sweeps until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now = self._clock.monotonic()
                for release in self._own.take_due(now):
                    tasks.start_soon(self._release, release, self._own)
                for release in self._sweep.take_due(now):
                    tasks.start_soon(self._release, release, self._sweep)
                for engine in self._sweep.engines_to_list(
                    self._surroundings.local_engines(),
                    self._surroundings.live_instances(),
                    now,
                ):
                    tasks.start_soon(self._list, engine)
                await anyio.sleep(TICK_S)

    async def _release(
        self,
        release: reservations.Release,
        asker: reservations.OwnReservations | reservation_sweep.HomeSweep,
    ) -> None:
        """Frees one reservation; the asker repeats it if this fails."""
        link = self._surroundings.link(release.target_id)
        if link is None:
            asker.confirm(release.name)
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with self._slots:
                freed = await link.release(release.name)
            if freed.ok():
                asker.confirm(release.name)

    async def _list(self, engine: identifiers.TargetId) -> None:
        """Lists an engine's reservations and asks their owners."""
        link = self._surroundings.link(engine)
        if link is None:
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with self._slots:
                listed = await link.reservations()
            if isinstance(listed, result.Err):
                return
            questions = self._sweep.listed(
                engine,
                listed.ok_value,
                self._surroundings.members(),
                self._clock.monotonic(),
            )
            for question in questions:
                disowned = await self._surroundings.ask_owner(question)
                if disowned is not None:
                    self._sweep.answered(
                        question, disowned, self._clock.monotonic()
                    )
