"""Request service: limits, claims, execution and the result of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests import exchanging

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import limiting
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import delivery
    from cardamomfork._internal.requests import directory
    from cardamomfork._internal.requests import lifecycle
    from cardamomfork._internal.requests import observing
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.requests import running

_RunResult = result.Result[exchanging.Answer, outcomes.Refusal]


class RequestService:
    """Admits requests, runs them and records how they end.

    A request is checked against its account's limits. If it is not idempotent
    and has an idempotency key, the key is claimed before the run and the
    outcome is stored after it.
    """

    def __init__(
        self,
        *,
        clock: clock_contract.Clock,
        limiter: limiting.Limiter,
        ledger: claiming.ClaimLedger | None,
        runner: running.Runner,
        table: records.RecordTable,
        service_directory: directory.ServiceDirectory,
        observer: observing.RequestObserver,
    ) -> None:
        """Initializes the service.

        Args:
            clock: Event loop clock, on which deadlines are set.
            limiter: Enforces the limits of client accounts.
            ledger: Stores claims on idempotency keys. If None, requests that
                need a claim are refused.
            runner: Runs admitted requests.
            table: Records of open and recently ended requests.
            service_directory: Provides the retry budgets of services.
            observer: Notified of each refusal and each request end.
        """
        self._clock = clock
        self._limiter = limiter
        self._ledger = ledger
        self._runner = runner
        self._table = table
        self._service_directory = service_directory
        self._observer = observer
        self._is_draining = False
        self._is_drained = False
        self._idle = anyio.Event()

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._is_draining or self._is_drained

    def drain(self) -> None:
        """Refuses new requests from now on; admitted requests continue."""
        self._is_draining = True

    def set_drained(self, drained: bool) -> None:
        """Sets whether an operator has drained this instance.

        Unlike `drain`, this can be undone.
        """
        self._is_drained = drained

    async def wait_until_idle(self) -> None:
        """Waits until no admitted request is open."""
        while self._table.open_count:
            self._idle = anyio.Event()
            await self._idle.wait()

    def record_refused_input(self, refusal: outcomes.Refusal) -> None:
        """Reports input that was refused before it became a request."""
        self._observer.refused("", refusal)

    async def run(
        self, request: requests.Request, sink: delivery.CallerSink
    ) -> _RunResult:
        """Runs a request to its end.

        The bytes of a streamed answer are written to the sink as they arrive.

        Returns:
            The answer, or why there is none.
        """
        grant_result = self._admit(request)
        if isinstance(grant_result, result.Err):
            self._observer.refused(request.service, grant_result.err_value)
            return grant_result
        record = self._table.begin(request)
        run_result: _RunResult = result.Err(_cancelled_refusal())
        try:
            run_result = await self._run_at_most_once(request, sink, record)
        finally:
            self._limiter.release(
                grant_result.ok_value, self._clock.monotonic()
            )
            self._record_end(request, record, run_result)
        return run_result

    def _admit(
        self, request: requests.Request
    ) -> result.Result[limiting.Grant, outcomes.Refusal]:
        """Applies the account's limits; refuses if the instance is draining."""
        if self.draining:
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.DRAINING,
                    "This instance is stopping; others serve.",
                    1.0,
                )
            )
        return self._limiter.admit(
            request.account, request.prompt_tokens, self._clock.monotonic()
        )

    def _record_end(
        self,
        request: requests.Request,
        record: records.Record,
        run_result: _RunResult,
    ) -> None:
        """Records the outcome of a request and notifies the observer."""
        outcome, reason = outcomes.Outcome.DONE, None
        if isinstance(run_result, result.Err):
            outcome = run_result.err_value.outcome
            reason = run_result.err_value.reason
        self._table.end(record, outcome, reason)
        now = self._clock.monotonic()
        self._observer.ended(request, record, outcome, reason, now)
        if not self._table.open_count:
            self._idle.set()

    async def _run_at_most_once(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _RunResult:
        """Runs a request, under a claim on its key if it must not run twice."""
        if request.idempotent or not request.idempotency_key:
            return await self._run_until_deadline(request, sink, record)
        if self._ledger is None:
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.STORE_UNAVAILABLE,
                    "No store of claims is configured.",
                )
            )
        # A claimed run continues after its caller disconnects, since a repeat
        # with the same key is answered with its outcome.
        with anyio.CancelScope(shield=True):
            return await self._run_under_claim(
                self._ledger, request, sink, record
            )
        return result.Err(_cancelled_refusal())

    async def _run_under_claim(
        self,
        ledger: claiming.ClaimLedger,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _RunResult:
        """Claims the key, runs the request and settles the claim."""
        claim_result = await ledger.claim(
            request.account,
            request.idempotency_key,
            request.fingerprint,
            self._remaining_s(request),
        )
        if isinstance(claim_result, result.Err):
            return claim_result
        if isinstance(claim_result.ok_value, claiming.StoredOutcome):
            return _replay(claim_result.ok_value)
        run_result = await self._run_until_deadline(request, sink, record)
        await ledger.settle(
            claim_result.ok_value,
            _to_stored_outcome(run_result),
            self._remaining_s(request),
        )
        return run_result

    async def _run_until_deadline(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _RunResult:
        """Runs a request; ends it at its deadline."""
        retry_budget = self._service_directory.retry_budget(request.service)
        run = self._runner.start(request, sink, record, retry_budget)
        with anyio.CancelScope(deadline=request.deadline) as cancel_scope:
            try:
                await self._runner.run(run)
            finally:
                record.outcome = run.request_lifecycle.outcome
                record.tokens = run.answer_writer.tokens
        if cancel_scope.cancelled_caught:
            run.request_lifecycle.conclude(
                outcomes.RefusalReason.DEADLINE_EXCEEDED,
                "The request's time is over.",
            )
        ending = run.request_lifecycle.ending
        exceptions.check_invariant(
            ending is not None, "every run has an end", request.request_id
        )
        if ending is None or ending.refusal is not None or run.answer is None:
            return result.Err(_refusal_from(ending))
        return result.Ok(run.answer)

    def _remaining_s(self, request: requests.Request) -> float:
        """Returns the seconds until the request's deadline, at least 0."""
        return max(0.0, request.deadline - self._clock.monotonic())


def _refusal_from(ending: lifecycle.Ending | None) -> outcomes.Refusal:
    """Returns the refusal of a run that has no complete answer."""
    if ending is not None and ending.refusal is not None:
        return ending.refusal
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.RefusalReason.INTERNAL,
        "The run ended without an answer.",
    )


def _cancelled_refusal() -> outcomes.Refusal:
    """Returns the refusal for a request whose caller disconnected."""
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.RefusalReason.CANCELLED,
        "The caller went away.",
    )


def _replay(stored: claiming.StoredOutcome) -> _RunResult:
    """Returns the stored outcome of an earlier run as this call's result."""
    if stored.outcome is outcomes.Outcome.DONE and stored.whole:
        return result.Ok(
            exchanging.Answer(stored.status, "application/json", stored.answer)
        )
    return result.Err(
        outcomes.Refusal(
            stored.outcome,
            outcomes.RefusalReason.KEY_REUSED,
            "This key's request ran before and its answer is not kept.",
        )
    )


def _to_stored_outcome(run_result: _RunResult) -> claiming.StoredOutcome:
    """Returns the outcome to store for a run.

    Bodies over `MAX_STORED_ANSWER_BYTES` are not stored.
    """
    if isinstance(run_result, result.Err):
        return claiming.StoredOutcome(run_result.err_value.outcome)
    answer = run_result.ok_value
    whole = len(answer.body) <= claiming.MAX_STORED_ANSWER_BYTES
    return claiming.StoredOutcome(
        outcomes.Outcome.DONE,
        answer.status,
        answer.body if whole else b"",
        whole,
    )
