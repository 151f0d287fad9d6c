"""One timer for the idle bounds of all streams of a process."""

from __future__ import annotations

from typing import Protocol

import anyio


class MonitoredStream(Protocol):
    """A stream with an idle bound.

    Attributes:
        active: Set by the stream whenever bytes come; cleared here.
    """

    active: bool

    def idle_expired(self) -> None:
        """Called once nothing came within the bound."""
        ...


class IdleMonitor:
    """Looks at all streams once a period.

    A stream expires when a whole period saw nothing of it, so its idle bound
    lies between one and two periods. A timer for each read would cost more
    than the read.
    """

    def __init__(self, period_s: float) -> None:
        """Watches nothing yet.

        Args:
            period_s: Time between two looks, in seconds.
        """
        self._period_s = period_s
        self._streams: set[MonitoredStream] = set()

    def __len__(self) -> int:
        """The number of streams watched."""
        return len(self._streams)

    def add(self, stream: MonitoredStream) -> None:
        """Watches a stream."""
        stream.active = True
        self._streams.add(stream)

    def discard(self, stream: MonitoredStream) -> None:
        """Watches a stream no more."""
        self._streams.discard(stream)

    def expire_idle_streams(self) -> None:
        """Expires the streams that were idle since the last look."""
        for stream in list(self._streams):
            if stream.active:
                stream.active = False
            else:
                stream.idle_expired()

    async def run(self) -> None:
        """Looks once a period, for good."""
        while True:
            await anyio.sleep(self._period_s)
            self.expire_idle_streams()
