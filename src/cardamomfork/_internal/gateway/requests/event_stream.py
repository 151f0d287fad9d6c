"""Splits a stream of server-sent events and checks the order of their ids."""

from __future__ import annotations

import enum
import re

import attrs

MAX_EVENT_BYTES = 1_048_576
_ID = b"id:"
_COMMENT = b":"
_TERMINATOR = re.compile(rb"\n\n|\r\n\r\n")


class Continuity(enum.Enum):
    """How the id of an event follows the one before."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


@attrs.frozen
class Event:
    """One server-sent event.

    Attributes:
        raw: Bytes as received, with the blank line that ends the event.
        event_id: Numeric id, or None if the event has none.
    """

    raw: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has only comments, which callers ignore."""
        return all(
            line.startswith(_COMMENT) for line in self.raw.splitlines() if line
        )


class EventSplitter:
    """Splits a stream of bytes into events."""

    def __init__(self) -> None:
        """Initializes the splitter with an empty buffer."""
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Received bytes of an event that has not ended yet."""
        return self._buffer

    @property
    def is_overlong(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that they complete."""
        self._buffer += data
        events = []
        start = 0
        for terminator in _TERMINATOR.finditer(self._buffer):
            raw = self._buffer[start : terminator.end()]
            events.append(Event(raw, _find_id(raw)))
            start = terminator.end()
        self._buffer = self._buffer[start:]
        return events


@attrs.define
class SequenceChecker:
    """Checks that the ids of events are consecutive.

    Attributes:
        last_id: Id of the last event accepted, or of the last one that the
            caller has from an earlier stream; None before the first.
        is_resuming: Whether the next event is the first of a run that must go
            on after `last_id`.
    """

    last_id: int | None = None
    is_resuming: bool = False

    def begin_run(self) -> None:
        """Starts to check the events of another run."""
        self.is_resuming = self.last_id is not None

    def check(self, event: Event) -> Continuity:
        """Returns how an event continues the stream.

        Records the id of an event that is the next one. A run that repeats
        events at its start has not been resumed but has started again, so its
        later events may differ from those of the run before.
        """
        if event.event_id is None:
            return self._check_unnumbered(event)
        if self.last_id is not None:
            if event.event_id <= self.last_id and not self.is_resuming:
                return Continuity.REPEATED
            if event.event_id != self.last_id + 1:
                return Continuity.GAP
        self.last_id = event.event_id
        self.is_resuming = False
        return Continuity.NEXT

    def _check_unnumbered(self, event: Event) -> Continuity:
        """Returns how an event without an id continues the stream.

        At the start of a run that resumes, it may be an error or an event that
        the caller has already. Comments are left out there.
        """
        if not self.is_resuming:
            return Continuity.NEXT
        return Continuity.REPEATED if event.is_comment else Continuity.GAP


def _find_id(raw: bytes) -> int | None:
    """Returns the id of an event, or None if it has no numeric id."""
    for line in raw.splitlines():
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError:
                return None
    return None
