"""uvicorn's HTTP protocol with bounds on what a client may make it hold."""

from __future__ import annotations

import http
import math
from typing import Any

import httptools
from uvicorn.protocols.http import httptools_impl

from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import message_segments


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection of one client on any port."""

    def __init__(
        self,
        *arguments: Any,
        limits: connection_limits.ConnectionLimits | None = None,
        **options: Any,
    ) -> None:
        """Initializes a connection that has not been opened.

        Args:
            *arguments: Arguments of uvicorn's protocol.
            limits: Limits of the port; None for the defaults.
            **options: Options of uvicorn's protocol.
        """
        super().__init__(*arguments, **options)
        self._limits = limits or connection_limits.ConnectionLimits()
        self._segmenter = message_segments.Segmenter()
        self._unparsed = bytearray()
        # Bytes parsed since the last message, head or part of a body ended.
        self._line_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parses data until a bound is exceeded or the connection closes."""
        self._unset_keepalive_if_required()
        self._unparsed += data
        while self._unparsed and not self.transport.is_closing():
            self._parse(self._segmenter.take(self._unparsed))

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

    def on_headers_complete(self) -> None:
        """Starts the request."""
        self._line_bytes = 0
        super().on_headers_complete()
        self._segmenter.expect_body(self.headers)

    def on_body(self, body: bytes) -> None:
        """Adds a part of the request's body."""
        self._line_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request's body."""
        self._line_bytes = 0
        self._segmenter.expect_head()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Sets the keep-alive timeout to the idle timeout in force."""
        self.timeout_keep_alive = math.ceil(self._limits.idle_timeout_s)
        super().on_response_complete()

    def _refuse(self, status: http.HTTPStatus, reason: str) -> None:
        """Refuses the request that is being received; closes the connection.

        Its application finds that the client has disconnected. A refusal isn't
        sent inside another answer.
        """
        cycle = self.cycle
        is_open = cycle is not None and not cycle.response_complete
        if is_open and (cycle.response_started or not cycle.more_body):
            self.transport.close()
            return
        if is_open:
            cycle.disconnected = True
            cycle.message_event.set()
        body = reason.encode()
        self.transport.write(
            b"HTTP/1.1 %d %b\r\ncontent-type: text/plain; charset=utf-8\r\n"
            b"content-length: %d\r\nconnection: close\r\n\r\n%b"
            % (status, status.phrase.encode(), len(body), body)
        )
        self.transport.close()
