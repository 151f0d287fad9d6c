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
from cardamomfork._internal.requests import poison_gate
from cardamomfork._internal.requests import retries

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import attempts
    from cardamomfork._internal.requests import cancellation
    from cardamomfork._internal.requests import delivery
    from cardamomfork._internal.requests import observing
    from cardamomfork._internal.requests import parts_transfer
    from cardamomfork._internal.requests import queueing
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.requests import reservations

MAX_FAILED_RESUMES = 4
FIRST_RESUME_DELAY_S = 0.05
MAX_RESUME_DELAY_S = 1.0
LOST_RETRY_AFTER_S = 1.0
_ONE_TARGET_WAIT_S = 0.05


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
        tries: Attempts begun, resumes not counted.
        retry_share: The service's retry budget.
        reservation: Name of the engine memory held for the last attempt.
        expected_s: Predicted time to the first token of the last attempt.
        assigned_at: When the last attempt was given to its target.
    """

    request: requests.Request
    sink: delivery.CallerSink
    record: records.Record
    life: lifecycle.RequestLifecycle
    outlet: exchanging.Outlet
    answer: exchanging.Answer | None = None
    fault: targets.TargetFault | None = None
    avoid: frozenset[identifiers.TargetId] = frozenset()
    tries: int = 0
    retry_share: float = 0.1
    reservation: str = ""
    expected_s: float = 0.0
    assigned_at: float = 0.0


class Runner:
    """Gets turns, makes attempts, resumes and runs again."""

    def __init__(
        self,
        *,
        dispatch_queue: queueing.DispatchQueue,
        links: LinkFinder,
        exchanger: exchanging.AttemptExchanger,
        canceller: cancellation.Canceller,
        own: reservations.LocalReservations,
        parts: parts_transfer.PartsTransfer,
        gate: poison_gate.PoisonGate,
        retry_policy: retries.RetryPolicy,
        clock: clock_contract.Clock,
        counters: attempts.FrameCounters,
        chance: random.Random,
        observer: observing.RequestObserver,
    ) -> None:
        """Takes its collaborators.

        Args:
            dispatch_queue: The queue.
            links: Links to the targets.
            exchanger: Makes one exchange of one attempt.
            canceller: Cancels what nobody waits for any more.
            own: Reservations of this instance on engines.
            parts: Computes parts of prompts on other engines.
            gate: Keeps requests that crash targets apart.
            retry_policy: Decides whether a failed request runs again.
            clock: The loop's clock.
            counters: Counts dropped frames.
            chance: Source of the jitter between resumes.
            observer: Told first tokens and resumes.
        """
        self._dispatch_queue = dispatch_queue
        self._links = links
        self._exchanger = exchanger
        self._canceller = canceller
        self._own = own
        self._parts = parts
        self._gate = gate
        self._retries = retry_policy
        self._clock = clock
        self._counters = counters
        self._chance = chance
        self._observer = observer

    def start(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
        retry_share: float,
    ) -> Run:
        """Makes the state of a request's run."""
        life = lifecycle.RequestLifecycle(request, self._counters)

        def note_first() -> None:
            self._dispatch_queue.first_token(request.request_id)
            now = self._clock.monotonic()
            self._observer.first_token(
                request, now, run.assigned_at, run.expected_s
            )

        outlet = exchanging.make_outlet(request, sink, life, note_first)
        run = Run(request, sink, record, life, outlet, retry_share=retry_share)
        return run

    async def run(self, run: Run) -> None:
        """Runs a request until its life has an ending."""
        request = run.request
        self._retries.note_first_try(
            request.service, run.retry_share, self._clock.monotonic()
        )
        while run.life.ending is None:
            passed = await self._gate.admit(request)
            if isinstance(passed, result.Err):
                conclude(run, passed.err_value)
                return
            turn = await self._wait_turn(run, passed.ok_value)
            if isinstance(turn, result.Err):
                conclude(run, turn.err_value)
                return
            run.tries += 1
            await self._run_once(run, turn.ok_value)
            self._retries.note_end(request.service, run.life.ending is None)
            if run.life.ending is None:
                await self._decide(run)

    async def _decide(self, run: Run) -> None:
        """Ends a failed request, or waits until it may run again."""
        fault = run.fault
        assert fault is not None  # noqa: S101
        decided = self._retries.decide(
            retries.Failure(
                service=run.request.service,
                kind=fault.kind,
                tries=run.tries,
                may_run_again=run.life.may_run_again and run.life.given == 0,
                time_left_s=run.life.time_left(self._clock.monotonic()),
                expected_s=run.expected_s,
                retry_after_s=fault.retry_after_s,
            )
        )
        if isinstance(decided, result.Err):
            gave_up = decided.err_value
            advice = max(
                gave_up.retry_after_s or LOST_RETRY_AFTER_S,
                self._gate.retry_after_s(run.request),
            )
            detail = f"{gave_up.detail} The last fault: {fault.detail}."
            run.life.conclude(gave_up.reason, detail, advice)
            return
        await anyio.sleep(decided.ok_value.wait_s)

    async def _wait_turn(
        self, run: Run, keep_off: frozenset[identifiers.TargetId]
    ) -> result.Result[dispatching.Assignment, outcomes.Refusal]:
        """Waits for a target; one that failed may serve if no other does."""
        turn = await self._dispatch_queue.wait(
            run.request, run.avoid | keep_off
        )
        if isinstance(turn, result.Ok) or not run.avoid:
            return turn
        if turn.err_value.reason is not outcomes.RefusalReason.NO_TARGET:
            return turn
        run.avoid = frozenset()
        await anyio.sleep(self._chance.uniform(0.0, _ONE_TARGET_WAIT_S))
        return await self._dispatch_queue.wait(run.request, keep_off)

    async def _run_once(
        self, run: Run, assignment: dispatching.Assignment
    ) -> None:
        """Runs a request on one target, resuming what breaks off."""
        request_id = run.request.request_id
        link = self._links.find(assignment.target_id)
        fault: targets.TargetFault | None = None
        run.record.target_id = assignment.target_id
        run.expected_s = assignment.expected_first_token_s
        run.assigned_at = self._clock.monotonic()
        try:
            if link is None:
                fault = _removed(assignment.target_id)
            else:
                fault = await self._guarded(run, link, assignment.hops)
        finally:
            self._dispatch_queue.finished(request_id, run.outlet.tokens, fault)
        if fault is None:
            return
        run.fault = fault
        if fault.kind is not targets.FaultKind.GARBLED:
            run.avoid |= {fault.target_id}

    async def _guarded(
        self,
        run: Run,
        link: target_link.TargetLink,
        hops: Sequence[dispatching.Hop],
    ) -> targets.TargetFault | None:
        """Makes an attempt and tells the gate how it ended."""
        guarded = self._gate.attempt_started(run.request, link)
        ended = False
        try:
            fault = await self._attempt_over(run, link, hops)
            ended = True
        finally:
            if not ended:
                self._gate.attempt_abandoned(guarded)
        self._gate.attempt_ended(guarded, fault)
        return fault

    async def _attempt_over(
        self,
        run: Run,
        link: target_link.TargetLink,
        hops: Sequence[dispatching.Hop],
    ) -> targets.TargetFault | None:
        """Makes an attempt, on top of parts computed on other engines."""
        if not hops:
            return await self._attempt(run, link, ())
        attempt_id = identifiers.new_attempt_id()
        call = self._exchanger.make_call(run, link, attempt_id)
        async with self._parts.held(call, hops) as parts:
            if isinstance(parts, result.Err):
                return parts.err_value
            return await self._attempt(run, link, parts.ok_value)

    async def _attempt(
        self,
        run: Run,
        link: target_link.TargetLink,
        parts: Sequence[parts_transfer.Held],
    ) -> targets.TargetFault | None:
        """Makes an attempt and its resumes; cancels what stays open."""
        attempt_id = identifiers.new_attempt_id()
        attempt = run.life.begin(attempt_id, link.target.target_id)
        if link.target.kind is targets.TargetKind.ENGINE:
            run.reservation = self._own.open(attempt_id, link.target.target_id)
        failed_resumes = 0
        try:
            fault = await self._parts.import_all(link, run.reservation, parts)
            if fault is not None:
                run.life.fail(attempt, fault)
                return fault
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
                self._observer.resumed()
                attempt = run.life.begin(
                    attempt_id, link.target.target_id, resume=True
                )
        finally:
            attempt.abandon()
            self._free_memory(run, link, attempt, bool(parts))

    async def _wait_before_resume(self, failed: int) -> None:
        """Waits a little; longer after each resume that brought nothing."""
        longest = min(MAX_RESUME_DELAY_S, FIRST_RESUME_DELAY_S * 2**failed)
        await anyio.sleep(self._chance.uniform(0.0, longest))

    def _free_memory(
        self,
        run: Run,
        link: target_link.TargetLink,
        attempt: attempts.AttemptMachine,
        has_imports: bool,
    ) -> None:
        """Frees what an engine may still hold for an attempt.

        An engine frees what it computed itself once an answer is whole; what
        it imported stays until its reservation is released.
        """
        if link.target.kind is not targets.TargetKind.ENGINE:
            return
        unknown = outcomes.Outcome.UNKNOWN in (
            run.life.outcome,
            attempt.outcome,
        )
        if unknown:
            self._canceller.add(link, attempt.attempt_id)
        if unknown or has_imports:
            self._own.begin_release(run.reservation, self._clock.monotonic())
        else:
            self._own.close(run.reservation)
        run.reservation = ""


def conclude(run: Run, refusal: outcomes.Refusal) -> None:
    """Ends a run that no target takes; the last fault says more."""
    detail = refusal.detail
    if run.fault is not None:
        detail = f"{detail} The last fault: {run.fault.detail}."
    advice = refusal.retry_after_s
    if advice is None and run.fault is not None:
        advice = run.fault.retry_after_s or LOST_RETRY_AFTER_S
    run.life.conclude(refusal.reason, detail, advice)


def _removed(target_id: identifiers.TargetId) -> targets.TargetFault:
    """Makes the fault of a target that is no longer configured."""
    return targets.TargetFault(
        targets.FaultKind.UNREACHABLE, target_id, "the target was removed"
    )
