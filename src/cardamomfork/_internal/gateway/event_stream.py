"""Events of a stream: whole ones only, in order, each once."""

from __future__ import annotations

import enum

import attrs

MAX_EVENT_BYTES = 1_048_576
_ID = b"id:"


class Continuity(enum.Enum):
    """How an event continues a stream."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


@attrs.frozen
class Event:
    """One event as it came.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        event_id: Its id, or None if it has none.
    """

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes of an event that isn't whole yet."""
        return self._buffer

    @property
    def is_overlong(self) -> bool:
        """Whether the event at hand is longer than any may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes; returns the events that are whole now."""
        self._buffer += data
        events = []
        while (end := _find_end(self._buffer)) > 0:
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(raw, _find_id(raw)))
        return events


@attrs.define
class SequenceChecker:
    """Checks that events follow each other.

    Attributes:
        last_id: Id of the last event that was passed on, or None.
    """

    last_id: int | None = None

    def check(self, event: Event) -> Continuity:
        """Tells how an event continues the stream, and takes it if it does."""
        if event.event_id is None:
            return Continuity.NEXT
        if self.last_id is not None:
            if event.event_id <= self.last_id:
                return Continuity.REPEATED
            if event.event_id != self.last_id + 1:
                return Continuity.GAP
        self.last_id = event.event_id
        return Continuity.NEXT


def _find_end(buffer: bytes) -> int:
    """Returns where the first event ends; 0 if none is whole."""
    lf = buffer.find(b"\n\n")
    crlf = buffer.find(b"\r\n\r\n")
    if lf >= 0 and (crlf < 0 or lf < crlf):
        return lf + 2
    return crlf + 4 if crlf >= 0 else 0


def _find_id(raw: bytes) -> int | None:
    """Returns the id of an event; None if it has no number."""
    for line in raw.splitlines():
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError:
                return None
    return None
