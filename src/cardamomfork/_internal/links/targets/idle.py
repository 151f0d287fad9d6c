"""Idle timeouts of all streams of a process, with one timer."""

from __future__ import annotations

from typing import Protocol

import anyio

from cardamomfork._internal import supervision

TASK_NAME = "idle streams"


class MonitoredStream(Protocol):
    """A stream with an idle timeout.

    Attributes:
        active: Set by the stream whenever bytes arrive; cleared by the
            monitor.
    """

    active: bool

    def idle_expired(self) -> None:
        """Called when no bytes arrived within the idle timeout."""
        ...


class IdleMonitor:
    """Expires idle streams; checks all streams once a period.

    A stream expires after a whole period without bytes, so its idle timeout is
    between one and two periods. A timer for each read would cost more than the
    read.
    """

    def __init__(
        self,
        period_s: float,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the monitor without streams.

        Args:
            period_s: Time between two checks, in seconds.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._period_s = period_s
        self._streams: set[MonitoredStream] = set()

    def __len__(self) -> int:
        """Returns the number of monitored streams."""
        return len(self._streams)

    def add(self, stream: MonitoredStream) -> None:
        """Starts to monitor a stream."""
        stream.active = True
        self._streams.add(stream)

    def discard(self, stream: MonitoredStream) -> None:
        """Stops monitoring a stream."""
        self._streams.discard(stream)

    def expire_idle_streams(self) -> None:
        """Expires the streams that were idle since the last check."""
        for stream in list(self._streams):
            if stream.active:
                stream.active = False
            else:
                self._supervisor.call(TASK_NAME, stream.idle_expired)

    async def run(self) -> None:
        """Expires idle streams once a period until cancelled."""
        while True:
            await anyio.sleep(self._period_s)
            self.expire_idle_streams()
