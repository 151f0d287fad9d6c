"""Accepts TLS connections, with bounds from their first byte on.

The event loop reports a TLS connection only after its handshake. Here the plain
connection is accepted, so that one whose handshake doesn't end counts as open
and makes room for others.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import ssl

    from cardamomfork._internal.links import bounded_protocol
    from cardamomfork._internal.links import connection_limits
    from cardamomfork._internal.links import connection_table


class HandshakeProtocol(asyncio.Protocol):
    """A connection until the end of its TLS handshake."""

    def __init__(
        self,
        *,
        make_protocol: Callable[..., bounded_protocol.BoundedProtocol],
        context: ssl.SSLContext,
        limits: connection_limits.ConnectionLimits,
        table: connection_table.ConnectionTable,
        server_state: Any,
        **options: Any,
    ) -> None:
        """Initializes a connection that has not been opened.

        Args:
            make_protocol: Makes the protocol that follows the handshake.
            context: Server-side TLS context.
            limits: Limits of the port.
            table: Open connections of the port.
            server_state: uvicorn's open connections.
            **options: Options of uvicorn's protocols.
        """
        self._make_protocol = functools.partial(
            make_protocol, server_state=server_state, **options
        )
        self._context = context
        self._limits = limits
        self._table = table
        self._connections = server_state.connections
        self._steps: Coroutine[Any, Any, asyncio.Transport | None] | None = None
        # Decrypted bytes that arrived together with the end of the handshake.
        self._received = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the handshake."""
        self.transport = cast("asyncio.Transport", transport)
        self._connections.add(self)
        if not self._table.add(self):
            self.transport.abort()
            return
        self._steps = asyncio.get_running_loop().start_tls(
            self.transport,
            self,
            self._context,
            server_side=True,
            ssl_handshake_timeout=self._limits.header_timeout_s,
        )
        # A task would start later, when bytes may have been read already.
        self._advance()

    def _advance(self, _: asyncio.Future[None] | None = None) -> None:
        """Runs the handshake up to the next future that it waits for."""
        if self._steps is None:
            return
        try:
            waiter = self._steps.send(None)
        except StopIteration as end:
            self._end_handshake(end.value)
        except OSError as error:
            # The event loop reports no loss during a handshake.
            self._forget()
            logger.bind(reason=type(error).__name__).debug(
                "TLS handshake failed"
            )
        else:
            waiter.add_done_callback(self._advance)

    def _end_handshake(self, transport: asyncio.Transport) -> None:
        """Passes the connection on to the protocol that follows."""
        self._forget()
        if transport.is_closing():
            return
        protocol = self._make_protocol()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        if self._received:
            protocol.data_received(bytes(self._received))

    def data_received(self, data: bytes) -> None:
        """Keeps decrypted bytes for the protocol that follows."""
        self._received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the handshake."""
        del exc
        self._forget()

    def evict(self) -> None:
        """Closes the connection to make room for another one."""
        self.shutdown()

    def shutdown(self) -> None:
        """Closes the connection, which has no request yet."""
        if self.transport is not None:
            self.transport.abort()

    def _forget(self) -> None:
        """Notes that the connection is not in a handshake any more."""
        self._table.remove(self)
        self._connections.discard(self)
