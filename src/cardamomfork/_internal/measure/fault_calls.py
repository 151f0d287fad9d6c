"""Serves a call at an instance of the fault runs, from claim to settlement."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import lifecycle
from cardamomfork._internal.requests import retries

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.measure import fault_instances
    from cardamomfork._internal.models import requests

SETTLE_TIMEOUT_S = 0.5
RETRY_FRACTION = 0.5
EXPECTED_ATTEMPT_S = 0.8


@attrs.frozen
class Answer:
    """Answer that a caller receives.

    Attributes:
        outcome: Outcome reported to the caller.
        body: Bytes delivered to the caller.
        attempts: Attempts made for this call.
    """

    outcome: outcomes.Outcome
    body: bytes = b""
    attempts: tuple[identifiers.AttemptId, ...] = ()


class CallServer:
    """Serves calls with the components of one instance."""

    def __init__(
        self, instance: fault_instances.FaultInstance, rng: random.Random
    ) -> None:
        """Initializes the server.

        Args:
            instance: Instance whose ledger, reservations and links are used.
            rng: Random generator for the choice of engines and retry delays.
        """
        self._instance = instance
        self._rng = rng
        self._retries = retries.RetryPolicy(rng)
        self._counters = attempts.FrameCounters()
        self._attempt_numbers = itertools.count()

    async def serve(self, request: requests.Request) -> Answer:
        """Claims a call, runs it and settles the claim.

        An idempotent call runs without a claim.
        """
        request_run = lifecycle.RequestLifecycle(request, self._counters)
        claim: claiming.Claim | None = None
        if not request.idempotent:
            claimed = await self._instance.ledger.claim(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                request_run.time_left(anyio.current_time()),
            )
            if isinstance(claimed, result.Err):
                return Answer(claimed.err_value.outcome)
            if isinstance(claimed.ok_value, claiming.StoredOutcome):
                stored = claimed.ok_value
                return Answer(stored.outcome, stored.answer)
            claim = claimed.ok_value
        delivered = bytearray()
        attempt_ids: list[identifiers.AttemptId] = []
        with anyio.move_on_at(request.deadline):
            await self._run_attempts(request_run, delivered, attempt_ids)
        request_run.expire(anyio.current_time())
        ending = request_run.ending or request_run.conclude(
            outcomes.RefusalReason.INTERNAL, "The run stopped."
        )
        if claim is not None:
            complete_body = bytes(delivered) if ending.refusal is None else b""
            settled = claiming.StoredOutcome(
                ending.outcome, 200, complete_body, True
            )
            await self._instance.ledger.settle(claim, settled, SETTLE_TIMEOUT_S)
        return Answer(ending.outcome, bytes(delivered), tuple(attempt_ids))

    async def _run_attempts(
        self,
        request_run: lifecycle.RequestLifecycle,
        delivered: bytearray,
        attempt_ids: list[identifiers.AttemptId],
    ) -> None:
        """Makes attempts until the request ends."""
        service = request_run.request.service
        now = anyio.current_time()
        self._retries.note_first_try(service, RETRY_FRACTION, now)
        step = lifecycle.NextStep.RUN_AGAIN
        while True:
            if step is lifecycle.NextStep.RUN_AGAIN:
                target = self._rng.choice(self._instance.local_engines())
                attempt_ids.append(self._new_attempt_id())
            resume = step is lifecycle.NextStep.RESUME
            attempt = request_run.begin(attempt_ids[-1], target, resume)
            reservation = self._instance.local_reservations.open(
                attempt_ids[-1], target
            )
            try:
                fault = await self._attempt(
                    request_run, attempt, reservation, delivered
                )
                if fault is not None:
                    step = request_run.next_step(attempt)
            finally:
                if (
                    request_run.ending is not None
                    or not self._keeps_reservation(step, attempt)
                ):
                    self._release(attempt, reservation)
            self._retries.note_end(service, fault is not None)
            if fault is None or not await self._wait_before_retry(
                request_run, fault, step
            ):
                self._release(attempt, reservation)
                return

    def _keeps_reservation(
        self, step: lifecycle.NextStep, attempt: attempts.AttemptMachine
    ) -> bool:
        """Returns whether a resume needs the attempt's reservation."""
        return step is lifecycle.NextStep.RESUME and attempt.terminal

    def _release(
        self, attempt: attempts.AttemptMachine, reservation: str
    ) -> None:
        """Releases an attempt's reservation."""
        if attempt.state is attempts.AttemptState.DONE:
            self._instance.local_reservations.close(reservation)
        else:
            self._instance.local_reservations.begin_release(
                reservation, anyio.current_time()
            )

    async def _attempt(
        self,
        request_run: lifecycle.RequestLifecycle,
        attempt: attempts.AttemptMachine,
        reservation: str,
        delivered: bytearray,
    ) -> targets.TargetFault | None:
        """Makes one attempt; returns the fault that ended it, or None."""
        call = target_link.TargetCall(
            attempt.attempt_id,
            "/",
            request_run.request.body,
            3,
            request_run.time_left(anyio.current_time()),
            attempt.start,
            reservation,
        )
        attempt.mark_sending()
        call_result = await self._instance.link(attempt.target_id).call(call)
        if isinstance(call_result, result.Err):
            request_run.fail(attempt, call_result.err_value)
            return call_result.err_value
        attempt.accept(attempt.attempt_id)
        while True:
            received = await call_result.ok_value.receive()
            if isinstance(received, result.Err):
                request_run.fail(attempt, received.err_value)
                return received.err_value
            data = received.ok_value
            if not data:
                request_run.complete(attempt)
                return None
            delivered += request_run.deliver(attempt, data) or b""

    async def _wait_before_retry(
        self,
        request_run: lifecycle.RequestLifecycle,
        fault: targets.TargetFault,
        step: lifecycle.NextStep,
    ) -> bool:
        """Waits before the next attempt; returns False if there is none."""
        decision = self._retries.decide(
            retries.Failure(
                request_run.request.service,
                fault.kind,
                request_run.attempt_count,
                step is not lifecycle.NextStep.END,
                request_run.time_left(anyio.current_time()),
                EXPECTED_ATTEMPT_S,
            )
        )
        if isinstance(decision, result.Err):
            given_up = decision.err_value
            request_run.conclude(given_up.reason, given_up.detail)
            return False
        await anyio.sleep(decision.ok_value.wait_s)
        return True

    def _new_attempt_id(self) -> identifiers.AttemptId:
        """Returns a unique attempt id."""
        instance = self._instance
        return identifiers.AttemptId(
            f"{instance.instance_id}-{instance.boot_id}"
            f"-{next(self._attempt_numbers)}"
        )
