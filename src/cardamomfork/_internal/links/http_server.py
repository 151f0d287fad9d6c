"""HTTP server on the running event loop, based on uvicorn."""

from __future__ import annotations

import contextlib
import socket
from typing import Any
from typing import TYPE_CHECKING

import anyio
import uvicorn

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator
    import ssl

LISTEN_BACKLOG = 4096
KEEP_ALIVE_TIMEOUT_S = 30


class _Server(uvicorn.Server):
    """uvicorn server that leaves signal handling to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Initializes the server without listening."""
        super().__init__(config)
        self.listening = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts listening and sets `listening`."""
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures no signals."""
        yield


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket; port 0 picks a free port.

    Raises:
        exceptions.CardamomforkError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise exceptions.CardamomforkError(
            f"cannot listen on {host}:{port}: {error.strerror}.",
            "Set a free port or another address in the settings.",
        ) from error
    return listener


def _make_context_factory(
    context: ssl.SSLContext | None,
) -> Callable[..., ssl.SSLContext] | None:
    """Returns a uvicorn context factory that returns `context`."""
    if context is None:
        return None
    existing_context = context
    return lambda *_: existing_context


class HttpServer:
    """Serves one ASGI application on one listening socket."""

    def __init__(
        self,
        application: Any,
        listener: socket.socket,
        protocol: type[asyncio.Protocol] | str = "httptools",
        max_connections: int | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Initializes the server without starting it.

        Args:
            application: The ASGI application.
            listener: A listening socket.
            protocol: uvicorn's HTTP protocol, or a class derived from it.
            max_connections: Maximum open connections; further ones get
                status 503.
            tls: Server-side TLS context; None for plain TCP.
        """
        self._listener = listener
        self._server = _Server(
            uvicorn.Config(
                application,
                http=protocol,
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                backlog=LISTEN_BACKLOG,
                timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
                limit_concurrency=max_connections,
                ssl_context_factory=_make_context_factory(tls),
            )
        )

    @property
    def host(self) -> str:
        """The IP address that the server listens on."""
        return str(self._listener.getsockname()[0])

    @property
    def port(self) -> int:
        """The TCP port that the server listens on."""
        return int(self._listener.getsockname()[1])

    async def serve(self) -> None:
        """Serves until `stop` is called and the open requests have ended."""
        await self._server.serve(sockets=[self._listener])

    def stop(self) -> None:
        """Stops accepting connections; lets open requests finish."""
        self._server.should_exit = True

    def abort(self) -> None:
        """Stops and aborts all open connections."""
        self._server.force_exit = True
        self.stop()
        for connection in list(self._server.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[HttpServer]:
        """Serves while the context is open; aborts connections on exit."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.serve)
            try:
                await self._server.listening.wait()
                yield self
            finally:
                self.abort()
