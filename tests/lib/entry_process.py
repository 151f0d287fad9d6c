"""Runs one entry process without a store, from its first moment to its end."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

from cardamomfork._internal.standins import platform_site

TIMEOUT_S = 30.0
NEVER_READY = 503
LOWEST_PORT = 10_000
PORTS_PER_PROCESS = 10


def _choose_ports():
    """Returns four ports of an entry process and one without a store.

    They lie below those of the deployments of other tests.
    """
    first = LOWEST_PORT + os.getpid() % 100 * PORTS_PER_PROCESS
    return tuple(range(first, first + 5))


class EntryProcess:
    """An entry process with a settings file and a log file of its own."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        directory = pathlib.Path(self._directory.name)
        self.settings_path = directory / "node.toml"
        self._log_path = directory / "log.txt"
        *own_ports, store_port = _choose_ports()
        self._ports = platform_site.Ports(*own_ports)
        self.settings = platform_site.make_settings(
            "entry-0", self._ports, f"{platform_site.HOST}:{store_port}"
        )
        self.process = None

    def start(self, settings=None, prefix=()):
        """Starts the process; `prefix` are words before its command."""
        if settings is None:
            settings = self.settings
        self.settings_path.write_text(settings)
        command, environment = platform_site.make_entry_command(
            self.settings_path
        )
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*prefix, *command],
                env=os.environ | environment,
                stdout=log,
                stderr=log,
            )

    def close(self):
        """Kills the process and removes its files."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._directory.cleanup()

    @property
    def output(self):
        """What the process wrote to its standard output and error."""
        return self._log_path.read_text()

    @property
    def lines(self):
        """The lines of the log."""
        return [
            json.loads(line)
            for line in self.output.splitlines()
            if line.startswith("{")
        ]

    def find(self, message):
        """Returns the log lines with a message."""
        return [line for line in self.lines if line["message"] == message]

    def wait_until(self, condition):
        """Waits until a condition is true or the process has ended."""
        give_up_at = time.monotonic() + TIMEOUT_S
        while not condition():
            if self.process.poll() is not None:
                raise AssertionError(
                    f"status {self.process.returncode}: {self.output}"
                )
            if time.monotonic() > give_up_at:
                raise AssertionError(f"not in time: {self.output}")
            time.sleep(0.002)

    def wait_until_loaded(self, library):
        """Waits until the process has loaded a library of an import."""
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps")
        self.wait_until(lambda: library in maps.read_text())

    def wait_until_serving(self):
        """Waits until the process answers on its readiness port."""
        self.wait_until(lambda: self._ask_readiness() == NEVER_READY)

    def _ask_readiness(self):
        """Returns the status of a readiness check; None without an answer."""
        connection = http.client.HTTPConnection(
            platform_site.HOST, self._ports.readiness, timeout=1.0
        )
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def stop(self):
        """Sends SIGTERM; returns the status with which the process ends."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)
