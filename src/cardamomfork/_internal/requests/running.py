"""Runs an admitted request: dispatch, attempts, resumes and retries."""

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
BASE_RESUME_DELAY_S = 0.05
MAX_RESUME_DELAY_S = 1.0
DEFAULT_RETRY_AFTER_S = 1.0
_MAX_SAME_TARGET_DELAY_S = 0.05


class LinkFinder(Protocol):
    """Finds the links to targets."""

    def find(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target, or None if it was removed."""
        ...


@attrs.define
class Run:
    """State that the attempts of a request share.

    Attributes:
        request: The request.
        sink: Delivers the answer to the caller.
        record: Progress of the request, as reported to its caller.
        request_lifecycle: State machine over all attempts.
        answer_writer: Receives the bytes of the attempts' answers.
        answer: The complete answer, once there is one.
        fault: The most recent fault of an attempt.
        excluded_targets: Targets on which the request has failed.
        tries: Number of attempts begun, resumes excluded.
        retry_budget: Retry budget of the service.
        reservation: Name of the engine memory reservation of the current
            attempt, or empty.
        expected_first_token_s: Time to first token, in seconds, predicted
            when the last attempt was assigned.
        assigned_at: Monotonic time at which the last attempt was assigned.
    """

    request: requests.Request
    sink: delivery.CallerSink
    record: records.Record
    request_lifecycle: lifecycle.RequestLifecycle
    answer_writer: exchanging.AnswerWriter
    answer: exchanging.Answer | None = None
    fault: targets.TargetFault | None = None
    excluded_targets: frozenset[identifiers.TargetId] = frozenset()
    tries: int = 0
    retry_budget: float = 0.1
    reservation: str = ""
    expected_first_token_s: float = 0.0
    assigned_at: float = 0.0


class Runner:
    """Waits for targets, runs attempts, and resumes or retries them."""

    def __init__(
        self,
        *,
        dispatch_queue: queueing.DispatchQueue,
        links: LinkFinder,
        exchanger: exchanging.AttemptExchanger,
        canceller: cancellation.Canceller,
        local_reservations: reservations.LocalReservations,
        parts: parts_transfer.PartsTransfer,
        gate: poison_gate.PoisonGate,
        retry_policy: retries.RetryPolicy,
        clock: clock_contract.Clock,
        counters: attempts.FrameCounters,
        rng: random.Random,
        observer: observing.RequestObserver,
    ) -> None:
        """Initializes the runner.

        Args:
            dispatch_queue: Queue in which requests wait for a target.
            links: Links to the targets.
            exchanger: Sends an attempt's call and relays its answer.
            canceller: Cancels attempts whose result is no longer needed.
            local_reservations: Engine memory reservations of this instance.
            parts: Computes parts of prompts on other engines.
            gate: Isolates requests that may crash targets.
            retry_policy: Decides whether a failed request runs again.
            clock: Event loop clock.
            counters: Counts dropped frames.
            rng: Random generator for the jitter of resumes and retries.
            observer: Notified of first tokens and resumes.
        """
        self._dispatch_queue = dispatch_queue
        self._links = links
        self._exchanger = exchanger
        self._canceller = canceller
        self._local_reservations = local_reservations
        self._parts_transfer = parts
        self._gate = gate
        self._retries = retry_policy
        self._clock = clock
        self._counters = counters
        self._rng = rng
        self._observer = observer

    def start(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
        retry_budget: float,
    ) -> Run:
        """Creates the state of a request's run."""
        request_lifecycle = lifecycle.RequestLifecycle(request, self._counters)

        def on_first_bytes() -> None:
            self._dispatch_queue.first_token(request.request_id)
            now = self._clock.monotonic()
            self._observer.first_token(
                request, now, run.assigned_at, run.expected_first_token_s
            )

        answer_writer = exchanging.make_answer_writer(
            request, sink, request_lifecycle, on_first_bytes
        )
        run = Run(
            request,
            sink,
            record,
            request_lifecycle,
            answer_writer,
            retry_budget=retry_budget,
        )
        return run

    async def run(self, run: Run) -> None:
        """Runs a request until its lifecycle has an ending."""
        request = run.request
        self._retries.note_first_try(
            request.service, run.retry_budget, self._clock.monotonic()
        )
        while run.request_lifecycle.ending is None:
            admitted = await self._gate.admit(request)
            if isinstance(admitted, result.Err):
                conclude(run, admitted.err_value)
                return
            assigned = await self._wait_for_assignment(run, admitted.ok_value)
            if isinstance(assigned, result.Err):
                conclude(run, assigned.err_value)
                return
            run.tries += 1
            await self._run_once(run, assigned.ok_value)
            self._retries.note_end(
                request.service, run.request_lifecycle.ending is None
            )
            if run.request_lifecycle.ending is None:
                await self._end_or_wait_to_retry(run)

    async def _end_or_wait_to_retry(self, run: Run) -> None:
        """Ends a failed request, or waits for the delay before its retry."""
        fault = run.fault
        assert fault is not None  # noqa: S101
        decision = self._retries.decide(
            retries.Failure(
                service=run.request.service,
                kind=fault.kind,
                tries=run.tries,
                may_run_again=run.request_lifecycle.may_run_again
                and run.request_lifecycle.given == 0,
                time_left_s=run.request_lifecycle.time_left(
                    self._clock.monotonic()
                ),
                expected_s=run.expected_first_token_s,
                retry_after_s=fault.retry_after_s,
            )
        )
        if isinstance(decision, result.Err):
            give_up = decision.err_value
            retry_after_s = max(
                give_up.retry_after_s or DEFAULT_RETRY_AFTER_S,
                self._gate.retry_after_s(run.request),
            )
            detail = f"{give_up.detail} The last fault: {fault.detail}."
            run.request_lifecycle.conclude(
                give_up.reason, detail, retry_after_s
            )
            return
        await anyio.sleep(decision.ok_value.wait_s)

    async def _wait_for_assignment(
        self, run: Run, excluded_by_gate: frozenset[identifiers.TargetId]
    ) -> result.Result[dispatching.Assignment, outcomes.Refusal]:
        """Waits until the request is assigned to a target.

        If all targets without an earlier failure are unavailable, the failed
        ones are allowed again after a short random delay.
        """
        assigned = await self._dispatch_queue.wait(
            run.request, run.excluded_targets | excluded_by_gate
        )
        if isinstance(assigned, result.Ok) or not run.excluded_targets:
            return assigned
        if assigned.err_value.reason is not outcomes.RefusalReason.NO_TARGET:
            return assigned
        run.excluded_targets = frozenset()
        await anyio.sleep(self._rng.uniform(0.0, _MAX_SAME_TARGET_DELAY_S))
        return await self._dispatch_queue.wait(run.request, excluded_by_gate)

    async def _run_once(
        self, run: Run, assignment: dispatching.Assignment
    ) -> None:
        """Runs a request on its assigned target; records the fault, if any."""
        request_id = run.request.request_id
        link = self._links.find(assignment.target_id)
        fault: targets.TargetFault | None = None
        run.record.target_id = assignment.target_id
        run.expected_first_token_s = assignment.expected_first_token_s
        run.assigned_at = self._clock.monotonic()
        try:
            if link is None:
                fault = _target_removed(assignment.target_id)
            else:
                fault = await self._attempt_through_gate(
                    run, link, assignment.hops
                )
        finally:
            self._dispatch_queue.finished(
                request_id, run.answer_writer.tokens, fault
            )
        if fault is None:
            return
        run.fault = fault
        if fault.kind is not targets.FaultKind.GARBLED:
            run.excluded_targets |= {fault.target_id}

    async def _attempt_through_gate(
        self,
        run: Run,
        link: target_link.TargetLink,
        hops: Sequence[dispatching.PromptPart],
    ) -> targets.TargetFault | None:
        """Runs an attempt and reports its start and end to the poison gate."""
        guarded = self._gate.attempt_started(run.request, link)
        ended = False
        try:
            fault = await self._attempt_with_parts(run, link, hops)
            ended = True
        finally:
            if not ended:
                self._gate.attempt_abandoned(guarded)
        self._gate.attempt_ended(guarded, fault)
        return fault

    async def _attempt_with_parts(
        self,
        run: Run,
        link: target_link.TargetLink,
        hops: Sequence[dispatching.PromptPart],
    ) -> targets.TargetFault | None:
        """Runs an attempt after other engines have computed earlier parts."""
        if not hops:
            return await self._run_attempt(run, link, ())
        attempt_id = identifiers.new_attempt_id()
        call = self._exchanger.make_call(run, link, attempt_id)
        async with self._parts_transfer.hold_parts(call, hops) as parts:
            if isinstance(parts, result.Err):
                return parts.err_value
            return await self._run_attempt(run, link, parts.ok_value)

    async def _run_attempt(
        self,
        run: Run,
        link: target_link.TargetLink,
        parts: Sequence[parts_transfer.ExportedPart],
    ) -> targets.TargetFault | None:
        """Runs an attempt and its resumes, then releases its engine memory."""
        attempt_id = identifiers.new_attempt_id()
        attempt = run.request_lifecycle.begin(attempt_id, link.target.target_id)
        if link.target.kind is targets.TargetKind.ENGINE:
            run.reservation = self._local_reservations.open(
                attempt_id, link.target.target_id
            )
        failed_resumes = 0
        try:
            fault = await self._parts_transfer.import_all(
                link, run.reservation, parts
            )
            if fault is not None:
                run.request_lifecycle.fail(attempt, fault)
                return fault
            while True:
                delivered_before = run.request_lifecycle.given
                fault = await self._exchanger.exchange(run, link, attempt)
                if fault is None:
                    return None
                next_step = run.request_lifecycle.fail(attempt, fault)
                if run.request_lifecycle.given > delivered_before:
                    failed_resumes = 0
                failed_resumes += 1
                if (
                    next_step is not lifecycle.NextStep.RESUME
                    or failed_resumes > MAX_FAILED_RESUMES
                ):
                    return fault
                await self._wait_before_resume(failed_resumes)
                self._observer.resumed()
                attempt = run.request_lifecycle.begin(
                    attempt_id, link.target.target_id, resume=True
                )
        finally:
            attempt.abandon()
            self._release_memory(run, link, attempt, bool(parts))

    async def _wait_before_resume(self, failed: int) -> None:
        """Waits with exponential backoff and jitter before a resume.

        Args:
            failed: Number of failures since bytes were last delivered.
        """
        max_delay_s = min(MAX_RESUME_DELAY_S, BASE_RESUME_DELAY_S * 2**failed)
        await anyio.sleep(self._rng.uniform(0.0, max_delay_s))

    def _release_memory(
        self,
        run: Run,
        link: target_link.TargetLink,
        attempt: attempts.AttemptMachine,
        has_imports: bool,
    ) -> None:
        """Releases the memory that an engine may still hold for an attempt.

        After a complete answer, an engine frees the KV cache that it computed
        itself. Imported KV cache stays until its reservation is released.
        """
        if link.target.kind is not targets.TargetKind.ENGINE:
            return
        unknown = outcomes.Outcome.UNKNOWN in (
            run.request_lifecycle.outcome,
            attempt.outcome,
        )
        if unknown:
            self._canceller.add(link, attempt.attempt_id)
        if unknown or has_imports:
            self._local_reservations.begin_release(
                run.reservation, self._clock.monotonic()
            )
        else:
            self._local_reservations.close(run.reservation)
        run.reservation = ""


def conclude(run: Run, refusal: outcomes.Refusal) -> None:
    """Ends a refused run; adds the last fault to the refusal's detail."""
    detail = refusal.detail
    if run.fault is not None:
        detail = f"{detail} The last fault: {run.fault.detail}."
    retry_after_s = refusal.retry_after_s
    if retry_after_s is None and run.fault is not None:
        retry_after_s = run.fault.retry_after_s or DEFAULT_RETRY_AFTER_S
    run.request_lifecycle.conclude(refusal.reason, detail, retry_after_s)


def _target_removed(target_id: identifiers.TargetId) -> targets.TargetFault:
    """Returns the fault for a target that was removed."""
    return targets.TargetFault(
        targets.FaultKind.UNREACHABLE, target_id, "the target was removed"
    )
