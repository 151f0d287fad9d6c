"""Frees engine memory by releasing and sweeping reservations."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import result

from cardamomfork._internal import supervision

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests import reservation_sweep
    from cardamomfork._internal.requests import reservations

POLL_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 5.0
MAX_CONCURRENT_CALLS = 16
TASK_NAME = "reservations"


class ReclaimerDependencies(Protocol):
    """Dependencies of `ReservationReclaimer`."""

    def link(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target; None if it is not configured."""
        ...

    def local_engines(self) -> Collection[identifiers.TargetId]:
        """Returns the engines of this data centre."""
        ...

    def live_instances(self) -> Collection[identifiers.InstanceId]:
        """Returns the live instances of this data centre, this one included."""
        ...

    def members(
        self,
    ) -> Mapping[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns all instances in the membership table."""
        ...

    async def query_owner(
        self, query: reservation_sweep.OwnershipQuery
    ) -> frozenset[str] | None:
        """Returns which names the owner no longer uses; None if no answer.

        The owner answers with `LocalReservations.find_unused`. An
        implementation must retry on a new connection if the current one does
        not respond.
        """
        ...


class ReservationReclaimer:
    """Runs the I/O of `LocalReservations` and `HomeSweep`."""

    def __init__(
        self,
        local_reservations: reservations.LocalReservations,
        sweep: reservation_sweep.HomeSweep,
        dependencies: ReclaimerDependencies,
        clock: clock_contract.Clock,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the reclaimer.

        Args:
            local_reservations: Reservations that this instance owns.
            sweep: Sweep of the engines whose home is this instance.
            dependencies: Links, membership and ownership queries.
            clock: Clock of the event loop.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._local = local_reservations
        self._sweep = sweep
        self._dependencies = dependencies
        self._clock = clock
        self._call_slots = anyio.Semaphore(MAX_CONCURRENT_CALLS)

    async def run(self) -> None:
        """Releases reservations and sweeps engines until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now = self._clock.monotonic()
                for release in self._local.collect_due(now):
                    self._start(tasks, self._release, release, self._local)
                for release in self._sweep.collect_due(now):
                    self._start(tasks, self._release, release, self._sweep)
                for engine in self._sweep.collect_due_engines(
                    self._dependencies.local_engines(),
                    self._dependencies.live_instances(),
                    now,
                ):
                    self._start(tasks, self._sweep_engine, engine)
                await anyio.sleep(POLL_INTERVAL_S)

    def _start(
        self,
        tasks: anyio.abc.TaskGroup,
        function: Callable[..., Awaitable[object]],
        *arguments: Any,
    ) -> None:
        """Starts a step whose failure leaves the others as they are."""
        tasks.start_soon(
            self._supervisor.run_once, TASK_NAME, function, *arguments
        )

    async def _release(
        self,
        release: reservations.Release,
        requester: reservations.LocalReservations | reservation_sweep.HomeSweep,
    ) -> None:
        """Releases a reservation; the requester repeats it if this fails."""
        link = self._dependencies.link(release.target_id)
        if link is None:
            requester.confirm(release.name)
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with self._call_slots:
                freed = await link.release(release.name)
            if freed.ok():
                requester.confirm(release.name)

    async def _sweep_engine(self, engine: identifiers.TargetId) -> None:
        """Lists an engine's reservations and queries their owners."""
        link = self._dependencies.link(engine)
        if link is None:
            return
        with anyio.move_on_after(CALL_TIMEOUT_S):
            async with self._call_slots:
                listed = await link.reservations()
            if isinstance(listed, result.Err):
                return
            queries = self._sweep.record_listing(
                engine,
                listed.ok_value,
                self._dependencies.members(),
                self._clock.monotonic(),
            )
            for query in queries:
                unused = await self._dependencies.query_owner(query)
                if unused is not None:
                    self._sweep.record_answer(
                        query, unused, self._clock.monotonic()
                    )
