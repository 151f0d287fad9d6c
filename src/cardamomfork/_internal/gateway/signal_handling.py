"""Logs the signals of an entry process and passes them to the event loop."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cardamomfork._internal.gateway import signal_queue

if TYPE_CHECKING:
    from collections.abc import Callable
    import signal

MIN_INTERVAL_S = 0.05
"""Time after a signal in which further ones are collected.

Without it, the lines of a burst of signals displace others in the log.
"""


def take(queue: signal_queue.SignalQueue) -> tuple[signal.Signals, ...]:
    """Removes, logs and returns the pending signals, each of them once."""
    taken = queue.take()
    for received, count in taken.items():
        logger.info("signal received", signal=received.name, count=count)
    return tuple(taken)


def find_stop_signal(queue: signal_queue.SignalQueue) -> signal.Signals | None:
    """Removes the pending signals; returns the first one to stop, or None."""
    return next(
        (one for one in take(queue) if one in signal_queue.STOP_SIGNALS), None
    )


async def handle(
    queue: signal_queue.SignalQueue,
    handler: Callable[[signal.Signals], None],
) -> None:
    """Calls `handler` for each signal until cancelled.

    Args:
        queue: Signals, including those received before this call.
        handler: Called from the event loop.
    """
    loop = asyncio.get_running_loop()
    try:
        while True:
            is_received = anyio.Event()
            queue.listen(
                functools.partial(loop.call_soon_threadsafe, is_received.set)
            )
            if taken := take(queue):
                for received in taken:
                    handler(received)
                await anyio.sleep(MIN_INTERVAL_S)
            await is_received.wait()
    finally:
        queue.listen(None)
