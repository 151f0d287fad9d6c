"""A whole request over its attempts, up to its one end.

The caller sees one answer: bytes given out come from one attempt at a time,
and a later attempt goes on exactly where the earlier one stopped. It either
resumes at that offset or repeats the answer from the start, in which case its
first bytes are compared (by hash) with those given out.
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
"""A request is what its least harmless attempt is."""


class NextStep(enum.Enum):
    """What an ended attempt leaves open."""

    RESUME = "resume"
    """Ask the same target for the rest of the same attempt, by offset."""
    RUN_AGAIN = "run_again"
    """Run it on any target, by a new attempt."""
    END = "end"
    """Nothing; the request has ended or must end now."""


@attrs.frozen
class Ending:
    """The one end of a request.

    Attributes:
        outcome: What is known of its run.
        refusal: Why there is no whole answer; None if there is one.
    """

    outcome: outcomes.Outcome
    refusal: outcomes.Refusal | None = None


class RequestLifecycle:
    """What a request's attempts add up to.

    The service that owns a request calls `begin` for each attempt, then
    `mark_sending` on it, `deliver` for each buffer, and `complete` or `fail`.
    One timer a request calls `expire`. The first of `complete`, `refuse`,
    `conclude` and `expire` that takes effect is the end; `ending` holds it.
    """

    def __init__(
        self,
        request: requests.Request,
        counters: attempts.FrameCounters,
    ) -> None:
        """Starts without an attempt.

        Args:
            request: The request.
            counters: Counts what is dropped; shared by many requests.
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
        """How it ended, or None while it runs."""
        return self._ending

    @property
    def given(self) -> int:
        """Bytes of the answer given to the caller."""
        return self._delivered_bytes

    @property
    def attempt_count(self) -> int:
        """Attempts begun so far."""
        return self._attempt_count

    @property
    def source(self) -> attempts.AttemptMachine | None:
        """The attempt whose bytes go to the caller; a hedge's winner."""
        return self._delivering_attempt

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is known of its run over all attempts."""
        if self._ending is not None:
            return self._ending.outcome
        return self._run_outcome()

    @property
    def may_run_again(self) -> bool:
        """Whether one more attempt can't run it twice where that is barred."""
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
            attempt_id: Its name; for a resume on the same target, the name
                that the target knows.
            target_id: Where it runs.
            resume: Whether the target is asked to start at `given`; else the
                answer comes from its first byte.
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
        """Takes the next bytes of an attempt, in order.

        Returns:
            What to give to the caller now; `b""` for nothing; None if the
            bytes contradict those given before. The attempt is lost then.
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
        """Takes an attempt's proved end; True if it ends the request.

        False for a second end, an end with a wrong count, and that of an
        attempt that another has overtaken. After False, an attempt that is
        not terminal has a gap: `fail` it as `GARBLED` and see its answer.
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
        """Takes an attempt's fault and says what it leaves open."""
        attempt.fail(fault)
        return self.next_step(attempt)

    def next_step(self, attempt: attempts.AttemptMachine) -> NextStep:
        """Says what an ended attempt leaves open; budgets come on top."""
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
        """Ends it without a whole answer; the outcome is derived."""
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
        """Ends it if its deadline is over; the one timer calls this."""
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
        """Takes bytes of an attempt that does not feed the caller yet."""
        if self._ending is not None or attempt.terminal:
            self._counters.late += 1
            return b""
        if self._is_superseded(attempt):
            self._counters.crossed += 1
            attempt.abandon()
            return b""
        missing = self._delivered_bytes - attempt.offset
        repeated, new_data = data[:missing], data[missing:]
        if missing > 0 and not self._matches_delivered(attempt, repeated):
            return None
        if len(repeated) < missing:
            return b""
        self._delivering_attempt = attempt
        return self.deliver(attempt, new_data) if new_data else b""

    def _matches_delivered(
        self, attempt: attempts.AttemptMachine, repeated: bytes
    ) -> bool:
        """Compares a repeated answer's first bytes with those given out."""
        delivered_hash = self._delivered_hash
        repeat_hash = self._repeat_hashes.get(attempt.attempt_id)
        if repeat_hash is None and attempt.offset == 0:
            repeat_hash = xxhash.xxh3_128()
            self._repeat_hashes[attempt.attempt_id] = repeat_hash
        if repeat_hash is not None and delivered_hash is not None:
            attempt.advance(len(repeated))
            repeat_hash.update(repeated)
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
        """Whether another open attempt feeds the caller."""
        source = self._delivering_attempt
        if source is None or source is attempt:
            return False
        return not source.terminal

    def _may_resume(
        self,
        attempt_id: identifiers.AttemptId,
        target_id: identifiers.TargetId,
    ) -> bool:
        """Whether the same run can be asked for its rest.

        Only past the first byte: a target that no longer holds the attempt
        refuses an offset, while a call from 0 might run it again.
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
        """Joins the outcomes of all attempts."""
        attempt_outcomes = [
            self._worst_ended_outcome,
            *(a.outcome for a in self._attempts),
        ]
        worst = max(attempt_outcomes, key=_SEVERITY.__getitem__)
        if worst is outcomes.Outcome.DONE:
            return outcomes.Outcome.FAILED
        return worst

    def _prune_ended_attempts(self) -> None:
        """Folds ended attempts into one outcome."""
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
        """Keeps the first end; later ones change nothing."""
        if self._ending is None:
            self._ending = ending
            self._repeat_hashes.clear()
        return self._ending
