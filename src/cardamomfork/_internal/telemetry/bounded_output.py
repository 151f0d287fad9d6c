"""Non-blocking, rate-limited log output.

Writing to a full pipe must not block the event loop, so lines are buffered up
to a bound. Lines that exceed the rate limit or the buffer are dropped and
counted. The count is logged before the next accepted line.
"""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_S = 400.0
"""Sustained rate limit.

At an instance's peak request rate, a request logs fewer than ten lines.
"""
MAX_BURST_LINES = 2000.0
MAX_BUFFERED_BYTES = 1_048_576
"""Maximum size of the buffer that holds lines while the pipe is full."""


class BoundedOutput:
    """A line sink that writes to a non-blocking file descriptor.

    A token bucket limits the number of lines.
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Initializes the output and makes the descriptor non-blocking."""
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = clock()
        self._unreported_dropped = 0
        self._total_dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._total_dropped

    def write(self, text: str) -> None:
        """Buffers a line; drops it if it exceeds the rate or buffer limit."""
        now = self._clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._available_lines = min(
            self._available_lines + refill, MAX_BURST_LINES
        )
        self._refilled_at = now
        if self._available_lines < 1 or len(self._buffer) > MAX_BUFFERED_BYTES:
            self._unreported_dropped += 1
            self._total_dropped += 1
            return
        self._available_lines -= 1
        if self._unreported_dropped:
            notice = {
                "message": "log lines dropped",
                "count": self._unreported_dropped,
            }
            self._buffer += msgspec.json.encode(notice) + b"\n"
            self._unreported_dropped = 0
        self._buffer += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Writes buffered bytes until the descriptor would block."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the loss cannot be logged.
                self._total_dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]
