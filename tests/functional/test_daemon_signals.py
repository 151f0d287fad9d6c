"""Signals that a real daemon receives while it starts, serves and stops."""

import pathlib
import signal
import tempfile
import threading
import time
import unittest
import urllib.request

from tests.lib import certificates
from tests.lib import daemons

IMPORT_STAGES = ("_asyncio", "msgspec", "uvloop")
"""Libraries that are loaded one after the other while the process starts."""
SURVIVED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
PROMPT = {"model": "demo-model", "prompt": "Hello", "max_tokens": 3}
FULL_PIPE_DUMPS = 30
"""Dumps of more bytes than a pipe holds."""
MAX_STOP_WHILE_STARTING_S = 3.0


class EarlySignalTest(unittest.TestCase):
    def test_signals_while_starting_do_not_end_the_daemon(self):
        for number in SURVIVED_SIGNALS:
            for stage in IMPORT_STAGES:
                with (
                    self.subTest(number.name, stage=stage),
                    daemons.starting("--port", "0") as process,
                ):
                    daemons.wait_until_loaded(process, stage)
                    process.send_signal(number)
                    daemons.read_until(process, "serving callers on ")

    def test_stop_signal_while_starting_ends_with_status_0_and_a_line(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            for stage in IMPORT_STAGES:
                with (
                    self.subTest(number.name, stage=stage),
                    daemons.starting("--port", "0") as process,
                ):
                    daemons.wait_until_loaded(process, stage)
                    sent_at = time.monotonic()
                    process.send_signal(number)
                    line = daemons.read_until(process, "stopped")
                    self.assertEqual(line["signal"], number.name)
                    self.assertEqual(process.wait(daemons.STOP_TIMEOUT_S), 0)
                    self.assertLess(
                        time.monotonic() - sent_at, MAX_STOP_WHILE_STARTING_S
                    )

    def test_stop_signal_ends_a_daemon_that_waits_for_its_configuration(self):
        with (
            tempfile.TemporaryDirectory() as directory,
            daemons.starting(
                *("--settings", str(self.write_settings(directory))),
                *("--port", "0"),
                embedded=False,
            ) as process,
        ):
            daemons.read_until(process, "serving operators on ")
            sent_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            daemons.read_until(process, "stopped")
            self.assertEqual(process.wait(daemons.STOP_TIMEOUT_S), 0)
            self.assertLess(
                time.monotonic() - sent_at, MAX_STOP_WHILE_STARTING_S
            )

    def write_settings(self, directory):
        # Nothing listens on the store's port.
        path = pathlib.Path(directory, "settings.ini")
        path.write_text("[store]\nendpoints = 127.0.0.1:9\n")
        return path


class ServingSignalTest(unittest.TestCase):
    def test_reload_signals_do_not_end_a_serving_daemon(self):
        with daemons.running() as daemon:
            for _ in range(3):
                for number in SURVIVED_SIGNALS:
                    daemon.process.send_signal(number)
                    time.sleep(0.1)
            status, _, _ = daemon.request("POST", "/v1/completions", PROMPT)
            self.assertEqual(status, 200)
            self.assertEqual(daemon.terminate(), 0)

    def test_signals_until_the_end_do_not_change_the_status_of_a_stop(self):
        with daemons.running() as daemon:
            threading.Thread(target=daemon.process.stderr.read).start()
            daemon.process.send_signal(signal.SIGTERM)
            while daemon.process.poll() is None:
                for number in (*SURVIVED_SIGNALS, signal.SIGTERM):
                    daemon.process.send_signal(number)
                time.sleep(0.002)
            self.assertEqual(daemon.process.returncode, 0)

    def test_full_pipe_of_the_log_does_not_stop_a_serving_daemon(self):
        with daemons.running() as daemon:
            for _ in range(FULL_PIPE_DUMPS):
                daemon.process.send_signal(signal.SIGUSR1)
                time.sleep(0.06)
            url = daemon.url("/readyz")
            with urllib.request.urlopen(url, timeout=5.0) as answer:
                self.assertEqual(answer.status, 200)
            self.assertEqual(daemon.terminate(), 0)

    def test_reload_signal_loads_changed_tls_files_at_once(self):
        with tempfile.TemporaryDirectory() as directory:
            certificates.write(directory)
            path = pathlib.Path(directory, "settings.ini")
            sections = "".join(
                f"[{name}]\ntls_certificate = {directory}/cert.pem\n"
                f"tls_key = {directory}/key.pem\n"
                for name in ("callers", "operators")
            )
            path.write_text(sections)
            with daemons.running("--settings", str(path)) as daemon:
                certificates.write(directory)
                daemon.process.send_signal(signal.SIGHUP)
                line = daemons.read_until(daemon.process, "files reloaded")
                self.assertEqual(line["count"], 2)
                self.assertEqual(daemon.terminate(), 0)


if __name__ == "__main__":
    unittest.main()
