"""HTTP server on the running event loop, based on uvicorn."""

from __future__ import annotations

import contextlib
import functools
import socket
import time
from typing import Any
from typing import TYPE_CHECKING

import anyio
import uvicorn

from cardamomfork._internal import exceptions
from cardamomfork._internal.links import bounded_protocol
from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import connection_table
from cardamomfork._internal.links import held_memory
from cardamomfork._internal.links import tls_handshake

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator
    import ssl

DRAIN_CHECK_INTERVAL_S = 0.1
"""Interval at which a stop checks whether the open requests have ended."""


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


def open_listener(
    host: str, port: int, backlog: int = connection_limits.MAX_BACKLOG
) -> socket.socket:
    """Returns a listening TCP socket; port 0 picks a free port.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        backlog: Most connections that wait to be accepted.

    Raises:
        exceptions.CardamomforkError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError as error:
        listener.close()
        raise exceptions.CardamomforkError(
            f"cannot listen on {host}:{port}: {error.strerror}.",
            "Set a free port or another address in the settings.",
        ) from error
    return listener


def _abort_connections(state: uvicorn.server.ServerState) -> None:
    """Aborts all open connections."""
    for connection in list(state.connections):
        if connection.transport is not None:
            connection.transport.abort()


class HttpServer:
    """Serves one ASGI application on one listening socket."""

    def __init__(
        self,
        application: Any,
        listener: socket.socket,
        protocol: type[bounded_protocol.BoundedProtocol] = (
            bounded_protocol.BoundedProtocol
        ),
        tls: ssl.SSLContext | None = None,
        limits: connection_limits.ConnectionLimits | None = None,
        table: connection_table.ConnectionTable | None = None,
        memory: held_memory.ConnectionMemory | None = None,
        state: uvicorn.server.ServerState | None = None,
    ) -> None:
        """Initializes the server without starting it.

        Args:
            application: The ASGI application.
            listener: A listening socket.
            protocol: The HTTP protocol, or a class derived from it.
            tls: Server-side TLS context; None for plain TCP.
            limits: Limits of connections; None for the defaults.
            table: Open connections; None if there are none.
            memory: What connections of all ports hold; None if this is the
                only port.
            state: Open connections of an earlier server in whose place this
                one serves; None if there was none.
        """
        self._listener = listener
        limits = limits or connection_limits.ConnectionLimits()
        backlog = limits.backlog
        if table is None:
            table = connection_table.ConnectionTable(limits, time.monotonic)
        if memory is None:
            memory = held_memory.make_memory()
        make_protocol: Callable[..., Any] = functools.partial(
            protocol, limits=limits, table=table, memory=memory
        )
        if tls is not None:
            make_protocol = functools.partial(
                tls_handshake.HandshakeProtocol,
                make_protocol=make_protocol,
                context=tls,
                limits=limits,
                table=table,
            )
        self._server = _Server(
            uvicorn.Config(
                application,
                http=make_protocol,  # type: ignore[arg-type]
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                proxy_headers=False,
                server_header=False,
                backlog=backlog,
            )
        )
        if state is not None:
            self._server.server_state = state

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server.started and not self._server.should_exit

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
        _abort_connections(self._server.server_state)

    def close(self) -> None:
        """Closes the listening socket; open connections stay."""
        for server in getattr(self._server, "servers", ()):
            server.close()
        self._listener.close()

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


class RestartableServer:
    """Serves one ASGI application on an address that it opens itself.

    After a failure, `run` may be called again. Connections that were open stay
    open, and a later `stop` waits for their requests too.
    """

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        protocol: type[bounded_protocol.BoundedProtocol] = (
            bounded_protocol.BoundedProtocol
        ),
        tls: ssl.SSLContext | None = None,
        on_listening: Callable[[HttpServer], None] = lambda _: None,
        limits: connection_limits.ConnectionLimits | None = None,
        memory: held_memory.ConnectionMemory | None = None,
    ) -> None:
        """Initializes the server without opening its port.

        Args:
            application: The ASGI application.
            host: IP address to listen on.
            port: TCP port to listen on; 0 picks a free port once.
            protocol: The HTTP protocol, or a class derived from it.
            tls: Server-side TLS context; None for plain TCP.
            on_listening: Called each time that the port is open.
            limits: Limits of connections; None for the defaults.
            memory: What connections of all ports hold; None if this is the
                only port.
        """
        self._tls = tls
        self._limits = limits or connection_limits.ConnectionLimits()
        self._memory = memory or held_memory.make_memory()
        self._table = connection_table.ConnectionTable(
            self._limits, time.monotonic
        )
        self._on_listening = on_listening
        self._application = application
        self._host = host
        self._port = port
        self._protocol = protocol
        self._state = uvicorn.server.ServerState()
        self._server: HttpServer | None = None
        self._is_stopped = False
        self._has_ended = anyio.Event()

    @property
    def is_listening(self) -> bool:
        """Whether the port is open."""
        return self._server is not None and self._server.is_listening

    @property
    def has_ended(self) -> bool:
        """Whether the server was stopped and its open requests have ended."""
        return self._has_ended.is_set()

    @property
    def connections(self) -> connection_table.ConnectionTable:
        """The open connections."""
        return self._table

    async def run(self) -> None:
        """Opens the port and serves until `stop` is called.

        Raises:
            exceptions.CardamomforkError: The address can't be bound.
        """
        if self._is_stopped:
            # The server has failed; only its open requests are left.
            await self._drain()
            return
        server = HttpServer(
            self._application,
            open_listener(self._host, self._port, self._limits.backlog),
            self._protocol,
            self._tls,
            self._limits,
            self._table,
            self._memory,
            state=self._state,
        )
        self._server = server
        self._port = server.port
        try:
            self._on_listening(server)
            await server.serve()
        finally:
            self._server = None
            server.close()
        if self._is_stopped:
            self._has_ended.set()

    async def _drain(self) -> None:
        """Closes idle connections and waits for the requests of others."""
        for connection in list(self._state.connections):
            connection.shutdown()
        while True:
            if not self._state.connections:
                self._has_ended.set()
                return
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def wait_until_ended(self) -> None:
        """Waits until the server was stopped and its requests have ended."""
        await self._has_ended.wait()

    def stop(self) -> None:
        """Stops accepting connections; lets open requests finish."""
        self._is_stopped = True
        if self._server is not None:
            self._server.stop()
        elif not self._state.connections:
            self._has_ended.set()

    def abort(self) -> None:
        """Stops and aborts all open connections."""
        self.stop()
        if self._server is not None:
            self._server.abort()
        else:
            _abort_connections(self._state)
