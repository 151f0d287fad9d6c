"""Splits what a client sends where a message may end.

The parser can't be stopped within the bytes that it is given. So it is given at
most one head, or one body, at a time.
"""

from __future__ import annotations

import enum

END_OF_LINES = b"\r\n\r\n"
"""Ends each head and each chunked body, with or without trailers."""
MAX_SEGMENT_BYTES = 16_384


class Expected(enum.Enum):
    """What the parser expects next."""

    HEAD = "head"
    SIZED_BODY = "sized body"
    CHUNKED_BODY = "chunked body"


class Segmenter:
    """Position of one connection's parser within its messages."""

    def __init__(self) -> None:
        """Initializes the position before the first head."""
        self.expected = Expected.HEAD
        self._body_bytes_left = 0
        self._tail = b""

    def expect_head(self) -> None:
        """Notes that a message has ended."""
        self.expected = Expected.HEAD

    def expect_body(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Notes that a head has ended, whose headers the parser accepted."""
        self.expected = Expected.SIZED_BODY
        self._body_bytes_left = 0
        for name, value in headers:
            if name == b"content-length":
                self._body_bytes_left = int(value)
            elif name == b"transfer-encoding":
                self.expected = Expected.CHUNKED_BODY

    def take_body(self, size: int) -> bool:
        """Returns whether the next bytes are all of a body, and takes them."""
        if self.expected is not Expected.SIZED_BODY:
            return False
        if size > self._body_bytes_left:
            return False
        self._body_bytes_left -= size
        return True

    def take(self, data: bytearray) -> bytes:
        """Removes and returns the next segment of data that isn't empty."""
        size = self._find_size(data)
        segment = bytes(data[:size])
        del data[:size]
        if self.expected is Expected.SIZED_BODY:
            self._body_bytes_left -= size
        else:
            self._tail = (self._tail + segment[-3:])[-3:]
        return segment

    def _find_size(self, data: bytearray) -> int:
        """Returns the size of the next segment."""
        if self.expected is Expected.SIZED_BODY:
            return min(self._body_bytes_left, len(data))
        # The end may have been received in two parts.
        start = (self._tail + data[:3]).find(END_OF_LINES)
        if start >= 0:
            return start + len(END_OF_LINES) - len(self._tail)
        found = data.find(END_OF_LINES, 0, MAX_SEGMENT_BYTES)
        if found >= 0:
            return found + len(END_OF_LINES)
        return min(MAX_SEGMENT_BYTES, len(data))
