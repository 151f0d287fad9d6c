"""Calls to the servers of the platform's store over HTTP.

What matters is the difference between a call that surely did nothing and one
whose effect is not known. The first byte sent divides the two.
"""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
import msgspec
import result

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links.platform import gateway_messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

MAX_CONNECTIONS = 16
MAX_WATCHES = 64
IDLE_CONNECTION_S = 15.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_HEADERS = [("Content-Type", "application/json")]
_LEASE_NOT_FOUND = "requested lease not found"
_SERVER_ERROR = 500
_CLIENT_ERROR = 400
FAULTS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    anyio.ClosedResourceError,
    anyio.BrokenResourceError,
    OSError,
)


@attrs.define
class _Progress:
    """How far one try of a call got."""

    left: bool = False

    async def note(self, event: str, _info: dict[str, Any]) -> None:
        """Takes httpcore's trace events."""
        if event.endswith("send_request_headers.started"):
            self.left = True


@attrs.frozen
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes = attrs.field(repr=False)


class GatewayCaller:
    """Posts JSON to the first server that takes it."""

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
        self._watch_pool = self._new_pool(MAX_WATCHES)

    @property
    def endpoint(self) -> str:
        """The server that the next call asks first."""
        return self._endpoints[self._preferred]

    @property
    def _try_s(self) -> float:
        """Time for one server, in seconds; leaves some for another."""
        return self._timeout_s / (2 if len(self._endpoints) > 1 else 1)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def post(
        self, path: str, body: Any, key: str, writes: bool
    ) -> result.Result[bytes, store_contract.StoreFault]:
        """Posts a call and returns the body of a good answer.

        Args:
            path: Path of the call.
            body: What to send as JSON.
            key: Names the call in a fault.
            writes: Whether the call can change something. Such a call goes
                to another server only if no byte of it has left.
        """
        content = msgspec.json.encode(body)
        fault = _fault(False, key, "The store has no servers.")
        with anyio.move_on_after(self._timeout_s):
            for _ in self._endpoints:
                progress = _Progress()
                try:
                    answered = await self._post_once(
                        path, content, progress, writes
                    )
                except FAULTS as error:
                    fault = _fault(writes and progress.left, key, repr(error))
                else:
                    if answered.status < _SERVER_ERROR:
                        return _judge(answered, key)
                    fault = _fault(writes, key, _message(answered))
                self.prefer_next()
                if writes and progress.left:
                    break
            return result.Err(fault)
        self.prefer_next()
        late = writes and progress.left
        return result.Err(_fault(late, key, "The store's time limit is over."))

    @contextlib.asynccontextmanager
    async def stream(
        self, path: str, body: Any, idle_s: float
    ) -> AsyncIterator[httpcore.Response]:
        """Opens a streamed answer on a new or idle connection.

        Args:
            path: Path of the call.
            body: What to send as JSON.
            idle_s: Longest silence on the connection, in seconds.

        Raises:
            httpcore.NetworkError: The connection failed.
            httpcore.TimeoutException: Nothing came for too long.
            httpcore.ProtocolError: The answer broke the protocol.
        """
        async with self._watch_pool.stream(
            "POST",
            self._url(path),
            headers=_HEADERS,
            content=msgspec.json.encode(body),
            extensions={"timeout": self._time_limits(idle_s)},
        ) as response:
            yield response

    def prefer_next(self) -> None:
        """Asks another server first from now on."""
        count = max(len(self._endpoints), 1)
        self._preferred = (self._preferred + 1) % count

    async def _post_once(
        self, path: str, content: bytes, progress: _Progress, writes: bool
    ) -> Answer:
        """Posts to the preferred server."""
        read_s = self._timeout_s if writes else self._try_s
        async with self._pool.stream(
            "POST",
            self._url(path),
            headers=_HEADERS,
            content=content,
            extensions={
                "timeout": self._time_limits(read_s),
                "trace": progress.note,
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
            "connect": self._try_s,
            "pool": self._timeout_s,
            "write": self._timeout_s,
            "read": read_s,
        }

    def _url(self, path: str) -> str:
        """Returns the call's URL at the preferred server."""
        return f"http://{self.endpoint}{path}"

    @staticmethod
    def _new_pool(connections: int) -> httpcore.AsyncConnectionPool:
        """Makes a pool that drops connections before others forget them."""
        return httpcore.AsyncConnectionPool(
            max_connections=connections, keepalive_expiry=IDLE_CONNECTION_S
        )


def _judge(
    answered: Answer, key: str
) -> result.Result[bytes, store_contract.StoreFault]:
    """Returns the body, or the fault that a 4xx status tells."""
    if answered.status < _CLIENT_ERROR:
        return result.Ok(answered.body)
    message = _message(answered)
    if _LEASE_NOT_FOUND in message:
        kind = store_contract.StoreFaultKind.LEASE_GONE
    else:
        kind = store_contract.StoreFaultKind.UNAVAILABLE
    return result.Err(store_contract.StoreFault(kind, key, message))


def _message(answered: Answer) -> str:
    """Returns an error answer's message."""
    try:
        decoded = msgspec.json.decode(
            answered.body, type=gateway_messages.ErrorAnswer
        )
    except msgspec.DecodeError:
        return f"The store answered with status {answered.status}."
    return f"The store answered {answered.status}: {decoded.message}"


def _fault(
    may_have_written: bool, key: str, detail: str
) -> store_contract.StoreFault:
    """Makes the fault of a call without an answer."""
    if may_have_written:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    else:
        kind = store_contract.StoreFaultKind.UNAVAILABLE
    return store_contract.StoreFault(kind, key, detail)
