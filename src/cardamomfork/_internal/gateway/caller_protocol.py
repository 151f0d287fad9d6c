"""uvicorn's HTTP protocol with what a gateway needs beside ASGI."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.links.callers import protocol

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

RAW_TARGET = "cardamomfork.raw_target"
IDLE_MARGIN_S = 1.0
"""Time beyond the limit on idle connections at which they are closed, so that
a request that is sent just before the limit is still read."""


@attrs.define
class ConnectionLimits:
    """Bounds on callers' connections; change with the configuration.

    Attributes:
        idle_timeout_s: Idle time after which a connection is closed.
    """

    idle_timeout_s: float = 30.0

    def apply(self, limits: fleet.CallerLimits) -> None:
        """Takes the limits of a configuration."""
        self.idle_timeout_s = limits.idle_timeout_s + IDLE_MARGIN_S


def make_protocol(limits: ConnectionLimits) -> type[protocol.CallerProtocol]:
    """Returns a protocol class that reads the limits in force."""

    class GatewayProtocol(protocol.CallerProtocol):
        """One caller's connection."""

        def on_headers_complete(self) -> None:
            """Keeps the request's target as it was sent."""
            super().on_headers_complete()
            self.scope["extensions"][RAW_TARGET] = self.url  # type: ignore

        def on_response_complete(self) -> None:
            """Starts the idle time that is in force now."""
            self.timeout_keep_alive = math.ceil(limits.idle_timeout_s)
            super().on_response_complete()

    return GatewayProtocol
