"""Runs admitted requests to their one end."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import delivery

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import limiting
    from cardamomfork._internal.requests import cancellation
    from cardamomfork._internal.requests import queueing
    from cardamomfork._internal.requests import records

MAX_ATTEMPTS = 3
_PATHS = {
    requests.Api.COMPLETIONS: "/v1/completions",
    requests.Api.CHAT: "/v1/chat/completions",
    requests.Api.CALL: "/calls",
}
_OUTCOME_OF_FAULT = {
    targets.FaultKind.UNREACHABLE: outcomes.Outcome.NOT_RUN,
    targets.FaultKind.REFUSED: outcomes.Outcome.NOT_RUN,
    targets.FaultKind.REJECTED: outcomes.Outcome.FAILED,
}
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


@attrs.frozen
class Answer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        content_type: Media type.
        body: The body; empty if it went to the caller as a stream.
    """

    status: int
    content_type: str
    body: bytes = attrs.field(default=b"", repr=False)


_Ending = result.Result[Answer, outcomes.Refusal]


class RequestService:
    """Admits, queues, runs and settles requests."""

    def __init__(
        self,
        *,
        clock: clock_contract.Clock,
        limiter: limiting.Limiter,
        ledger: claiming.ClaimLedger | None,
        waiting_room: queueing.WaitingRoom,
        links: LinkFinder,
        canceller: cancellation.Canceller,
        table: records.RecordTable,
    ) -> None:
        """Takes its collaborators.

        Args:
            clock: The loop's clock; deadlines are on it.
            limiter: Client accounts' limits.
            ledger: Claims; None refuses requests that need one.
            waiting_room: The queue.
            links: Links to the targets.
            canceller: Cancels what nobody waits for any more.
            table: Records of requests.
        """
        self._clock = clock
        self._limiter = limiter
        self._ledger = ledger
        self._waiting_room = waiting_room
        self._links = links
        self._canceller = canceller
        self._table = table
        self._draining = False
        self._idle = anyio.Event()

    @property
    def draining(self) -> bool:
        """Whether it takes no new requests."""
        return self._draining

    def drain(self) -> None:
        """Takes no new requests from now on; admitted ones go on."""
        self._draining = True

    async def wait_until_idle(self) -> None:
        """Waits until no admitted request is open."""
        while self._table.open_count:
            self._idle = anyio.Event()
            await self._idle.wait()

    async def run(
        self, request: requests.Request, sink: delivery.CallerSink
    ) -> _Ending:
        """Runs a request; a stream's bytes go to the sink meanwhile."""
        if self._draining:
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.DRAINING,
                    "This instance is stopping; others serve.",
                    1.0,
                )
            )
        granted = self._limiter.admit(
            request.account, request.prompt_tokens, self._clock.monotonic()
        )
        if isinstance(granted, result.Err):
            return granted
        record = self._table.begin(request)
        ending: _Ending = result.Err(_cancelled())
        try:
            ending = await self._run_claimed(request, sink, record)
        finally:
            self._limiter.release(granted.ok_value, self._clock.monotonic())
            self._note_end(record, ending)
        return ending

    def _note_end(self, record: records.Record, ending: _Ending) -> None:
        """Keeps how a request ended."""
        if isinstance(ending, result.Err):
            refusal = ending.err_value
            self._table.end(record, refusal.outcome, refusal.reason)
        else:
            self._table.end(record, outcomes.Outcome.DONE)
        if not self._table.open_count:
            self._idle.set()

    async def _run_claimed(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _Ending:
        """Claims the request's key if it must not run twice."""
        if request.idempotent or not request.idempotency_key:
            return await self._run_in_time(request, sink, record)
        if self._ledger is None:
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.STORE_UNAVAILABLE,
                    "No store of claims is configured.",
                )
            )
        # A claimed run goes on when its caller leaves: its outcome is what a
        # repeat with the same key will be told.
        with anyio.CancelScope(shield=True):
            return await self._run_under_claim(
                self._ledger, request, sink, record
            )
        return result.Err(_cancelled())

    async def _run_under_claim(
        self,
        ledger: claiming.ClaimLedger,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _Ending:
        """Runs a request between its claim and its settlement."""
        claimed = await ledger.claim(
            request.account,
            request.idempotency_key,
            request.fingerprint,
            self._time_left(request),
        )
        if isinstance(claimed, result.Err):
            return claimed
        if isinstance(claimed.ok_value, claiming.StoredOutcome):
            return _repeat(claimed.ok_value)
        ending = await self._run_in_time(request, sink, record)
        await ledger.settle(
            claimed.ok_value, _stored(ending), self._time_left(request)
        )
        return ending

    async def _run_in_time(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _Ending:
        """Runs a request until its deadline at the latest."""
        with anyio.CancelScope(deadline=request.deadline):
            return await self._run_attempts(request, sink, record)
        return result.Err(
            outcomes.Refusal(
                record.outcome,
                outcomes.RefusalReason.DEADLINE_EXCEEDED,
                "The request's time is over.",
            )
        )

    async def _run_attempts(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
    ) -> _Ending:
        """Tries targets while it is proved that none ran it."""
        avoid: frozenset[identifiers.TargetId] = frozenset()
        fault: targets.TargetFault | None = None
        for _ in range(MAX_ATTEMPTS):
            turn = await self._waiting_room.wait(request, avoid)
            if isinstance(turn, result.Err):
                return result.Err(_refusal(fault) if fault else turn.err_value)
            answer = await self._run_attempt(
                request, sink, record, turn.ok_value
            )
            if isinstance(answer, result.Ok):
                return answer
            fault = answer.err_value
            if fault.kind in _OUTCOME_OF_FAULT:
                record.outcome = _OUTCOME_OF_FAULT[fault.kind]
            if record.outcome is not outcomes.Outcome.NOT_RUN:
                break
            avoid |= {fault.target_id}
        return result.Err(_refusal(fault))

    async def _run_attempt(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        record: records.Record,
        assignment: dispatching.Assignment,
    ) -> result.Result[Answer, targets.TargetFault]:
        """Runs one attempt on its assigned target."""
        link = self._links.find(assignment.target_id)
        if link is None:
            self._waiting_room.finished(request.request_id, 0)
            return result.Err(
                targets.TargetFault(
                    targets.FaultKind.UNREACHABLE,
                    assignment.target_id,
                    "the target was removed",
                )
            )
        attempt_id = identifiers.new_attempt_id()
        record.target_id = assignment.target_id
        record.outcome = outcomes.Outcome.UNKNOWN
        answer: result.Result[Answer, targets.TargetFault] | None = None
        try:
            answer = await self._exchange(request, sink, link, attempt_id)
        finally:
            fault = answer.err() if answer is not None else None
            self._waiting_room.finished(request.request_id, 0, fault)
            if answer is None or answer.is_err():
                self._cancel(link, attempt_id)
        return answer

    def _cancel(
        self,
        link: target_link.TargetLink,
        attempt_id: identifiers.AttemptId,
    ) -> None:
        """Frees what an engine may still hold for an attempt."""
        if link.target.kind is targets.TargetKind.ENGINE:
            self._canceller.add(link, attempt_id)

    async def _exchange(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        link: target_link.TargetLink,
        attempt_id: identifiers.AttemptId,
    ) -> result.Result[Answer, targets.TargetFault]:
        """Sends an attempt's call and relays its answer."""
        opened = await link.call(
            target_link.TargetCall(
                attempt_id=attempt_id,
                path=_PATHS[request.api],
                body=request.body,
                urgency=request.urgency,
                timeout_s=self._time_left(request),
            )
        )
        if isinstance(opened, result.Err):
            return opened
        stream = opened.ok_value
        try:
            return await self._relay(request, sink, stream)
        finally:
            sink.attach(None)
            with anyio.CancelScope(shield=True):
                await stream.close()

    async def _relay(
        self,
        request: requests.Request,
        sink: delivery.CallerSink,
        stream: target_link.TargetStream,
    ) -> result.Result[Answer, targets.TargetFault]:
        """Brings an answer to the caller, or collects it."""

        def note_first() -> None:
            self._waiting_room.first_token(request.request_id)

        head = stream.head
        if request.stream:
            events = delivery.StreamDelivery(sink, note_first)
            await sink.open()
            sink.attach(stream)
            ended = await stream.relay(events)
            if ended.is_ok() and not events.whole:
                return _garbled(head, "the stream ended without its last event")
            return ended.map(lambda _: Answer(head.status, head.content_type))
        body = delivery.BodyDelivery(note_first)
        ended = await stream.relay(body)
        if body.overflowed:
            return _garbled(head, "the answer is too long")
        return ended.map(
            lambda _: Answer(head.status, head.content_type, body.body)
        )

    def _time_left(self, request: requests.Request) -> float:
        """Returns the seconds until the request's deadline, at least 0."""
        return max(0.0, request.deadline - self._clock.monotonic())


def _garbled(
    head: target_link.AnswerHead, detail: str
) -> result.Err[targets.TargetFault]:
    """Makes the fault of an answer that is not whole."""
    return result.Err(
        targets.TargetFault(
            targets.FaultKind.GARBLED,
            identifiers.TargetId(""),
            detail,
            head.status,
        )
    )


def _refusal(fault: targets.TargetFault | None) -> outcomes.Refusal:
    """Makes the refusal of a request whose last attempt had a fault."""
    if fault is None:
        return outcomes.refuse(
            outcomes.RefusalReason.NO_TARGET, "No target took the request."
        )
    return outcomes.Refusal(
        _OUTCOME_OF_FAULT.get(fault.kind, outcomes.Outcome.UNKNOWN),
        _REASON_OF_FAULT.get(fault.kind, outcomes.RefusalReason.TARGET_LOST),
        f"The target failed: {fault.detail}.",
        fault.retry_after_s,
    )


def _cancelled() -> outcomes.Refusal:
    """Makes the refusal of a request whose caller went away."""
    return outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.RefusalReason.CANCELLED,
        "The caller went away.",
    )


def _repeat(stored: claiming.StoredOutcome) -> _Ending:
    """Gives an earlier run's outcome to a repeat of its request."""
    if stored.outcome is outcomes.Outcome.DONE and stored.whole:
        return result.Ok(
            Answer(stored.status, "application/json", stored.answer)
        )
    return result.Err(
        outcomes.Refusal(
            stored.outcome,
            outcomes.RefusalReason.KEY_REUSED,
            "This key's request ran before and its answer is not kept.",
        )
    )


def _stored(ending: _Ending) -> claiming.StoredOutcome:
    """Makes what is stored of an ended run."""
    if isinstance(ending, result.Err):
        return claiming.StoredOutcome(ending.err_value.outcome)
    answer = ending.ok_value
    whole = len(answer.body) <= claiming.MAX_STORED_ANSWER_BYTES
    return claiming.StoredOutcome(
        outcomes.Outcome.DONE,
        answer.status,
        answer.body if whole else b"",
        whole,
    )
