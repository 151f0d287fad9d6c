"""Ends connections whose clients have stopped reading."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

WRITE_STALL_TIMEOUT_S = 60.0
"""Time after which a connection is aborted if its client has read nothing."""


class WriteWatch:
    """Aborts a transport whose write buffer doesn't shrink."""

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Initializes a watch that has not been started.

        Args:
            transport: The transport.
            loop: Its event loop.
        """
        self._transport = transport
        self._loop = loop
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to watch, unless the watch is running."""
        if self._timer is None:
            self._start_timer()

    def stop(self) -> None:
        """Stops the watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self) -> None:
        """Notes the size of the write buffer, to compare it later."""
        self._size = self._transport.get_write_buffer_size()
        self._timer = self._loop.call_later(WRITE_STALL_TIMEOUT_S, self._check)

    def _check(self) -> None:
        """Aborts the transport if nothing has been read since."""
        if self._transport.get_write_buffer_size() < self._size:
            self._start_timer()
        else:
            self._transport.abort()
