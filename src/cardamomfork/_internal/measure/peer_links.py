"""Processor time and bytes of one exchange between peers on loopback."""

from __future__ import annotations

import time

import anyio
import attrs
import capnp

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering
from cardamomfork._internal.links.peers import link as peer_link
from cardamomfork._internal.links.peers import schema
from cardamomfork._internal.links.peers import server as peer_server
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances

PAYLOAD_SIZES = (0, 500, 1000, 2000, 4000)
EXCHANGES = 400
WARM_UP = 50
EXCHANGES_PER_S = 4.0
BOUND_PROCESSOR = 0.044


@attrs.frozen
class _Echo:
    """Answers each envelope with itself."""

    def handle(self, envelope: peering.Envelope) -> peering.Envelope:
        """Returns the envelope."""
        return envelope

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Reaches every instance that has a port."""
        return subject.port > 0

    def answer_page(self, request: bytes) -> bytes:
        """Returns the request."""
        return request

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Returns the payload of any question."""
        return payload if question >= 0 else b""


def measure(options: reports.Options) -> reports.Report:
    """Measures exchanges by the size of their payloads."""
    sizes = PAYLOAD_SIZES[:1] if options.smallest else PAYLOAD_SIZES
    found = [anyio.run(_run, size) for size in sizes]
    rows = tuple(
        (
            str(size),
            f"{seconds * 1e6:.0f}",
            f"{seconds * EXCHANGES_PER_S:.5f}",
            str(wire),
            str(charged),
        )
        for size, (seconds, wire, charged) in zip(sizes, found, strict=True)
    )
    worst = max(seconds for seconds, _, _ in found) * EXCHANGES_PER_S
    verdict = "met" if worst <= BOUND_PROCESSOR else "NOT met"
    return reports.Report(
        "peer_links",
        (
            reports.Table(
                "one exchange, caller and callee in one process",
                (
                    "payload B each way",
                    "processor us",
                    f"core share at {EXCHANGES_PER_S:g}/s",
                    "envelope B encoded",
                    "B charged",
                ),
                rows,
            ),
            f"bound {BOUND_PROCESSOR:g} of a core: {verdict}",
        ),
    )


async def _run(payload_bytes: int) -> tuple[float, int, int]:
    """Returns processor seconds an exchange, bytes encoded and charged."""
    async with capnp.kj_loop():
        server = peer_server.PeerServer(_Echo(), "127.0.0.1", 0)
        link = peer_link.CapnpPeerLink()
        async with server.serve():
            peer = instances.Instance(
                identifiers.InstanceId("rosenheim-entry-01"),
                identifiers.new_boot_id(),
                identifiers.DataCentreId("rosenheim"),
                "127.0.0.1",
                server.port,
            )
            sections: tuple[peering.Section, ...] = ()
            if payload_bytes:
                sections = (
                    peering.Section(
                        gossip.Topic.LIMITS, b"\x5a" * payload_bytes
                    ),
                )
            envelope = peering.Envelope(peer, sections)
            seconds = await _exchange(link, peer, envelope)
            link.close()
    message = schema.load().Envelope.new_message(
        **schema.envelope_fields(envelope)
    )
    return seconds, len(message.to_bytes()), envelope.size_bytes


async def _exchange(
    link: peer_link.CapnpPeerLink,
    peer: instances.Instance,
    envelope: peering.Envelope,
) -> float:
    """Returns the processor time of one exchange, in seconds."""
    start = 0.0
    for number in range(WARM_UP + EXCHANGES):
        if number == WARM_UP:
            start = time.process_time()
        answer = await link.exchange(peer, envelope, fresh=False)
        answer.unwrap()
    return (time.process_time() - start) / EXCHANGES
