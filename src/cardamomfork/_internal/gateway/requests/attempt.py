"""Passes the answer of one attempt on to the caller."""

from __future__ import annotations

import http
import math
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.gateway.requests import event_stream
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams import memory

    from cardamomfork._internal.links import held_memory

MAX_BUFFERED_BYTES = 1_048_576
"""Answers up to this size are buffered and passed on only if complete; longer
ones are passed on as they arrive."""
MAX_SHARED_BUFFERED_BYTES = 65_536
"""The same while all held answers together exceed their share of memory."""
NOT_RUN_STATUSES = (
    http.HTTPStatus.REQUEST_TIMEOUT,
    http.HTTPStatus.MISDIRECTED_REQUEST,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses from which callers conclude that a request has not run."""


class CallerSink(Protocol):
    """Writes an answer to the caller."""

    async def start(
        self, status: int, headers: forwarding.Headers, length: int | None
    ) -> None:
        """Sends the head; the body is chunked if its length is None."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the body and ends the answer."""
        ...


class Source(Protocol):
    """The connection on which an answer arrives."""

    def mark_consumed(self, size: int) -> None:
        """Records that the reader has consumed bytes of the answer."""
        ...


@attrs.define
class Progress:
    """What the caller has received so far, over all attempts.

    Attributes:
        has_started: Whether the head has been passed on.
        is_stream: Whether it is the head of a stream of events.
        media_type: Media type of that head; empty if it states none.
        order: Checks the order of the events.
        events: Number of events passed on.
        last_event_at: Monotonic time of the last event.
    """

    has_started: bool = False
    is_stream: bool = False
    media_type: bytes = b""
    order: event_stream.SequenceChecker = attrs.field(
        factory=event_stream.SequenceChecker
    )
    events: int = 0
    last_event_at: float = 0.0

    @property
    def may_continue(self) -> bool:
        """Whether another attempt can give the answer or the rest of it.

        An answer can be resumed only after an event with an id.
        """
        return not self.has_started or (
            self.is_stream and self.order.last_id is not None
        )


@attrs.frozen
class AttemptTimeouts:
    """Timeouts of an attempt.

    Attributes:
        first_byte_s: Longest wait for the next part of an answer before its
            first event.
        idle_s: Longest wait for the next part after that.
        deadline: Monotonic time at which the request ends in any case.
        may_give_up: Returns whether another attempt may follow. Without one, a
            silent target is waited for until the deadline, since its answer is
            the only one that the caller can still get.
    """

    first_byte_s: float
    idle_s: float
    deadline: float
    may_give_up: Callable[[], bool] = lambda: True


class Attempt:
    """Reads the answer of one target and passes on its valid parts."""

    def __init__(
        self,
        route: fleet.Route,
        sink: CallerSink,
        progress: Progress,
        clock: Callable[[], float],
        on_head: Callable[[forwarding.ResponseHead], None],
        on_event: Callable[[], None],
        held_answers: held_memory.HeldMemory,
    ) -> None:
        """Initializes the attempt.

        Args:
            route: The request's route.
            sink: Where the answer is written.
            progress: What the caller has received; shared by all attempts.
            clock: Monotonic time.
            on_head: Called with the head of the answer.
            on_event: Called with each event of a stream.
            held_answers: What all attempts hold of unfinished answers.
        """
        self._held_answers = held_answers
        self._route = route
        self._sink = sink
        self._progress = progress
        self._clock = clock
        self._on_head = on_head
        self._on_event = on_event

    async def run(
        self,
        connection: Source,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        timeouts: AttemptTimeouts,
    ) -> outcomes.AttemptOutcome:
        """Passes an answer on; returns the outcome of the attempt."""
        first_message = await self._receive(
            messages, timeouts.first_byte_s, timeouts
        )
        if not isinstance(first_message, target_connection.HeadReceived):
            return _to_failure(first_message)
        head = first_message.head
        self._on_head(head)
        is_stream = (
            self._route.rule is fleet.RepeatPolicy.STREAM
            and head.status == http.HTTPStatus.OK
        )
        if is_stream and head.is_signed:
            if (
                self._progress.has_started
                and _media_type(head) != self._progress.media_type
            ):
                return _broken_answer("not of the media type of the stream")
            return await self._forward_stream(
                head, connection, messages, timeouts
            )
        try:
            return await self._forward_buffered(
                head, connection, messages, timeouts
            )
        finally:
            self._held_answers.forget(self)

    async def _forward_buffered(
        self,
        head: forwarding.ResponseHead,
        connection: Source,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        timeouts: AttemptTimeouts,
    ) -> outcomes.AttemptOutcome:
        """Passes an answer on after it has arrived completely."""
        body = bytearray()
        while True:
            message = await self._receive(
                messages, max(timeouts.idle_s, timeouts.first_byte_s), timeouts
            )
            match message:
                case target_connection.Data(data):
                    body += data
                    self._held_answers.hold(self, len(body))
                    connection.mark_consumed(len(data))
                    if len(body) > self._max_buffered_bytes():
                        if self._progress.has_started:
                            return _not_continued(head)
                        if not head.is_signed:
                            return _broken_answer("too long without signature")
                        if self._says_not_run_without_proof(head):
                            return _broken_answer(
                                f"too long with status {head.status}"
                            )
                        return await self._forward_unbuffered(
                            head, body, connection, messages, timeouts
                        )
                case target_connection.Completed():
                    break
                case _:
                    return _to_failure(message)
        failed = _check_answer(head, bytes(body))
        if failed is not None:
            return failed
        if self._progress.has_started:
            return _not_continued(head)
        return await self.forward_answer(head, bytes(body))

    def _max_buffered_bytes(self) -> int:
        """Returns the size above which an answer is not held any more."""
        if self._held_answers.is_full:
            return MAX_SHARED_BUFFERED_BYTES
        return MAX_BUFFERED_BYTES

    def _says_not_run_without_proof(
        self, head: forwarding.ResponseHead
    ) -> bool:
        """Returns whether callers would take a run for none by the status."""
        return (
            head.status in NOT_RUN_STATUSES
            and not head.is_not_executed
            and not self._route.may_repeat
        )

    async def forward_answer(
        self, head: forwarding.ResponseHead, body: bytes
    ) -> outcomes.Delivered:
        """Passes on a complete answer."""
        self._progress.has_started = True
        await self._sink.start(head.status, head.headers, len(body))
        # A caller that doesn't read must not delay the end of the attempt.
        await self._sink.finish(body)
        return outcomes.Delivered(head.status)

    async def _forward_unbuffered(
        self,
        head: forwarding.ResponseHead,
        body: bytearray,
        connection: Source,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        timeouts: AttemptTimeouts,
    ) -> outcomes.AttemptOutcome:
        """Passes on a long answer as it arrives.

        Args:
            head: Its head.
            body: What has arrived of its body, which is emptied.
            connection: The connection on which it arrives.
            messages: Its messages.
            timeouts: Timeouts of the attempt.
        """
        self._progress.has_started = True
        await self._sink.start(head.status, head.headers, head.content_length)
        data = bytes(body)
        body.clear()
        await self._sink.send(data)
        self._held_answers.forget(self)
        while True:
            message = await self._receive(messages, timeouts.idle_s, timeouts)
            match message:
                case target_connection.Data(data):
                    await self._sink.send(data)
                    connection.mark_consumed(len(data))
                case target_connection.Completed():
                    await self._sink.finish()
                    return outcomes.Delivered(head.status)
                case _:
                    return _to_failure(message)

    async def _forward_stream(
        self,
        head: forwarding.ResponseHead,
        connection: Source,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        timeouts: AttemptTimeouts,
    ) -> outcomes.AttemptOutcome:
        """Passes on the complete events of a stream in order."""
        splitter = event_stream.EventSplitter()
        self._progress.order.begin_run()
        timeout_s = timeouts.first_byte_s
        bytes_without_event = 0
        while True:
            message = await self._receive(messages, timeout_s, timeouts)
            match message:
                case target_connection.Data(data):
                    connection.mark_consumed(len(data))
                    events = splitter.feed(data)
                    count = self._progress.events
                    if not await self._forward_events(head, events):
                        return _broken_answer("the events do not go on")
                    if splitter.is_overlong:
                        return _broken_answer("an event never ends")
                    if events:
                        timeout_s = timeouts.idle_s
                    bytes_without_event += len(data)
                    if self._progress.events > count:
                        bytes_without_event = 0
                    if bytes_without_event > MAX_BUFFERED_BYTES:
                        return _broken_answer("no new event")
                case target_connection.Completed() if not splitter.incomplete:
                    return await self._finish_stream(head)
                case target_connection.Completed():
                    return _broken_answer("ended in an event")
                case _:
                    return _to_failure(message)

    async def _forward_events(
        self, head: forwarding.ResponseHead, events: list[event_stream.Event]
    ) -> bool:
        """Passes events on; returns False at one that does not go on."""
        for event in events:
            order = self._progress.order.check(event)
            if order is event_stream.Continuity.GAP:
                return False
            if order is event_stream.Continuity.REPEATED:
                continue
            await self._start_stream(head)
            await self._sink.send(event.raw)
            self._progress.events += 1
            self._progress.last_event_at = self._clock()
            self._on_event()
        return True

    async def _finish_stream(
        self, head: forwarding.ResponseHead
    ) -> outcomes.AttemptOutcome:
        """Ends the answer after the last event."""
        await self._start_stream(head)
        await self._sink.finish()
        return outcomes.Delivered(head.status)

    async def _start_stream(self, head: forwarding.ResponseHead) -> None:
        """Passes on the head, unless an earlier attempt has done so."""
        if not self._progress.has_started:
            self._progress.has_started = self._progress.is_stream = True
            self._progress.media_type = _media_type(head)
            await self._sink.start(head.status, head.headers, None)

    async def _receive(
        self,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        timeout_s: float,
        timeouts: AttemptTimeouts,
    ) -> target_connection.Message | None:
        """Returns the next message; None after a timeout."""
        while True:
            left_s = timeouts.deadline - self._clock()
            remaining_s = min(timeout_s, left_s)
            if remaining_s <= 0:
                return None
            timeout = None if math.isinf(remaining_s) else remaining_s
            with anyio.move_on_after(timeout):
                try:
                    return await messages.receive()
                except anyio.EndOfStream:
                    return target_connection.Failed(
                        target_connection.Fault.RESET, "ended without a word"
                    )
            if remaining_s == left_s or timeouts.may_give_up():
                return None


def _media_type(head: forwarding.ResponseHead) -> bytes:
    """Returns the media type of an answer; empty if it states none."""
    value = dict(head.headers).get(b"content-type", b"")
    return value.partition(b";")[0].strip().lower()


def _to_failure(message: target_connection.Message | None) -> outcomes.Failed:
    """Returns the failure for a message that ends an attempt."""
    if message is None:
        return outcomes.Failed(outcomes.Failure.SILENT, "nothing came in time")
    if isinstance(message, target_connection.Failed):
        if message.fault is target_connection.Fault.FOREIGN:
            return outcomes.Failed(
                outcomes.Failure.UNATTRIBUTED, message.detail
            )
        return _broken_answer(f"{message.fault}: {message.detail}")
    return _broken_answer(f"unexpected {type(message).__name__}")


def _broken_answer(detail: str) -> outcomes.Failed:
    """Returns the failure for an incomplete or invalid answer."""
    return outcomes.Failed(outcomes.Failure.BROKEN, detail)


def _not_continued(head: forwarding.ResponseHead) -> outcomes.Failed:
    """Returns the failure for an answer that can't go on with a begun one."""
    return _broken_answer(f"status {head.status} after the answer has begun")


def _check_answer(
    head: forwarding.ResponseHead, body: bytes
) -> outcomes.Failed | None:
    """Returns the failure of a complete answer, or None if it is a success."""
    if head.peer_fault is not None:
        return _from_peer_fault(head.peer_fault)
    if head.is_not_executed:
        return outcomes.Failed(
            outcomes.Failure.NOT_RUN,
            f"status {head.status} at {head.refusing_target or 'the target'}",
            refusing_target=head.refusing_target,
            is_misdirected=head.status == http.HTTPStatus.MISDIRECTED_REQUEST,
        )
    if head.is_success and not head.is_signed:
        return _broken_answer("not signed")
    if not head.is_success:
        return outcomes.Failed(
            outcomes.Failure.FAILED,
            f"status {head.status}",
            answer=head if head.is_signed else None,
            body=body,
        )
    return None


def _from_peer_fault(fault: forwarding.PeerFault) -> outcomes.Failed:
    """Returns the failure of a request that a peer has not passed on."""
    if fault is forwarding.PeerFault.UNATTRIBUTED:
        failure = outcomes.Failure.UNATTRIBUTED
    elif fault.is_sent:
        failure = outcomes.Failure.BROKEN
    elif fault is forwarding.PeerFault.UNREACHABLE_TARGET:
        failure = outcomes.Failure.UNREACHABLE
    else:
        failure = outcomes.Failure.PEER_REFUSED
    return outcomes.Failed(failure, f"peer: {fault.value}", peer_fault=fault)
