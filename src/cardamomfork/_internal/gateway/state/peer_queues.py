"""Numbers of requests that wait at peers, from their digests."""

from __future__ import annotations

import attrs

from cardamomfork._internal.gateway.state import load_view

MAX_CLASSES = 64
"""Bound of the classes of one instance."""
MAX_PEERS = 1024
"""Bound of the table; the peer heard longest ago is dropped."""


@attrs.frozen
class WaitingClass:
    """Requests of one service and length that wait at an instance.

    Attributes:
        service: Name of the service.
        is_long: Whether their prompts are long.
        count: Their number.
        prefill_ms: Sum of their prefill times on one idle engine.
    """

    service: str
    is_long: bool
    count: int
    prefill_ms: int = 0


class PeerQueues:
    """Waiting requests at each peer."""

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._by_peer: dict[str, tuple[float, tuple[WaitingClass, ...]]] = {}

    def replace(
        self, peer_id: str, classes: tuple[WaitingClass, ...], now: float
    ) -> None:
        """Replaces what is known of a peer."""
        self._by_peer.pop(peer_id, None)
        if classes:
            self._by_peer[peer_id] = (now, classes[:MAX_CLASSES])
        if len(self._by_peer) > MAX_PEERS:
            del self._by_peer[next(iter(self._by_peer))]

    def list_service(self, service: str, now: float) -> list[WaitingClass]:
        """Returns the classes of a service at peers that were heard lately."""
        return [
            one
            for received_at, classes in self._by_peer.values()
            if now - received_at <= load_view.PEER_JOBS_TTL_S
            for one in classes
            if one.service == service
        ]

    def count(self, service: str, now: float) -> int:
        """Returns the number of requests to a service that wait at peers."""
        return sum(one.count for one in self.list_service(service, now))
