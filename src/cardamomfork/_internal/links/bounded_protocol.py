"""uvicorn's HTTP protocol with bounds on what a client may make it hold."""

from __future__ import annotations

import http
import math
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

import httptools
from uvicorn.protocols.http import httptools_impl

from cardamomfork._internal.links import backlog_flow
from cardamomfork._internal.links import connection_table
from cardamomfork._internal.links import held_memory
from cardamomfork._internal.links import lingering_transport
from cardamomfork._internal.links import message_segments
from cardamomfork._internal.links import write_watch

if TYPE_CHECKING:
    import asyncio

    from cardamomfork._internal.links import connection_limits

RETRY_AFTER_S = 1
"""Sent with refusals for want of room."""
MAX_UNPARSED_BYTES = 16_384
"""Bytes behind a request in progress above which reading pauses."""

_RETRY_AFTER = b"retry-after: %d\r\n" % RETRY_AFTER_S
_RETRIED = {http.HTTPStatus.SERVICE_UNAVAILABLE}


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection of one client on any port."""

    def __init__(
        self,
        *arguments: Any,
        limits: connection_limits.ConnectionLimits,
        table: connection_table.ConnectionTable,
        memory: held_memory.ConnectionMemory,
        **options: Any,
    ) -> None:
        """Initializes a connection that has not been opened.

        Args:
            *arguments: Arguments of uvicorn's protocol.
            limits: Limits of the port.
            table: Open connections of the port.
            memory: What the connections of all ports hold.
            **options: Options of uvicorn's protocol.
        """
        super().__init__(*arguments, **options)
        self._limits = limits
        self._table = table
        self._memory = memory
        self._segmenter = message_segments.Segmenter()
        self._unparsed = bytearray()
        # Whether to close once the requests that were read are answered.
        self._is_shutting_down = False
        # Bytes parsed since the last message, head or part of a body ended.
        self._line_bytes = 0
        # Memory of the newest request's headers, until it is answered.
        self._header_bytes = 0
        # Received bytes of its body, until it is answered.
        self._body_bytes = 0
        # Whether nothing more is parsed.
        self._is_refused = False
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def has_pipelined_request(self) -> bool:
        """Whether a head was read that waits for an earlier answer."""
        return message_segments.END_OF_LINES in self._unparsed

    @property
    def _has_open_request(self) -> bool:
        """Whether a request has no complete answer yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Starts reading, and the idle timeout."""
        self._write_watch = write_watch.WriteWatch(transport, self.loop)
        self._lingering = lingering_transport.LingeringTransport(
            transport, self.loop, self._must_linger, self._write_watch
        )
        super().connection_made(cast("asyncio.Transport", self._lingering))
        self._start_idle_timer()
        self._reading = backlog_flow.BacklogFlowControl(transport)
        self.flow = self._reading
        # Writing pauses if the system's buffer is full. TLS transports pause at
        # the limit, others above it.
        is_tls = transport.get_extra_info("sslcontext") is not None
        transport.set_write_buffer_limits(high=int(is_tls), low=0)
        if not self._table.add(self):
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, "too many connections"
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers."""
        self._table.remove(self)
        self._memory.forget(self)
        self._lingering.stop()
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses what may be parsed already; keeps the rest."""
        if self._lingering.is_lingering:
            self._lingering.discard(data)
            return
        if not self._unparsed and self._segmenter.take_body(len(data)):
            self._parse(data)
            return
        self._unparsed += data
        self._parse_received()

    def evict(self) -> None:
        """Closes the connection to make room for another one."""
        self.transport.abort()

    def _release_held(self) -> None:
        """Refuses an unfinished head, or drops the requests behind this one."""
        if self.transport.is_closing():
            return
        if not self._has_open_request:
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, "too much to hold here"
            )
            return
        self._unparsed.clear()
        self._is_refused = True
        self.cycle.keep_alive = False
        self._reading.set_backlogged(True)

    def _must_linger(self) -> bool:
        """Returns whether a close would lose what the client has not read.

        That is so if its last answer is complete while it is still sending.
        """
        cycle = self.cycle
        if self._has_open_request and cycle.response_started:
            # An answer that is broken off must not look complete.
            return False
        if self._is_refused:
            return True
        is_receiving_body = (
            self._segmenter.expected is not message_segments.Expected.HEAD
        )
        return not self._has_open_request and (
            is_receiving_body or bool(self._unparsed)
        )

    def _update_held(self) -> None:
        """Accounts for what this connection holds."""
        if self.transport.is_closing():
            self._unparsed.clear()
            self._memory.heads.forget(self)
            return
        size = self._header_bytes + len(self._unparsed)
        is_between_requests = not self._has_open_request
        if is_between_requests:
            size += self._line_bytes
        is_releasable = is_between_requests or bool(self._unparsed)
        self._memory.heads.hold(
            self, size, self._release_held if is_releasable else None
        )

    def pause_writing(self) -> None:
        """Accounts for an answer that is not being read."""
        super().pause_writing()
        self._write_watch.start()
        self._table.set_unread(self, True)
        self._memory.answers.hold(
            self, self._lingering.unwritten_bytes, self._drop_unread
        )

    def resume_writing(self) -> None:
        """Starts the next request, if one waits."""
        super().resume_writing()
        self._table.set_unread(self, False)
        self._memory.answers.forget(self)
        if self.transport.is_closing():
            return
        self._write_watch.stop()
        self._parse_received()
        if self._is_shutting_down:
            self._close_after_last()

    def _drop_unread(self) -> None:
        """Closes a connection whose client doesn't read the answer."""
        # This may be called while the transport writes.
        self.loop.call_soon(self.transport.abort)

    def shutdown(self) -> None:
        """Closes the connection once all requests that were read are done."""
        self._is_shutting_down = True
        self._close_after_last()

    def _close_after_last(self) -> None:
        """Closes a connection that shuts down once its requests are done."""
        if self._has_open_request:
            if not self.has_pipelined_request:
                self.cycle.keep_alive = False
        elif not (self.flow.write_paused and self.has_pipelined_request):
            self.transport.close()

    def _parse_received(self) -> None:
        """Parses until a request is whole, a bound is met or nothing is left.

        The next request is parsed when the answer to this one has been written,
        so that no more than one request of a connection is held as objects, and
        no more than one answer.
        """
        while self._unparsed and self._may_parse():
            self._parse(self._segmenter.take(self._unparsed))
        if not self.transport.is_closing():
            self._reading.set_backlogged(
                len(self._unparsed) > MAX_UNPARSED_BYTES
            )
        self._update_held()

    def _may_parse(self) -> bool:
        """Returns whether the parser may get the bytes that come next."""
        if self.transport.is_closing() or self._is_refused:
            return False
        if self._segmenter.expected is not message_segments.Expected.HEAD:
            return True
        return not (self._has_open_request or self.flow.write_paused)

    def _parse(self, segment: bytes) -> None:
        """Parses a segment; refuses its request if it is malformed."""
        self._line_bytes += len(segment)
        try:
            self.parser.feed_data(segment)
        except httptools.HttpParserUpgrade:
            pass  # Offers are ignored.
        except httptools.HttpParserError:
            self._refuse(
                http.HTTPStatus.BAD_REQUEST, "Invalid HTTP request received."
            )
            return
        if self._line_bytes > self._limits.max_head_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "headers too large",
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the request; drops trailers."""
        if self._segmenter.expected is message_segments.Expected.HEAD:
            super().on_header(name, value)
            self._header_bytes += (
                len(name) + len(value) + held_memory.HEADER_OBJECT_BYTES
            )

    def on_message_begin(self) -> None:
        """Starts the timeout of a head; empty lines before it start none."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self._table.update(self, connection_table.State.HEAD)
        self._head_timer = self.loop.call_later(
            self._limits.header_timeout_s, self._refuse_late_head
        )

    def on_headers_complete(self) -> None:
        """Starts the request."""
        self._line_bytes = 0
        self._stop_head_timer()
        if self._memory.heads.is_full:
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, "too much to hold here"
            )
            return
        super().on_headers_complete()
        self._table.update(self, connection_table.State.BODY)
        self._segmenter.expect_body(self.headers)
        if self._is_shutting_down:
            self._close_after_last()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the request's body."""
        if self._is_refused:
            return
        self._line_bytes = 0
        super().on_body(body)
        self._table.update(self, connection_table.State.BODY)
        if not self.cycle.response_complete:
            self._body_bytes += len(body)
            self._memory.bodies.hold(
                self, self._body_bytes, self._refuse_held_body
            )

    def on_message_complete(self) -> None:
        """Ends the request's body."""
        if self._is_refused:
            return
        self._line_bytes = 0
        self._segmenter.expect_head()
        super().on_message_complete()
        # A request that was read whole is not given up.
        self._memory.bodies.hold(self, self._body_bytes)
        self._update_idle()

    def on_response_complete(self) -> None:
        """Starts the idle timeout in force, or the next request."""
        self._drop_headers()
        self._drop_body()
        self.timeout_keep_alive = math.ceil(self._limits.idle_timeout_s)
        super().on_response_complete()
        self._update_idle()
        self._parse_received()
        if self._is_shutting_down:
            self._close_after_last()

    def _drop_headers(self) -> None:
        """Drops the newest request's headers, whose memory counts as free."""
        self._header_bytes = 0
        self.headers = []
        if self.cycle is not None and self.cycle.response_complete:
            self.cycle.scope = {**self.cycle.scope, "headers": []}

    def _drop_body(self) -> None:
        """Drops the newest request's body, whose memory counts as free."""
        self._body_bytes = 0
        self._memory.bodies.forget(self)

    def _update_idle(self) -> None:
        """Notes that a message or its answer has ended."""
        if self._lingering.is_lingering:
            self._table.update(self, connection_table.State.CLOSING)
        if self.transport.is_closing():
            return
        if self._has_open_request:
            self._table.update(self, connection_table.State.ANSWER)
        elif self._segmenter.expected is message_segments.Expected.HEAD:
            self._table.update(self, connection_table.State.IDLE)

    def _start_idle_timer(self) -> None:
        """Closes the connection if no request begins in time."""
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _stop_head_timer(self) -> None:
        """Stops the timeout of a head."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse_held_body(self) -> None:
        """Refuses a request whose body has not been received whole."""
        if not self.transport.is_closing():
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE, "too much to hold here"
            )

    def _refuse_late_head(self) -> None:
        """Refuses a request whose head was not complete in time."""
        if not self.transport.is_closing():
            self._refuse(
                http.HTTPStatus.REQUEST_TIMEOUT, "headers not complete in time"
            )

    def _refuse(self, status: http.HTTPStatus, reason: str) -> None:
        """Refuses the request that is being received; closes the connection.

        Its application finds that the client has disconnected. A refusal isn't
        sent inside another answer.
        """
        cycle = self.cycle
        is_open = self._has_open_request
        self._is_refused = True
        self._table.count_refusal(status)
        if is_open and (cycle.response_started or not cycle.more_body):
            self.transport.close()
            return
        if is_open:
            cycle.disconnected = True
            cycle.body = bytearray()
            cycle.message_event.set()
        body = reason.encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\ncontent-type: text/plain; charset=utf-8\r\n"
            b"content-length: %d\r\nconnection: close\r\n%b\r\n%b"
            % (
                status,
                status.phrase.encode(),
                len(body),
                _RETRY_AFTER if status in _RETRIED else b"",
                body,
            )
        )
        if not is_open and self.scope is not None:
            self.scope = {**self.scope, "headers": []}
        self._drop_headers()
        self._drop_body()
        self.transport.close()
        self._update_idle()
