"""How an instance of the fault runs serves a call, from claim to end."""

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

SETTLE_S = 0.5
RETRY_SHARE = 0.5
EXPECTED_S = 0.8


@attrs.frozen
class Answer:
    """What a caller got.

    Attributes:
        outcome: What it was told.
        body: Bytes that it was given.
        attempts: Attempts made for this call.
    """

    outcome: outcomes.Outcome
    body: bytes = b""
    attempts: tuple[identifiers.AttemptId, ...] = ()


class CallServer:
    """Serves calls with the parts of one instance."""

    def __init__(
        self, instance: fault_instances.FaultInstance, rng: random.Random
    ) -> None:
        """Starts without calls.

        Args:
            instance: Whose ledger, reservations and links are used.
            rng: Chooses engines and the pauses between tries.
        """
        self._instance = instance
        self._rng = rng
        self._retries = retries.RetryPolicy(rng)
        self._counters = attempts.FrameCounters()
        self._names = itertools.count()

    async def serve(self, request: requests.Request) -> Answer:
        """Claims, runs and settles."""
        life = lifecycle.RequestLifecycle(request, self._counters)
        claim: claiming.Claim | None = None
        if not request.idempotent:
            claimed = await self._instance.ledger.claim(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                life.time_left(anyio.current_time()),
            )
            if isinstance(claimed, result.Err):
                return Answer(claimed.err_value.outcome)
            if isinstance(claimed.ok_value, claiming.StoredOutcome):
                stored = claimed.ok_value
                return Answer(stored.outcome, stored.answer)
            claim = claimed.ok_value
        body = bytearray()
        names: list[identifiers.AttemptId] = []
        with anyio.move_on_at(request.deadline):
            await self._run(life, body, names)
        life.expire(anyio.current_time())
        ending = life.ending or life.conclude(
            outcomes.RefusalReason.INTERNAL, "The run stopped."
        )
        if claim is not None:
            whole = bytes(body) if ending.refusal is None else b""
            settled = claiming.StoredOutcome(ending.outcome, 200, whole, True)
            await self._instance.ledger.settle(claim, settled, SETTLE_S)
        return Answer(ending.outcome, bytes(body), tuple(names))

    async def _run(
        self,
        life: lifecycle.RequestLifecycle,
        body: bytearray,
        names: list[identifiers.AttemptId],
    ) -> None:
        """Makes attempts until the request has an end."""
        service = life.request.service
        now = anyio.current_time()
        self._retries.note_first_try(service, RETRY_SHARE, now)
        step = lifecycle.NextStep.RUN_AGAIN
        while True:
            if step is lifecycle.NextStep.RUN_AGAIN:
                target = self._rng.choice(self._instance.local_engines())
                names.append(self._new_attempt_id())
            resume = step is lifecycle.NextStep.RESUME
            attempt = life.begin(names[-1], target, resume)
            reservation = self._instance.own.open(names[-1], target)
            try:
                fault = await self._attempt(life, attempt, reservation, body)
                if fault is not None:
                    step = life.next_step(attempt)
            finally:
                if life.ending is not None or not self._resumes(step, attempt):
                    self._end(attempt, reservation)
            self._retries.note_end(service, fault is not None)
            if fault is None or not await self._again(life, fault, step):
                self._end(attempt, reservation)
                return

    def _resumes(
        self, step: lifecycle.NextStep, attempt: attempts.AttemptMachine
    ) -> bool:
        """Whether the attempt's reservation is needed for a resume."""
        return step is lifecycle.NextStep.RESUME and attempt.terminal

    def _end(self, attempt: attempts.AttemptMachine, reservation: str) -> None:
        """Gives the memory of an attempt back."""
        if attempt.state is attempts.AttemptState.DONE:
            self._instance.own.close(reservation)
        else:
            self._instance.own.begin_release(reservation, anyio.current_time())

    async def _attempt(
        self,
        life: lifecycle.RequestLifecycle,
        attempt: attempts.AttemptMachine,
        reservation: str,
        body: bytearray,
    ) -> targets.TargetFault | None:
        """Makes one attempt; returns the fault that ended it."""
        call = target_link.TargetCall(
            attempt.attempt_id,
            "/",
            life.request.body,
            3,
            life.time_left(anyio.current_time()),
            attempt.start,
            reservation,
        )
        attempt.mark_sending()
        called = await self._instance.link(attempt.target_id).call(call)
        if isinstance(called, result.Err):
            life.fail(attempt, called.err_value)
            return called.err_value
        attempt.accept(attempt.attempt_id)
        while True:
            received = await called.ok_value.receive()
            if isinstance(received, result.Err):
                life.fail(attempt, received.err_value)
                return received.err_value
            data = received.ok_value
            if not data:
                life.complete(attempt)
                return None
            body += life.deliver(attempt, data) or b""

    async def _again(
        self,
        life: lifecycle.RequestLifecycle,
        fault: targets.TargetFault,
        step: lifecycle.NextStep,
    ) -> bool:
        """Waits before another try; False once the request is given up."""
        decided = self._retries.decide(
            retries.Failure(
                life.request.service,
                fault.kind,
                life.attempt_count,
                step is not lifecycle.NextStep.END,
                life.time_left(anyio.current_time()),
                EXPECTED_S,
            )
        )
        if isinstance(decided, result.Err):
            given_up = decided.err_value
            life.conclude(given_up.reason, given_up.detail)
            return False
        await anyio.sleep(decided.ok_value.wait_s)
        return True

    def _new_attempt_id(self) -> identifiers.AttemptId:
        """Returns a name that no other attempt has."""
        of = self._instance
        return identifiers.AttemptId(
            f"{of.instance_id}-{of.boot_id}-{next(self._names)}"
        )
