"""uvicorn's HTTP protocol with what streams to callers need beside ASGI.

A stream's chunks are written to the connection's transport in the call that
brings them. An ASGI message for each would cost a task switch a token.
"""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from uvicorn.protocols.http import httptools_impl

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable
    from collections.abc import Callable

SCOPE_KEY = "cardamomfork.connection"
HEADERS_TIMEOUT_S = 15.0
WRITE_STALL_TIMEOUT_S = 60.0
"""Time a caller has to read a full buffer's worth, in seconds."""


async def wait_for_disconnect(
    receive: Callable[[], Awaitable[dict[str, Any]]],
) -> None:
    """Returns once the caller has closed its connection.

    Args:
        receive: ASGI's receive, after the whole body.
    """
    while (await receive())["type"] != "http.disconnect":
        pass


class FlowControlListener(Protocol):
    """Hears when the caller's connection is full."""

    def on_write_paused(self) -> None:
        """The transport holds more than it should."""
        ...

    def on_write_resumed(self) -> None:
        """The transport has room again."""
        ...


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """One caller's connection."""

    _headers_timer: asyncio.TimerHandle | None = None
    _stall_timer: asyncio.TimerHandle | None = None
    _flow_listener: FlowControlListener | None = None

    @property
    def is_write_paused(self) -> bool:
        """Whether the transport holds more than it should."""
        return self.flow.write_paused

    def set_flow_listener(self, listener: FlowControlListener | None) -> None:
        """Names who hears of a full connection; None for nobody."""
        self._flow_listener = listener

    def write_chunk(self, data: bytes) -> None:
        """Writes one chunk of a response; drops it if the caller is gone."""
        if self.transport.is_closing():
            return
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Starts the time for the first request's head."""
        super().connection_made(transport)
        self._start_headers_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer."""
        self._stop_headers_timer()
        self._stop_stall_timer()
        self._flow_listener = None
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts the time for a later request's head."""
        super().on_message_begin()
        self._start_headers_timer()

    def on_headers_complete(self) -> None:
        """Gives the application the connection."""
        self._stop_headers_timer()
        self.scope["extensions"] = {SCOPE_KEY: self}  # type: ignore[dict-item]
        super().on_headers_complete()

    def pause_writing(self) -> None:
        """Tells the listener that the caller is slow."""
        super().pause_writing()
        self._stall_timer = self.loop.call_later(
            WRITE_STALL_TIMEOUT_S, self.transport.abort
        )
        if self._flow_listener is not None:
            self._flow_listener.on_write_paused()

    def resume_writing(self) -> None:
        """Tells the listener that the caller has caught up."""
        super().resume_writing()
        self._stop_stall_timer()
        if self._flow_listener is not None:
            self._flow_listener.on_write_resumed()

    def _stop_stall_timer(self) -> None:
        """Notes that the caller reads."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _start_headers_timer(self) -> None:
        """Closes the connection unless a whole head comes in time."""
        if self._headers_timer is None:
            self._headers_timer = self.loop.call_later(
                HEADERS_TIMEOUT_S, self.transport.close
            )

    def _stop_headers_timer(self) -> None:
        """Lets the connection stay."""
        if self._headers_timer is not None:
            self._headers_timer.cancel()
            self._headers_timer = None
