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
MAX_WATCHES = 64
IDLE_CONNECTION_S = 15.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

USER_TIMEOUT_MS = 1500
"""Unacknowledged bytes end a connection after this."""

_HEADERS = [("Content-Type", "application/json")]
_SERVER_ERROR = 500
_NOTHING_DONE = (429, 503)
"""Statuses that say that the call did nothing."""
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)
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


class StoreCaller:
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
        fault = _fault(False, key, "The store has no servers.")
        with anyio.move_on_after(self._timeout_s):
            for _ in self._endpoints:
                progress = _Progress()
                try:
                    answered = await self._call_once(
                        method, path, body, progress, writes
                    )
                except FAULTS as error:
                    fault = _fault(writes and progress.left, key, repr(error))
                else:
                    refused = _refusal(answered, key, writes)
                    if refused is None:
                        return result.Ok(answered)
                    fault = refused
                self.prefer_next()
                if writes and progress.left:
                    break
            return result.Err(fault)
        self.prefer_next()
        late = writes and progress.left
        return result.Err(_fault(late, key, "The store's time limit is over."))

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
                answered = await self._exchange(
                    self._watch_pool, "GET", path, b"", wait_s, _Progress()
                )
        except (*FAULTS, TimeoutError) as error:
            self.prefer_next()
            return result.Err(_fault(False, key, repr(error)))
        refused = _refusal(answered, key, writes=False)
        return result.Ok(answered) if refused is None else result.Err(refused)

    def prefer_next(self) -> None:
        """Asks another server first from now on."""
        count = max(len(self._endpoints), 1)
        self._preferred = (self._preferred + 1) % count

    async def _call_once(
        self,
        method: str,
        path: str,
        body: bytes,
        progress: _Progress,
        writes: bool,
    ) -> Answer:
        """Calls the preferred server."""
        read_s = self._timeout_s if writes else self._try_s
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
        progress: _Progress,
    ) -> Answer:
        """Sends a call on a connection of a pool and reads its answer."""
        async with pool.stream(
            method,
            self._url(path),
            headers=_HEADERS,
            content=body,
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
            max_connections=connections,
            keepalive_expiry=IDLE_CONNECTION_S,
            socket_options=_SOCKET_OPTIONS,
        )


def _refusal(
    answered: Answer, key: str, writes: bool
) -> store_contract.StoreFault | None:
    """Returns the fault of a call that a status refuses, if it does."""
    detail = f"The store answered with status {answered.status}."
    if answered.status in _NOTHING_DONE:
        return _fault(False, key, detail)
    if answered.status >= _SERVER_ERROR:
        return _fault(writes, key, detail)
    return None


def _fault(
    may_have_written: bool, key: str, detail: str
) -> store_contract.StoreFault:
    """Makes the fault of a call without an answer."""
    if may_have_written:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    else:
        kind = store_contract.StoreFaultKind.UNAVAILABLE
    return store_contract.StoreFault(kind, key, detail)
