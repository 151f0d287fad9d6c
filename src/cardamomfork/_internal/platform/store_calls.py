"""Calls to the servers of the platform's store over HTTP.

What matters is the difference between a call that surely did nothing and one
whose effect is not known. The first byte sent divides the two.
"""

from __future__ import annotations

import socket
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import result

from cardamomfork._internal.contracts import store as store_contract

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_CONNECTIONS = 16
MAX_WATCH_CONNECTIONS = 64
KEEPALIVE_EXPIRY_S = 15.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

TCP_USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes end a connection after this."""

_HEADERS = [("Content-Type", "application/json")]
_SERVER_ERROR = 500
_NOT_EXECUTED_STATUSES = (429, 503)
"""Statuses that say that the call did nothing."""
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


@attrs.define
class _CallProgress:
    """How far one try of a call got."""

    headers_started: bool = False

    async def on_trace_event(self, event: str, _info: dict[str, Any]) -> None:
        """Takes httpcore's trace events."""
        if event.endswith("send_request_headers.started"):
            self.headers_started = True


@attrs.frozen
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes = attrs.field(repr=False)


class StoreHttpClient:
    """Makes calls to the first server that takes them."""

    def __init__(self, endpoints: Sequence[str], timeout_s: float) -> None:
        """Opens nothing yet.

        Args:
            endpoints: `host:port` of the store's servers.
            timeout_s: Time limit of one call over all servers, in seconds.
        """
        self._endpoints = tuple(endpoints)
        self._timeout_s = timeout_s
        self._preferred = 0
        self._pool = self._new_pool(MAX_CONNECTIONS)
        self._watch_pool = self._new_pool(MAX_WATCH_CONNECTIONS)

    @property
    def preferred_endpoint(self) -> str:
        """The server that the next call asks first."""
        return self._endpoints[self._preferred]

    @property
    def _server_timeout_s(self) -> float:
        """Time for one server, in seconds; leaves some for another."""
        return self._timeout_s / (2 if len(self._endpoints) > 1 else 1)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def call(
        self, method: str, path: str, body: bytes, key: str, *, writes: bool
    ) -> result.Result[Answer, store_contract.StoreFault]:
        """Makes a call; statuses that refuse it are faults.

        Args:
            method: HTTP method.
            path: Path of the call, with its query.
            body: What to send.
            key: Names the call in a fault.
            writes: Whether the call can change something. Such a call goes
                to another server only if no byte of it has left.
        """
        fault = _make_fault(False, key, "The store has no servers.")
        with anyio.move_on_after(self._timeout_s):
            for _ in self._endpoints:
                progress = _CallProgress()
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
        """Makes a reading call that the store answers after a wait.

        Args:
            path: Path of the call, with its query.
            key: Names the call in a fault.
            wait_s: Longest time until the answer, in seconds.
        """
        try:
            with anyio.fail_after(wait_s):
                answer = await self._exchange(
                    self._watch_pool, "GET", path, b"", wait_s, _CallProgress()
                )
        except (*TRANSPORT_ERRORS, TimeoutError) as error:
            self.rotate_servers()
            return result.Err(_make_fault(False, key, repr(error)))
        status_fault = _status_fault(answer, key, writes=False)
        return (
            result.Ok(answer)
            if status_fault is None
            else result.Err(status_fault)
        )

    def rotate_servers(self) -> None:
        """Asks another server first from now on."""
        count = max(len(self._endpoints), 1)
        self._preferred = (self._preferred + 1) % count

    async def _call_once(
        self,
        method: str,
        path: str,
        body: bytes,
        progress: _CallProgress,
        writes: bool,
    ) -> Answer:
        """Calls the preferred server."""
        read_s = self._timeout_s if writes else self._server_timeout_s
        return await self._exchange(
            self._pool, method, path, body, read_s, progress
        )

    async def _exchange(
        self,
        pool: httpcore.AsyncConnectionPool,
        method: str,
        path: str,
        body: bytes,
        read_s: float,
        progress: _CallProgress,
    ) -> Answer:
        """Sends a call on a connection of a pool and reads its answer."""
        async with pool.stream(
            method,
            self._url(path),
            headers=_HEADERS,
            content=body,
            extensions={
                "timeout": self._time_limits(read_s),
                "trace": progress.on_trace_event,
            },
        ) as response:
            parts = bytearray()
            async for part in response.aiter_stream():
                parts += part
                if len(parts) > MAX_ANSWER_BYTES:
                    raise httpcore.RemoteProtocolError("answer too large")
            return Answer(response.status, bytes(parts))

    def _time_limits(self, read_s: float) -> dict[str, float]:
        """Returns httpcore's limits in seconds."""
        return {
            "connect": self._server_timeout_s,
            "pool": self._timeout_s,
            "write": self._timeout_s,
            "read": read_s,
        }

    def _url(self, path: str) -> str:
        """Returns the call's URL at the preferred server."""
        return f"http://{self.preferred_endpoint}{path}"

    @staticmethod
    def _new_pool(connections: int) -> httpcore.AsyncConnectionPool:
        """Makes a pool that drops connections before others forget them."""
        return httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=_SOCKET_OPTIONS,
        )


def _status_fault(
    answer: Answer, key: str, writes: bool
) -> store_contract.StoreFault | None:
    """Returns the fault of a call that a status refuses, if it does."""
    detail = f"The store answered with status {answer.status}."
    if answer.status in _NOT_EXECUTED_STATUSES:
        return _make_fault(False, key, detail)
    if answer.status >= _SERVER_ERROR:
        return _make_fault(writes, key, detail)
    return None


def _make_fault(
    may_have_written: bool, key: str, detail: str
) -> store_contract.StoreFault:
    """Makes the fault of a call without an answer."""
    if may_have_written:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    else:
        kind = store_contract.StoreFaultKind.UNAVAILABLE
    return store_contract.StoreFault(kind, key, detail)
