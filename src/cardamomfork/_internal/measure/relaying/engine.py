"""An engine that sends one token on each stream every 32 ms.

Run as `python -m cardamomfork._internal.measure.relaying.engine`; prints its
port. It writes to the transport directly, so that it costs less processor time
than the relays that are measured.
"""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import uvloop

TOKEN_INTERVAL_S = 0.032
_ATTEMPT_HEADER = b"x-attempt-id:"
EVENT = (
    b'data: {"id":"cmpl-01a23df7-e798-71a7-bf2d-1e6bf94a5c03","object":'
    b'"chat.completion.chunk","created":1764799986,"model":"demo-model",'
    b'"choices":[{"index":0,"delta":{"content":" pallet"},'
    b'"finish_reason":null}]}\n\n'
)
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)


def find_header(request: bytes, name: bytes) -> bytes:
    """Returns the value of a header, or b"" if the request has none.

    Args:
        request: The request's head.
        name: The header's name in lower case, with its colon.
    """
    for line in request.split(b"\r\n"):
        if line.lower().startswith(name):
            return line[len(name) :].strip()
    return b""


class EngineProtocol(asyncio.Protocol):
    """Answers each request with an endless stream."""

    def __init__(self, rng: random.Random) -> None:
        """Initializes the protocol.

        Args:
            rng: Random generator for the phases of the streams.
        """
        self._rng = rng
        self._transport: Any = None
        self._request = b""
        self._loop = asyncio.get_running_loop()
        self._next_send_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Starts the stream once the request head is complete."""
        self._request += data
        if b"\r\n\r\n" not in self._request or self._next_send_at:
            return
        self._transport.write(self.answer_head(self._request))
        phase = self._rng.uniform(0.0, TOKEN_INTERVAL_S)
        self._next_send_at = self._loop.time() + phase
        self._loop.call_at(self._next_send_at, self._send)

    def answer_head(self, request: bytes) -> bytes:
        """Returns the response head for a request."""
        attempt = find_header(request, _ATTEMPT_HEADER)
        return (
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\nx-attempt-id: "
            + attempt
            + b"\r\n\r\n"
        )

    def next_chunk(self) -> bytes:
        """Returns the next event as an HTTP chunk."""
        return CHUNK

    def _send(self) -> None:
        """Sends a token and schedules the next one."""
        if self._transport.is_closing():
            return
        self._transport.write(self.next_chunk())
        self._next_send_at += TOKEN_INTERVAL_S
        self._loop.call_at(self._next_send_at, self._send)


async def _main() -> None:
    """Serves until the process is killed."""
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineProtocol(rng), "127.0.0.1", 0, backlog=4096
    )
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(_main())
