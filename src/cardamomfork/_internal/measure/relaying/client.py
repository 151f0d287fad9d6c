"""Client of many streams that measures the time between tokens.

Run as `python -m cardamomfork._internal.measure.relaying.client PORT STREAMS`;
prints a line once all streams have started. Then it answers each input line
with a JSON line of the figures since the previous one.
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


class StreamCounts:
    """Counts and gaps of all streams.

    Attributes:
        tokens: Tokens received since the last reset.
        gaps_s: Times between tokens since the last reset, in seconds.
        started: Streams that have received a token.
        ended: Streams whose connection was lost.
    """

    def __init__(self) -> None:
        """Initializes empty counts."""
        self.tokens = 0
        self.gaps_s = array.array("d")
        self.started = 0
        self.ended = 0

    def read_and_reset(self) -> dict[str, Any]:
        """Returns the figures and resets the tokens and gaps."""
        gaps_s = sorted(self.gaps_s)
        figures = {
            "tokens": self.tokens,
            "p50_ms": _percentile(gaps_s, 0.50),
            "p95_ms": _percentile(gaps_s, 0.95),
            "p99_ms": _percentile(gaps_s, 0.99),
            "ended": self.ended,
        }
        self.tokens = 0
        self.gaps_s = array.array("d")
        return figures


def _percentile(sorted_s: list[float], fraction: float) -> float:
    """Returns a percentile of sorted seconds, in milliseconds."""
    if not sorted_s:
        return 0.0
    return (
        1000.0 * sorted_s[min(int(len(sorted_s) * fraction), len(sorted_s) - 1)]
    )


class ClientProtocol(asyncio.Protocol):
    """A connection with one stream."""

    def __init__(self, counts: StreamCounts) -> None:
        """Initializes the protocol.

        Args:
            counts: The counts shared by all streams.
        """
        self._counts = counts
        self._last_token_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        transport.write(_REQUEST)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Counts the tokens in a buffer; those after its first have gap 0."""
        count = data.count(b"data: {")
        if not count:
            return
        now = time.perf_counter()
        counts = self._counts
        if self._last_token_at:
            counts.gaps_s.append(now - self._last_token_at)
            counts.gaps_s.extend([0.0] * (count - 1))
        else:
            counts.started += 1
        self._last_token_at = now
        counts.tokens += count

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Counts a stream that ended, which is a failure."""
        self._counts.ended += 1


async def _main(port: int, streams: int) -> None:
    """Opens the streams, then answers each input line."""
    loop = asyncio.get_running_loop()
    counts = StreamCounts()
    for _ in range(streams):
        await loop.create_connection(
            lambda: ClientProtocol(counts), "127.0.0.1", port
        )
        await asyncio.sleep(_START_INTERVAL_S)
    while counts.started + counts.ended < streams:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print(json.dumps({"running": counts.started}), flush=True)
    while await reader.readline():
        print(json.dumps(counts.read_and_reset()), flush=True)


if __name__ == "__main__":
    uvloop.run(_main(int(sys.argv[1]), int(sys.argv[2])))
