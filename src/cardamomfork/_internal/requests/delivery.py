"""Delivery of a target's answer to the caller, streamed or whole."""

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
    """A byte source that a full sink can pause."""

    def pause(self) -> None:
        """Stops delivering bytes."""
        ...

    def resume(self) -> None:
        """Continues to deliver bytes."""
        ...


class CallerSink(Protocol):
    """Sends an answer to a caller."""

    async def open(self) -> None:
        """Starts the response; further calls have no effect."""
        ...

    def write(self, data: bytes) -> None:
        """Sends whole events; pauses the source if the caller reads slowly."""
        ...

    def attach(self, source: PausableSource | None) -> None:
        """Sets the source to pause, or None."""
        ...


class StreamDelivery:
    """Passes on server-sent events, in whole events, as they arrive.

    An incomplete event is buffered until its end arrives, so that a heartbeat
    or error sent between two writes always falls between two events. An event
    longer than `MAX_EVENT_BYTES` is passed on in parts.

    Attributes:
        events: Number of events passed on.
    """

    def __init__(self, sink: CallerSink) -> None:
        """Initializes the delivery to a sink."""
        self._sink = sink
        self._partial_event = b""
        self._tail = b""
        self.events = 0

    @property
    def whole(self) -> bool:
        """Whether the stream ended with the `[DONE]` event."""
        tail = self._tail.replace(b"\r\n", b"\n")
        return not self._partial_event and tail.endswith(DONE_EVENT)

    def write(self, data: bytes) -> None:
        """Passes on the whole events in the buffered and new bytes."""
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
    """Returns the end offset of the last whole event, or 0 if there is none."""
    found = [(data.rfind(end), len(end)) for end in EVENT_ENDS]
    return max(
        (offset + size for offset, size in found if offset >= 0), default=0
    )


class BodyDelivery:
    """Collects an answer's body, up to `MAX_ANSWER_BYTES`.

    Attributes:
        received_bytes: Number of bytes received, dropped ones included.
    """

    def __init__(self) -> None:
        """Initializes an empty body."""
        self._parts: list[bytes] = []
        self.received_bytes = 0

    @property
    def body(self) -> bytes:
        """The body collected so far."""
        return b"".join(self._parts)

    @property
    def is_too_long(self) -> bool:
        """Whether the answer exceeds `MAX_ANSWER_BYTES`."""
        return self.received_bytes > MAX_ANSWER_BYTES

    def write(self, data: bytes) -> None:
        """Appends bytes; drops them once the answer is too long."""
        self.received_bytes += len(data)
        if not self.is_too_long:
            self._parts.append(data)
