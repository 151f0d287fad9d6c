"""Transport whose close doesn't lose the last bytes that were written."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from cardamomfork._internal.links import write_watch

MAX_LINGER_S = 2.0
MAX_LINGER_BYTES = 64 * 2**20


class LingeringTransport:
    """Transport that reads on for a bounded time before it closes.

    The system resets a connection that is closed while bytes are unread, and a
    reset takes away what its client has not read yet.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        must_linger: Callable[[], bool],
        watch: write_watch.WriteWatch,
    ) -> None:
        """Wraps an open transport, which handles every other call.

        Args:
            transport: The transport.
            loop: Its event loop.
            must_linger: Returns whether the client is still sending while its
                last answer is complete.
            watch: Ends the transport if what was written is not read.
        """
        self._transport = transport
        self._loop = loop
        self._must_linger = must_linger
        self._watch = watch
        self._timer: asyncio.TimerHandle | None = None
        self._bytes_left = MAX_LINGER_BYTES
        self._unwritten_bytes = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def is_lingering(self) -> bool:
        """Whether the transport reads on before it closes."""
        return self._timer is not None

    @property
    def unwritten_bytes(self) -> int:
        """Size of the writes that are not complete.

        The event loop keeps all bytes of a write until its last one is sent.
        """
        return self._unwritten_bytes

    def write(self, data: bytes) -> None:
        """Writes data, or as much of it as the system takes."""
        if not self._transport.get_write_buffer_size():
            self._unwritten_bytes = 0
        self._unwritten_bytes += len(data)
        self._transport.write(data)

    def is_closing(self) -> bool:
        """Returns whether the transport closes, or reads on before that."""
        return self.is_lingering or self._transport.is_closing()

    def close(self) -> None:
        """Closes the transport once the client has stopped sending."""
        if self.is_closing():
            return
        if not self._must_linger():
            self._close()
            return
        self._timer = self._loop.call_later(MAX_LINGER_S, self._close)
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def discard(self, data: bytes) -> None:
        """Takes data that was received while the transport lingers."""
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            self._close()

    def stop(self) -> None:
        """Stops the timers of a transport that has closed."""
        self._watch.stop()
        if self._timer is not None:
            self._timer.cancel()

    def _close(self) -> None:
        """Closes the transport, which first writes what is left."""
        self._transport.close()
        if self._transport.get_write_buffer_size():
            self._watch.start()
