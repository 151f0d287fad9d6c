"""Open connections of one port, and which of them makes room for a new one.

Plain objects that decide; the connections do what is decided.
"""

from __future__ import annotations

import collections
import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.links import connection_limits

MAX_IDLE_FRACTION = 0.8
"""Part of the idle timeout within which sound clients reuse a connection."""
MIN_BODY_STALL_S = 1.0
"""Time without a byte after which an incomplete body makes room."""
MIN_UNREAD_S = 5.0
"""Time after which an answer that is not being read makes room."""


class State(enum.Enum):
    """What a connection waits for."""

    HEAD = "head"
    """Its first request, or the rest of a head."""
    BODY = "body"
    """The rest of a body."""
    ANSWER = "answer"
    """The answer to a request that was read whole."""
    IDLE = "idle"
    """The next request."""
    CLOSING = "closing"
    """The end of what its client sends behind the last answer."""


class Connection(Protocol):
    """A connection in the table."""

    def evict(self) -> None:
        """Closes the connection at once; the table has removed it."""
        ...


class ConnectionTable:
    """Open connections in the order of their last change."""

    def __init__(
        self,
        limits: connection_limits.ConnectionLimits,
        clock: Callable[[], float],
    ) -> None:
        """Initializes an empty table.

        Args:
            limits: Limits of the port.
            clock: Monotonic time.
        """
        self._limits = limits
        self._clock = clock
        self._states: dict[Connection, State] = {}
        # When each connection got its state or a part of a body.
        self._since: dict[State, dict[Connection, float]] = {
            state: {} for state in State
        }
        # Since when an answer is not being read.
        self._unread: dict[Connection, float] = {}
        self._evicted = 0
        self._refused = 0
        self._refusals: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._states)

    @property
    def evicted(self) -> int:
        """Connections that were closed to make room."""
        return self._evicted

    @property
    def refused(self) -> int:
        """Connections for which there was no room."""
        return self._refused

    @property
    def refusals(self) -> dict[int, int]:
        """Refusals by the limits of connections, by HTTP status."""
        return dict(self._refusals)

    def count_refusal(self, status: int) -> None:
        """Counts a request that is refused before its application has it."""
        self._refusals[status] += 1

    def add(self, connection: Connection) -> bool:
        """Adds a new connection; evicts another one if there are too many.

        Returns:
            False if the connection must be refused; it is not in the table.
        """
        if len(self._states) >= self._limits.max_connections:
            victim = self._find_victim()
            if victim is None:
                self._refused += 1
                return False
            self.remove(victim)
            self._evicted += 1
            victim.evict()
        self.update(connection, State.HEAD)
        return True

    def update(self, connection: Connection, state: State) -> None:
        """Notes a connection's state, or that it received a part of a body."""
        self._forget_state(connection)
        self._states[connection] = state
        self._since[state][connection] = self._clock()

    def set_unread(self, connection: Connection, is_unread: bool) -> None:
        """Notes whether a connection's client doesn't read the answer."""
        if not is_unread:
            self._unread.pop(connection, None)
        elif connection in self._states:
            self._unread.setdefault(connection, self._clock())

    def remove(self, connection: Connection) -> None:
        """Removes a connection, if it is in the table."""
        self._unread.pop(connection, None)
        self._forget_state(connection)

    def _forget_state(self, connection: Connection) -> None:
        """Removes a connection's state, if it has one."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since[state][connection]

    def _find_victim(self) -> Connection | None:
        """Returns the connection that makes room.

        Connections that are closing go first, then unfinished heads, then
        connections that are idle for longer than sound clients reuse them, then
        bodies that don't come, then answers that nobody reads, and last the one
        that is idle for the longest time. Requests that were read are always
        answered.
        """
        max_idle_s = MAX_IDLE_FRACTION * self._limits.idle_timeout_s
        return (
            self._find_oldest(self._since[State.CLOSING], 0.0)
            or self._find_oldest(self._since[State.HEAD], 0.0)
            or self._find_oldest(self._since[State.IDLE], max_idle_s)
            or self._find_oldest(self._since[State.BODY], MIN_BODY_STALL_S)
            or self._find_oldest(self._unread, MIN_UNREAD_S)
            or self._find_oldest(self._since[State.IDLE], 0.0)
        )

    def _find_oldest(
        self, since: dict[Connection, float], min_age_s: float
    ) -> Connection | None:
        """Returns the first connection if it is old enough.

        Args:
            since: Times of connections, in their order.
            min_age_s: Shortest time since then.
        """
        for connection, started_at in since.items():
            if self._clock() - started_at >= min_age_s:
                return connection
            break
        return None
