"""Reads the settings at the start, until they are sound."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue

if TYPE_CHECKING:
    from collections.abc import Callable
    import signal

    from cardamomfork._internal.models import fleet

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.1
"""Longest time after which a stop signal is seen."""


def load(
    load_settings: Callable[[], fleet.EntrySettings],
    signals: signal_queue.SignalQueue,
) -> fleet.EntrySettings | signal.Signals:
    """Reads the settings until they are sound or a stop signal arrives.

    The file may be written at this moment, and a restart would only read it
    again, later. Logs each problem that differs from the one before.

    Args:
        load_settings: Reads the settings once.
        signals: Signals that the process receives.

    Returns:
        The settings or the signal to stop.
    """
    delay_s = FIRST_DELAY_S
    problem = ""
    while True:
        try:
            return load_settings()
        except exceptions.SettingsError as error:
            if str(error) != problem:
                problem = str(error)
                logger.warning("settings not read", reason=problem)
        if stop_signal := _wait(delay_s, signals):
            return stop_signal
        delay_s = min(2 * delay_s, MAX_DELAY_S)


def _wait(
    delay_s: float, signals: signal_queue.SignalQueue
) -> signal.Signals | None:
    """Waits; returns at once with the signal if one to stop arrives."""
    ends_at = time.monotonic() + delay_s
    while (left_s := ends_at - time.monotonic()) > 0:
        time.sleep(min(left_s, CHECK_INTERVAL_S))
        if stop_signal := signal_handling.find_stop_signal(signals):
            return stop_signal
    return None
