"""Sends requests over peers while this instance is cut off from all targets.

A peer in the same data centre goes first, then the one with the fewest
requests. A peer is used only if its last digest is recent and says that it
reaches targets; it never passes a request on to a third instance.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import functools
from typing import TYPE_CHECKING

import anyio
from loguru import logger
import result

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.gateway.peers import peer_forwarding_codec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from anyio.streams import memory

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.peers import fleet_secret
    from cardamomfork._internal.gateway.peers import peer_table
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding

MAX_DIGEST_AGE_S = 2.2
"""Age of a peer's last digest up to which it is used. Covers two heartbeats."""
CONNECT_TIMEOUT_S = 0.3
MAX_CONNECT_ATTEMPTS = 3
AVOID_S = 1.0
"""Time for which a peer that refused or failed is used only if no other is."""
REMOTE_PENALTY = 12.0
"""Requests that a peer in the same data centre may have more than one in
another."""
TIE_BREAK = 1.0
"""Random addition to the load of a peer, so that instances that are cut off
together don't all choose the same one."""
MAX_IDLE_CONNECTIONS = 8
RUN_ONCE_MAX_IDLE_S = 0.5
"""Idle time up to which a connection carries a request that must not run
twice: a reset of a reused connection leaves unknown whether it ran."""
MAX_IDLE_S = 4.0


class ForwardedConnection:
    """A connection to a peer that carries one request to a target at a time."""

    def __init__(
        self,
        connection: target_connection.TargetConnection,
        peer: digest_codec.Peer,
        encode: Callable[[bytes, str, bool], bytes],
        on_end: Callable[[], None],
    ) -> None:
        """Initializes the connection.

        Args:
            connection: The connection to the peer.
            peer: The peer.
            encode: Returns the message to the peer for an encoded request, its
                id, and whether it is a HEAD request.
            on_end: Called once, at the end of the use of the connection.
        """
        self._connection = connection
        self._peer = peer
        self._encode = encode
        self._on_end: Callable[[], None] | None = on_end

    @property
    def peer_id(self) -> str:
        """Id of the peer."""
        return self._peer.instance_id

    @property
    def peer_data_centre(self) -> str:
        """Data centre of the peer."""
        return self._peer.data_centre

    @property
    def peer(self) -> digest_codec.Peer:
        """The peer."""
        return self._peer

    @property
    def inner(self) -> target_connection.TargetConnection:
        """The connection to the peer."""
        return self._connection

    def start(
        self, request: bytes, request_id: str, *, is_head: bool = False
    ) -> memory.MemoryObjectReceiveStream[target_connection.Message]:
        """Sends a request; see `TargetConnection.start`."""
        # The peer's answer to a HEAD request has an empty body.
        return self._connection.start(
            self._encode(request, request_id, is_head), request_id
        )

    def mark_consumed(self, size: int) -> None:
        """Records that the reader has consumed bytes of the answer."""
        self._connection.mark_consumed(size)

    def abort(self) -> None:
        """Aborts the connection, which cancels the request at the peer."""
        self.end()
        self._connection.abort()

    def end(self) -> None:
        """Ends the use of the connection for this request."""
        if self._on_end is not None:
            self._on_end()
            self._on_end = None


class PeerForwardingClient:
    """Opens connections to targets over peers."""

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        table: peer_table.PeerTable,
        secret: fleet_secret.FleetSecret,
        wire: platform_format.PlatformFormat,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Initializes a client without connections.

        Args:
            instance_id: Id of this instance.
            data_centre: Data centre of this instance.
            table: The known peers.
            secret: Authenticates instances to each other.
            wire: Decodes the heads of answers.
            clock: Monotonic time.
            rng: Random generator for tie-breaking.
        """
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._table = table
        self._secret = secret
        self._wire = wire
        self._clock = clock
        self._rng = rng
        self._idle: dict[
            digest_codec.Peer, list[target_connection.TargetConnection]
        ] = {}
        self._in_use: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}

    @property
    def has_peer(self) -> bool:
        """Whether a peer is known to reach targets."""
        return bool(self._secret.current and self._candidates())

    async def acquire(
        self,
        target: fleet.TargetRecord,
        *,
        runs_once: bool,
        request_id: str = "",
        time_left_s: float,
        may_pass: Callable[[str], bool] = lambda _: True,
    ) -> result.Result[ForwardedConnection, outcomes.Failed]:
        """Returns a connection to a peer that can reach targets.

        An error means that nothing of the request was sent.

        Args:
            target: Target of the request.
            runs_once: Whether the request must not run twice.
            request_id: Id of the request; empty for orders.
            time_left_s: Time left for the request, in seconds.
            may_pass: Returns whether it may go over a peer in a data centre.
        """
        tried: set[str] = set()
        for _ in range(MAX_CONNECT_ATTEMPTS):
            peer = self._choose(tried, may_pass)
            if peer is None:
                break
            tried.add(peer.instance_id)
            connection = self._take_idle(
                peer,
                RUN_ONCE_MAX_IDLE_S if runs_once else MAX_IDLE_S,
                request_id,
            ) or await self._connect(peer, time_left_s)
            if connection is None:
                continue
            self._in_use[peer.instance_id] += 1
            return result.Ok(
                ForwardedConnection(
                    connection,
                    peer,
                    functools.partial(
                        self._encode, target, runs_once, time_left_s
                    ),
                    functools.partial(self._end_use, peer.instance_id),
                )
            )
        return result.Err(
            outcomes.Failed(
                outcomes.Failure.NO_PATH,
                "no peer that reaches targets and may carry it"
                if not tried
                else f"no connection to peers {', '.join(sorted(tried))}",
            )
        )

    def release(self, forwarded: ForwardedConnection) -> None:
        """Returns a connection after a complete exchange."""
        forwarded.end()
        idle = self._idle.setdefault(forwarded.peer, [])
        if forwarded.inner.is_open and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(forwarded.inner)
        else:
            forwarded.inner.close_idle()

    def avoid(self, peer_id: str, reason: str) -> None:
        """Uses other peers for some time, as long as there are any."""
        self._avoided_until[peer_id] = self._clock() + AVOID_S
        logger.info("peer avoided", peer=peer_id, reason=reason)

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for peer, connections in list(self._idle.items()):
            kept = []
            for connection in connections:
                if connection.is_usable(now, MAX_IDLE_S):
                    kept.append(connection)
                else:
                    connection.close_idle()
            self._idle[peer] = kept
            if not kept:
                del self._idle[peer]
        self._avoided_until = {
            peer_id: until
            for peer_id, until in self._avoided_until.items()
            if until > self._clock()
        }

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close_idle()
        self._idle.clear()

    def _end_use(self, peer_id: str) -> None:
        """Counts a request that a peer no longer serves."""
        self._in_use[peer_id] -= 1
        if not self._in_use[peer_id]:
            del self._in_use[peer_id]

    def _candidates(self) -> list[peer_table.ForwardingPeer]:
        """Returns the peers that are known to reach targets."""
        return self._table.forwarding_peers(MAX_DIGEST_AGE_S)

    def _choose(
        self,
        tried: Iterable[str],
        may_pass: Callable[[str], bool] = lambda _: True,
    ) -> digest_codec.Peer | None:
        """Returns the best peer that was not tried, or None.

        Args:
            tried: Ids of peers that were tried.
            may_pass: Returns whether the request may go over a peer in a data
                centre.
        """
        now = self._clock()
        candidates = [
            one
            for one in self._candidates()
            if one.peer.instance_id not in tried
            and may_pass(one.peer.data_centre)
        ]
        if not self._secret.current or not candidates:
            return None

        def cost(one: peer_table.ForwardingPeer) -> tuple[bool, float]:
            peer_id = one.peer.instance_id
            load: float = max(one.open_requests, self._in_use[peer_id])
            if one.peer.data_centre != self._data_centre:
                load += REMOTE_PENALTY
            is_avoided = self._avoided_until.get(peer_id, 0.0) > now
            return is_avoided, load + TIE_BREAK * self._rng.random()

        return min(candidates, key=cost).peer

    def _take_idle(
        self, peer: digest_codec.Peer, max_idle_s: float, request_id: str
    ) -> target_connection.TargetConnection | None:
        """Returns an idle connection to a peer, if there is one."""
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(peer, [])
        for index in reversed(range(len(connections))):
            connection = connections[index]
            if not connection.is_usable(now, max_idle_s):
                del connections[index]
                connection.close_idle()
            elif connection.may_carry(request_id):
                return connections.pop(index)
        return None

    async def _connect(
        self, peer: digest_codec.Peer, time_left_s: float
    ) -> target_connection.TargetConnection | None:
        """Opens a connection to a peer; returns None if that fails."""

        def decode(
            status: int, pairs: Iterable[tuple[bytes, bytes]]
        ) -> forwarding.ResponseHead:
            return peer_forwarding_codec.decode_answer(
                status, pairs, self._wire.decode_answer
            )

        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, time_left_s)):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    lambda: target_connection.TargetConnection(
                        decode, answers_in_order=True
                    ),
                    peer.host,
                    peer.port,
                )
        except (TimeoutError, OSError) as error:
            self.avoid(peer.instance_id, f"connecting failed: {error!r}")
            return None
        return connection

    def _encode(
        self,
        target: fleet.TargetRecord,
        runs_once: bool,
        time_left_s: float,
        request: bytes,
        request_id: str,
        is_head: bool,
    ) -> bytes:
        """Returns the message to a peer for an encoded request."""
        return peer_forwarding_codec.encode_request(
            peer_forwarding_codec.ForwardedRequest(
                sender_id=self._instance_id,
                request_id=request_id,
                target_id=target.target_id,
                target_started_at_ms=target.started_at_ms,
                time_left_s=time_left_s,
                runs_once=runs_once,
                is_head=is_head,
            ),
            self._secret.current,
            request,
        )
