"""Streams of targets' responses."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import httpcore
import httptools
import result

from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.links.targets import connections
    from cardamomfork._internal.links.targets import idle
    from cardamomfork._internal.models import identifiers

MAX_BACKLOG_BYTES = 256 * 1024


class EventStream:
    """A stream of server-sent events that bypasses httpcore.

    In one call, bytes from the transport pass through httptools' parser, which
    removes the chunk framing, to the sink.
    """

    def __init__(
        self,
        head: target_link.AnswerHead,
        target_id: identifiers.TargetId,
        response: httpcore.Response,
        connection: connections.TargetConnection,
        idle_monitor: idle.IdleMonitor,
    ) -> None:
        """Initializes the stream; takes the connection over from httpcore."""
        self._head = head
        self._target_id = target_id
        self._response = response
        self._connection = connection
        self._idle_monitor = idle_monitor
        self._parser = httptools.HttpResponseParser(self)
        self._decoded_parts: list[bytes] = []
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._sink: target_link.ByteSink | None = None
        self._complete = False
        self._fault: targets.TargetFault | None = None
        self._state_changed = asyncio.Event()
        self._paused = False
        self._body_began = False
        self.active = True
        self._parser.feed_data(connection.head)
        idle_monitor.add(self)
        connection.set_receiver(self)

    @property
    def head(self) -> target_link.AnswerHead:
        """The head of the response."""
        return self._head

    async def relay(
        self, sink: target_link.ByteSink
    ) -> result.Result[None, targets.TargetFault]:
        """Passes bytes to a sink as they arrive, until the response ends."""
        self._sink = sink
        while self._backlog:
            sink.write(self._backlog.popleft())
        self._resume_connection()
        while not self._complete and self._fault is None:
            self._state_changed.clear()
            await self._state_changed.wait()
        if self._fault is not None:
            return result.Err(self._fault)
        return result.Ok(None)

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns the next bytes; `b""` once the response is complete."""
        while not self._backlog and not self._complete and self._fault is None:
            self._state_changed.clear()
            await self._state_changed.wait()
        if self._backlog:
            data = b"".join(self._backlog)
            self._backlog.clear()
            self._backlog_bytes = 0
            self._resume_connection()
            return result.Ok(data)
        if self._fault is not None:
            return result.Err(self._fault)
        return result.Ok(b"")

    def pause(self) -> None:
        """Pauses reading from the target."""
        self._paused = True
        self.active = True
        self._connection.pause_reading()

    def resume(self) -> None:
        """Resumes reading from the target."""
        self._paused = False
        self.active = True
        self._resume_connection()

    async def close(self) -> None:
        """Closes the connection, which can't be reused after a stream."""
        self._idle_monitor.discard(self)
        self._sink = None
        await self._response.aclose()

    # connections.BodyReceiver

    def data_received(self, data: bytes) -> None:
        """Removes the chunk framing and passes the content to the sink."""
        self.active = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(targets.FaultKind.GARBLED, f"bad framing: {error}")
        parts = self._decoded_parts
        if not parts:
            return
        self._body_began = True
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        if self._sink is not None:
            self._sink.write(body)
            return
        self._buffer_body(body)

    def connection_ended(self) -> None:
        """Ends the stream as lost unless the response is complete."""
        self._fail(targets.FaultKind.LOST, "the connection broke mid-stream")

    def idle_expired(self) -> None:
        """Ends the stream as silent unless it is paused or has not begun.

        Before the first bytes, the engine may still be in a long prefill.
        """
        if not self._paused and self._body_began:
            self._fail(targets.FaultKind.SILENT, "nothing came in time")

    # Callbacks of httptools' parser

    def on_body(self, body: bytes) -> None:
        """Collects the content of a chunk."""
        self._decoded_parts.append(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete, after its last chunk."""
        self._complete = True
        self._state_changed.set()

    def _buffer_body(self, body: bytes) -> None:
        """Buffers bytes until `relay` or `receive` takes them."""
        self._backlog.append(body)
        self._backlog_bytes += len(body)
        if self._backlog_bytes > MAX_BACKLOG_BYTES:
            self._connection.pause_reading()
        self._state_changed.set()

    def _resume_connection(self) -> None:
        """Resumes reading unless the stream is paused."""
        if not self._paused:
            self._connection.resume_reading()

    def _fail(self, kind: targets.FaultKind, detail: str) -> None:
        """Ends the stream with a fault, unless it has already ended."""
        if self._complete or self._fault is not None:
            return
        self._fault = targets.TargetFault(
            kind, self._target_id, detail, self._head.status
        )
        self._state_changed.set()


class BodyStream:
    """Any response other than an event stream, read through httpcore."""

    def __init__(
        self,
        head: target_link.AnswerHead,
        target_id: identifiers.TargetId,
        response: httpcore.Response,
        framed: bool,
    ) -> None:
        """Initializes the stream.

        httpcore reads the body, so that it can reuse the connection.

        Args:
            head: Head of the response.
            target_id: The target.
            response: httpcore's response.
            framed: Whether a content length or chunked encoding marks the end
                of the body.
        """
        self._head = head
        self._target_id = target_id
        self._response = response
        self._framed = framed
        self._chunks = response.aiter_stream()
        self._received = 0

    @property
    def head(self) -> target_link.AnswerHead:
        """The head of the response."""
        return self._head

    async def receive(self) -> result.Result[bytes, targets.TargetFault]:
        """Returns the next bytes; `b""` once the response is complete."""
        try:
            chunk = await anext(self._chunks, b"")
        except httpcore.ReadTimeout:
            return self._make_fault_result(
                targets.FaultKind.SILENT, "nothing came in time"
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return self._make_fault_result(
                targets.FaultKind.LOST,
                f"broke after {self._received} bytes: {error}",
            )
        self._received += len(chunk)
        if chunk or self._framed:
            return result.Ok(chunk)
        return self._make_fault_result(
            targets.FaultKind.GARBLED, "nothing proves that the body is whole"
        )

    async def relay(
        self, sink: target_link.ByteSink
    ) -> result.Result[None, targets.TargetFault]:
        """Passes bytes to a sink as they arrive, until the response ends."""
        while True:
            match await self.receive():
                case result.Ok(b""):
                    return result.Ok(None)
                case result.Ok(data):
                    sink.write(data)
                case result.Err(fault):
                    return result.Err(fault)

    def pause(self) -> None:
        """Does nothing, since data is only read on request."""

    def resume(self) -> None:
        """Does nothing, since data is only read on request."""

    async def close(self) -> None:
        """Returns the connection to the pool, or closes it if mid-response."""
        await self._response.aclose()

    def _make_fault_result(
        self, kind: targets.FaultKind, detail: str
    ) -> result.Err[targets.TargetFault]:
        """Returns a fault of this response."""
        return result.Err(
            targets.TargetFault(
                kind, self._target_id, detail, self._head.status
            )
        )
