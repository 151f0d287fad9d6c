"""Client for RPC calls to peers: Cap'n Proto over TCP.

Keeps one connection per peer. A call that fails or times out closes the
connection, and the next call opens a new one. Runs on asyncio inside
`capnp.kj_loop()`.
"""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import attrs
import capnp
import result

from cardamomfork._internal.contracts import peering
from cardamomfork._internal.links.peers import schema

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import ssl

    from cardamomfork._internal.models import instances

_Response = TypeVar("_Response")

CALL_TIMEOUT_S = 0.8
PAGE_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 128


@attrs.define
class LinkCounters:
    """Counts of opened connections and of failed calls by fault kind.

    Attributes:
        connections: Connections opened.
        unreachable: Calls for which no connection could be opened.
        silent: Calls that timed out or whose connection broke.
        garbled: Calls whose response could not be decoded.
    """

    connections: int = 0
    unreachable: int = 0
    silent: int = 0
    garbled: int = 0


@attrs.frozen
class _Connection:
    """An open connection and the RPC service of the peer."""

    stream: Any
    client: Any
    service: Any

    def close(self) -> None:
        """Aborts pending calls and closes the socket."""
        self.client.close()
        self.stream.close()


class CapnpPeerLink:
    """Implementation of `peering.PeerLink` over Cap'n Proto."""

    def __init__(
        self,
        tls: ssl.SSLContext | None = None,
        max_connections: int = MAX_CONNECTIONS,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Initializes the link; connections are opened on first use.

        Args:
            tls: TLS context for outgoing connections, or None for plain TCP.
            max_connections: Maximum number of open connections. Above it, the
                least recently used one is closed.
            call_timeout_s: Time limit of an exchange.
        """
        self._call_timeout_s = call_timeout_s
        self._tls = tls
        self._max_connections = max_connections
        self._connections: collections.OrderedDict[
            tuple[str, int], _Connection
        ] = collections.OrderedDict()
        self.counters = LinkCounters()

    async def exchange(
        self,
        peer: instances.Instance,
        envelope: peering.Envelope,
        *,
        fresh: bool,
    ) -> result.Result[peering.Envelope, peering.PeerFault]:
        """Sends an envelope to a peer and returns its response envelope."""
        if fresh:
            self.forget(peer)

        async def call(service: Any) -> peering.Envelope:
            answer = await service.exchange(schema.envelope_fields(envelope))
            return schema.read_envelope(answer.answer)

        return await self._call(peer, call, self._call_timeout_s)

    async def probe_via(
        self, helper: instances.Instance, subject: instances.Instance
    ) -> result.Result[bool, peering.PeerFault]:
        """Asks a helper to probe an instance; returns whether it responds."""

        async def call(service: Any) -> bool:
            answer = await service.probe(schema.instance_fields(subject))
            return bool(answer.reached)

        # Leaves the helper enough time for its own call to time out.
        return await self._call(helper, call, 2 * self._call_timeout_s)

    async def fetch_page(
        self, peer: instances.Instance, request: bytes
    ) -> result.Result[bytes, peering.PeerFault]:
        """Fetches one page of a peer's configuration snapshot."""

        async def call(service: Any) -> bytes:
            return bytes((await service.fetchPage(request)).page)

        return await self._call(peer, call, PAGE_TIMEOUT_S)

    async def ask(
        self,
        peer: instances.Instance,
        question: peering.PeerRequest,
        payload: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, peering.PeerFault]:
        """Sends a peer request; returns b"" if the peer has no answer."""

        async def call(service: Any) -> bytes:
            answered = await service.ask(int(question), payload)
            return bytes(answered.answer)

        return await self._call(peer, call, timeout_s)

    def forget(self, peer: instances.Instance) -> None:
        """Closes the connection to a peer, if there is one."""
        connection = self._connections.pop((peer.host, peer.port), None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Closes all connections."""
        while self._connections:
            self._connections.popitem()[1].close()

    async def _call(
        self,
        peer: instances.Instance,
        call: Callable[[Any], Awaitable[_Response]],
        timeout_s: float,
    ) -> result.Result[_Response, peering.PeerFault]:
        """Runs one call with a time limit; closes the connection on a fault."""
        fault_kind = peering.PeerFaultKind.UNREACHABLE
        detail = f"no answer within {timeout_s:g} s"
        try:
            with anyio.move_on_after(timeout_s):
                connection = await self._connect(peer)
                fault_kind = peering.PeerFaultKind.SILENT
                return result.Ok(await call(connection.service))
        except (OSError, capnp.KjException) as error:
            detail = str(error)
        except (OverflowError, TypeError, ValueError) as error:
            fault_kind = peering.PeerFaultKind.GARBLED
            detail = str(error)
        match fault_kind:
            case peering.PeerFaultKind.UNREACHABLE:
                self.counters.unreachable += 1
            case peering.PeerFaultKind.SILENT:
                self.counters.silent += 1
            case peering.PeerFaultKind.GARBLED:
                self.counters.garbled += 1
        self.forget(peer)
        return result.Err(peering.PeerFault(fault_kind, detail))

    async def _connect(self, peer: instances.Instance) -> _Connection:
        """Returns the open connection to a peer, or opens a new one."""
        address = (peer.host, peer.port)
        existing = self._connections.get(address)
        if existing is not None:
            self._connections.move_to_end(address)
            return existing
        stream = await capnp.AsyncIoStream.create_connection(
            host=peer.host, port=peer.port, ssl=self._tls
        )
        client = capnp.TwoPartyClient(stream)
        service = client.bootstrap().cast_as(schema.load().PeerService)
        connection = _Connection(stream, client, service)
        self.counters.connections += 1
        # Another call may have connected to this peer in the meantime.
        concurrent = self._connections.get(address)
        if concurrent is not None:
            connection.close()
            return concurrent
        self._connections[address] = connection
        while len(self._connections) > self._max_connections:
            self._connections.popitem(last=False)[1].close()
        return connection
