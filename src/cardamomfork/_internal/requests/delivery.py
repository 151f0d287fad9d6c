"""Brings the bytes of a target's answer to the caller."""

from __future__ import annotations

from typing import Protocol

LF_EVENT_END = b"\n\n"
CRLF_EVENT_END = b"\n\r\n"
EVENT_ENDS = (LF_EVENT_END, CRLF_EVENT_END)
DONE_EVENT = b"data: [DONE]\n\n"
MAX_DONE_EVENT_BYTES = len(b"data: [DONE]\r\n\r\n")
MAX_EVENT_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class PausableSource(Protocol):
    """What a full sink can stop."""

    def pause(self) -> None:
        """Stops the bytes."""
        ...

    def resume(self) -> None:
        """Lets them come again."""
        ...


class CallerSink(Protocol):
    """Where a caller's answer goes."""

    async def open(self) -> None:
        """Tells the caller that its answer begins; again does nothing."""
        ...

    def write(self, data: bytes) -> None:
        """Takes whole events; pauses the source once the caller is slow."""
        ...

    def attach(self, source: PausableSource | None) -> None:
        """Names the source to pause; None for none."""
        ...


class StreamDelivery:
    """Passes whole server-sent events on as they come.

    The begin of an unfinished event is held back, so whatever is put between
    two writes (a heartbeat, an error) stands between two events. Only an event
    longer than `MAX_EVENT_BYTES` is passed on in parts.
    """

    def __init__(self, sink: CallerSink) -> None:
        """Starts before the first byte."""
        self._sink = sink
        self._partial_event = b""
        self._tail = b""
        self.events = 0

    @property
    def whole(self) -> bool:
        """Whether the stream ended with the event that says so."""
        tail = self._tail.replace(b"\r\n", b"\n")
        return not self._partial_event and tail.endswith(DONE_EVENT)

    def write(self, data: bytes) -> None:
        """Takes bytes of the answer."""
        if self._partial_event:
            data = self._partial_event + data
            self._partial_event = b""
        if not data.endswith(EVENT_ENDS):
            end = _end_of_last_event(data)
            if end:
                self._partial_event = data[end:]
                data = data[:end]
            elif len(data) <= MAX_EVENT_BYTES:
                self._partial_event = data
                return
        self.events += data.count(LF_EVENT_END)
        if b"\r" in data:
            self.events += data.count(CRLF_EVENT_END)
        self._tail = data[-MAX_DONE_EVENT_BYTES:]
        self._sink.write(data)


def _end_of_last_event(data: bytes) -> int:
    """Returns the offset behind the last whole event; 0 if there is none."""
    found = [(data.rfind(end), len(end)) for end in EVENT_ENDS]
    return max(
        (offset + size for offset, size in found if offset >= 0), default=0
    )


class BodyDelivery:
    """Collects a whole body of bounded length."""

    def __init__(self) -> None:
        """Starts empty."""
        self._parts: list[bytes] = []
        self.received_bytes = 0

    @property
    def body(self) -> bytes:
        """The bytes so far."""
        return b"".join(self._parts)

    @property
    def is_too_long(self) -> bool:
        """Whether the answer was longer than what may be held."""
        return self.received_bytes > MAX_ANSWER_BYTES

    def write(self, data: bytes) -> None:
        """Takes bytes of the answer; drops those over the bound."""
        self.received_bytes += len(data)
        if not self.is_too_long:
            self._parts.append(data)
