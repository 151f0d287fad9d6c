"""One attempt to run a request on one target.

The attempt's outcome is derived from its state and is never set: `not_run`
holds only while no byte can have left for the target, or after the target
refused before it ran anything.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers

GAP = -1
"""Answer of `AttemptMachine.place_frame` for a frame that skips bytes."""


class AttemptState(enum.IntEnum):
    """How far an attempt got; the order is that of a run."""

    QUEUED = 0
    """No byte has left for the target."""
    SENDING = 1
    """The first byte may have left."""
    SENT = 2
    """The whole call has left."""
    ACCEPTED = 3
    """The head of the answer came."""
    STREAMING = 4
    """Bytes of the answer came."""
    DONE = 5
    """The target ended it: a whole answer, or an error after a run."""
    REFUSED = 6
    """Nothing was sent, or the target proved that it did not run it."""
    LOST = 7
    """How the run ended is not known here."""


_NOT_RUN_FAULTS = {
    targets.FaultKind.UNREACHABLE: AttemptState.SENDING,
    targets.FaultKind.REFUSED: AttemptState.SENT,
}
"""Faults that prove that nothing ran, and the last state they can follow."""


@attrs.define
class FrameCounters:
    """What was dropped; one object may count for many attempts.

    Attributes:
        late: Frames and ends after the end.
        crossed: Frames and heads of another attempt.
        doubled: Frames whose bytes were all held already.
        gaps: Frames that skipped bytes, and ends with a wrong count.
        second_finals: Ends after the first.
        diverged: Attempts whose bytes contradicted those given out.
    """

    late: int = 0
    crossed: int = 0
    doubled: int = 0
    gaps: int = 0
    second_finals: int = 0
    diverged: int = 0


_STREAMING = AttemptState.STREAMING


class AttemptMachine:
    """The state of one attempt; every method is O(1).

    Attributes:
        attempt_id: Its name, echoed by the target.
        target_id: Where it runs.
        start: Offset in bytes at which the answer was asked to begin.
        terminal: Whether it has ended; kept for the path of each buffer.
    """

    __slots__ = (
        "_byte_left",
        "_counters",
        "_fault",
        "_offset",
        "_state",
        "attempt_id",
        "start",
        "target_id",
        "terminal",
    )

    def __init__(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
        counters: FrameCounters,
        start: int = 0,
    ) -> None:
        """Starts queued.

        Args:
            attempt_id: Its name, echoed by the target.
            target_id: Where it runs.
            counters: Counts what is dropped.
            start: Offset in bytes at which the answer is asked to begin.
        """
        self.attempt_id = attempt_id
        self.target_id = target_id
        self.start = start
        self._counters = counters
        self.terminal = False
        self._state = AttemptState.QUEUED
        self._may_have_sent = False
        self._offset = start
        self._fault: targets.TargetFault | None = None

    @property
    def state(self) -> AttemptState:
        """How far it got."""
        return self._state

    @property
    def offset(self) -> int:
        """Offset of the next byte of the answer, where a resume starts."""
        return self._offset

    @property
    def fault(self) -> targets.TargetFault | None:
        """The fault that ended it, if one did."""
        return self._fault

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is known of the run now."""
        if not self._may_have_sent or self._state is AttemptState.REFUSED:
            return outcomes.Outcome.NOT_RUN
        if self._state is not AttemptState.DONE:
            return outcomes.Outcome.UNKNOWN
        if self._fault is not None:
            return outcomes.Outcome.FAILED
        return outcomes.Outcome.DONE

    def mark_sending(self) -> None:
        """Notes that bytes may leave from now on; call it before sending."""
        exceptions.check_invariant(
            self._state is AttemptState.QUEUED,
            "an attempt is sent once",
            self.attempt_id,
        )
        self._may_have_sent = True
        self._state = AttemptState.SENDING

    def mark_sent(self) -> None:
        """Notes that the whole call has left."""
        if self._state is AttemptState.SENDING:
            self._state = AttemptState.SENT

    def accept(self, attempt_id: identifiers.AttemptId) -> bool:
        """Takes the head of an answer; False for another attempt's.

        Close the connection on False and report a `GARBLED` fault.
        """
        if attempt_id != self.attempt_id:
            self._counters.crossed += 1
            return False
        if self.terminal:
            self._counters.late += 1
            return False
        self._check_sent()
        self._state = max(self._state, AttemptState.ACCEPTED)
        return True

    def advance(self, length: int) -> None:
        """Takes the next bytes of an answer that comes in order.

        Call it only while the attempt is not terminal.
        """
        self._state = _STREAMING
        self._offset += length

    def place_frame(
        self, attempt_id: identifiers.AttemptId, offset: int, length: int
    ) -> int:
        """Says how many bytes at a frame's front to skip.

        Does not take the frame: `advance` does, for what remains.

        Args:
            attempt_id: The attempt that the frame names.
            offset: Offset of its first byte in the answer.
            length: Its length in bytes.

        Returns:
            Bytes to skip; `length` drops the frame, and `GAP` asks for a
            resume at `offset` on a new connection.
        """
        if attempt_id != self.attempt_id:
            self._counters.crossed += 1
            return length
        if self.terminal:
            self._counters.late += 1
            return length
        if offset > self._offset:
            self._counters.gaps += 1
            return GAP
        skip = min(self._offset - offset, length)
        if length and skip == length:
            self._counters.doubled += 1
        return skip

    def finish(self, total: int | None = None) -> bool:
        """Takes the proved end of the answer.

        Args:
            total: The answer's length that the target states, if it does.

        Returns:
            True if the answer is whole; False for a second end, a late one,
            or a wrong count, after which the attempt is still open.
        """
        if self.terminal:
            if self._state is AttemptState.DONE:
                self._counters.second_finals += 1
            else:
                self._counters.late += 1
            return False
        if total is not None and total != self._offset:
            self._counters.gaps += 1
            return False
        self._check_sent()
        self._end(AttemptState.DONE)
        return True

    def fail(self, fault: targets.TargetFault) -> None:
        """Takes a fault; one that comes after the end changes nothing."""
        if self.terminal:
            self._counters.late += 1
            return
        self._fault = fault
        last = _NOT_RUN_FAULTS.get(fault.kind)
        if not self._may_have_sent or (
            last is not None and self._state <= last
        ):
            self._end(AttemptState.REFUSED)
        elif fault.kind is targets.FaultKind.REJECTED:
            self._end(AttemptState.DONE)
        else:
            self._end(AttemptState.LOST)

    def abandon(self) -> None:
        """Gives the attempt up, by a cancel or a deadline."""
        if self.terminal:
            return
        if self._may_have_sent:
            self._end(AttemptState.LOST)
        else:
            self._end(AttemptState.REFUSED)

    def _end(self, state: AttemptState) -> None:
        """Moves to a terminal state, once."""
        exceptions.check_invariant(
            not self.terminal, "an attempt ends once", self.attempt_id
        )
        self._state = state
        self.terminal = True

    def _check_sent(self) -> None:
        """Checks that an answer follows a call."""
        exceptions.check_invariant(
            self._may_have_sent, "no answer without a call", self.attempt_id
        )
