"""TCP connections to targets, as a network backend for httpcore.

A connection passes only the head of a response to httpcore. The bytes after
the head can go to a receiver, which the transport calls directly, without a
task switch for each chunk. The connection uses the asyncio transport because
anyio's streams cost one task switch per read, which alone is most of the CPU
budget for relaying a token.
"""

from __future__ import annotations

import asyncio
import typing
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import httpcore

if TYPE_CHECKING:
    from collections.abc import Iterable

HEAD_TERMINATOR = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 * 1024
HIGH_WATER_BYTES = 256 * 1024
MAX_INFORMATIONAL_HEADS = 16
"""Heads with status 1xx before the final head of a response."""


class BodyReceiver(Protocol):
    """Receives the bytes that follow the head of a response."""

    def data_received(self, data: bytes) -> None:
        """Called with each piece of data as it arrives."""
        ...

    def connection_ended(self) -> None:
        """Called when the connection has ended."""
        ...


class TargetConnection(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """Connection that is an asyncio protocol and an httpcore stream."""

    def __init__(self) -> None:
        """Initializes the connection without a transport."""
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._head = b""
        self._reading_head = True
        self._informational_heads = 0
        self._ended = False
        self._receiver: BodyReceiver | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False

    @property
    def head(self) -> bytes:
        """The raw head of the most recent response."""
        return self._head

    @property
    def ended(self) -> bool:
        """Whether the connection was closed by the target or has failed."""
        return self._ended

    def set_receiver(self, receiver: BodyReceiver) -> None:
        """Passes all bytes after the head to a receiver from now on."""
        self._receiver = receiver
        buffered = bytes(self._buffer)
        self._buffer.clear()
        self.resume_reading()
        if buffered:
            receiver.data_received(buffered)
        if self._ended:
            receiver.connection_ended()

    def pause_reading(self) -> None:
        """Stops reading from the socket."""
        if self._transport and not self._paused and not self._ended:
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""
        if self._transport and self._paused and not self._ended:
            self._transport.resume_reading()
        self._paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # uvloop's transports don't inherit from asyncio.Transport.
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the receiver, or buffers them for `read`."""
        if self._receiver is not None:
            self._receiver.data_received(data)
            return
        self._buffer += data
        if len(self._buffer) > HIGH_WATER_BYTES:
            self.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Marks the connection as ended; the transport closes itself."""
        self._mark_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Marks the connection as ended."""
        self._mark_ended()

    def pause_writing(self) -> None:
        """Blocks writers."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks writers."""
        self._writable.set()

    # httpcore.AsyncNetworkStream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes; returns a whole head first where one is expected."""
        try:
            with anyio.fail_after(timeout):
                return await self._read(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes; the next bytes read are a response head."""
        if not buffer:
            return
        if self._transport is None or self._ended:
            raise httpcore.WriteError("the connection has ended")
        self._reading_head = True
        self._informational_heads = 0
        self._transport.write(buffer)
        try:
            with anyio.fail_after(timeout):
                await self._writable.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error

    async def aclose(self) -> None:
        """Aborts the connection."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Tells httpcore whether an idle connection is no longer usable."""
        if info == "is_readable":
            return self._ended or bool(self._buffer)
        return None

    async def _read(self, max_bytes: int) -> bytes:
        """Reads bytes, without a timeout."""
        while not self._can_read():
            self._readable.clear()
            await self._readable.wait()
        size = min(max_bytes, len(self._buffer))
        head_end = (
            self._buffer.find(HEAD_TERMINATOR) if self._reading_head else -1
        )
        if head_end >= 0:
            size = head_end + len(HEAD_TERMINATOR)
            self._head = bytes(self._buffer[:size])
            self._reading_head = self._head.startswith(b"HTTP/1.1 1")
            self._informational_heads += self._reading_head
            if self._informational_heads > MAX_INFORMATIONAL_HEADS:
                raise httpcore.RemoteProtocolError("no final head")
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self.resume_reading()
        return data

    def _can_read(self) -> bool:
        """Returns whether `_read` can return a head, data or the end."""
        if self._ended:
            return True
        if not self._reading_head:
            return bool(self._buffer)
        head_complete = HEAD_TERMINATOR in self._buffer
        return head_complete or len(self._buffer) > MAX_HEAD_BYTES

    def _mark_ended(self) -> None:
        """Marks the end, wakes waiters and notifies the receiver, once."""
        if self._ended:
            return
        self._ended = True
        self._readable.set()
        self._writable.set()
        if self._receiver is not None:
            self._receiver.connection_ended()


class TargetNetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to targets for httpcore."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,  # noqa: ARG002
        socket_options: Iterable[Any] | None = None,  # noqa: ARG002
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection."""
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                _, connection = await loop.create_connection(
                    TargetConnection, host, port
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except (OSError, OverflowError, ValueError) as error:
            # A configured port or host name may be out of range.
            raise httpcore.ConnectError(str(error)) from error
        return connection

    async def sleep(self, seconds: float) -> None:
        """Sleeps between httpcore's connection attempts."""
        await anyio.sleep(seconds)
