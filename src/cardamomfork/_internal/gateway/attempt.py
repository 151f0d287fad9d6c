"""One attempt: a request sent to one target, its answer passed on."""

from __future__ import annotations

import http
import math
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway import event_stream
from cardamomfork._internal.gateway import outcomes
from cardamomfork._internal.gateway import target_connection
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams import memory

MAX_WHOLE_BYTES = 1_048_576
"""Answers up to this size are checked to be whole before any byte is passed
on; longer ones are passed on as they come."""


class CallerSink(Protocol):
    """Takes the answer for the caller."""

    async def start(
        self, status: int, headers: forwarding.Headers, length: int | None
    ) -> None:
        """Sends the head; chunked if the length isn't known."""
        ...

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    async def finish(self) -> None:
        """Ends the answer."""
        ...


@attrs.define
class Progress:
    """What a caller has got so far, over all attempts.

    Attributes:
        has_started: Whether the head has been passed on.
        order: Order of the events passed on.
        events: Events passed on.
        last_event_at: Monotonic time of the last event.
    """

    has_started: bool = False
    order: event_stream.EventOrder = attrs.field(
        factory=event_stream.EventOrder
    )
    events: int = 0
    last_event_at: float = 0.0


@attrs.frozen
class Patience:
    """How long an attempt may be silent.

    Attributes:
        first_s: Time to the first byte of a body, or the end of the answer.
        between_s: Time between parts of it.
        until: Monotonic time at which the request ends in any case.
    """

    first_s: float
    between_s: float
    until: float


class Attempt:
    """Reads one exchange and passes on what is whole."""

    def __init__(
        self,
        route: fleet.Route,
        sink: CallerSink,
        progress: Progress,
        clock: Callable[[], float],
        on_event: Callable[[], None],
    ) -> None:
        """Takes where the answer goes.

        Args:
            route: The request's route.
            sink: The caller.
            progress: What the caller has got; kept between attempts.
            clock: Monotonic time.
            on_event: Called with each event of a stream.
        """
        self._route = route
        self._sink = sink
        self._progress = progress
        self._clock = clock
        self._on_event = on_event

    async def run(
        self,
        connection: target_connection.TargetConnection,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        patience: Patience,
    ) -> outcomes.Ending:
        """Passes an answer on; returns how the attempt ended."""
        first = await self._receive(messages, patience.first_s, patience)
        if not isinstance(first, target_connection.Started):
            return _fail(first)
        head = first.head
        is_stream = (
            self._route.rule is fleet.RepeatRule.STREAM
            and head.status == http.HTTPStatus.OK
        )
        if is_stream and head.is_signed:
            return await self._pass_stream(head, connection, messages, patience)
        return await self._pass_whole(head, connection, messages, patience)

    async def _pass_whole(
        self,
        head: forwarding.AnswerHead,
        connection: target_connection.TargetConnection,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        patience: Patience,
    ) -> outcomes.Ending:
        """Reads a whole answer, then passes it on."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive(
                messages, max(patience.between_s, patience.first_s), patience
            )
            match message:
                case target_connection.Data(data):
                    parts.append(data)
                    size += len(data)
                    connection.consumed(len(data))
                    if size > MAX_WHOLE_BYTES and head.is_signed:
                        return await self._pass_long(
                            head, parts, connection, messages, patience
                        )
                case target_connection.Ended():
                    break
                case _:
                    return _fail(message)
        body = b"".join(parts)
        failed = _judge(head, body)
        if failed is not None:
            return failed
        return await self.pass_answer(head, body)

    async def pass_answer(
        self, head: forwarding.AnswerHead, body: bytes
    ) -> outcomes.Delivered:
        """Passes on an answer that has come whole."""
        self._progress.has_started = True
        await self._sink.start(head.status, head.headers, len(body))
        if body:
            await self._sink.send(body)
        await self._sink.finish()
        return outcomes.Delivered(head.status)

    async def _pass_long(
        self,
        head: forwarding.AnswerHead,
        parts: list[bytes],
        connection: target_connection.TargetConnection,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        patience: Patience,
    ) -> outcomes.Ending:
        """Passes on a long answer as it comes."""
        self._progress.has_started = True
        await self._sink.start(head.status, head.headers, head.content_length)
        for part in parts:
            await self._sink.send(part)
        while True:
            message = await self._receive(
                messages, patience.between_s, patience
            )
            match message:
                case target_connection.Data(data):
                    await self._sink.send(data)
                    connection.consumed(len(data))
                case target_connection.Ended():
                    await self._sink.finish()
                    return outcomes.Delivered(head.status)
                case _:
                    return _fail(message)

    async def _pass_stream(
        self,
        head: forwarding.AnswerHead,
        connection: target_connection.TargetConnection,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        patience: Patience,
    ) -> outcomes.Ending:
        """Passes on whole events in order."""
        splitter = event_stream.EventSplitter()
        limit = patience.first_s
        while True:
            message = await self._receive(messages, limit, patience)
            match message:
                case target_connection.Data(data):
                    connection.consumed(len(data))
                    events = splitter.feed(data)
                    if not await self._pass_events(head, events):
                        return _broken("an event is missing")
                    if splitter.is_overlong:
                        return _broken("an event never ends")
                    if events:
                        limit = patience.between_s
                case target_connection.Ended() if not splitter.rest:
                    return await self._finish_stream(head)
                case target_connection.Ended():
                    return _broken("ended in an event")
                case _:
                    return _fail(message)

    async def _pass_events(
        self, head: forwarding.AnswerHead, events: list[event_stream.Event]
    ) -> bool:
        """Passes events on; False if one of them does not follow."""
        for event in events:
            order = self._progress.order.check(event)
            if order is event_stream.Order.GAP:
                return False
            if order is event_stream.Order.REPEATED:
                continue
            await self._start_stream(head)
            await self._sink.send(event.raw)
            self._progress.events += 1
            self._progress.last_event_at = self._clock()
            self._on_event()
        return True

    async def _finish_stream(
        self, head: forwarding.AnswerHead
    ) -> outcomes.Ending:
        """Ends a stream whose last event has been passed on."""
        await self._start_stream(head)
        await self._sink.finish()
        return outcomes.Delivered(head.status)

    async def _start_stream(self, head: forwarding.AnswerHead) -> None:
        """Passes the head of the first attempt on, once."""
        if not self._progress.has_started:
            self._progress.has_started = True
            await self._sink.start(head.status, head.headers, None)

    async def _receive(
        self,
        messages: memory.MemoryObjectReceiveStream[target_connection.Message],
        limit_s: float,
        patience: Patience,
    ) -> target_connection.Message | None:
        """Returns the next message; None if nothing comes in time."""
        left = min(limit_s, patience.until - self._clock())
        if left <= 0:
            return None
        timeout = None if math.isinf(left) else left
        with anyio.move_on_after(timeout):
            try:
                return await messages.receive()
            except anyio.EndOfStream:
                return target_connection.Broken(
                    target_connection.Fault.RESET, "ended without a word"
                )
        return None


def _fail(message: target_connection.Message | None) -> outcomes.Failed:
    """Returns the failure that ends an attempt."""
    if message is None:
        return outcomes.Failed(outcomes.Failure.SILENT, "nothing came in time")
    if isinstance(message, target_connection.Broken):
        return _broken(f"{message.fault}: {message.detail}")
    return _broken(f"unexpected {type(message).__name__}")


def _broken(detail: str) -> outcomes.Failed:
    """Returns the end by an answer that broke off, or was none."""
    return outcomes.Failed(outcomes.Failure.BROKEN, detail)


def _judge(head: forwarding.AnswerHead, body: bytes) -> outcomes.Failed | None:
    """Returns why a whole answer is no answer for the caller, if so."""
    if head.is_not_run:
        return outcomes.Failed(
            outcomes.Failure.NOT_RUN,
            f"status {head.status} at {head.blamed_target or 'the target'}",
            blamed_target=head.blamed_target,
            is_misdirected=head.status == http.HTTPStatus.MISDIRECTED_REQUEST,
        )
    if head.is_success and not head.is_signed:
        return _broken("not signed")
    if not head.is_success:
        return outcomes.Failed(
            outcomes.Failure.FAILED,
            f"status {head.status}",
            answer=head if head.is_signed else None,
            body=body,
        )
    return None
