"""Runs a queued request on its targets until it has an end."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import exchanging
from cardamomfork._internal.requests import lifecycle

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import attempts
    from cardamomfork._internal.requests import cancellation
    from cardamomfork._internal.requests import delivery
    from cardamomfork._internal.requests import queueing
    from cardamomfork._internal.requests import records

MAX_RUNS = 3
MAX_FAILED_RESUMES = 4
FIRST_RESUME_DELAY_S = 0.05
MAX_RESUME_DELAY_S = 1.0
LOST_RETRY_AFTER_S = 1.0

_REASON_OF_FAULT = {
    targets.FaultKind.UNREACHABLE: outcomes.RefusalReason.NO_TARGET,
    targets.FaultKind.REFUSED: outcomes.RefusalReason.TARGET_REFUSED,
    targets.FaultKind.REJECTED: outcomes.RefusalReason.TARGET_REFUSED,
}


class LinkFinder(Protocol):
    """Knows the links to the targets."""

    def find(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target, or None if it is gone."""
        ...


@attrs.define
class Run:
    """What a request's attempts share.

    Attributes:
        request: The request.
        sink: The caller's side.
        record: What others are told of it.
        life: What its attempts add up to.
        outlet: Where the answer's bytes go.
        answer: The whole answer, once there is one.
        fault: The fault of the last attempt that had one.
        avoid: Targets that it must not go to again.
    """

    request: requests.Request
    sink: delivery.CallerSink
    record: records.Record
    life: lifecycle.RequestLifecycle
    outlet: exchanging.Outlet
    answer: exchanging.Answer | None = None
    fault: targets.TargetFault | None = None
    avoid: frozenset[identifiers.TargetId] = frozenset()


class Runner:
    """Gets turns, makes attempts, resumes and runs again."""

    def __init__(
        self,
        *,
        waiting_room: queueing.WaitingRoom,
        links: LinkFinder,
        exchanger: exchanging.AttemptExchanger,
        canceller: cancellation.Canceller,
        counters: attempts.FrameCounters,
        chance: random.Random,
    ) -> None:
        """Takes its collaborators.

        Args:
            waiting_room: The queue.
            links: Links to the targets.
            exchanger: Makes one exchange of one attempt.
            canceller: Cancels what nobody waits for any more.
            counters: Counts dropped frames.
            chance: Source of the jitter between resumes.
        """
        self._waiting_room = waiting_room
        self._links = links
        self._exchanger = exchanger
        self._canceller = canceller
        self._counters = counters
        self._chance = chance

    def start(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> Run:
        """Makes the state of a request's run."""
        life = lifecycle.RequestLifecycle(request, self._counters)

        def note_first() -> None:
            self._waiting_room.first_token(request.request_id)

        outlet = exchanging.make_outlet(request, sink, life, note_first)
        return Run(request, sink, record, life, outlet)

    async def run(self, run: Run) -> None:
        """Runs a request until its life has an ending."""
        for _ in range(MAX_RUNS):
            turn = await self._wait_turn(run)
            if isinstance(turn, result.Err):
                self._end_without_turn(run, turn.err_value)
                return
            await self._run_once(run, turn.ok_value)
            if run.life.ending is not None or not self._may_run_again(run):
                break
        if run.life.ending is None:
            conclude(run)

    async def _wait_turn(
        self, run: Run
    ) -> result.Result[dispatching.Assignment, outcomes.Refusal]:
        """Waits for a target; one that failed may serve if no other does."""
        turn = await self._waiting_room.wait(run.request, run.avoid)
        if isinstance(turn, result.Ok) or not run.avoid:
            return turn
        if turn.err_value.reason is not outcomes.RefusalReason.NO_TARGET:
            return turn
        run.avoid = frozenset()
        await anyio.sleep(self._chance.uniform(0.0, FIRST_RESUME_DELAY_S))
        return await self._waiting_room.wait(run.request)

    def _may_run_again(self, run: Run) -> bool:
        """Tells whether another run can still give one whole answer."""
        return run.life.may_run_again and run.life.given == 0

    def _end_without_turn(self, run: Run, refusal: outcomes.Refusal) -> None:
        """Ends a request that no further target takes."""
        if run.fault is not None:
            conclude(run)
            return
        run.life.conclude(refusal.reason, refusal.detail, refusal.retry_after_s)

    async def _run_once(
        self, run: Run, assignment: dispatching.Assignment
    ) -> None:
        """Runs a request on one target, resuming what breaks off."""
        request_id = run.request.request_id
        link = self._links.find(assignment.target_id)
        fault: targets.TargetFault | None = None
        run.record.target_id = assignment.target_id
        try:
            if link is None:
                fault = _removed(assignment.target_id)
            else:
                fault = await self._attempt(run, link)
        finally:
            self._waiting_room.finished(request_id, run.outlet.tokens, fault)
        if fault is None:
            return
        run.fault = fault
        if fault.kind is not targets.FaultKind.GARBLED:
            run.avoid |= {assignment.target_id}

    async def _attempt(
        self, run: Run, link: target_link.TargetLink
    ) -> targets.TargetFault | None:
        """Makes an attempt and its resumes; cancels what stays open."""
        attempt_id = identifiers.new_attempt_id()
        attempt = run.life.begin(attempt_id, link.target.target_id)
        failed_resumes = 0
        try:
            while True:
                given = run.life.given
                fault = await self._exchanger.exchange(run, link, attempt)
                if fault is None:
                    return None
                step = run.life.fail(attempt, fault)
                if run.life.given > given:
                    failed_resumes = 0
                failed_resumes += 1
                if (
                    step is not lifecycle.NextStep.RESUME
                    or failed_resumes > MAX_FAILED_RESUMES
                ):
                    return fault
                await self._wait_before_resume(failed_resumes)
                attempt = run.life.begin(
                    attempt_id, link.target.target_id, resume=True
                )
        finally:
            attempt.abandon()
            self._cancel_unless_ended(run, link, attempt)

    async def _wait_before_resume(self, failed: int) -> None:
        """Waits a little; longer after each resume that brought nothing."""
        longest = min(MAX_RESUME_DELAY_S, FIRST_RESUME_DELAY_S * 2**failed)
        await anyio.sleep(self._chance.uniform(0.0, longest))

    def _cancel_unless_ended(
        self,
        run: Run,
        link: target_link.TargetLink,
        attempt: attempts.AttemptMachine,
    ) -> None:
        """Frees what an engine may still hold for an attempt."""
        if link.target.kind is not targets.TargetKind.ENGINE:
            return
        unknown = run.life.outcome is outcomes.Outcome.UNKNOWN
        if unknown or attempt.outcome is outcomes.Outcome.UNKNOWN:
            self._canceller.add(link, attempt.attempt_id)


def conclude(run: Run) -> None:
    """Ends a run whose last attempt had a fault."""
    fault = run.fault
    if fault is None:
        run.life.conclude(
            outcomes.RefusalReason.NO_TARGET, "No target took the request."
        )
        return
    run.life.conclude(
        _REASON_OF_FAULT.get(fault.kind, outcomes.RefusalReason.TARGET_LOST),
        f"The target failed: {fault.detail}.",
        fault.retry_after_s or LOST_RETRY_AFTER_S,
    )


def _removed(target_id: identifiers.TargetId) -> targets.TargetFault:
    """Makes the fault of a target that is no longer configured."""
    return targets.TargetFault(
        targets.FaultKind.UNREACHABLE, target_id, "the target was removed"
    )
