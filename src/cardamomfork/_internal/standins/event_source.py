"""A platform engine that answers every request with an endless event stream.

Run as `python -m cardamomfork._internal.standins.event_source PORT STORE`; it
registers itself in the store. Each stream carries one event every 32 ms. It
writes to the transport directly, so that it uses less CPU than the relays that
are measured.
"""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Any

import anyio

from cardamomfork._internal.measure.relaying import engine
from cardamomfork._internal.standins import platform_engine
from cardamomfork._internal.standins import platform_site

SERVICE = "events"
SLOTS = 10_000
_REQUEST_ID = b"x-cardamomfork-request-id:"


class EventProtocol(engine.EngineProtocol):
    """Answers each request with an endless stream of numbered events."""

    _number = 0

    def answer_head(self, request: bytes) -> bytes:
        """Returns the head of the answer to a request."""
        request_id = engine.find_header(request, _REQUEST_ID)
        return (
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\n"
            b"x-cardamomfork-server-signature: s\r\n"
            + _REQUEST_ID
            + b" "
            + request_id
            + b"\r\n\r\n"
        )

    def next_chunk(self) -> bytes:
        """Returns the next event as a chunk."""
        self._number += 1
        event = b"id: %d\n" % self._number + engine.EVENT
        return b"%x\r\n%b\r\n" % (len(event), event)


async def _main(port: int, store_address: str) -> None:
    """Serves and keeps the entry registered until cancelled."""
    rng = random.Random(1)
    await asyncio.get_running_loop().create_server(
        lambda: EventProtocol(rng), "127.0.0.1", port, backlog=4096
    )
    entry: dict[str, Any] = platform_site.make_entry(SERVICE, port, SLOTS)
    entry["state"] = "ready"
    await platform_engine.register(
        lambda: False,
        platform_site.make_client(store_address),
        entry,
        "events-1",
    )


if __name__ == "__main__":
    anyio.run(_main, int(sys.argv[1]), sys.argv[2])
