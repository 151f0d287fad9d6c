"""uvicorn's HTTP protocol, extended for streaming responses.

A stream's chunks are written to the connection's transport directly, in the
call that receives them. An ASGI message for each chunk would cost one task
switch per token.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import sys
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.links import bounded_protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

SCOPE_KEY = "cardamomfork.connection"
"""Key of the connection in the extensions of the ASGI scope."""
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
_NO_LINGER = struct.pack("ii", 0, 0)


async def wait_for_disconnect(
    receive: Callable[[], Awaitable[dict[str, Any]]],
) -> None:
    """Waits until the caller has closed its connection.

    Args:
        receive: ASGI's receive; the whole body must have been received.
    """
    while (await receive())["type"] != "http.disconnect":
        pass


class FlowControlListener(Protocol):
    """Receives flow control events of a caller's connection."""

    def on_write_paused(self) -> None:
        """Called when the write buffer rises above its high-water mark."""
        ...

    def on_write_resumed(self) -> None:
        """Called when the write buffer has drained."""
        ...


class CallerProtocol(bounded_protocol.BoundedProtocol):
    """HTTP connection of one caller."""

    _flow_listener: FlowControlListener | None = None
    _is_unframed_complete = False

    @property
    def is_write_paused(self) -> bool:
        """Whether the write buffer is above its high-water mark."""
        return self.flow.write_paused

    def set_flow_listener(self, listener: FlowControlListener | None) -> None:
        """Sets the receiver of flow control events; None for none."""
        self._flow_listener = listener

    def begin_unframed(self) -> None:
        """Prepares a response that has no length and ends at the close.

        A client of HTTP/1.0 doesn't know chunks. To it, a close is the end of a
        complete response, so any close before `end_unframed` is a reset, also
        when the process ends.
        """
        self.cycle.chunked_encoding = False
        self.cycle.expected_content_length = sys.maxsize
        self._is_unframed_complete = False
        self._set_linger(_RESET_AT_CLOSE)

    def end_unframed(self) -> None:
        """Marks such a response as complete once it has been written."""
        self.cycle.expected_content_length = 0
        self._is_unframed_complete = True
        if not self.is_write_paused:
            self._set_linger(_NO_LINGER)

    def _set_linger(self, option: bytes) -> None:
        """Sets what a close of the socket does."""
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, option
            )

    def write_chunk(self, data: bytes) -> None:
        """Writes one response chunk, or drops it if the connection closes."""
        if self.transport.is_closing():
            return
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the flow listener."""
        self._flow_listener = None
        super().connection_lost(exc)

    def on_headers_complete(self) -> None:
        """Adds the connection to the scope."""
        self.scope["extensions"] = {SCOPE_KEY: self}  # type: ignore[dict-item]
        super().on_headers_complete()

    def pause_writing(self) -> None:
        """Notifies the listener."""
        super().pause_writing()
        if self._flow_listener is not None:
            self._flow_listener.on_write_paused()

    def resume_writing(self) -> None:
        """Notifies the listener."""
        super().resume_writing()
        if self._is_unframed_complete:
            self._set_linger(_NO_LINGER)
        if self._flow_listener is not None:
            self._flow_listener.on_write_resumed()
