"""Pool of keep-alive connections to targets."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.connections import target_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.models import fleet

CONNECT_TIMEOUT_S = 0.5
"""The round trip between data centres takes milliseconds. A lost SYN is sent
again only after 1 s; trying another target is faster."""
SLOW_CONNECT_S = 0.15
"""Time after which a connection that is not open yet raises a doubt whether
targets can be reached."""
MAX_IDLE_CONNECTIONS = 8
"""Idle connections per target."""
RUN_ONCE_MAX_IDLE_S = 0.5
"""Maximum idle time of a connection that is reused for a request that must not
run twice. The limit is short because a reset of a reused connection leaves
unknown whether the request ran."""
MAX_IDLE_S = 60.0

PoolKey = tuple[str, str, int]


class TargetConnectionPool:
    """Pool of idle connections by target."""

    def __init__(
        self,
        wire: platform_format.PlatformFormat,
        on_connected: Callable[[fleet.TargetRecord], None] = lambda _: None,
        on_failed: Callable[[fleet.TargetRecord, bool], None] = (
            lambda _, __: None
        ),
    ) -> None:
        """Initializes an empty pool.

        Args:
            wire: Decodes the heads of answers.
            on_connected: Called with the target after a connection was
                opened.
            on_failed: Called with the target if a connection can't be opened,
                takes long to open, or ends by an error, and with whether
                nothing was heard of the target.
        """
        self._wire = wire
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._idle: dict[PoolKey, list[target_connection.TargetConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def is_cut_off(self) -> bool:
        """Whether there is no path to any target; not known here."""
        return False

    async def acquire(
        self,
        target: fleet.TargetRecord,
        *,
        runs_once: bool,
        request_id: str = "",
        time_left_s: float = math.inf,
        may_pass: Callable[[str], bool] = lambda _: True,
    ) -> result.Result[target_connection.TargetConnection, outcomes.Failed]:
        """Returns an idle connection or opens a new one.

        An error means that nothing of the request was sent.

        Args:
            target: Target to connect to.
            runs_once: Whether the request must not run twice.
            request_id: Id of the request; empty for orders.
            time_left_s: Time left for the request, in seconds.
            may_pass: Not used, since a direct connection leads over no peer.
        """
        del may_pass
        now = asyncio.get_running_loop().time()
        idle_connections = self._idle.get(_pool_key(target), [])
        max_idle_s = RUN_ONCE_MAX_IDLE_S if runs_once else MAX_IDLE_S
        for index in reversed(range(len(idle_connections))):
            pooled = idle_connections[index]
            if not pooled.is_usable(now, max_idle_s):
                del idle_connections[index]
                pooled.close_idle()
            elif pooled.may_carry(request_id):
                return result.Ok(idle_connections.pop(index))
        return await self._open(target, min(CONNECT_TIMEOUT_S, time_left_s))

    async def open_idle(
        self, target: fleet.TargetRecord
    ) -> target_connection.TargetConnection | None:
        """Opens a connection for a later request.

        Returns:
            The connection, or None if the target does not accept one.
        """
        return (await self.try_open_idle(target)).ok()

    async def try_open_idle(
        self, target: fleet.TargetRecord
    ) -> result.Result[target_connection.TargetConnection, outcomes.Failed]:
        """Opens a connection for a later request, or tells why not."""
        opened = await self._open(target, CONNECT_TIMEOUT_S)
        if isinstance(opened, result.Ok):
            self.release(target, opened.ok_value)
        return opened

    async def _open(
        self, target: fleet.TargetRecord, timeout_s: float
    ) -> result.Result[target_connection.TargetConnection, outcomes.Failed]:
        """Opens a connection to a target."""
        loop = asyncio.get_running_loop()

        def report_error() -> None:
            self._on_failed(target, False)

        def report_timeout() -> None:
            self._on_failed(target, True)

        slow_timer = loop.call_later(SLOW_CONNECT_S, report_timeout)
        try:
            with anyio.fail_after(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: target_connection.TargetConnection(
                        self._wire.decode_answer, report_error
                    ),
                    target.host,
                    target.port,
                )
        except TimeoutError:
            report_timeout()
            return _unreachable("connecting timed out")
        except Exception as error:  # noqa: BLE001
            # Not only OSError: the resolution of a name raises UnicodeError.
            report_error()
            return _unreachable(
                f"connecting failed: {decoding.describe(error)}",
                is_refused=isinstance(error, ConnectionRefusedError),
            )
        finally:
            slow_timer.cancel()
        self._opened += 1
        self._on_connected(target)
        return result.Ok(conn)

    def release(
        self,
        target: fleet.TargetRecord,
        connection: target_connection.TargetConnection,
    ) -> None:
        """Returns a connection to the pool after a complete exchange."""
        idle_connections = self._idle.setdefault(_pool_key(target), [])
        if connection.is_open and len(idle_connections) < MAX_IDLE_CONNECTIONS:
            idle_connections.append(connection)
        else:
            connection.close_idle()

    def avoid(
        self, connection: target_connection.TargetConnection, reason: str
    ) -> None:
        """Does nothing, since direct connections lead over no peer."""

    def close_idle(self) -> None:
        """Closes connections that exceed their idle timeout."""
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

    def close_target(self, target: fleet.TargetRecord) -> None:
        """Closes the idle connections to a target."""
        for connection in self._idle.pop(_pool_key(target), []):
            connection.close_idle()

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close_idle()
        self._idle.clear()


def _pool_key(target: fleet.TargetRecord) -> PoolKey:
    """Returns the key of a target's connections in the pool."""
    return (target.target_id, target.host, target.port)


def _unreachable(
    detail: str, *, is_refused: bool = False
) -> result.Result[target_connection.TargetConnection, outcomes.Failed]:
    """Returns the failure to open a connection."""
    return result.Err(
        outcomes.Failed(
            outcomes.Failure.UNREACHABLE, detail, is_refused=is_refused
        )
    )
