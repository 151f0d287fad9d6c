"""Streams of server-sent events to callers."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

from cardamomfork._internal import supervision

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.links.callers import protocol
    from cardamomfork._internal.requests import delivery

HEARTBEAT_COMMENT = b": heartbeat\n\n"
OK = 200
TASK_NAME = "stream heartbeats"


class StreamSink:
    """Writes events to a caller; pauses their source if it reads slowly."""

    def __init__(
        self,
        connection: protocol.CallerProtocol,
        send: Callable[[dict[str, Any]], Awaitable[None]],
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Initializes the sink; sends nothing yet.

        Args:
            connection: The caller's connection.
            send: ASGI's send for this response.
            headers: Headers of the response.
        """
        self._connection = connection
        self._send = send
        self._headers = headers
        self._source: delivery.PausableSource | None = None
        self._opened = False
        self.active = True

    @property
    def opened(self) -> bool:
        """Whether `open` has been called."""
        return self._opened

    async def open(self) -> None:
        """Sends the response head, on the first call only."""
        if self._opened:
            return
        self._opened = True
        await self._send(
            {
                "type": "http.response.start",
                "status": OK,
                "headers": [
                    (b"content-type", b"text/event-stream; charset=utf-8"),
                    (b"cache-control", b"no-store"),
                    *self._headers,
                ],
            }
        )
        self._connection.set_flow_listener(self)

    def write(self, data: bytes) -> None:
        """Writes complete events; `open` must have been called."""
        self.active = True
        self._connection.write_chunk(data)

    async def finish(self) -> None:
        """Ends the response."""
        self._connection.set_flow_listener(None)
        await self._send({"type": "http.response.body", "body": b""})

    def attach(self, source: delivery.PausableSource | None) -> None:
        """Sets the source to pause while the caller reads slowly."""
        self._source = source
        if source is not None and self._connection.is_write_paused:
            source.pause()

    def on_write_paused(self) -> None:
        """Pauses the source."""
        if self._source is not None:
            self._source.pause()

    def on_write_resumed(self) -> None:
        """Resumes the source."""
        if self._source is not None:
            self._source.resume()

    async def send_heartbeat(self) -> None:
        """Writes a comment, so that an idle stream is not taken for dead."""
        if self._connection.is_write_paused:
            return
        await self.open()
        self._connection.write_chunk(HEARTBEAT_COMMENT)


class NullSink:
    """Discards all data; for responses that are not streams."""

    async def open(self) -> None:
        """Does nothing."""

    def write(self, data: bytes) -> None:
        """Discards the data."""

    def attach(self, source: delivery.PausableSource | None) -> None:
        """Ignores the source."""


class StreamHeartbeats:
    """Sends heartbeats on all open streams from one timer.

    A stream that was idle for a whole period gets a heartbeat, so the gap
    between two writes is at most two periods.
    """

    def __init__(
        self,
        period_s: float,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the heartbeats without streams.

        Args:
            period_s: Time between two checks, in seconds.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._period_s = period_s
        self._sinks: set[StreamSink] = set()

    def __len__(self) -> int:
        """Returns the number of open streams."""
        return len(self._sinks)

    def add(self, sink: StreamSink) -> None:
        """Starts heartbeats for a stream."""
        self._sinks.add(sink)

    def discard(self, sink: StreamSink) -> None:
        """Stops heartbeats for a stream."""
        self._sinks.discard(sink)

    async def run(self) -> None:
        """Sends heartbeats on idle streams once a period until cancelled."""
        while True:
            await anyio.sleep(self._period_s)
            for sink in list(self._sinks):
                if sink.active:
                    sink.active = False
                elif sink in self._sinks:
                    await self._supervisor.run_once(
                        TASK_NAME, sink.send_heartbeat
                    )
