"""Limits of the connections of clients, on all ports of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

DEFAULT_MAX_HEADER_BYTES = 65_536
DEFAULT_HEADER_TIMEOUT_S = 15.0
DEFAULT_MAX_CONNECTIONS = 10_000
DEFAULT_IDLE_TIMEOUT_S = 30.0
HEADER_MARGIN_S = 1.0
"""Added to the configured header timeout, so that a head that was sent in time
is still read."""
IDLE_MARGIN_S = 1.0
"""Added to the configured idle timeout, so that a request sent just before the
timeout is still read."""
MIN_BACKLOG = 64
MAX_BACKLOG = 512
HEAD_SIZE_FACTOR = 6
"""Longest head, as a multiple of the configured limit on names and values.

A header line has four bytes of separators beside a name of at least one byte,
and the target may be as long as all names and values.
"""
REQUEST_LINE_BYTES = 64
"""Longest request line without its target."""


@attrs.define
class ConnectionLimits:
    """Limits of the connections of one port.

    Attributes:
        max_header_bytes: Longest names and values of a request's head, and
            longest target, in bytes.
        max_connections: Most open connections.
        header_timeout_s: Time from the first byte of a head to its last one.
        idle_timeout_s: Idle time after which a connection is closed.
    """

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S

    @property
    def max_head_bytes(self) -> int:
        """Longest head, and longest trailers, as received."""
        return HEAD_SIZE_FACTOR * self.max_header_bytes + REQUEST_LINE_BYTES

    @property
    def backlog(self) -> int:
        """Most connections that wait to be accepted.

        All of them may be accepted before the first one is refused.
        """
        return min(max(self.max_connections // 2, MIN_BACKLOG), MAX_BACKLOG)

    def apply(self, limits: fleet.CallerLimits) -> None:
        """Applies the limits on callers of a new configuration."""
        self.max_header_bytes = limits.max_header_bytes
        self.header_timeout_s = limits.header_timeout_s + HEADER_MARGIN_S
        self.idle_timeout_s = limits.idle_timeout_s + IDLE_MARGIN_S
