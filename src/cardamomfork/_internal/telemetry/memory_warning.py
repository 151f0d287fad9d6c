"""Warns before a process exceeds its memory limit.

The platform kills a process that exceeds its limit, and such a process logs
nothing. The last line before tells this end from one by a signal.
"""

from __future__ import annotations

import anyio
from loguru import logger

from cardamomfork._internal.telemetry import watchdog

CHECK_INTERVAL_S = 1.0
WARNING_FRACTION = 0.8
"""Part of the limit above which a line is logged."""
REARM_FRACTION = 0.7
"""Part of the limit below which the next excess is logged again."""


class MemoryWarning:
    """Logs a line each time that memory comes near the limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Initializes the warning.

        Args:
            limit_bytes: Resident memory at which the process is killed.
        """
        self._limit_bytes = limit_bytes
        self._is_near = False

    async def run(self) -> None:
        """Checks the memory of this process until cancelled."""
        while True:
            self.check(watchdog.resident_bytes())
            await anyio.sleep(CHECK_INTERVAL_S)

    def check(self, resident_bytes: int) -> None:
        """Logs a line if memory has come near the limit.

        Args:
            resident_bytes: Resident memory of the process.
        """
        if resident_bytes < self._limit_bytes * REARM_FRACTION:
            self._is_near = False
        elif not self._is_near and (
            resident_bytes > self._limit_bytes * WARNING_FRACTION
        ):
            self._is_near = True
            logger.warning(
                "memory near its limit",
                bytes=resident_bytes,
                detail=f"limit {self._limit_bytes}",
            )
