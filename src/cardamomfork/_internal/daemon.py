"""Entry point of `cardamomforkd`: handles signals, then loads the program."""

from __future__ import annotations

from cardamomfork._internal.gateway import signal_queue


def main() -> None:
    """Runs the program."""
    signals = signal_queue.SignalQueue()
    signals.install()

    # The imports take half a second, in which signals must not end the process.
    from cardamomfork._internal import daemon_program

    daemon_program.main(signals)


if __name__ == "__main__":
    main()
