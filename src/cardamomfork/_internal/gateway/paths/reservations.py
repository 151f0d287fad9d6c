"""Reserves memory on engines for prompts that exceed a single engine.

An engine frees a reservation by itself when it expires. The time to live is
shorter than the time after which unused memory counts as leaked, and is renewed
while the request runs. No memory leaks if this process dies or a release order
is lost.
"""

from __future__ import annotations

import contextlib
import http
import itertools
import math
import secrets
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.models import engine_orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.choice import placement
    from cardamomfork._internal.gateway.paths import target_paths
    from cardamomfork._internal.gateway.state import target_statements
    from cardamomfork._internal.models import fleet

TASK = "memory reserver"
"""Name under which orders that fail are counted."""
RESERVATION_TTL_S = 3.5
"""Below the 4 s after which memory that no request uses counts as leaked."""
RENEWAL_INTERVAL_S = 1.1
"""Allows two renewals in succession to fail within the time to live."""
ORDER_TIMEOUT_S = 0.4
"""Engines answer in milliseconds. A longer wait would make the request miss its
objective, and the memory of an unanswered order expires by itself."""
ID_BYTES = 8


@attrs.frozen
class Reservation:
    """A reservation of memory on one engine.

    Attributes:
        target: The engine.
        reservation_id: Its id on the engine.
        tokens: Its size in tokens.
    """

    target: fleet.TargetRecord
    reservation_id: str
    tokens: int


@attrs.frozen
class HeldReservations:
    """The reservations of one attempt.

    Attributes:
        reservations: The granted reservations.
        refused_by: Ids of the targets that granted none.
    """

    reservations: tuple[Reservation, ...] = ()
    refused_by: tuple[str, ...] = ()

    def find(self, target_id: str) -> str:
        """Returns the id of the reservation on a target, or an empty string."""
        for reservation in self.reservations:
            if reservation.target.target_id == target_id:
                return reservation.reservation_id
        return ""


NO_RESERVATIONS = HeldReservations()


class MemoryReserver:
    """Sends reserve and release orders to engines."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        links: target_paths.Paths,
        statements: target_statements.TargetStatements,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the reserver.

        Args:
            wire: Encodes orders.
            links: Opens connections to engines.
            statements: What engines state about themselves.
            supervisor: Counts orders that fail; None for one of its own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._wire = wire
        self._links = links
        self._statements = statements
        sender, receiver = anyio.create_memory_object_stream[Reservation](
            math.inf
        )
        self._release_sender = sender
        self._release_receiver = receiver

    async def run(self) -> None:
        """Sends release orders until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            async for reservation in self._release_receiver:
                tasks.start_soon(
                    self._supervisor.run_once, TASK, self._release, reservation
                )

    @contextlib.asynccontextmanager
    async def hold(
        self, chosen: placement.Placement
    ) -> AsyncIterator[HeldReservations]:
        """Reserves the memory of a placement while the context is open."""
        reservations = [
            Reservation(
                helper.target.record,
                secrets.token_hex(ID_BYTES),
                helper.reserved_tokens,
            )
            for helper in chosen.helpers
            if helper.reserved_tokens
        ]
        if not reservations:
            yield NO_RESERVATIONS
            return
        try:
            granted: list[Reservation] = []
            async with anyio.create_task_group() as tasks:
                for reservation in reservations:
                    if self._statements.wants_requests(reservation.target):
                        tasks.start_soon(
                            self._supervisor.run_once,
                            TASK,
                            self._reserve,
                            reservation,
                            granted,
                        )
            held = HeldReservations(
                tuple(granted),
                tuple(
                    one.target.target_id
                    for one in reservations
                    if one not in granted
                ),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._supervisor.run_once, TASK, self._renew, granted
                )
                yield held
                tasks.cancel_scope.cancel()
        finally:
            # Unanswered orders are released too: they may have been granted.
            for reservation in reservations:
                self._release_sender.send_nowait(reservation)

    async def _renew(self, granted: list[Reservation]) -> None:
        """Renews reservations until it is cancelled."""
        for number in itertools.count():
            await anyio.sleep(RENEWAL_INTERVAL_S)
            # Every second renewal also keeps a reservation.
            due = [
                reservation
                for reservation in granted
                if number % 2
                or not self._statements.rest_left_s(reservation.target)
            ]
            async with anyio.create_task_group() as tasks:
                for reservation in due:
                    tasks.start_soon(
                        self._supervisor.run_once,
                        TASK,
                        self._reserve,
                        reservation,
                        [],
                    )

    async def _reserve(
        self, reservation: Reservation, granted: list[Reservation]
    ) -> None:
        """Sends a reserve or renew order; adds a granted one to the list."""
        order = engine_orders.ReserveMemory(
            reservation.reservation_id, reservation.tokens, RESERVATION_TTL_S
        )
        status = await self._send(order, reservation.target)
        if status == http.HTTPStatus.OK:
            granted.append(reservation)
            return
        logger.info(
            "memory not reserved",
            target_id=reservation.target.target_id,
            name=reservation.reservation_id,
            status=status,
            count=reservation.tokens,
        )

    async def _release(self, reservation: Reservation) -> None:
        """Sends a release order; if it is lost, the reservation expires."""
        order = engine_orders.ReleaseMemory(reservation.reservation_id)
        try:
            status = await self._send(order, reservation.target)
        except anyio.get_cancelled_exc_class():
            # It is sent once the task has been restarted.
            self._release_sender.send_nowait(reservation)
            raise
        if status != http.HTTPStatus.OK:
            logger.info(
                "memory not released",
                target_id=reservation.target.target_id,
                name=reservation.reservation_id,
                status=status,
                seconds=RESERVATION_TTL_S,
            )

    async def _send(
        self, order: engine_orders.Order, target: fleet.TargetRecord
    ) -> int:
        """Sends an order; returns the status of the answer, 0 if none came."""
        status = 0
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            opened = await self._links.acquire(
                target, runs_once=False, time_left_s=ORDER_TIMEOUT_S
            )
            if isinstance(opened, result.Err):
                return 0
            connection = opened.ok_value
            is_complete = False
            try:
                messages = connection.start(
                    self._wire.encode_order(order, target), ""
                )
                async for message in messages:
                    if isinstance(message, target_connection.HeadReceived):
                        status = message.head.status
                        self._statements.record_answer(target, message.head)
                    is_complete = isinstance(
                        message, target_connection.Completed
                    )
            finally:
                if is_complete:
                    self._links.release(target, connection)
                else:
                    connection.abort()
        return status
