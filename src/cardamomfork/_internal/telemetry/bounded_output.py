"""Log output that never blocks the loop, and has a bound on its volume.

Lines over the rate, and lines for which a full pipe leaves no room, are
dropped and counted; the count is written with the next line that goes out.
"""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_S = 400.0
"""Lines a second; a request at an instance's peak rate brings under ten."""
MAX_BURST_LINES = 2000.0
MAX_BUFFERED_BYTES = 1_048_576
"""Bytes that wait for a full pipe."""


class BoundedOutput:
    """Writes lines to a descriptor; looks like a text stream to the logger."""

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Makes the descriptor non-blocking."""
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
        """Lines dropped so far."""
        return self._total_dropped

    def write(self, text: str) -> None:
        """Takes a line, or drops it."""
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
        """Writes what the descriptor takes now; the rest waits."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, so there is nowhere to say it.
                self._total_dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]
