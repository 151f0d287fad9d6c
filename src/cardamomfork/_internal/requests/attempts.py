"""State machine of one attempt to run a request on one target.

The outcome of an attempt is always derived from its state. It is `not_run`
only if no byte can have been sent to the target, or if the target proved that
it refused the call before running anything.
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
"""Returned by `AttemptMachine.place_frame` if earlier bytes are missing."""


class AttemptState(enum.IntEnum):
    """Progress of an attempt; values are compared, in the order of a run."""

    QUEUED = 0
    """No byte has been sent to the target."""
    SENDING = 1
    """The first byte may have been sent."""
    SENT = 2
    """The whole call has been sent."""
    ACCEPTED = 3
    """The head of the answer has been received."""
    STREAMING = 4
    """Bytes of the answer have been received."""
    DONE = 5
    """The target ended the run, with a whole answer or with an error."""
    REFUSED = 6
    """Nothing was sent, or the target proved that it did not run it."""
    LOST = 7
    """It is not known how the run ended."""


_NOT_RUN_FAULTS = {
    targets.FaultKind.UNREACHABLE: AttemptState.SENDING,
    targets.FaultKind.REFUSED: AttemptState.SENT,
}
"""Faults that prove that the call did not run.

The value is the last state in which the fault is such a proof.
"""


@attrs.define
class FrameCounters:
    """Counts of dropped frames; one object may be shared by many attempts.

    Attributes:
        late: Frames and ends received after the attempt had ended.
        crossed: Frames and heads that belong to another attempt.
        doubled: Frames whose bytes had all been received before.
        gaps: Frames after missing bytes, and ends at a wrong length.
        second_finals: Ends received after the first end.
        diverged: Attempts whose bytes differ from those already delivered.
    """

    late: int = 0
    crossed: int = 0
    doubled: int = 0
    gaps: int = 0
    second_finals: int = 0
    diverged: int = 0


_STREAMING = AttemptState.STREAMING


class AttemptMachine:
    """State of one attempt; every method is O(1).

    Attributes:
        attempt_id: Id of the attempt, echoed by the target.
        target_id: Target that runs it.
        start: Offset, in bytes, of the first requested byte of the answer.
        terminal: Whether the attempt has ended. A plain attribute and not a
            property, since it is read for each buffer.
    """

    __slots__ = (
        "_counters",
        "_fault",
        "_may_have_sent",
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
        """Initializes the attempt in state `QUEUED`.

        Args:
            attempt_id: Id of the attempt, echoed by the target.
            target_id: Target that runs it.
            counters: Counts dropped frames.
            start: Offset, in bytes, of the first requested byte of the answer.
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
        """The current state."""
        return self._state

    @property
    def offset(self) -> int:
        """Offset of the next expected byte, at which a resume starts."""
        return self._offset

    @property
    def fault(self) -> targets.TargetFault | None:
        """The fault that ended the attempt, or None."""
        return self._fault

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is currently known about the run."""
        if not self._may_have_sent or self._state is AttemptState.REFUSED:
            return outcomes.Outcome.NOT_RUN
        if self._state is not AttemptState.DONE:
            return outcomes.Outcome.UNKNOWN
        if self._fault is not None:
            return outcomes.Outcome.FAILED
        return outcomes.Outcome.DONE

    def mark_sending(self) -> None:
        """Records that bytes may be sent; must be called before sending."""
        exceptions.check_invariant(
            self._state is AttemptState.QUEUED,
            "an attempt is sent once",
            self.attempt_id,
        )
        self._may_have_sent = True
        self._state = AttemptState.SENDING

    def mark_sent(self) -> None:
        """Records that the whole call has been sent."""
        if self._state is AttemptState.SENDING:
            self._state = AttemptState.SENT

    def accept(self, attempt_id: identifiers.AttemptId) -> bool:
        """Processes the head of an answer; False if it is not accepted.

        A head that names another attempt is not accepted: the caller then
        closes the connection and reports a `GARBLED` fault.
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
        """Records the receipt of the next `length` bytes, in order.

        Must not be called once the attempt is terminal.
        """
        self._state = _STREAMING
        self._offset += length

    def place_frame(
        self, attempt_id: identifiers.AttemptId, offset: int, length: int
    ) -> int:
        """Returns how many bytes at the front of a frame to skip.

        Does not record the frame: call `advance` for the remaining bytes.

        Args:
            attempt_id: The attempt that the frame names.
            offset: Offset of its first byte in the answer.
            length: Its length in bytes.

        Returns:
            Number of bytes to skip. `length` means that the frame is dropped;
            `GAP` means that bytes are missing and the attempt must be resumed
            at `self.offset` on a new connection.
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
        """Processes the confirmed end of the answer.

        Args:
            total: Length of the answer in bytes, if the target states it.

        Returns:
            True if the answer is complete. False if the attempt had already
            ended, or if the length is wrong; in the latter case the attempt
            stays open.
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
        """Ends the attempt with a fault; has no effect after the end."""
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
        """Ends the attempt because of a cancellation or a deadline."""
        if self.terminal:
            return
        if self._may_have_sent:
            self._end(AttemptState.LOST)
        else:
            self._end(AttemptState.REFUSED)

    def _end(self, state: AttemptState) -> None:
        """Moves to a terminal state."""
        exceptions.check_invariant(
            not self.terminal, "an attempt ends once", self.attempt_id
        )
        self._state = state
        self.terminal = True

    def _check_sent(self) -> None:
        """Checks that the call was sent before its answer."""
        exceptions.check_invariant(
            self._may_have_sent, "no answer without a call", self.attempt_id
        )
