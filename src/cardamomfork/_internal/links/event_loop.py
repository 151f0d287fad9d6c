"""Event loop of the daemon: uvloop, adapted for pycapnp.

If data arrives before pycapnp reads, pycapnp calls `pause_reading` on its
transport from within `get_buffer`. asyncio's transports support that. Under
uvloop, libuv then calls a callback that the pause has removed, and the process
crashes. pycapnp's protocols therefore get a transport that defers the pause
until the buffer has been filled. Protocols that never pause in `get_buffer` set
`pauses_while_reading` to False and use the transport itself.
"""

from __future__ import annotations

import asyncio
import typing
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from collections.abc import Callable


class _DeferredPauseTransport:
    """Transport wrapper that defers pauses while a buffer is in use."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Wraps a transport, which handles every other call."""
        self._transport = transport
        self._buffer_in_use = False
        self._pause_pending = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Pauses reading, once no buffer is in use."""
        self._pause_pending = True
        if not self._buffer_in_use:
            self.apply_deferred_pause()

    def resume_reading(self) -> None:
        """Resumes reading, unless the transport is closing."""
        self._pause_pending = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def defer_pauses(self) -> None:
        """Defers pauses while the protocol's buffer is in use."""
        self._buffer_in_use = True

    def apply_deferred_pause(self) -> None:
        """Ends the use of the buffer and applies a deferred pause."""
        self._buffer_in_use = False
        if self._pause_pending and not self._transport.is_closing():
            self._transport.pause_reading()
        self._pause_pending = False


class _BufferedProtocolAdapter(asyncio.BufferedProtocol):
    """Adapts a buffered protocol to uvloop by wrapping its transport."""

    def __init__(self, inner: Any) -> None:
        """Wraps a protocol, which handles every event."""
        self.inner = inner
        self._transport: _DeferredPauseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the wrapped transport to the inner protocol."""
        self._transport = _DeferredPauseTransport(
            typing.cast("asyncio.Transport", transport)
        )
        self.inner.connection_made(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forwards the event."""
        self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> Any:
        """Returns the inner protocol's buffer; defers pauses meanwhile."""
        if self._transport is not None:
            self._transport.defer_pauses()
        return self.inner.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Forwards the event, then applies a deferred pause."""
        self.inner.buffer_updated(nbytes)
        if self._transport is not None:
            self._transport.apply_deferred_pause()

    def eof_received(self) -> bool | None:
        """Applies a deferred pause, then forwards the event."""
        if self._transport is not None:
            self._transport.apply_deferred_pause()
        self.inner.eof_received()
        return False

    def pause_writing(self) -> None:
        """Forwards the event."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Forwards the event."""
        self.inner.resume_writing()


def _wrap_protocol_factory(factory: Callable[[], Any]) -> Callable[[], Any]:
    """Returns a factory that adapts buffered protocols to uvloop."""

    def make_protocol() -> Any:
        protocol = factory()
        if isinstance(protocol, asyncio.BufferedProtocol) and getattr(
            protocol, "pauses_while_reading", True
        ):
            return _BufferedProtocolAdapter(protocol)
        return protocol

    return make_protocol


class EventLoop(uvloop.Loop):
    """uvloop's event loop for a process that also uses pycapnp."""

    async def create_server(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Creates a server as asyncio does, with adapted protocols."""
        return await super().create_server(
            _wrap_protocol_factory(protocol_factory), *args, **kwargs
        )

    async def create_connection(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Connects as asyncio does; returns the factory's own protocol."""
        transport, protocol = await super().create_connection(
            _wrap_protocol_factory(protocol_factory), *args, **kwargs
        )
        if isinstance(protocol, _BufferedProtocolAdapter):
            return transport, protocol.inner
        return transport, protocol


BACKEND_OPTIONS: Final[dict[str, Any]] = {"loop_factory": EventLoop}
"""`backend_options` for `anyio.run`."""


def report_exceptions(
    report: Callable[[BaseException | None, str], None],
) -> None:
    """Reports the exceptions of callbacks of the running event loop.

    Args:
        report: Called with an exception that nothing else handles, or None,
            and with the event loop's description if there is no exception. The
            description of an exception may contain data of a request.
    """

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        del loop
        error = context.get("exception")
        reason = "" if error is not None else context.get("message", "")
        report(error, reason)

    asyncio.get_running_loop().set_exception_handler(handle)
