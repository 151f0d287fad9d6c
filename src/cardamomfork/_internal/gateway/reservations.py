"""Memory reserved on engines for prompts that no single engine holds.

An engine frees a reservation by itself when its time is over. The time is
kept shorter than the bound on memory that nobody uses, and renewed while the
request runs, so that nothing stays behind when this process dies or an order
to release is lost.
"""

from __future__ import annotations

import contextlib
import http
import math
import secrets
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.gateway import target_connection
from cardamomfork._internal.models import engine_orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway import placement
    from cardamomfork._internal.gateway import target_links
    from cardamomfork._internal.models import fleet

RESERVATION_TTL_S = 3.5
"""Under the 4 s after which memory that no request uses counts as leaked."""
RENEWAL_INTERVAL_S = 1.1
"""Two renewals may fail within the time of a reservation."""
ORDER_TIMEOUT_S = 0.4
"""An engine answers in milliseconds; a late reservation costs the request's
objective, and its memory is freed by itself."""
ID_BYTES = 8


@attrs.frozen
class Reservation:
    """Memory on one engine.

    Attributes:
        target: The engine.
        reservation_id: Names it there.
        tokens: Its size.
    """

    target: fleet.TargetRecord
    reservation_id: str
    tokens: int


@attrs.frozen
class HeldReservations:
    """The reservations of one attempt.

    Attributes:
        reservations: Those that were granted.
        refused_by: Targets that granted none.
    """

    reservations: tuple[Reservation, ...] = ()
    refused_by: tuple[str, ...] = ()

    def find(self, target_id: str) -> str:
        """Returns the id of the reservation at a target; empty if none."""
        for reservation in self.reservations:
            if reservation.target.target_id == target_id:
                return reservation.reservation_id
        return ""


NO_RESERVATIONS = HeldReservations()


class MemoryReserver:
    """Gives orders about memory."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        links: target_links.TargetLinks,
    ) -> None:
        """Takes the format and the connections of orders."""
        self._wire = wire
        self._links = links
        sender, receiver = anyio.create_memory_object_stream[Reservation](
            math.inf
        )
        self._release_sender = sender
        self._release_receiver = receiver

    async def run(self) -> None:
        """Carries out releases while the task runs."""
        async with anyio.create_task_group() as tasks:
            async for reservation in self._release_receiver:
                tasks.start_soon(self._release, reservation)

    @contextlib.asynccontextmanager
    async def hold(
        self, chosen: placement.Placement
    ) -> AsyncIterator[HeldReservations]:
        """Holds the memory that a place needs while the context is open."""
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
                    tasks.start_soon(self._reserve, reservation, granted)
            held = HeldReservations(
                tuple(granted),
                tuple(
                    one.target.target_id
                    for one in reservations
                    if one not in granted
                ),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew, granted)
                yield held
                tasks.cancel_scope.cancel()
        finally:
            # Also those without an answer, which may have been granted.
            for reservation in reservations:
                self._release_sender.send_nowait(reservation)

    async def _renew(self, granted: list[Reservation]) -> None:
        """Renews reservations while the task runs."""
        while True:
            await anyio.sleep(RENEWAL_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for reservation in granted:
                    tasks.start_soon(self._reserve, reservation, [])

    async def _reserve(
        self, reservation: Reservation, granted: list[Reservation]
    ) -> None:
        """Reserves or renews; adds the reservation if it is granted."""
        order = engine_orders.Reserve(
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
        """Ends a reservation; one that stays is freed by its time."""
        order = engine_orders.Release(reservation.reservation_id)
        status = await self._send(order, reservation.target)
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
        """Gives an order; returns the answer's status, 0 if none came."""
        status = 0
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            opened = await self._links.open(target, runs_once=False)
            if isinstance(opened, result.Err):
                return 0
            connection = opened.ok_value
            is_complete = False
            try:
                messages = connection.start(
                    self._wire.encode_order(order, target), ""
                )
                async for message in messages:
                    if isinstance(message, target_connection.Started):
                        status = message.head.status
                    is_complete = isinstance(message, target_connection.Ended)
            finally:
                if is_complete:
                    self._links.put_back(target, connection)
                else:
                    connection.abort()
        return status
