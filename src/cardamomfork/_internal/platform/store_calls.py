"""HTTP calls to the servers of the platform's store, with failover.

A failed write is indeterminate once the first byte of it may have been sent;
before that, it certainly had no effect and another server can be tried.
"""

from __future__ import annotations

import socket
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import result

from cardamomfork._internal.contracts import store as store_contract

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.links import store_eras

MAX_CONNECTIONS = 16
MAX_WATCH_CONNECTIONS = 64
KEEPALIVE_EXPIRY_S = 15.0
WATCH_KEEPALIVE_EXPIRY_S = 0.1
"""A long poll after a pause takes a new connection. An idle one may have gone
silent meanwhile, which a poll notices only once its wait is over."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bound of an answer. The store's pages hold about 1 MB; a larger answer to a
watch is followed by a scan, which reads pages."""

TCP_USER_TIMEOUT_MS = 1500
"""Closes a connection whose sent bytes stay unacknowledged this long."""

_HEADERS = [("Content-Type", "application/json")]
_ERA = b"store-era"
MAX_ERA_DIGITS = 6
_SERVER_ERROR = 500
_NOT_EXECUTED_STATUSES = (429, 503)
"""Statuses which guarantee that the call had no effect."""
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class OutdatedAnswerError(Exception):
    """An answer is from before the store was restored."""


TRANSPORT_ERRORS = (
    OutdatedAnswerError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


@attrs.define
class CallProgress:
    """Progress of one attempt of a call.

    Attributes:
        headers_started: Whether sending it has started.
    """

    headers_started: bool = False

    async def on_trace_event(self, event: str, _info: dict[str, Any]) -> None:
        """Records that sending started; called with httpcore trace events."""
        if event.endswith("send_request_headers.started"):
            self.headers_started = True


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
        status: Its status.
        body: Its body.
        era: Era of the store that it states, or None.
    """

    status: int
    body: bytes = attrs.field(repr=False)
    era: int | None = None


@attrs.frozen
class Answer:
    """The answer to a call.

    Attributes:
        status: HTTP status.
        body: Body of the response.
        era: Era of the store that it belongs to.
    """

    status: int
    body: bytes = attrs.field(repr=False)
    era: int


@attrs.frozen
class Call:
    """A call to one server.

    Attributes:
        method: HTTP method.
        path: Path with its query.
        body: Request body.
        connect_s: Time limit for connecting, in seconds.
        write_s: Time limit for sending.
        read_s: Time limit for each part of the answer.
        is_wait: Whether the answer is delayed until there is a change.
    """

    method: str
    path: str
    body: bytes = attrs.field(repr=False)
    connect_s: float
    write_s: float
    read_s: float
    is_wait: bool = False


class Transport(Protocol):
    """Sends calls to one server."""

    async def exchange(
        self, endpoint: str, call: Call, progress: CallProgress
    ) -> Response:
        """Sends a call and returns the response.

        Raises:
            Exception: One of `TRANSPORT_ERRORS` if the response is incomplete.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...


class HttpTransport:
    """Sends calls over HTTP; connections open on first use."""

    def __init__(self) -> None:
        """Creates the connection pools."""
        self._pool = self._new_pool(MAX_CONNECTIONS, KEEPALIVE_EXPIRY_S)
        self._watch_pool = self._new_pool(
            MAX_WATCH_CONNECTIONS, WATCH_KEEPALIVE_EXPIRY_S
        )
        self._has_unanswered_call = False

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def exchange(
        self, endpoint: str, call: Call, progress: CallProgress
    ) -> Response:
        """Sends a call over a connection pool and reads the response."""
        if self._has_unanswered_call:
            await self._close_idle()
        try:
            return await self._exchange(endpoint, call, progress)
        except BaseException:
            # A cancellation may mean that an answer is overdue.
            self._has_unanswered_call = True
            raise

    async def _close_idle(self) -> None:
        """Closes idle connections, which may be as silent as another one."""
        self._has_unanswered_call = False
        for pool in (self._pool, self._watch_pool):
            for connection in pool.connections:
                if connection.is_idle():
                    await connection.aclose()

    async def _exchange(
        self, endpoint: str, call: Call, progress: CallProgress
    ) -> Response:
        """Sends a call over a connection pool and reads the response."""
        pool = self._watch_pool if call.is_wait else self._pool
        async with pool.stream(
            call.method,
            f"http://{endpoint}{call.path}",
            headers=_HEADERS,
            content=call.body,
            extensions={
                "timeout": {
                    "connect": call.connect_s,
                    "pool": call.write_s,
                    "write": call.write_s,
                    "read": call.read_s,
                },
                "trace": progress.on_trace_event,
            },
        ) as response:
            parts = bytearray()
            async for part in response.aiter_stream():
                parts += part
                if len(parts) > MAX_ANSWER_BYTES:
                    raise httpcore.RemoteProtocolError("answer too large")
            headers = {name.lower(): value for name, value in response.headers}
            return Response(
                response.status, bytes(parts), parse_era(headers.get(_ERA))
            )

    @staticmethod
    def _new_pool(
        connections: int, keepalive_expiry_s: float
    ) -> httpcore.AsyncConnectionPool:
        """Creates a pool that closes idle connections before the servers do."""
        return httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=keepalive_expiry_s,
            socket_options=_SOCKET_OPTIONS,
        )


class StoreCalls:
    """Sends calls to the preferred server and fails over to the others."""

    def __init__(
        self,
        endpoints: Sequence[str],
        timeout_s: float,
        transport: Transport,
        eras: store_eras.EraTracker,
    ) -> None:
        """Initializes the client.

        Args:
            endpoints: `host:port` of the store's servers.
            timeout_s: Time limit of one call across all servers, in
                seconds.
            transport: Sends the calls.
            eras: Tells to which era of the store answers belong.
        """
        self._endpoints = tuple(endpoints)
        self._timeout_s = timeout_s
        self._transport = transport
        self._preferred = 0
        self._eras = eras

    @property
    def preferred_endpoint(self) -> str:
        """`host:port` of the server that the next call tries first."""
        return self._endpoints[self._preferred]

    @property
    def _server_timeout_s(self) -> float:
        """Time limit for one server in seconds; leaves time for a second."""
        return self._timeout_s / (2 if len(self._endpoints) > 1 else 1)

    async def close(self) -> None:
        """Closes all connections."""
        await self._transport.close()

    async def call(
        self, method: str, path: str, body: bytes, key: str, *, writes: bool
    ) -> result.Result[Answer, store_contract.StoreFault]:
        """Sends a call; error statuses are returned as faults.

        Args:
            method: HTTP method.
            path: Path of the call, with its query.
            body: Request body.
            key: Identifies the call in a fault.
            writes: Whether the call can change data. A write fails over to
                another server only if sending it has not started.
        """
        fault = _make_fault(False, key, "The store has no servers.")
        with anyio.move_on_after(self._timeout_s):
            for _ in self._endpoints:
                progress = CallProgress()
                try:
                    answer = await self._call_once(
                        method, path, body, progress, writes
                    )
                except TRANSPORT_ERRORS as error:
                    fault = _make_fault(
                        writes and progress.headers_started, key, repr(error)
                    )
                else:
                    status_fault = _status_fault(answer, key, writes)
                    if status_fault is None:
                        return result.Ok(answer)
                    fault = status_fault
                self.rotate_servers()
                if writes and progress.headers_started:
                    break
            return result.Err(fault)
        self.rotate_servers()
        may_have_written = writes and progress.headers_started
        return result.Err(
            _make_fault(
                may_have_written, key, "The store's time limit is over."
            )
        )

    async def wait(
        self, path: str, key: str, wait_s: float
    ) -> result.Result[Answer, store_contract.StoreFault]:
        """Sends a long-poll read.

        Args:
            path: Path of the call, with its query.
            key: Identifies the call in a fault.
            wait_s: Time limit for the answer, in seconds.
        """
        try:
            with anyio.fail_after(wait_s):
                answer = await self._exchange(
                    "GET", path, b"", CallProgress(), wait_s, is_wait=True
                )
        except (TimeoutError, httpcore.ReadTimeout) as error:
            self.rotate_servers()
            return result.Err(
                store_contract.StoreFault(
                    store_contract.StoreFaultKind.SILENT, key, repr(error)
                )
            )
        except TRANSPORT_ERRORS as error:
            self.rotate_servers()
            return result.Err(_make_fault(False, key, repr(error)))
        status_fault = _status_fault(answer, key, writes=False)
        return (
            result.Ok(answer)
            if status_fault is None
            else result.Err(status_fault)
        )

    def rotate_servers(self) -> None:
        """Makes the next server the preferred one."""
        count = max(len(self._endpoints), 1)
        self._preferred = (self._preferred + 1) % count

    async def _call_once(
        self,
        method: str,
        path: str,
        body: bytes,
        progress: CallProgress,
        writes: bool,
    ) -> Answer:
        """Calls the preferred server."""
        read_s = self._timeout_s if writes else self._server_timeout_s
        return await self._exchange(method, path, body, progress, read_s)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        progress: CallProgress,
        read_s: float,
        *,
        is_wait: bool = False,
    ) -> Answer:
        """Sends a call to the preferred server and returns the answer."""
        call = Call(
            method,
            path,
            body,
            self._server_timeout_s,
            self._timeout_s,
            read_s,
            is_wait,
        )
        sent_era = self._eras.current
        response = await self._transport.exchange(
            self.preferred_endpoint, call, progress
        )
        era = self._eras.record(response.era, sent_era)
        if era is None:
            raise OutdatedAnswerError("The store was restored meanwhile.")
        return Answer(response.status, response.body, era)


def parse_era(value: bytes | None) -> int | None:
    """Parses the store's era; None if absent or malformed."""
    digits = (value or b"").strip()
    if not digits.isdigit() or len(digits) > MAX_ERA_DIGITS:
        return None
    return int(digits)


def _status_fault(
    answer: Answer, key: str, writes: bool
) -> store_contract.StoreFault | None:
    """Returns the fault that an error status stands for, or None."""
    detail = f"The store answered with status {answer.status}."
    if answer.status in _NOT_EXECUTED_STATUSES:
        return _make_fault(False, key, detail)
    if answer.status >= _SERVER_ERROR:
        return _make_fault(writes, key, detail)
    return None


def _make_fault(
    may_have_written: bool, key: str, detail: str
) -> store_contract.StoreFault:
    """Creates the fault of a failed call."""
    if may_have_written:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    else:
        kind = store_contract.StoreFaultKind.UNAVAILABLE
    return store_contract.StoreFault(kind, key, detail)
