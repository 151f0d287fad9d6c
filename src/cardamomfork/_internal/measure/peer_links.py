"""Processor time and bytes per exchange between peers over loopback."""

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
EXCHANGE_COUNT = 400
WARM_UP_EXCHANGES = 50
EXCHANGES_PER_S = 4.0
PROCESSOR_BOUND_CORES = 0.044


@attrs.frozen
class _Echo:
    """Peer service that answers each envelope with the same envelope."""

    def handle(self, envelope: peering.Envelope) -> peering.Envelope:
        """Returns the envelope."""
        return envelope

    async def probe_for(self, subject: instances.Instance) -> bool:
        """Reports every instance that has a port as reachable."""
        return subject.port > 0

    def answer_page(self, request: bytes) -> bytes:
        """Returns the request."""
        return request

    async def answer(self, question: int, payload: bytes) -> bytes:
        """Returns the payload of any peer request."""
        return payload if question >= 0 else b""


def measure(options: reports.Options) -> reports.Report:
    """Measures exchanges by payload size."""
    payload_sizes = PAYLOAD_SIZES[:1] if options.smallest else PAYLOAD_SIZES
    measured = [
        anyio.run(_run, payload_bytes) for payload_bytes in payload_sizes
    ]
    rows = tuple(
        (
            str(payload_bytes),
            f"{processor_s * 1e6:.0f}",
            f"{processor_s * EXCHANGES_PER_S:.5f}",
            str(encoded_bytes),
            str(charged_bytes),
        )
        for payload_bytes, (processor_s, encoded_bytes, charged_bytes) in zip(
            payload_sizes, measured, strict=True
        )
    )
    worst_cores = (
        max(processor_s for processor_s, _, _ in measured) * EXCHANGES_PER_S
    )
    verdict = "met" if worst_cores <= PROCESSOR_BOUND_CORES else "NOT met"
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
            f"bound {PROCESSOR_BOUND_CORES:g} of a core: {verdict}",
        ),
    )


async def _run(payload_bytes: int) -> tuple[float, int, int]:
    """Measures exchanges of one payload size.

    Returns:
        Processor seconds per exchange, the encoded size of the envelope in
        bytes, and the bytes charged to the byte budget.
    """
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
            processor_s = await _exchange(link, peer, envelope)
            link.close()
    message = schema.load().Envelope.new_message(
        **schema.envelope_fields(envelope)
    )
    return processor_s, len(message.to_bytes()), envelope.size_bytes


async def _exchange(
    link: peer_link.CapnpPeerLink,
    peer: instances.Instance,
    envelope: peering.Envelope,
) -> float:
    """Returns the mean processor time of an exchange, in seconds."""
    start = 0.0
    for number in range(WARM_UP_EXCHANGES + EXCHANGE_COUNT):
        if number == WARM_UP_EXCHANGES:
            start = time.process_time()
        answer = await link.exchange(peer, envelope, fresh=False)
        answer.unwrap()
    return (time.process_time() - start) / EXCHANGE_COUNT
