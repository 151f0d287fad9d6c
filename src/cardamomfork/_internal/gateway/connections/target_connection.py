"""HTTP/1.1 connection to a target that carries one request at a time.

It uses an asyncio transport with httptools rather than an HTTP client, because
it must see bytes that arrive while no answer is due. A connection that receives
such bytes is closed.
"""

from __future__ import annotations

import asyncio
import enum
import fcntl
import math
import socket
import struct
import termios
import typing
from typing import TYPE_CHECKING

import anyio
import attrs
import httptools

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from anyio.streams import memory

    from cardamomfork._internal.models import forwarding

USER_TIMEOUT_MS = 2500
"""Time after which unacknowledged bytes end a connection. A sound target may be
silent for a second or more. It also decides when keep-alive probes give up."""
KEEP_ALIVE_PROBE_S = 1
"""Idle time before the first keep-alive probe, and interval of probes."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout of a connection if the target announces none."""
IDLE_MARGIN_S = 1.0
"""Subtracted from the target's idle timeout, so that this side closes first."""
MAX_BUFFERED_BYTES = 16_384
"""Limit of received but unconsumed bytes at which reading pauses."""
MAX_READ_BYTES = 16_384
"""Longer reads of very short chunks, at many connections in turn, would hold
up other requests for a second or more."""
MAX_HEAD_BYTES = 65_536
"""Limit of a head, and of bytes in a row behind it that neither belong to the
body nor end it, such as trailers."""
MAX_HEADERS = 256
"""Limit of the headers of an answer. The objects of short ones take some thirty
times their bytes."""
MAX_DISCARDED_BYTES = 1_048_576
"""Limit of bytes in a row of answers to other requests."""
SEND_CHECK_INTERVAL_S = 0.02
"""Interval at which to check whether a request has been sent whose answer has
ended before."""
MAX_FAILED_IDS = 256
"""Limit of remembered request ids, after which a connection is not reused."""

# Shared by all connections, as each read is parsed before the next one.
_READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))
_INT = struct.Struct("i")
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_FIRST_FAILED_STATUS = 300
_LAST_STATUS = 599


class _TooManyHeadersError(Exception):
    """A head has more than `MAX_HEADERS` headers."""


class Fault(enum.StrEnum):
    """Reason why an exchange ended without a complete answer."""

    CLOSED = "closed by the target"
    RESET = "reset"
    MALFORMED = "malformed answer"
    FOREIGN = "may answer another request"
    ENDLESS = "too many bytes without an answer"


@attrs.frozen
class HeadReceived:
    """The head of the answer has been received."""

    head: forwarding.ResponseHead


@attrs.frozen
class Data:
    """A part of the answer's body has been received."""

    data: bytes


@attrs.frozen
class Completed:
    """The answer is complete."""


@attrs.frozen
class Failed:
    """The exchange has ended without a complete answer.

    Attributes:
        fault: Reason of the failure.
        detail: Error text of the parser or the connection, or an empty text.
    """

    fault: Fault
    detail: str = ""


Message = HeadReceived | Data | Completed | Failed


class TargetConnection(asyncio.BufferedProtocol):
    """A connection that carries one exchange at a time."""

    pauses_while_reading = False

    peer_id = ""
    """Id of the peer that the connection leads over; this one is direct."""
    peer_data_centre = ""
    """Data centre of that peer."""

    def __init__(
        self,
        decode: Callable[
            [int, Iterable[tuple[bytes, bytes]]], forwarding.ResponseHead
        ],
        on_lost: Callable[[], None] = lambda: None,
        *,
        answers_in_order: bool = False,
    ) -> None:
        """Initializes the connection.

        Args:
            decode: Decodes the status and headers of an answer.
            on_lost: Called if the connection ends by an error.
            answers_in_order: Whether the other side is known to answer each
                request once and in order, with or without its id.
        """
        self._decode = decode
        self._on_lost = on_lost
        self._answers_in_order = answers_in_order
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._message_stream: memory.MemoryObjectSendStream[Message] | None = (
            None
        )
        self._request_id = ""
        self._is_used = False
        self._has_carried_others = False
        self._is_head_request = False
        self._is_discarding = False
        self._ends_at_eof = False
        self._is_reusable = True
        self._is_open = False
        self._has_head = False
        self._is_success = False
        self._has_body = False
        # Parts of the body in the read that is being parsed.
        self._body_parts: list[bytes] = []
        self._unused_bytes = 0
        self._discarded_bytes = 0
        # Hashes, since ids can be as long as a head.
        self._failed_ids: set[int] = set()
        self._buffered_bytes = 0
        self._is_paused = False
        self._idle_since = 0.0
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Returns whether a request may be sent on this idle connection.

        Args:
            now: Time of the event loop.
            max_idle_s: Maximum time that it may have been idle, in seconds.
        """
        idle_s = now - self._idle_since
        return (
            self._is_open
            and self._is_reusable
            and self._message_stream is None
            and idle_s < min(self._idle_timeout_s, max_idle_s)
        )

    def may_carry(self, request_id: str) -> bool:
        """Returns whether no request with this id has failed on it.

        If the target wrote its earlier answer once more, that would look like
        the answer to the new request.
        """
        return hash(request_id) not in self._failed_ids

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and may carry another request."""
        return self._is_open and self._is_reusable

    def start(
        self, request: bytes, request_id: str, *, is_head: bool = False
    ) -> memory.MemoryObjectReceiveStream[Message]:
        """Sends a request and returns the stream of messages of its answer.

        Args:
            request: Encoded head and body.
            request_id: Request id that the answer must carry.
            is_head: Whether this is a HEAD request, whose answer has no body.
        """
        self._has_carried_others = self._is_used
        self._is_used = True
        sender, receiver = anyio.create_memory_object_stream[Message](math.inf)
        self._message_stream = sender
        self._request_id = request_id
        self._is_head_request = is_head
        self._is_discarding = False
        self._ends_at_eof = False
        self._has_head = False
        self._has_body = False
        self._unused_bytes = 0
        self._discarded_bytes = 0
        if self._transport is None or not self._is_open:
            self._finish(Failed(Fault.RESET, "closed before the request"))
        else:
            self._transport.write(request)
        return receiver

    def mark_consumed(self, size: int) -> None:
        """Records that the reader has consumed bytes of the answer."""
        self._buffered_bytes -= size
        if self._is_paused and self._buffered_bytes <= MAX_BUFFERED_BYTES:
            self._is_paused = False
            if self._transport is not None and self._is_open:
                self._transport.resume_reading()

    def abort(self) -> None:
        """Aborts the connection and the request on it, if any."""
        self._is_reusable = False
        self._is_open = False
        self._message_stream = None
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self) -> None:
        """Closes the connection if it carries no request."""
        if self._message_stream is None:
            self.abort()

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets socket options that detect an unresponsive target."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self._is_open = True
        self._socket = tcp_socket = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S),
        ):
            tcp_socket.setsockopt(level, option, value)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes of a read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses bytes; closes the connection if no answer is due."""
        if self._message_stream is None:
            self.abort()
            return
        self._unused_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # An upgrade is a fault too, since no request asks for one.
            self._is_reusable = False
            self._finish(Failed(Fault.MALFORMED, str(error)))
            return
        self._deliver_body()
        own_bytes = 0
        if not self._is_discarding:
            own_bytes = self._unused_bytes - self._discarded_bytes
        if (
            own_bytes > MAX_HEAD_BYTES
            or self._unused_bytes > MAX_DISCARDED_BYTES
        ):
            self._is_reusable = False
            self._finish(Failed(Fault.ENDLESS, f"{self._unused_bytes} bytes"))

    def eof_received(self) -> bool:
        """Completes an answer that ends at EOF; fails any other.

        An empty success can't be told from one whose body never came.

        Returns:
            Whether the connection stays open, to send the rest of the request.
        """
        self._is_reusable = False
        if (
            self._ends_at_eof
            and not self._is_discarding
            and (self._has_body or not self._is_success)
        ):
            return self._complete_unless_reset()
        self._finish(Failed(Fault.CLOSED))
        return False

    def _complete_unless_reset(self) -> bool:
        """Completes an answer that has ended with its connection.

        A target that closes before it has read the whole request resets the
        connection, and the answer may lack its end. So an answer that ends
        early is complete only once the target has accepted the rest.

        Returns:
            Whether that is still to come.
        """
        self._send_timer = None
        if self._message_stream is None:
            return False
        if self._has_socket_error():
            self._finish(Failed(Fault.RESET, "reset after the end of its data"))
        elif not self._has_unacknowledged_bytes():
            self._finish(Completed())
        else:
            self._send_timer = asyncio.get_running_loop().call_later(
                SEND_CHECK_INTERVAL_S, self._complete_unless_reset
            )
            return True
        return False

    def _has_socket_error(self) -> bool:
        """Returns whether the connection was reset after its data."""
        return self._socket is not None and bool(
            self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )

    def _has_unacknowledged_bytes(self) -> bool:
        """Returns whether the target has not accepted the whole request."""
        if self._transport is None or self._socket is None:
            return False
        if self._transport.get_write_buffer_size():
            return True
        count = bytearray(_INT.size)
        try:
            fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            # Not all platforms tell; what was written counts as accepted then.
            return False
        return bool(_INT.unpack(count)[0])

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the current exchange."""
        if exc is not None:
            self._on_lost()
        self._is_open = False
        self._is_reusable = False
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        self._finish(Failed(Fault.RESET, repr(exc) if exc else ""))

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Starts a head; one that is not due makes the connection unusable."""
        self._headers = []
        if self._message_stream is None:
            self._is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, unless it is a trailer, which is not passed on."""
        if self._has_head or self._is_discarding:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise _TooManyHeadersError
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Delivers the head unless it belongs to another request's answer."""
        status = self._parser.get_status_code()
        if self._message_stream is None or (
            _FIRST_STATUS <= status < _FIRST_FINAL_STATUS
        ):
            return
        if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
            self._is_reusable = False
            self._finish(Failed(Fault.MALFORMED, f"status {status}"))
            return
        head = self._decode(status, self._headers)
        self._is_discarding = bool(
            head.request_id and head.request_id != self._request_id
        )
        if self._is_discarding:
            # More late answers may follow, so this connection is not reused
            # after the current exchange.
            self._is_reusable = False
            return
        lacks_id = self._request_id and not head.request_id
        if lacks_id and not self._answers_in_order:
            # Another answer without an id could not be told from this one.
            self._is_reusable = False
            if self._has_carried_others:
                self._finish(Failed(Fault.FOREIGN, f"{status} without an id"))
                return
        if head.closes or head.is_leaving:
            self._is_reusable = False
        if head.idle_timeout_s is not None:
            self._idle_timeout_s = max(head.idle_timeout_s - IDLE_MARGIN_S, 0)
        self._ends_at_eof = head.content_length is None and not any(
            name == b"transfer-encoding" for name, _ in self._headers
        )
        if self._ends_at_eof:
            self._is_reusable = False
        self._has_head = True
        self._is_success = head.is_success
        self._deliver(HeadReceived(head))
        if self._is_head_request:
            self._is_reusable = False
            self._finish(Completed())

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body until the read has been parsed."""
        if self._is_discarding or self._message_stream is None:
            return
        self._has_body = True
        self._body_parts.append(body)

    def _deliver_body(self) -> None:
        """Delivers what a read has brought; pauses reading above the limit.

        Chunks may be as short as a byte, so each read gives one message only.
        """
        if not self._body_parts:
            return
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        self._buffered_bytes += len(body)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._is_paused:
            self._is_paused = True
            if self._transport is not None:
                self._transport.pause_reading()
        self._deliver(Data(body))

    def on_message_complete(self) -> None:
        """Ends the answer; one to another request is only discarded."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            return
        if self._is_discarding:
            self._is_discarding = False
            self._discarded_bytes = self._unused_bytes
            return
        if not self._parser.should_keep_alive():
            self._is_reusable = False
        if self._transport is None or self._transport.get_write_buffer_size():
            # The answer arrived before the whole request was sent.
            self._is_reusable = False
        self._finish(Completed())

    def _deliver(self, message: Message) -> None:
        """Delivers a message; aborts if the receiver has been closed."""
        self._unused_bytes = 0
        if self._message_stream is not None:
            try:
                self._message_stream.send_nowait(message)
            except anyio.BrokenResourceError:
                self.abort()

    def _finish(self, message: Message) -> None:
        """Delivers the last message and ends the exchange."""
        if self._message_stream is None:
            return
        self._deliver_body()
        if isinstance(message, Completed):
            self._remember_failed_request()
        self._deliver(message)
        if self._message_stream is not None:
            self._message_stream.close()
        self._message_stream = None
        self._buffered_bytes = 0
        self._idle_since = asyncio.get_running_loop().time()
        if not self._is_reusable and self._transport is not None:
            self._transport.close()

    def _remember_failed_request(self) -> None:
        """Remembers the id of a request that may be sent again."""
        is_failure = self._parser.get_status_code() >= _FIRST_FAILED_STATUS
        if self._request_id and is_failure:
            self._failed_ids.add(hash(self._request_id))
            if len(self._failed_ids) >= MAX_FAILED_IDS:
                self._is_reusable = False
