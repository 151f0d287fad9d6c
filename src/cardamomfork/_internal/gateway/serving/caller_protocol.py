"""HTTP connections of callers, extended by features that ASGI lacks."""

from __future__ import annotations

from cardamomfork._internal.links.callers import protocol

RAW_TARGET = "cardamomfork.raw_target"


class GatewayProtocol(protocol.CallerProtocol):
    """The connection of one caller."""

    def on_headers_complete(self) -> None:
        """Stores the request target in the ASGI scope as it was sent."""
        super().on_headers_complete()
        self.scope["extensions"][RAW_TARGET] = self.url  # type: ignore
