"""TCP connections to targets, as a network backend for httpcore.

A connection gives httpcore the head of an answer and nothing beyond it. What
follows can then go to a receiver by a plain call from the transport, without
a task switch for each chunk. The asyncio transport is used directly because
anyio's streams cost a task switch a read, which is most of what a relayed
token may cost.
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


class BodyReceiver(Protocol):
    """Takes the bytes that follow the head of an answer."""

    def data_received(self, data: bytes) -> None:
        """Takes bytes as they come."""
        ...

    def connection_ended(self) -> None:
        """Notes that no more bytes will come."""
        ...


class TargetConnection(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection; meets both asyncio's and httpcore's interface."""

    def __init__(self) -> None:
        """Starts without a transport."""
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._head = b""
        self._reading_head = True
        self._ended = False
        self._receiver: BodyReceiver | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False

    @property
    def head(self) -> bytes:
        """The raw head of the last answer."""
        return self._head

    @property
    def ended(self) -> bool:
        """Whether the other side has closed it, or it has broken."""
        return self._ended

    def set_receiver(self, receiver: BodyReceiver) -> None:
        """Sends all that follows the head to a receiver from now on."""
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
        """Reads from the socket again."""
        if self._transport and self._paused and not self._ended:
            self._transport.resume_reading()
        self._paused = False

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # uvloop's transports have the interface and not the class.
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the receiver, or keeps them for `read`."""
        if self._receiver is not None:
            self._receiver.data_received(data)
            return
        self._buffer += data
        if len(self._buffer) > HIGH_WATER_BYTES:
            self.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Notes the end; the transport closes itself."""
        self._mark_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Notes the end."""
        self._mark_ended()

    def pause_writing(self) -> None:
        """Makes writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        self._writable.set()

    # httpcore's side

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes, up to the end of the head where one is due."""
        try:
            with anyio.fail_after(timeout):
                return await self._read(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes; the head of an answer is due after them."""
        if not buffer:
            return
        if self._transport is None or self._ended:
            raise httpcore.WriteError("the connection has ended")
        self._reading_head = True
        self._transport.write(buffer)
        try:
            with anyio.fail_after(timeout):
                await self._writable.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error

    async def aclose(self) -> None:
        """Drops the connection."""
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Tells httpcore whether an idle connection has ended."""
        if info == "is_readable":
            return self._ended or bool(self._buffer)
        return None

    async def _read(self, max_bytes: int) -> bytes:
        """Reads bytes without a time limit."""
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
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self.resume_reading()
        return data

    def _can_read(self) -> bool:
        """Tells whether a read can return: a whole head, data, or the end."""
        if self._ended:
            return True
        if not self._reading_head:
            return bool(self._buffer)
        head_complete = HEAD_TERMINATOR in self._buffer
        return head_complete or len(self._buffer) > MAX_HEAD_BYTES

    def _mark_ended(self) -> None:
        """Wakes all that wait, once."""
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
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        return connection

    async def sleep(self, seconds: float) -> None:
        """Waits between httpcore's own connection attempts."""
        await anyio.sleep(seconds)
