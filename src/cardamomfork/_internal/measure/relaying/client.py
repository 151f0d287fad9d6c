"""Callers that hold many streams and note the time between tokens.

Run as `python -m cardamomfork._internal.measure.relaying.client PORT STREAMS`;
prints a line once all streams run, then answers each line of its input with
what it saw since the last one.
"""

from __future__ import annotations

import array
import asyncio
import json
import sys
import time
from typing import Any

import uvloop

_BODY = json.dumps(
    {
        "model": "demo-model",
        "messages": [{"role": "user", "content": "Which board is cracked?"}],
        "stream": True,
        "max_tokens": 100_000,
    }
).encode()
_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: relay\r\n"
    b"authorization: Bearer demo-key\r\ncontent-type: application/json\r\n"
    b"request-timeout: 600\r\ncontent-length: %d\r\n\r\n" % len(_BODY)
) + _BODY
_START_INTERVAL_S = 0.002


class Tally:
    """What all streams saw since the last look."""

    def __init__(self) -> None:
        """Starts empty."""
        self.tokens = 0
        self.gaps = array.array("d")
        self.started = 0
        self.ended = 0

    def take(self) -> dict[str, Any]:
        """Returns what was seen and starts anew."""
        gaps = sorted(self.gaps)
        seen = {
            "tokens": self.tokens,
            "p50_ms": _percentile(gaps, 0.50),
            "p95_ms": _percentile(gaps, 0.95),
            "p99_ms": _percentile(gaps, 0.99),
            "ended": self.ended,
        }
        self.tokens = 0
        self.gaps = array.array("d")
        return seen


def _percentile(ordered: list[float], share: float) -> float:
    """Returns a percentile of ordered seconds, in milliseconds."""
    if not ordered:
        return 0.0
    return 1000.0 * ordered[min(int(len(ordered) * share), len(ordered) - 1)]


class ClientProtocol(asyncio.Protocol):
    """One stream."""

    def __init__(self, tally: Tally) -> None:
        """Waits for the connection."""
        self._tally = tally
        self._last = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        transport.write(_REQUEST)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Counts the tokens in a buffer; joined ones have no gap."""
        count = data.count(b"data: {")
        if not count:
            return
        now = time.perf_counter()
        tally = self._tally
        if self._last:
            tally.gaps.append(now - self._last)
            tally.gaps.extend([0.0] * (count - 1))
        else:
            tally.started += 1
        self._last = now
        tally.tokens += count

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Counts a stream that ended; none should."""
        self._tally.ended += 1


async def _main(port: int, streams: int) -> None:
    """Opens the streams, then answers each line of input."""
    loop = asyncio.get_running_loop()
    tally = Tally()
    for _ in range(streams):
        await loop.create_connection(
            lambda: ClientProtocol(tally), "127.0.0.1", port
        )
        await asyncio.sleep(_START_INTERVAL_S)
    while tally.started + tally.ended < streams:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print(json.dumps({"running": tally.started}), flush=True)
    while await reader.readline():
        print(json.dumps(tally.take()), flush=True)


if __name__ == "__main__":
    uvloop.run(_main(int(sys.argv[1]), int(sys.argv[2])))
