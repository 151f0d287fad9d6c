"""One exchange of an attempt with its target: the call and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.models import requests
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import delivery

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests import attempts
    from cardamomfork._internal.requests import lifecycle
    from cardamomfork._internal.requests import running

PROBE_INTERVAL_S = 10.0
MAX_FAILED_PROBES = 2
_PATH_BY_API = {
    requests.Api.COMPLETIONS: "/v1/completions",
    requests.Api.CHAT: "/v1/chat/completions",
    requests.Api.CALL: "/calls",
}


@attrs.frozen
class Answer:
    """A complete answer.

    Attributes:
        status: HTTP status.
        content_type: Media type.
        body: The body; empty if it was streamed to the caller.
    """

    status: int
    content_type: str
    body: bytes = attrs.field(default=b"", repr=False)


class AnswerWriter:
    """Turns the bytes of a request's attempts into one answer.

    A streamed answer is passed on as it arrives; any other is collected.

    Attributes:
        has_received: Whether the current exchange has received bytes.
    """

    def __init__(
        self,
        request_lifecycle: lifecycle.RequestLifecycle,
        events: delivery.StreamDelivery | None,
        on_first_bytes: Callable[[], None],
    ) -> None:
        """Initializes the writer, before the first attempt.

        Args:
            request_lifecycle: State machine over the request's attempts.
            events: Receives a streamed answer; None to collect a body.
            on_first_bytes: Called once, when the first bytes arrive.
        """
        self._request_lifecycle = request_lifecycle
        self._events = events
        self._on_first_bytes: Callable[[], None] | None = on_first_bytes
        self._attempt: attempts.AttemptMachine | None = None
        self._body = delivery.BodyDelivery()
        self.has_received = False

    @property
    def tokens(self) -> int:
        """Number of events passed on; approximates the number of tokens."""
        return self._events.events if self._events is not None else 0

    def begin_attempt(self, attempt: attempts.AttemptMachine) -> None:
        """Starts to receive the bytes of an attempt."""
        self._attempt = attempt
        self._body = delivery.BodyDelivery()
        self.has_received = False

    def write(self, data: bytes) -> None:
        """Processes the next bytes of the attempt's answer."""
        if self._on_first_bytes is not None:
            self._on_first_bytes()
            self._on_first_bytes = None
        self.has_received = True
        if self._events is None:
            self._body.write(data)
            return
        deliverable = self._deliver(data)
        if deliverable:
            self._events.write(deliverable)

    def finish(self, head: target_link.AnswerHead) -> Answer | str:
        """Ends the answer; returns it, or the reason why it is invalid."""
        attempt = self._attempt
        assert attempt is not None  # noqa: S101
        if attempt.terminal:
            return "a repeated answer differs from the one begun"
        body = b""
        if self._events is None:
            if self._body.is_too_long:
                return "the answer is too long"
            body = self._body.body
            self._deliver(body)
        elif not self._events.whole:
            return "the stream ended without its last event"
        if not self._request_lifecycle.complete(attempt):
            return "the answer ended at another length"
        return Answer(head.status, head.content_type, body)

    def _deliver(self, data: bytes) -> bytes | None:
        """Returns the bytes to pass on to the caller; None if they diverge."""
        assert self._attempt is not None  # noqa: S101
        return self._request_lifecycle.deliver(self._attempt, data)


def make_answer_writer(
    request: requests.Request,
    sink: delivery.CallerSink,
    request_lifecycle: lifecycle.RequestLifecycle,
    on_first_bytes: Callable[[], None],
) -> AnswerWriter:
    """Creates the writer for a streamed or a whole answer."""
    events = delivery.StreamDelivery(sink) if request.stream else None
    return AnswerWriter(request_lifecycle, events, on_first_bytes)


@attrs.define
class _ProbeResult:
    """Result of probing the engine over another connection."""

    fault: targets.TargetFault | None = None


class AttemptExchanger:
    """Sends an attempt's call and relays its answer."""

    def __init__(
        self,
        clock: clock_contract.Clock,
        cache_salt_of: Callable[[identifiers.AccountName], str],
    ) -> None:
        """Initializes the exchanger.

        Args:
            clock: Event loop clock.
            cache_salt_of: Returns the cache salt of an account.
        """
        self._clock = clock
        self._cache_salt_of = cache_salt_of

    async def exchange(
        self,
        run: running.Run,
        link: target_link.TargetLink,
        attempt: attempts.AttemptMachine,
    ) -> targets.TargetFault | None:
        """Makes one exchange; returns None if the answer is complete."""
        call = self.make_call(run, link, attempt.attempt_id, attempt.start)
        attempt.mark_sending()
        call_result = await link.call(call)
        if isinstance(call_result, result.Err):
            return call_result.err_value
        attempt.mark_sent()
        stream = call_result.ok_value
        try:
            attempt.accept(stream.head.attempt_id)
            return await self._relay(run, link, attempt, stream)
        finally:
            run.sink.attach(None)
            with anyio.CancelScope(shield=True):
                await stream.close()

    async def _relay(
        self,
        run: running.Run,
        link: target_link.TargetLink,
        attempt: attempts.AttemptMachine,
        stream: target_link.TargetStream,
    ) -> targets.TargetFault | None:
        """Relays an answer to the run's answer writer."""
        run.answer_writer.begin_attempt(attempt)
        if run.request.stream:
            if not stream.head.is_event_stream:
                return _make_garbled_fault(
                    link, stream, "the answer is not a stream of events"
                )
            await run.sink.open()
            run.sink.attach(stream)
        ended = await self._relay_with_probe(run, link, stream)
        if isinstance(ended, result.Err):
            return ended.err_value
        answer = run.answer_writer.finish(stream.head)
        if isinstance(answer, Answer):
            run.answer = answer
            return None
        return _make_garbled_fault(link, stream, answer)

    async def _relay_with_probe(
        self,
        run: running.Run,
        link: target_link.TargetLink,
        stream: target_link.TargetStream,
    ) -> result.Result[None, targets.TargetFault]:
        """Relays an answer; probes the engine until the first bytes arrive."""
        if link.target.kind is not targets.TargetKind.ENGINE:
            return await stream.relay(run.answer_writer)
        probe = _ProbeResult()
        ended: result.Result[None, targets.TargetFault] | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._probe_reservation, run, link, probe, tasks.cancel_scope
            )
            ended = await stream.relay(run.answer_writer)
            tasks.cancel_scope.cancel()
        if ended is None and probe.fault is not None:
            return result.Err(probe.fault)
        assert ended is not None  # noqa: S101
        return ended

    async def _probe_reservation(
        self,
        run: running.Run,
        link: target_link.TargetLink,
        probe: _ProbeResult,
        relay_scope: anyio.CancelScope,
    ) -> None:
        """Detects a dead connection while a long prompt is computed.

        Lists the engine's reservations over another connection. If the
        attempt's reservation is missing, or the list cannot be read, in
        `MAX_FAILED_PROBES` consecutive probes, the relay is cancelled.
        """
        name = run.reservation
        failed = 0
        while failed < MAX_FAILED_PROBES:
            await anyio.sleep(PROBE_INTERVAL_S)
            if run.answer_writer.has_received:
                return
            listed = await link.reservations()
            if isinstance(listed, result.Ok) and name in listed.ok_value:
                failed = 0
            else:
                failed += 1
        if run.answer_writer.has_received:
            return
        probe.fault = targets.TargetFault(
            targets.FaultKind.SILENT,
            link.target.target_id,
            "the engine no longer holds the attempt",
        )
        relay_scope.cancel()

    def make_call(
        self,
        run: running.Run,
        link: target_link.TargetLink,
        attempt_id: identifiers.AttemptId,
        start: int = 0,
    ) -> target_link.TargetCall:
        """Creates the call of an attempt.

        Args:
            run: The run of the request.
            link: Link to the target.
            attempt_id: Id of the attempt.
            start: Offset, in bytes, at which the answer is to start.
        """
        request = run.request
        is_engine = link.target.kind is targets.TargetKind.ENGINE
        return target_link.TargetCall(
            attempt_id=attempt_id,
            path=_PATH_BY_API[request.api],
            body=request.body,
            urgency=request.urgency,
            timeout_s=max(0.0, request.deadline - self._clock.monotonic()),
            resume_offset=start,
            reservation=run.reservation,
            cache_salt=self._cache_salt_of(request.account)
            if is_engine
            else "",
        )


def _make_garbled_fault(
    link: target_link.TargetLink, stream: target_link.TargetStream, detail: str
) -> targets.TargetFault:
    """Returns the fault of an invalid answer."""
    return targets.TargetFault(
        targets.FaultKind.GARBLED,
        link.target.target_id,
        detail,
        stream.head.status,
    )
