"""State machine of a request across all its attempts.

The caller receives one consistent answer: at any time, bytes are delivered
from a single attempt, and a later attempt continues at the byte where the
earlier one stopped. The later attempt either resumes at that offset or
repeats the answer from its start. The first bytes of a repeated answer are
compared, by hash, with the bytes already delivered.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import attempts

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests

MAX_ATTEMPTS = 16

_SEVERITY = {
    outcomes.Outcome.NOT_RUN: 0,
    outcomes.Outcome.FAILED: 1,
    outcomes.Outcome.UNKNOWN: 2,
    outcomes.Outcome.DONE: 3,
}
"""The outcome of a request is the most severe outcome of its attempts."""


class NextStep(enum.Enum):
    """What can be done after an attempt has ended."""

    RESUME = "resume"
    """Resume the same attempt on the same target, at the current offset."""
    RUN_AGAIN = "run_again"
    """Begin a new attempt, on any target."""
    END = "end"
    """Nothing: the request has ended or must end now."""


@attrs.frozen
class Ending:
    """How a request ended; set once.

    Attributes:
        outcome: What is known about its run.
        refusal: Why there is no complete answer, or None if there is one.
    """

    outcome: outcomes.Outcome
    refusal: outcomes.Refusal | None = None


class RequestLifecycle:
    """Combines a request's attempts into one answer and one ending.

    The owner of a request calls `begin` for each attempt, then `mark_sending`
    on the attempt, `deliver` for each buffer, and `complete` or `fail`. One
    timer for each request calls `expire`. The first of `complete`, `conclude`
    and `expire` that takes effect sets `ending`, which never changes again.
    """

    def __init__(
        self,
        request: requests.Request,
        counters: attempts.FrameCounters,
    ) -> None:
        """Initializes the request without attempts.

        Args:
            request: The request.
            counters: Counts dropped frames; shared by many requests.
        """
        self._request = request
        self._counters = counters
        self._attempts: list[attempts.AttemptMachine] = []
        self._attempt_count = 0
        self._worst_ended_outcome = outcomes.Outcome.NOT_RUN
        self._delivering_attempt: attempts.AttemptMachine | None = None
        self._delivered_bytes = 0
        self._delivered_hash = xxhash.xxh3_128() if request.idempotent else None
        self._repeat_hashes: dict[identifiers.AttemptId, xxhash.xxh3_128] = {}
        self._ending: Ending | None = None

    @property
    def request(self) -> requests.Request:
        """The request."""
        return self._request

    @property
    def ending(self) -> Ending | None:
        """How the request ended, or None while it is open."""
        return self._ending

    @property
    def given(self) -> int:
        """Number of answer bytes delivered to the caller."""
        return self._delivered_bytes

    @property
    def attempt_count(self) -> int:
        """Number of attempts begun so far, resumes included."""
        return self._attempt_count

    @property
    def source(self) -> attempts.AttemptMachine | None:
        """The attempt whose bytes are delivered to the caller.

        Of hedged attempts, this is the first one to deliver new bytes.
        """
        return self._delivering_attempt

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is known about the run, over all attempts."""
        if self._ending is not None:
            return self._ending.outcome
        return self._run_outcome()

    @property
    def may_run_again(self) -> bool:
        """Whether a new attempt is allowed.

        A request that is not idempotent may run again only if all earlier
        attempts have ended and are known not to have run.
        """
        if self._ending is not None or self._attempt_count >= MAX_ATTEMPTS:
            return False
        if self._request.idempotent:
            return True
        return self._run_outcome() is outcomes.Outcome.NOT_RUN and all(
            a.terminal for a in self._attempts
        )

    def time_left(self, now: float) -> float:
        """Returns the seconds until the deadline, at least 0."""
        return max(self._request.deadline - now, 0.0)

    def begin(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
        resume: bool = False,
    ) -> attempts.AttemptMachine:
        """Begins an attempt.

        Args:
            attempt_id: Id of the attempt; a resume uses the id of the attempt
                that it resumes.
            target_id: Target that runs it.
            resume: Whether the target is asked to start at offset `given`; if
                not, the answer starts at its first byte.
        """
        is_allowed_resume = resume and self._may_resume(attempt_id, target_id)
        exceptions.check_invariant(
            is_allowed_resume or self.may_run_again,
            "a request that must not repeat runs once",
            self._request.request_id,
        )
        start = self._delivered_bytes if resume else 0
        attempt = attempts.AttemptMachine(
            attempt_id, target_id, self._counters, start
        )
        self._prune_ended_attempts()
        self._attempts.append(attempt)
        self._attempt_count += 1
        return attempt

    def deliver(
        self, attempt: attempts.AttemptMachine, data: bytes
    ) -> bytes | None:
        """Processes the next bytes of an attempt, in order.

        Returns:
            The bytes to deliver to the caller now, or `b""` for none. None if
            the bytes differ from those delivered before; the attempt has
            then failed.
        """
        if (
            attempt is not self._delivering_attempt
            or attempt.terminal
            or self._ending is not None
        ):
            return self._deliver_from_other_attempt(attempt, data)
        attempt.advance(len(data))
        self._delivered_bytes += len(data)
        if self._delivered_hash is not None:
            self._delivered_hash.update(data)
        return data

    def complete(
        self, attempt: attempts.AttemptMachine, total: int | None = None
    ) -> bool:
        """Processes the confirmed end of an attempt's answer.

        Args:
            attempt: The attempt.
            total: Length of the answer in bytes, if the target states it.

        Returns:
            True if the request is complete. False for a second end, an end at
            a wrong length, and the end of an attempt that another attempt has
            superseded. If the attempt is then not terminal, bytes are missing:
            call `fail` with a `GARBLED` fault and act on its result.
        """
        if self._ending is not None or self._is_superseded(attempt):
            attempt.finish(total)
            return False
        if attempt.offset != self._delivered_bytes:
            self._counters.diverged += 1
            return False
        if not attempt.finish(total):
            return False
        self._delivering_attempt = attempt
        self._end(Ending(outcomes.Outcome.DONE))
        return True

    def fail(
        self, attempt: attempts.AttemptMachine, fault: targets.TargetFault
    ) -> NextStep:
        """Ends an attempt with a fault and returns the possible next step."""
        attempt.fail(fault)
        return self.next_step(attempt)

    def next_step(self, attempt: attempts.AttemptMachine) -> NextStep:
        """Returns what can be done after an attempt has ended.

        Retry budgets are not considered here; the caller applies them.
        """
        if self._ending is not None:
            return NextStep.END
        refused = (
            attempt.fault is not None
            and attempt.fault.kind is targets.FaultKind.REFUSED
        )
        if not refused and self._may_resume(
            attempt.attempt_id, attempt.target_id
        ):
            return NextStep.RESUME
        return NextStep.RUN_AGAIN if self.may_run_again else NextStep.END

    def conclude(
        self,
        reason: outcomes.RefusalReason,
        detail: str,
        retry_after_s: float | None = None,
    ) -> Ending:
        """Ends the request without a complete answer.

        The outcome is derived from the attempts. If the request has already
        ended, the existing ending is returned.
        """
        for attempt in self._attempts:
            attempt.abandon()
        outcome = self._run_outcome()
        return self._end(
            Ending(
                outcome,
                outcomes.Refusal(outcome, reason, detail, retry_after_s),
            )
        )

    def expire(self, now: float) -> bool:
        """Ends the request if its deadline has passed; True if it did so."""
        if self._ending is not None or now < self._request.deadline:
            return False
        self.conclude(
            outcomes.RefusalReason.DEADLINE_EXCEEDED,
            "The request's time is over.",
        )
        return True

    def _deliver_from_other_attempt(
        self, attempt: attempts.AttemptMachine, data: bytes
    ) -> bytes | None:
        """Processes bytes of an attempt that does not deliver to the caller.

        The attempt starts to deliver when it reaches the length that has been
        delivered so far.
        """
        if self._ending is not None or attempt.terminal:
            self._counters.late += 1
            return b""
        if self._is_superseded(attempt):
            self._counters.crossed += 1
            attempt.abandon()
            return b""
        missing = self._delivered_bytes - attempt.offset
        repeated_data, new_data = data[:missing], data[missing:]
        if missing > 0 and not self._matches_delivered(attempt, repeated_data):
            return None
        if len(repeated_data) < missing:
            return b""
        self._delivering_attempt = attempt
        return self.deliver(attempt, new_data) if new_data else b""

    def _matches_delivered(
        self, attempt: attempts.AttemptMachine, repeated_data: bytes
    ) -> bool:
        """Returns whether a repeated answer agrees with the delivered bytes.

        The hashes are compared when the repeat reaches the delivered length.
        An attempt that differs has failed.
        """
        delivered_hash = self._delivered_hash
        repeat_hash = self._repeat_hashes.get(attempt.attempt_id)
        if repeat_hash is None and attempt.offset == 0:
            repeat_hash = xxhash.xxh3_128()
            self._repeat_hashes[attempt.attempt_id] = repeat_hash
        if repeat_hash is not None and delivered_hash is not None:
            attempt.advance(len(repeated_data))
            repeat_hash.update(repeated_data)
            if attempt.offset < self._delivered_bytes:
                return True
            if repeat_hash.digest() == delivered_hash.digest():
                return True
        self._counters.diverged += 1
        attempt.fail(
            targets.TargetFault(
                targets.FaultKind.GARBLED,
                attempt.target_id,
                "A repeated answer differs from the one begun.",
            )
        )
        return False

    def _is_superseded(self, attempt: attempts.AttemptMachine) -> bool:
        """Returns whether another open attempt delivers to the caller."""
        source = self._delivering_attempt
        if source is None or source is attempt:
            return False
        return not source.terminal

    def _may_resume(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
    ) -> bool:
        """Returns whether an attempt can be resumed on its target.

        A resume needs an offset above 0: a target that no longer holds the
        attempt refuses such an offset, but could run a call from offset 0
        again.
        """
        source = self._delivering_attempt
        return (
            self._ending is None
            and self._attempt_count < MAX_ATTEMPTS
            and source is not None
            and self._delivered_bytes > 0
            and source.attempt_id == attempt_id
            and source.target_id == target_id
            and source.state is attempts.AttemptState.LOST
        )

    def _run_outcome(self) -> outcomes.Outcome:
        """Returns the most severe outcome of all attempts.

        A completed attempt in a request that has not completed counts as
        failed.
        """
        attempt_outcomes = [
            self._worst_ended_outcome,
            *(a.outcome for a in self._attempts),
        ]
        worst = max(attempt_outcomes, key=_SEVERITY.__getitem__)
        if worst is outcomes.Outcome.DONE:
            return outcomes.Outcome.FAILED
        return worst

    def _prune_ended_attempts(self) -> None:
        """Removes ended attempts and keeps their most severe outcome."""
        ended = [a for a in self._attempts if a.terminal]
        self._attempts = [a for a in self._attempts if not a.terminal]
        attempt_outcomes = [
            self._worst_ended_outcome,
            *(a.outcome for a in ended),
        ]
        self._worst_ended_outcome = max(
            attempt_outcomes, key=_SEVERITY.__getitem__
        )
        for attempt in ended:
            self._repeat_hashes.pop(attempt.attempt_id, None)

    def _end(self, ending: Ending) -> Ending:
        """Sets the ending if there is none yet; returns the ending."""
        if self._ending is None:
            self._ending = ending
            self._repeat_hashes.clear()
        return self._ending
