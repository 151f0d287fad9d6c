"""Connections to targets, kept between requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal.gateway import target_connection

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.models import fleet

CONNECT_TIMEOUT_S = 0.5
"""Data centres are milliseconds apart; a lost first packet is sent again
after a second, which is slower than another target."""
MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept to a target."""
RUN_ONCE_MAX_IDLE_S = 0.5
"""Idle time up to which a request that runs once goes on a kept connection;
a reset then leaves open whether it ran."""
MAX_IDLE_S = 60.0

PoolKey = tuple[str, str, int]


class TargetConnectionPool:
    """Pools of connections by target."""

    def __init__(self, wire: platform_format.PlatformFormat) -> None:
        """Opens nothing yet."""
        self._wire = wire
        self._idle: dict[PoolKey, list[target_connection.TargetConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    async def acquire(
        self, target: fleet.TargetRecord, *, runs_once: bool
    ) -> result.Result[target_connection.TargetConnection, str]:
        """Returns a connection; an error proves that nothing was sent.

        Args:
            target: Where to.
            runs_once: Whether a reset would leave the request's fate open.
        """
        now = asyncio.get_running_loop().time()
        idle_connections = self._idle.get(_pool_key(target), [])
        max_idle_s = RUN_ONCE_MAX_IDLE_S if runs_once else MAX_IDLE_S
        while idle_connections:
            pooled = idle_connections.pop()
            if pooled.is_usable(now, max_idle_s):
                return result.Ok(pooled)
            pooled.close_idle()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, conn = await asyncio.get_running_loop().create_connection(
                    lambda: target_connection.TargetConnection(
                        self._wire.decode_answer
                    ),
                    target.host,
                    target.port,
                )
        except TimeoutError:
            return result.Err("connecting timed out")
        except OSError as error:
            return result.Err(f"connecting failed: {error!r}")
        self._opened += 1
        return result.Ok(conn)

    def release(
        self,
        target: fleet.TargetRecord,
        connection: target_connection.TargetConnection,
    ) -> None:
        """Keeps a connection whose exchange has ended whole."""
        idle_connections = self._idle.setdefault(_pool_key(target), [])
        if connection.is_open and len(idle_connections) < MAX_IDLE_CONNECTIONS:
            idle_connections.append(connection)
        else:
            connection.close_idle()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for pool_key in list(self._idle):
            kept = []
            for connection in self._idle[pool_key]:
                if connection.is_usable(now, MAX_IDLE_S):
                    kept.append(connection)
                else:
                    connection.close_idle()
            if kept:
                self._idle[pool_key] = kept
            else:
                del self._idle[pool_key]

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close_idle()
        self._idle.clear()


def _pool_key(target: fleet.TargetRecord) -> PoolKey:
    """Returns what tells connections of targets apart."""
    return (target.target_id, target.host, target.port)
