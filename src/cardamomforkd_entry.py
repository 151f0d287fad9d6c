"""Entry point of a gateway instance on the users' platform."""

from __future__ import annotations

from cardamomfork._internal.gateway import signal_queue

if __name__ == "__main__":
    signals = signal_queue.SignalQueue()
    signals.install()

    # The imports take half a second, in which signals must not end the process.
    from cardamomfork._internal.gateway import daemon

    daemon.main(obj=signals)
