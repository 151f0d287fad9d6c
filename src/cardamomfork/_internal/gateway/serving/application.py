"""ASGI applications that an entry instance serves."""

from __future__ import annotations

import http
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import msgspec
import result

from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_forwarding_codec
from cardamomfork._internal.gateway.requests import exchanges
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.serving import asgi_sink
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.gateway.serving import open_requests
from cardamomfork._internal.gateway.state import fingerprints
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.peers import peer_forwarding_server
    from cardamomfork._internal.gateway.serving import traffic_metrics
    from cardamomfork._internal.gateway.state import fleet_state
    from cardamomfork._internal.gateway.state import routes
    from cardamomfork._internal.models import forwarding as forwarding_models
    from cardamomfork._internal.telemetry import exporting

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

MAX_CONCURRENT_REQUESTS = 1500
RETRY_AFTER_OVERLOAD_S = 1.0
STARTUP_WAIT_S = 0.8
"""Time for which a request waits for the first configuration of an instance
that has just started. Callers have one retry, and it often meets an instance
that started at the same moment as the others; they give up on an instance that
has not read a request after 1 s."""
RETRY_AFTER_STARTUP_S = 0.5
"""Sent while the instance has not received a configuration yet."""
MIN_STREAM_TIME_LEFT_S = 5.0
"""Minimum time before the process exits at which a stopping instance still
accepts a new stream."""

STOPPING = exchanges.FinalAnswer(
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    stopping.REFUSAL_REASON,
    stopping.RETRY_AFTER_S,
)
CUT_BY_EXIT = exchanges.FinalAnswer(
    http.HTTPStatus.BAD_GATEWAY, "the instance stops; the request may have run"
)

DUMP_PATH = "/dump"


@attrs.frozen
class _IncompleteBody:
    """The result of reading a request body that was not read to its end.

    Attributes:
        final: The answer to send, or None if the caller has disconnected.
    """

    final: exchanges.FinalAnswer | None


LATE_BODY = _IncompleteBody(
    exchanges.FinalAnswer(
        http.HTTPStatus.REQUEST_TIMEOUT, "body not complete in time"
    )
)


class CallerApplication:
    """Serves requests from callers."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        state: fleet_state.FleetState,
        forwarder: forwarding.Forwarder,
        stop: stopping.StopState,
        metrics: traffic_metrics.TrafficMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Initializes the application.

        Args:
            wire: Names and formats of the platform.
            state: Configuration and targets.
            forwarder: Forwards requests to targets.
            stop: Whether the process is stopping.
            metrics: Counts requests.
            clock: Monotonic time.
            rng: Random generator that selects one of the services of a
                split route.
        """
        self._wire = wire
        self._state = state
        self._forwarder = forwarder
        self._stop = stop
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._open_requests = open_requests.OpenRequests(stop, clock)

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered completely."""
        return self._open_requests.count

    def refuse_incomplete(self) -> None:
        """Refuses requests whose body would be complete too late to send.

        Called by a stopping process once the load balancer sends it nothing.
        """
        self._open_requests.end_incomplete()

    async def end_requests(self) -> None:
        """Answers all requests whose answers have not begun."""
        await self._open_requests.end_all()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        arrived_at = self._clock()
        sink = asgi_sink.AsgiSink(
            send,
            self._stop,
            scope["extensions"].get(protocol.SCOPE_KEY),
            knows_chunks=scope.get("http_version") != "1.0",
        )
        request = self._wire.decode_request(
            scope["method"],
            scope["extensions"][caller_protocol.RAW_TARGET],
            scope["headers"],
        )
        log = request_log.RequestLog(request.request_id)
        await self._wait_for_configuration()
        matched = self._admit(request, scope)
        if isinstance(matched, result.Err):
            final = matched.err_value
            version = self._configuration_version()
            log.rejected(final.reason, final.status, version)
            self._metrics.record_rejected(final.status)
            await sink.answer(final)
            return
        received = bytearray()
        opened = open_requests.OpenRequest(
            matched.ok_value,
            request,
            exchanges.find_deadline(matched.ok_value, request, arrived_at),
        )
        self._open_requests.add(opened)
        try:
            incomplete = await self._read_open_body(opened, receive, received)
            if incomplete is None:
                body = bytes(received)
                received.clear()
                exchange = exchanges.Exchange(
                    request=request,
                    body=body,
                    match=matched.ok_value,
                    sink=sink,
                    arrived_at=arrived_at,
                    fingerprint=fingerprints.of_request(
                        request.target,
                        matched.ok_value.account_name,
                        body,
                    ),
                    log=log,
                    parts={
                        part_id: fingerprints.of_part(part_id)
                        for part_id in request.shared_parts
                    },
                )
                await self._serve(opened, exchange, receive, sink)
            elif incomplete.final is not None:
                log.rejected(
                    incomplete.final.reason,
                    incomplete.final.status,
                    self._configuration_version(),
                )
                await sink.answer(incomplete.final, close=True)
        finally:
            self._open_requests.close(opened)

    async def _wait_for_configuration(self) -> None:
        """Waits for the first configuration, for a bounded time."""
        if self._state.routes is not None:
            return
        with anyio.move_on_after(STARTUP_WAIT_S):
            await self._state.wait_until_configured()

    def _admit(
        self, request: forwarding_models.CallerRequest, scope: dict[str, Any]
    ) -> result.Result[routes.Match, exchanges.FinalAnswer]:
        """Returns the route of a request, or an answer that rejects it."""
        route_table = self._state.routes
        if route_table is None:
            return result.Err(
                exchanges.FinalAnswer(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    "no configuration yet",
                    RETRY_AFTER_STARTUP_S,
                )
            )
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > route_table.configuration.limits.max_header_bytes:
            return result.Err(
                exchanges.FinalAnswer(
                    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "headers too large",
                )
            )
        if self.in_progress >= MAX_CONCURRENT_REQUESTS:
            return result.Err(
                exchanges.FinalAnswer(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    "too many requests here",
                    RETRY_AFTER_OVERLOAD_S,
                )
            )
        matched = route_table.match(request, self._rng)
        if isinstance(matched, result.Err):
            rejection = matched.err_value
            return result.Err(
                exchanges.FinalAnswer(
                    rejection.value, rejection.name.lower().replace("_", " ")
                )
            )
        is_stream = matched.ok_value.route.rule is fleet.RepeatPolicy.STREAM
        min_left_s = (
            MIN_STREAM_TIME_LEFT_S
            if is_stream
            else stopping.MIN_CALL_TIME_LEFT_S
        )
        if self._stop.left_s(self._clock()) < min_left_s:
            return result.Err(STOPPING)
        return matched

    async def _read_open_body(
        self,
        opened: open_requests.OpenRequest,
        receive: Receive,
        body: bytearray,
    ) -> _IncompleteBody | None:
        """Reads a request body until its deadline, or the process stops.

        Returns:
            None if the whole body was read, or the reason why it was not.
        """
        incomplete: _IncompleteBody | None = LATE_BODY
        opened.scope.deadline = anyio.current_time() + max(
            opened.deadline - self._clock(), 0.0
        )
        with opened.scope:
            incomplete = await self._read_body(receive, body)
        opened.is_reading = False
        return _IncompleteBody(STOPPING) if opened.is_ended else incomplete

    async def _read_body(
        self, receive: Receive, body: bytearray
    ) -> _IncompleteBody | None:
        """Reads a request body into a buffer.

        Returns:
            None if the whole body was read, or the reason why it was not.
        """
        route_table = self._state.routes
        max_body_bytes = (
            route_table.configuration.limits.max_body_bytes
            if route_table
            else 0
        )
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return _IncompleteBody(None)
            body += message["body"]
            if len(body) > max_body_bytes:
                return _IncompleteBody(
                    exchanges.FinalAnswer(
                        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        "body too large",
                    )
                )
            if not message["more_body"]:
                return None
            # Frees this part while the next one is awaited.
            del message

    async def _serve(
        self,
        opened: open_requests.OpenRequest,
        exchange: exchanges.Exchange,
        receive: Receive,
        sink: asgi_sink.AsgiSink,
    ) -> None:
        """Forwards a request until it ends or its caller disconnects."""
        reason = "caller left"
        async with anyio.create_task_group() as tasks:
            opened.scope = tasks.cancel_scope

            async def cancel_on_disconnect() -> None:
                # An answer that is not complete at the deadline is cut. A
                # caller that doesn't read it would delay that.
                with anyio.move_on_after(opened.deadline - self._clock()):
                    await protocol.wait_for_disconnect(receive)
                    tasks.cancel_scope.cancel()
                    return
                sink.abort_if_unread()
                await protocol.wait_for_disconnect(receive)
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            final = await self._forwarder.forward(exchange)
            if final is None:
                reason = "answered"
            elif exchange.progress.has_started:
                reason = f"cut: {final.reason}"
            else:
                reason = final.reason
                await sink.answer(final)
            tasks.cancel_scope.cancel()
        if opened.is_ended and not sink.status:
            final = CUT_BY_EXIT if exchange.possible_runs else STOPPING
            reason = final.reason
            await sink.answer(final)
        seconds = self._clock() - exchange.arrived_at
        exchange.log.ended(
            exchange.match,
            exchange.fingerprint,
            sink.status,
            reason,
            seconds,
            f"events {exchange.progress.events}, arrivals"
            f" {exchange.sent_attempts}, configuration age"
            f" {self._state.configuration_age_s:.1f} s",
        )
        self._metrics.record_ended(exchange, sink.status, reason, seconds)

    def _configuration_version(self) -> int:
        """Returns the version of the configuration in force, or 0."""
        route_table = self._state.routes
        return route_table.configuration.version if route_table else 0


class ReadinessApplication:
    """Serves the readiness check of the load balancer."""

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Initializes the application.

        Args:
            path: Path of the readiness check.
            is_ready: Returns whether to accept new connections.
        """
        self._path = path
        self._is_ready = is_ready

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        del receive
        status = http.HTTPStatus.NOT_FOUND
        if scope["path"] == self._path:
            status = (
                http.HTTPStatus.OK
                if self._is_ready()
                else http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        await _send_response(send, status, b"")


class PeerApplication:
    """Serves peers: the configuration in force here, and their requests."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        forward: peer_forwarding_server.PeerForwardingApplication,
    ) -> None:
        """Initializes the application.

        Args:
            state: Configuration of this instance.
            forward: Passes requests of peers on to targets.
        """
        self._state = state
        self._forward = forward
        # The newest configuration that was asked for, and its answer.
        self._compressed: (
            tuple[fleet_state.StoredConfiguration, bytes] | None
        ) = None

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        if scope["path"] == peer_forwarding_codec.PATH:
            await self._forward(scope, receive, send)
            return
        stored = self._state.stored
        if (
            scope["path"] != configuration_fetching.CONFIGURATION_PATH
            or stored is None
        ):
            await _send_response(send, http.HTTPStatus.NOT_FOUND, b"")
            return
        if not _accepts_compression(scope):
            body = digest_codec.encode_configuration(stored)
            await _send_response(send, http.HTTPStatus.OK, body)
            return
        if self._compressed is None or self._compressed[0] != stored:
            body = digest_codec.encode_configuration(stored)
            self._compressed = (stored, configuration_fetching.compress(body))
        await _send_response(
            send,
            http.HTTPStatus.OK,
            self._compressed[1],
            ((b"content-encoding", configuration_fetching.COMPRESSION),),
        )


def _accepts_compression(scope: dict[str, Any]) -> bool:
    """Returns whether a peer reads compressed answers."""
    accepted = dict(scope["headers"]).get(b"accept-encoding", b"")
    return configuration_fetching.COMPRESSION in accepted


async def _send_response(
    send: Send,
    status: int,
    body: bytes,
    headers: forwarding_models.Headers = (),
) -> None:
    """Sends a complete response."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


class MetricsApplication:
    """Serves the metrics as text and a dump of the process's state."""

    def __init__(
        self,
        scrape: Callable[[], exporting.Scrape],
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        """Initializes the application.

        Args:
            scrape: Collects the metrics.
            dump: Collects the state.
        """
        self._scrape = scrape
        self._dump = dump

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one scrape or one request for a dump."""
        del receive
        if scope["path"] == DUMP_PATH:
            body = msgspec.json.encode(self._dump())
        else:
            body = self._scrape().body
        await _send_response(send, http.HTTPStatus.OK, body)
