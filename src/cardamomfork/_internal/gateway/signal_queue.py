"""Receives the signals of an entry process, from its start to its end.

The entry program installs the handlers before it imports anything else, so this
module imports only `signal`. The handlers stay installed while the event loop
starts and ends: a handler of the event loop would be reset to the signal's
default action, which ends the process.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # Importing `typing` would delay the handlers.
if TYPE_CHECKING:
    from collections.abc import Callable
    import types

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
NOTED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2)
"""Signals that are only logged. Operators send SIGUSR1 to `cardamomforkd`."""
HANDLED_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL, *NOTED_SIGNALS)


class SignalQueue:
    """Counts the signals that were received and not yet handled."""

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._pending: dict[signal.Signals, int] = {}
        self._notify: Callable[[], object] | None = None

    def install(self) -> None:
        """Replaces the default action of the handled signals."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._receive)
            # Without this, calls of libraries fail with EINTR.
            signal.siginterrupt(number, False)

    def listen(self, notify: Callable[[], object] | None) -> None:
        """Sets the function to call after a signal; None for none.

        Args:
            notify: Runs between any two instructions of the main thread.
        """
        self._notify = notify

    def take(self) -> dict[signal.Signals, int]:
        """Removes and returns the pending signals, oldest first.

        Returns:
            How often each signal was received.
        """
        taken, self._pending = self._pending, {}
        return taken

    def ignore(self) -> None:
        """Ignores all further signals.

        The interpreter resets handlers to the default action when it ends, but
        leaves ignored signals alone.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _receive(self, number: int, frame: types.FrameType | None) -> None:
        """Handles a signal."""
        del frame
        received = signal.Signals(number)
        self._pending[received] = self._pending.get(received, 0) + 1
        if self._notify is not None:
            self._notify()
