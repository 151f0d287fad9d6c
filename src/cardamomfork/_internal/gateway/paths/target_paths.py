"""Paths to targets: direct connections, or over a peer that reaches them."""

from __future__ import annotations

import functools
import math
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.connections import target_connection
from cardamomfork._internal.gateway.peers import peer_forwarding_client

if TYPE_CHECKING:
    from collections.abc import Callable

    import result

    from cardamomfork._internal.gateway.connections import outcomes
    from cardamomfork._internal.gateway.connections import target_pool
    from cardamomfork._internal.gateway.connections import target_reach
    from cardamomfork._internal.models import fleet

Connection = (
    target_connection.TargetConnection
    | peer_forwarding_client.ForwardedConnection
)


class Paths(Protocol):
    """Opens connections to targets."""

    @property
    def is_cut_off(self) -> bool:
        """Whether there is no path to any target."""
        ...

    async def acquire(
        self,
        target: fleet.TargetRecord,
        *,
        runs_once: bool,
        request_id: str = "",
        time_left_s: float = math.inf,
        may_pass: Callable[[str], bool] = lambda _: True,
    ) -> result.Result[Any, outcomes.Failed]:
        """Returns a connection for one request to a target."""
        ...

    def release(self, target: fleet.TargetRecord, connection: Any) -> None:
        """Returns a connection after a complete exchange."""
        ...

    def avoid(self, connection: Any, reason: str) -> None:
        """Uses other peers than the one that a connection leads over."""
        ...


class TargetPaths:
    """Opens connections to targets on the path that works at the time."""

    def __init__(
        self,
        pool: target_pool.TargetConnectionPool,
        reach: target_reach.TargetReach,
        client: peer_forwarding_client.PeerForwardingClient,
    ) -> None:
        """Initializes the paths.

        Args:
            pool: Direct connections.
            reach: Whether this instance is cut off from all targets.
            client: Connections over peers.
        """
        self._pool = pool
        self._reach = reach
        self._client = client

    @property
    def is_cut_off(self) -> bool:
        """Whether there is no path to any target."""
        return self._reach.is_isolated and not self._client.has_peer

    async def acquire(
        self,
        target: fleet.TargetRecord,
        *,
        runs_once: bool,
        request_id: str = "",
        time_left_s: float = math.inf,
        may_pass: Callable[[str], bool] = lambda _: True,
    ) -> result.Result[Connection, outcomes.Failed]:
        """Returns a connection for one request to a target.

        An error means that nothing of the request was sent.

        Args:
            target: Target to connect to.
            runs_once: Whether the request must not run twice.
            request_id: Id of the request; empty for orders.
            time_left_s: Time left for the request, in seconds.
            may_pass: Returns whether it may go over a peer in a data centre.
        """
        path = self._client if self._reach.is_isolated else self._pool
        return await path.acquire(
            target,
            runs_once=runs_once,
            request_id=request_id,
            time_left_s=time_left_s,
            may_pass=may_pass,
        )

    def release(
        self, target: fleet.TargetRecord, connection: Connection
    ) -> None:
        """Returns a connection after a complete exchange."""
        self._release(connection, target)

    def avoid(self, connection: Connection, reason: str) -> None:
        """Uses other peers than the one that a connection leads over."""
        if connection.peer_id:
            self._client.avoid(connection.peer_id, reason)

    @functools.singledispatchmethod
    def _release(
        self,
        connection: target_connection.TargetConnection,
        target: fleet.TargetRecord,
    ) -> None:
        """Returns a direct connection; it may not work after a cut."""
        if self._reach.is_isolated:
            connection.close_idle()
        else:
            self._pool.release(target, connection)

    @_release.register(peer_forwarding_client.ForwardedConnection)
    def _(
        self,
        connection: peer_forwarding_client.ForwardedConnection,
        target: fleet.TargetRecord,
    ) -> None:
        """Returns a connection to a peer."""
        del target
        self._client.release(connection)
