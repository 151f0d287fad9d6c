"""uvicorn's HTTP protocol, extended by features that ASGI lacks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.links.callers import protocol

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet

RAW_TARGET = "cardamomfork.raw_target"
IDLE_MARGIN_S = 1.0
"""Added to the configured idle timeout, so that a request sent just before the
timeout is still read."""


@attrs.define
class ConnectionLimits:
    """Limits on callers' connections, updated with the configuration.

    Attributes:
        idle_timeout_s: Idle time after which a connection is closed.
    """

    idle_timeout_s: float = 30.0

    def apply(self, limits: fleet.CallerLimits) -> None:
        """Applies the limits of a new configuration."""
        self.idle_timeout_s = limits.idle_timeout_s + IDLE_MARGIN_S


def make_protocol(limits: ConnectionLimits) -> type[protocol.CallerProtocol]:
    """Returns a protocol class that applies the current limits."""

    class GatewayProtocol(protocol.CallerProtocol):
        """The connection of one caller."""

        def on_headers_complete(self) -> None:
            """Stores the request target in the ASGI scope as it was sent."""
            super().on_headers_complete()
            self.scope["extensions"][RAW_TARGET] = self.url  # type: ignore

        def on_response_complete(self) -> None:
            """Sets the keep-alive timeout to the idle timeout in force."""
            self.timeout_keep_alive = math.ceil(limits.idle_timeout_s)
            super().on_response_complete()

    return GatewayProtocol
