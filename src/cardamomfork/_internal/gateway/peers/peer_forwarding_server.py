"""Passes requests of peers that are cut off from all targets on to targets.

A request goes over a direct connection only, never over a third instance. What
is held for peers is bounded, so that this instance's own callers are served.
"""

from __future__ import annotations

import http
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.gateway.peers import peer_forwarding_codec
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.gateway.connections import target_pool
    from cardamomfork._internal.gateway.connections import target_reach
    from cardamomfork._internal.gateway.peers import fleet_secret
    from cardamomfork._internal.gateway.state import rate_limits
    from cardamomfork._internal.gateway.state import stopping
    from cardamomfork._internal.gateway.state import target_statements
    from cardamomfork._internal.models import fleet

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

MAX_REQUESTS = 400
"""Requests of peers in progress at one time."""
MAX_COLD_HOLD_S = 0.1
"""Time within which a request for a cold target is passed on. A request that is
held up longer would arrive with those of later permits."""
BODY_MEMORY_FRACTION = 0.1
"""Share of the process's memory that buffered requests of peers may use."""
STATUS = {
    forwarding.PeerFault.UNAUTHORIZED: http.HTTPStatus.FORBIDDEN,
    forwarding.PeerFault.LOST: http.HTTPStatus.BAD_GATEWAY,
    forwarding.PeerFault.UNATTRIBUTED: http.HTTPStatus.BAD_GATEWAY,
}
"""Status of an answer by fault; 503 for all others."""


@attrs.frozen
class _Refusal:
    """Why a target must not get a request.

    Attributes:
        fault: The fault that the peer is told.
        rest_s: Time until its target wants requests, in seconds, or None.
        reason: The reason for the log, if the fault doesn't name it.
    """

    fault: forwarding.PeerFault
    rest_s: float | None = None
    reason: str = ""


EVACUATED = _Refusal(
    forwarding.PeerFault.LEAVING_TARGET, reason="evacuated data centre"
)
"""Peers of earlier builds would take a fault that they don't know for a lost
answer, so the fault is that of a leaving target."""


class PeerForwardingApplication:
    """ASGI application that passes requests of peers on to targets."""

    def __init__(
        self,
        pool: target_pool.TargetConnectionPool,
        table: target_table.TargetTable,
        reach: target_reach.TargetReach,
        secret: fleet_secret.FleetSecret,
        limits: rate_limits.RateLimits,
        statements: target_statements.TargetStatements,
        stop: stopping.StopState,
        clock: Callable[[], float],
        memory_bytes: int,
    ) -> None:
        """Initializes the application.

        Args:
            pool: Direct connections to targets.
            table: The known targets and their health.
            reach: Whether this instance is cut off from all targets.
            secret: Authenticates instances to each other.
            limits: Limits that targets put on the rate of requests.
            statements: What targets state about themselves.
            stop: Whether the process is stopping.
            clock: Monotonic time.
            memory_bytes: Memory that the process may use.
        """
        self._pool = pool
        self._table = table
        self._reach = reach
        self._secret = secret
        self._limits = limits
        self._statements = statements
        self._stop = stop
        self._clock = clock
        self._max_held_bytes = int(memory_bytes * BODY_MEMORY_FRACTION)
        self._held_bytes = 0
        self._in_progress = 0
        self._is_idle = anyio.Event()

    @property
    def in_progress(self) -> int:
        """Number of requests of peers in progress."""
        return self._in_progress

    async def wait_until_idle(self) -> None:
        """Waits until no request of a peer is in progress."""
        while self._in_progress:
            self._is_idle = anyio.Event()
            await self._is_idle.wait()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one request of a peer."""
        headers = tuple(scope["headers"])
        admitted = self._admit(headers)
        if isinstance(admitted, result.Err):
            await _send_fault(send, admitted.err_value)
            return
        size = int(peer_forwarding_codec.content_length(headers))
        self._in_progress += 1
        self._held_bytes += size
        try:
            encoded = await _read(receive)
            if encoded is not None:
                await self._serve(admitted.ok_value, encoded, receive, send)
        finally:
            self._in_progress -= 1
            self._held_bytes -= size
            if not self._in_progress:
                self._is_idle.set()

    def _admit(
        self, headers: tuple[tuple[bytes, bytes], ...]
    ) -> result.Result[
        peer_forwarding_codec.ForwardedRequest, forwarding.PeerFault
    ]:
        """Returns the request in a message, or why it is not passed on."""
        fault = None
        request = peer_forwarding_codec.decode_request(headers)
        size = peer_forwarding_codec.content_length(headers)
        if not peer_forwarding_codec.is_authorized(
            headers, self._secret.accepted
        ):
            fault = forwarding.PeerFault.UNAUTHORIZED
        elif request is None:
            fault = forwarding.PeerFault.MALFORMED
        elif self._stop.is_stopping:
            fault = forwarding.PeerFault.STOPPING
        elif self._reach.is_isolated:
            fault = forwarding.PeerFault.ISOLATED
        elif (
            self._in_progress >= MAX_REQUESTS
            or self._held_bytes + size > self._max_held_bytes
        ):
            fault = forwarding.PeerFault.BUSY
        if fault is not None or request is None:
            fault = fault or forwarding.PeerFault.MALFORMED
            logger.info(
                "request of a peer refused",
                request_id=request.request_id if request else None,
                peer=request.sender_id if request else None,
                reason=fault.value,
            )
            return result.Err(fault)
        return result.Ok(request)

    async def _serve(
        self,
        request: peer_forwarding_codec.ForwardedRequest,
        encoded: bytes,
        receive: Receive,
        send: Send,
    ) -> None:
        """Passes a request on until it ends or the peer disconnects."""
        started_at = self._clock()
        outcome = "peer left"
        time_left_s = min(
            request.time_left_s, peer_forwarding_codec.MAX_TIME_LEFT_S
        )
        try:
            async with anyio.create_task_group() as tasks:

                async def cancel_on_disconnect() -> None:
                    await protocol.wait_for_disconnect(receive)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(cancel_on_disconnect)
                with anyio.move_on_after(time_left_s) as scope:
                    outcome = await self._forward(request, encoded, send)
                if scope.cancelled_caught:
                    outcome = "no time left"
                tasks.cancel_scope.cancel()
        finally:
            logger.info(
                "request of a peer ended",
                request_id=request.request_id,
                peer=request.sender_id,
                target_id=request.target_id,
                outcome=outcome,
                seconds=round(self._clock() - started_at, 3),
            )

    async def _forward(
        self,
        request: peer_forwarding_codec.ForwardedRequest,
        encoded: bytes,
        send: Send,
    ) -> str:
        """Passes a request on; returns how it ended."""
        received_at = self._clock()
        found = self._find_target(request)
        if isinstance(found, result.Err):
            return await _send_refusal(send, found.err_value)
        record = found.ok_value
        opened = await self._pool.acquire(
            record,
            runs_once=request.runs_once,
            request_id=request.request_id,
            time_left_s=request.time_left_s,
        )
        if isinstance(opened, result.Err):
            self._record(record, target_table.HealthSignal.UNREACHABLE)
            return await _send_fault(
                send, forwarding.PeerFault.UNREACHABLE_TARGET
            )
        connection = opened.ok_value
        refusal = self._find_late_refusal(record, received_at)
        if refusal is not None:
            self._pool.release(record, connection)
            return await _send_refusal(send, refusal)
        messages = connection.start(
            encoded, request.request_id, is_head=request.is_head
        )
        is_complete = False
        try:
            message = await messages.receive()
            if not isinstance(message, target_connection.HeadReceived):
                return await self._send_lost(send, message, record)
            self._limits.record_answer(record, message.head)
            self._statements.record_answer(record, message.head)
            await _send_head(send, message.head, is_head=request.is_head)
            async for message in messages:
                if isinstance(message, target_connection.Data):
                    await _send_body(send, message.data, more=True)
                    connection.mark_consumed(len(message.data))
                is_complete = isinstance(message, target_connection.Completed)
            if not is_complete:
                # The response stays incomplete, so the server closes the
                # connection to the peer.
                self._record(record, target_table.HealthSignal.FAILED)
                return "broken"
            await _send_body(send, b"", more=False)
        finally:
            if is_complete:
                self._pool.release(record, connection)
            else:
                connection.abort()
        return "answered"

    async def _send_lost(
        self,
        send: Send,
        message: target_connection.Message,
        record: fleet.TargetRecord,
    ) -> str:
        """Answers a request whose target has not; returns how it ended.

        Args:
            send: ASGI's send.
            message: What the connection gave instead of a head.
            record: The target.
        """
        if (
            isinstance(message, target_connection.Failed)
            and message.fault is target_connection.Fault.FOREIGN
        ):
            return await _send_fault(send, forwarding.PeerFault.UNATTRIBUTED)
        self._record(record, target_table.HealthSignal.FAILED)
        return await _send_fault(send, forwarding.PeerFault.LOST)

    def _find_target(
        self, request: peer_forwarding_codec.ForwardedRequest
    ) -> result.Result[fleet.TargetRecord, _Refusal]:
        """Returns the target of a request, or why it must get none."""
        target = self._table.find(request.target_id)
        if (
            target is None
            or target.record.started_at_ms != request.target_started_at_ms
        ):
            return result.Err(_Refusal(forwarding.PeerFault.UNKNOWN_TARGET))
        record = target.record
        if record.is_leaving:
            return result.Err(_Refusal(forwarding.PeerFault.LEAVING_TARGET))
        if self._table.is_evacuated(record):
            return result.Err(EVACUATED)
        rest_s = self._statements.rest_left_s(record)
        if rest_s:
            return result.Err(
                _Refusal(forwarding.PeerFault.RESTING_TARGET, rest_s)
            )
        return result.Ok(record)

    def _find_late_refusal(
        self, record: fleet.TargetRecord, received_at: float
    ) -> _Refusal | None:
        """Returns why a request is not sent, once its connection is open.

        The stop signal or an order may have come in the meantime.
        """
        if self._stop.is_stopping:
            return _Refusal(forwarding.PeerFault.STOPPING)
        if self._table.is_evacuated(record):
            return EVACUATED
        if self._is_late(record, received_at):
            return _Refusal(
                forwarding.PeerFault.RESTING_TARGET, MAX_COLD_HOLD_S
            )
        return None

    def _is_late(self, record: fleet.TargetRecord, received_at: float) -> bool:
        """Returns whether a request for a cold target was held up."""
        return self._limits.is_cold(record) and (
            self._clock() - received_at > MAX_COLD_HOLD_S
        )

    def _record(
        self, record: fleet.TargetRecord, signal: target_table.HealthSignal
    ) -> None:
        """Records what a request has shown about a target's health."""
        if not self._reach.is_isolated:
            self._table.record_signal(record.target_id, signal, self._clock())


async def _read(receive: Receive) -> bytes | None:
    """Reads a request body; returns None if the peer has disconnected."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message["body"]
        if not message["more_body"]:
            return bytes(body)
        # Frees this part while the next one is awaited.
        del message


async def _send_refusal(send: Send, refusal: _Refusal) -> str:
    """Refuses a request; returns how it ended, for the log."""
    await _send_fault(send, refusal.fault, refusal.rest_s)
    return refusal.reason or refusal.fault.value


async def _send_fault(
    send: Send, fault: forwarding.PeerFault, retry_after_s: float | None = None
) -> str:
    """Sends an answer of this instance; returns how the request ended.

    Args:
        send: ASGI's send.
        fault: Why the request was not passed on.
        retry_after_s: Time until its target wants requests, in seconds, or
            None.
    """
    await send(
        {
            "type": "http.response.start",
            "status": STATUS.get(fault, http.HTTPStatus.SERVICE_UNAVAILABLE),
            "headers": list(
                peer_forwarding_codec.encode_fault(fault, retry_after_s)
            ),
        }
    )
    await _send_body(send, b"", more=False)
    return fault.value


async def _send_head(
    send: Send, head: forwarding.ResponseHead, *, is_head: bool
) -> None:
    """Sends the head of a target's answer."""
    headers = list(peer_forwarding_codec.encode_answer_headers(head))
    length = 0 if is_head else head.content_length
    if length is not None:
        headers.append((b"content-length", b"%d" % length))
    await send(
        {
            "type": "http.response.start",
            "status": head.status,
            "headers": headers,
        }
    )


async def _send_body(send: Send, data: bytes, *, more: bool) -> None:
    """Sends a part of a response body."""
    await send({"type": "http.response.body", "body": data, "more_body": more})
