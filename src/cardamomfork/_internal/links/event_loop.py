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


class _PostponingTransport:
    """A transport whose reading can be paused and resumed at any time."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Takes the transport to pass all else on to."""
        self._transport = transport
        self._is_held = False
        self._pause_is_due = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        """Pauses, after the buffer in hand has been filled."""
        self._pause_is_due = True
        if not self._is_held:
            self.release()

    def resume_reading(self) -> None:
        """Resumes, unless the transport closes."""
        self._pause_is_due = False
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def hold(self) -> None:
        """Puts pauses off while a buffer is being handed out."""
        self._is_held = True

    def release(self) -> None:
        """Makes a pause that was put off."""
        self._is_held = False
        if self._pause_is_due and not self._transport.is_closing():
            self._transport.pause_reading()
        self._pause_is_due = False


class _BufferedProtocol(asyncio.BufferedProtocol):
    """Stands between uvloop and a protocol that reads into its own buffer."""

    def __init__(self, inner: Any) -> None:
        """Takes the protocol to pass everything on to."""
        self.inner = inner
        self._transport: _PostponingTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Gives the inner protocol a transport that it can work with."""
        self._transport = _PostponingTransport(
            typing.cast("asyncio.Transport", transport)
        )
        self.inner.connection_made(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes it on."""
        self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> Any:
        """Returns the inner protocol's buffer, without a pause inside."""
        if self._transport is not None:
            self._transport.hold()
        return self.inner.get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Passes it on, then makes the pause that was asked for."""
        self.inner.buffer_updated(nbytes)
        if self._transport is not None:
            self._transport.release()

    def eof_received(self) -> bool | None:
        """Passes it on."""
        if self._transport is not None:
            self._transport.release()
        self.inner.eof_received()
        return False

    def pause_writing(self) -> None:
        """Passes it on."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Passes it on."""
        self.inner.resume_writing()


def _wrap(factory: Callable[[], Any]) -> Callable[[], Any]:
    """Returns a factory whose buffered protocols can pause at any time."""

    def make() -> Any:
        made = factory()
        if isinstance(made, asyncio.BufferedProtocol):
            return _BufferedProtocol(made)
        return made

    return make


class Loop(uvloop.Loop):
    """uvloop's loop for a process that also uses pycapnp."""

    async def create_server(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Listens; see asyncio."""
        return await super().create_server(
            _wrap(protocol_factory), *args, **kwargs
        )

    async def create_connection(
        self, protocol_factory: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Connects; see asyncio. Returns the factory's own protocol."""
        transport, made = await super().create_connection(
            _wrap(protocol_factory), *args, **kwargs
        )
        if isinstance(made, _BufferedProtocol):
            return transport, made.inner
        return transport, made


BACKEND_OPTIONS: Final[dict[str, Any]] = {"loop_factory": Loop}
"""Options for `anyio.run`."""
