"""Which event loop the daemon runs on: uvloop, fit for pycapnp.

pycapnp pauses its transport while it hands out a buffer to read into, if data
comes before it reads. asyncio's transports take that; under uvloop, libuv then
calls a callback that the pause has removed, and the process dies. pycapnp's
protocols therefore get a transport that puts the pause off until the buffer
has been filled.
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
    """A transport whose reading can be paused and resumed at any time."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Takes the transport to pass all else on to."""
        self._transport = transport
        self._buffer_in_use = False
        self._pause_pending = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Pauses, after the buffer in hand has been filled."""
        self._pause_pending = True
        if not self._buffer_in_use:
            self.apply_deferred_pause()

    def resume_reading(self) -> None:
        """Resumes, unless the transport closes."""
        self._pause_pending = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def defer_pauses(self) -> None:
        """Puts pauses off while a buffer is being handed out."""
        self._buffer_in_use = True

    def apply_deferred_pause(self) -> None:
        """Makes a pause that was put off."""
        self._buffer_in_use = False
        if self._pause_pending and not self._transport.is_closing():
            self._transport.pause_reading()
        self._pause_pending = False


class _BufferedProtocolAdapter(asyncio.BufferedProtocol):
    """Stands between uvloop and a protocol that reads into its own buffer."""

    def __init__(self, inner: Any) -> None:
        """Takes the protocol to pass everything on to."""
        self.inner = inner
        self._transport: _DeferredPauseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Gives the inner protocol a transport that it can work with."""
        self._transport = _DeferredPauseTransport(
            typing.cast("asyncio.Transport", transport)
        )
        self.inner.connection_made(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes it on."""
        self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> Any:
        """Returns the inner protocol's buffer, without a pause inside."""
        if self._transport is not None:
            self._transport.defer_pauses()
        return self.inner.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Passes it on, then makes the pause that was asked for."""
        self.inner.buffer_updated(nbytes)
        if self._transport is not None:
            self._transport.apply_deferred_pause()

    def eof_received(self) -> bool | None:
        """Passes it on."""
        if self._transport is not None:
            self._transport.apply_deferred_pause()
        self.inner.eof_received()
        return False

    def pause_writing(self) -> None:
        """Passes it on."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Passes it on."""
        self.inner.resume_writing()


def _wrap_protocol_factory(factory: Callable[[], Any]) -> Callable[[], Any]:
    """Returns a factory whose buffered protocols can pause at any time."""

    def make_protocol() -> Any:
        protocol = factory()
        if isinstance(protocol, asyncio.BufferedProtocol):
            return _BufferedProtocolAdapter(protocol)
        return protocol

    return make_protocol


class EventLoop(uvloop.Loop):
    """uvloop's loop for a process that also uses pycapnp."""

    async def create_server(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Listens; see asyncio."""
        return await super().create_server(
            _wrap_protocol_factory(protocol_factory), *args, **kwargs
        )

    async def create_connection(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Connects; see asyncio. Returns the factory's own protocol."""
        transport, protocol = await super().create_connection(
            _wrap_protocol_factory(protocol_factory), *args, **kwargs
        )
        if isinstance(protocol, _BufferedProtocolAdapter):
            return transport, protocol.inner
        return transport, protocol


BACKEND_OPTIONS: Final[dict[str, Any]] = {"loop_factory": EventLoop}
"""Options for `anyio.run`."""
