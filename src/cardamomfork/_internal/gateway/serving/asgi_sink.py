"""Writes answers to a caller over ASGI."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.gateway.requests import exchanges
    from cardamomfork._internal.gateway.state import stopping
    from cardamomfork._internal.links.callers import protocol
    from cardamomfork._internal.models import forwarding as forwarding_models

    Send = Callable[[dict[str, Any]], Awaitable[None]]

_CLOSE = (b"connection", b"close")


class AsgiSink:
    """Sends an answer to the caller over ASGI.

    Implements `attempt.CallerSink`.
    """

    def __init__(
        self,
        send: Send,
        stop: stopping.StopState,
        connection: protocol.CallerProtocol | None = None,
        *,
        knows_chunks: bool = True,
    ) -> None:
        """Initializes the sink.

        Args:
            send: The ASGI send callable of the request.
            stop: Whether the process is stopping.
            connection: The caller's connection, if known.
            knows_chunks: Whether the caller knows chunks.
        """
        self._send = send
        self._stop = stop
        self._connection = connection
        self._unframed = None if knows_chunks else connection
        self.status = 0

    def abort_if_unread(self) -> None:
        """Aborts the connection if the caller doesn't read the answer."""
        if self._connection is not None and self._connection.is_write_paused:
            self._connection.transport.abort()

    async def start(
        self,
        status: int,
        headers: forwarding_models.Headers,
        length: int | None,
    ) -> None:
        """Sends the head; the body is chunked if the length is unknown."""
        pairs = list(headers)
        if length is not None:
            pairs.append((b"content-length", b"%d" % length))
            self._unframed = None
        elif self._unframed is not None:
            self._unframed.begin_unframed()
        if self._stop.is_stopping and not self._has_pipelined_request():
            pairs.append(_CLOSE)
        self.status = status
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": pairs,
            }
        )

    def _has_pipelined_request(self) -> bool:
        """Returns whether a request was read behind this one."""
        return (
            self._connection is not None
            and self._connection.has_pipelined_request
        )

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the body and ends the answer."""
        if self._unframed is not None:
            self._unframed.end_unframed()
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": False}
        )

    async def answer(
        self, final: exchanges.FinalAnswer, *, close: bool = False
    ) -> None:
        """Sends a complete answer that this instance generated itself.

        Args:
            final: Status, reason and time to retry after.
            close: Whether the connection closes after the answer.
        """
        body = final.reason.encode("utf-8", "replace") + b"\n"
        pairs = [(b"content-type", b"text/plain; charset=utf-8")]
        if final.retry_after_s is not None:
            pairs.append((b"retry-after", b"%.3f" % final.retry_after_s))
        if close:
            pairs.append(_CLOSE)
        await self.start(final.status, tuple(pairs), len(body))
        await self.finish(body)
