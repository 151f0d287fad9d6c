"""In-process calls between instances, with delays and partitions.

Replaces the peer links in tests and measurements.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal.contracts import peering

if TYPE_CHECKING:
    from cardamomfork._internal.models import instances

CALL_TIMEOUT_S = 0.5


class PeerNetwork:
    """Registry of peer handlers by address, with injected partitions."""

    def __init__(self, delay_s: float = 0.001) -> None:
        """Initializes a network without faults.

        Args:
            delay_s: One-way delay, in seconds.
        """
        self.delay_s = delay_s
        self.handlers: dict[tuple[str, int], peering.PeerHandler] = {}
        self.down: set[str] = set()
        self.sides: dict[str, int] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.silent_connections: set[tuple[str, str]] = set()
        self.bytes_by_sender: dict[str, int] = {}
        self.pages = 0

    def serve(
        self, instance: instances.Instance, handler: peering.PeerHandler
    ) -> None:
        """Registers an instance's handler."""
        self.handlers[(instance.host, instance.port)] = handler

    def link(self, caller: instances.Instance) -> PeerNetworkLink:
        """Returns an instance's link to its peers."""
        return PeerNetworkLink(self, caller)

    def reaches(self, one: str, other: str) -> bool:
        """Returns whether two instances can reach each other."""
        if one in self.down or other in self.down:
            return False
        if frozenset((one, other)) in self.cut_pairs:
            return False
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def count(self, sender: str, envelope: peering.Envelope) -> None:
        """Counts the bytes that an instance sends."""
        before = self.bytes_by_sender.get(sender, 0)
        self.bytes_by_sender[sender] = before + envelope.size_bytes


class PeerNetworkLink:
    """One instance's link to its peers; implements `PeerLink`."""

    def __init__(
        self, network: PeerNetwork, caller: instances.Instance
    ) -> None:
        """Initializes the link of a calling instance."""
        self._network = network
        self._caller = caller

    async def exchange(
        self,
        peer: instances.Instance,
        envelope: peering.Envelope,
        *,
        fresh: bool,
    ) -> result.Result[peering.Envelope, peering.PeerFault]:
        """Sends an envelope and returns the answer."""
        pair = (self._caller.instance_id, peer.instance_id)
        self._network.count(self._caller.instance_id, envelope)
        if fresh:
            self._network.silent_connections.discard(pair)
        handler = await self._reach_handler(peer)
        if handler is None or pair in self._network.silent_connections:
            return result.Err(_silent_fault(peer))
        answer = handler.handle(envelope)
        self._network.count(peer.instance_id, answer)
        await anyio.sleep(self._network.delay_s)
        if not self._network.reaches(*pair):
            return result.Err(_silent_fault(peer))
        return result.Ok(answer)

    async def probe_via(
        self, helper: instances.Instance, subject: instances.Instance
    ) -> result.Result[bool, peering.PeerFault]:
        """Asks a helper to probe an instance."""
        handler = await self._reach_handler(helper)
        if handler is None:
            return result.Err(_silent_fault(helper))
        return result.Ok(await handler.probe_for(subject))

    async def fetch_page(
        self, peer: instances.Instance, request: bytes
    ) -> result.Result[bytes, peering.PeerFault]:
        """Fetches a page of a peer's configuration snapshot."""
        handler = await self._reach_handler(peer)
        if handler is None:
            return result.Err(_silent_fault(peer))
        self._network.pages += 1
        return result.Ok(handler.answer_page(request))

    async def ask(
        self,
        peer: instances.Instance,
        question: peering.PeerRequest,
        payload: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, peering.PeerFault]:
        """Sends a peer request; returns b"" if the peer has no answer."""
        with anyio.move_on_after(timeout_s):
            handler = await self._reach_handler(peer)
            if handler is not None:
                return result.Ok(await handler.answer(question, payload))
        return result.Err(_silent_fault(peer))

    def forget(self, peer: instances.Instance) -> None:
        """Does nothing; there are no connections to close."""

    async def _reach_handler(
        self, peer: instances.Instance
    ) -> peering.PeerHandler | None:
        """Waits the one-way delay; returns None after a time-out."""
        caller = self._caller.instance_id
        handler = self._network.handlers.get((peer.host, peer.port))
        if handler is None or not self._network.reaches(
            caller, peer.instance_id
        ):
            await anyio.sleep(CALL_TIMEOUT_S)
            return None
        await anyio.sleep(self._network.delay_s)
        return handler


def _silent_fault(peer: instances.Instance) -> peering.PeerFault:
    """Creates the fault of an unanswered call."""
    return peering.PeerFault(peering.PeerFaultKind.SILENT, peer.instance_id)
