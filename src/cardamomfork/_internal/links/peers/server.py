"""Server for RPC calls from peers: Cap'n Proto over TCP.

Runs on asyncio inside `capnp.kj_loop()`.
"""

from __future__ import annotations

import contextlib
from typing import Any
from typing import TYPE_CHECKING

import capnp
import loguru

from cardamomfork._internal import exceptions
from cardamomfork._internal.links.peers import schema

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import ssl

    from cardamomfork._internal.contracts import peering

MAX_CONNECTIONS = 1024
MAX_MESSAGE_WORDS = 512 * 1024


class PeerServer:
    """Accepts connections from peers and passes their calls to a handler."""

    def __init__(
        self,
        handler: peering.PeerHandler,
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Initializes the server; `serve` starts listening.

        Args:
            handler: Handles the calls.
            host: IP address to listen on.
            port: TCP port; 0 lets the system choose a free one.
            tls: TLS context for incoming connections, or None for plain TCP.
            max_connections: Maximum number of open connections. Further ones
                are closed at once.
        """
        self._service = _make_service(handler)
        self._host = host
        self._port = port
        self._tls = tls
        self._max_connections = max_connections
        self._streams: set[Any] = set()
        self._is_stopped = False

    @property
    def port(self) -> int:
        """The listening port; the chosen one after `serve` has started."""
        return self._port

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listens until the context exits, then closes all connections.

        Raises:
            exceptions.CardamomforkError: The address can't be bound.
        """
        try:
            server = await capnp.AsyncIoStream.create_server(
                self._accept, host=self._host, port=self._port, ssl=self._tls
            )
        except OSError as error:
            raise exceptions.CardamomforkError(
                f"cannot listen for peers on {self._host}:{self._port}.",
                "Set a free port or another address in the settings.",
            ) from error
        self._is_stopped = False
        self._port = server.sockets[0].getsockname()[1]
        try:
            yield
        finally:
            self._is_stopped = True
            server.close()
            for stream in tuple(self._streams):
                stream.close()

    async def _accept(self, stream: Any) -> None:
        """Serves one connection until the peer closes it."""
        is_full = len(self._streams) >= self._max_connections
        if is_full or self._is_stopped:
            stream.close()
            return
        self._streams.add(stream)
        try:
            connection = capnp.TwoPartyServer(
                stream,
                bootstrap=self._service,
                traversal_limit_in_words=MAX_MESSAGE_WORDS,
            )
            await connection.on_disconnect()
        except (OSError, capnp.KjException) as error:
            loguru.logger.debug("peer connection ended: {}", error)
        finally:
            self._streams.discard(stream)
            stream.close()


def _make_service(handler: peering.PeerHandler) -> Any:
    """Returns an RPC service that delegates to a handler."""
    loaded = schema.load()
    base: Any = loaded.PeerService.Server

    class Service(base):
        """Decodes calls, passes them to the handler, encodes the results."""

        async def exchange_context(self, context: Any) -> None:
            """Handles an envelope and returns the response envelope."""
            envelope = schema.read_envelope(context.params.envelope)
            answer = handler.handle(envelope)
            context.results.answer = loaded.Envelope.new_message(
                **schema.envelope_fields(answer)
            )

        async def probe_context(self, context: Any) -> None:
            """Probes an instance on behalf of the caller."""
            subject = schema.read_instance(context.params.subject)
            context.results.reached = await handler.probe_for(subject)

        async def fetchPage_context(self, context: Any) -> None:  # noqa: N802
            """Returns one page of the configuration snapshot."""
            request = bytes(context.params.request)
            context.results.page = handler.answer_page(request)

        async def ask_context(self, context: Any) -> None:
            """Answers a peer request."""
            question = context.params.question
            payload = bytes(context.params.payload)
            context.results.answer = await handler.answer(question, payload)

    return Service()
