"""A daemon serves although a port of its own is taken when it starts."""

import contextlib
import pathlib
import re
import signal
import socket
import tempfile
import threading
import time
import unittest

from tests.lib import daemons
from tests.lib import process_fleet

PROMPT = {"model": "demo-model", "prompt": "Hello", "max_tokens": 3}
SERVED_WITHIN_S = 8.0
OPENED_WITHIN_S = 2.5
"""Bound for a port that is free again: about a second."""
TAKEN_S = 2.0
SECTIONS = ("callers", "operators", "peers")


@contextlib.contextmanager
def taken(port):
    """Takes a port while the context is open."""
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((process_fleet.HOST, port))
        holder.listen()
        yield


class TakenPortsTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.ports = {name: process_fleet.free_port() for name in SECTIONS}
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory, "settings.ini")
        path.write_text(
            "".join(
                f"[{name}]\nhost = {process_fleet.HOST}\nport = {port}\n"
                for name, port in self.ports.items()
            )
        )
        self.arguments = ("--settings", str(path))

    def start(self):
        self.process = self.enterContext(daemons.starting(*self.arguments))
        self.daemon = daemons.Daemon(self.process, self.ports["callers"])
        reader = threading.Thread(target=self.read)
        reader.start()
        self.addCleanup(reader.join)
        self.addCleanup(self.process.kill)

    def read(self):
        self.lines.extend(self.process.stderr)

    def wait_until(self, check, within_s):
        give_up_at = time.monotonic() + within_s
        while not check():
            self.assertIsNone(self.process.poll(), self.lines)
            self.assertLess(time.monotonic(), give_up_at, self.lines)
            time.sleep(0.02)

    def serves(self):
        try:
            answer = self.daemon.request("POST", "/v1/completions", PROMPT)
        except Exception:  # noqa: BLE001 - the port may not be open yet.
            return False
        return answer[0] == 200

    def check_is_counted(self, name):
        _, _, body = self.daemon.request("GET", "/metrics")
        found = re.search(
            r"cardamomfork_background_task_failures_total\{[^}]*"
            rf'task="{name}"[^}}]*\}} (\d+)',
            body.decode(),
        )
        self.assertGreater(int(found[1]), 0)

    def is_open(self, section):
        line = f"serving {section} on "
        return any(line in one for one in self.lines)

    def check_stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(daemons.STOP_TIMEOUT_S), 0)

    def test_taken_port_for_operators_or_peers_keeps_no_caller_from_service(
        self,
    ):
        for section in ("operators", "peers"):
            with self.subTest(section), taken(self.ports[section]):
                self.start()
                self.wait_until(self.serves, SERVED_WITHIN_S)
                time.sleep(TAKEN_S)
                self.assertTrue(self.serves())
                self.check_is_counted(f"{section}' server")
                address = f"{process_fleet.HOST}:{self.ports[section]}"
                self.wait_until(
                    lambda address=address: any(
                        address in line for line in self.lines
                    ),
                    1.0,
                )
                self.check_stop()

    def test_ports_for_operators_and_peers_are_opened_once_they_are_free(self):
        with taken(self.ports["operators"]), taken(self.ports["peers"]):
            self.start()
            self.wait_until(self.serves, SERVED_WITHIN_S)
            time.sleep(TAKEN_S)
        for section in ("operators", "peers"):
            self.wait_until(lambda s=section: self.is_open(s), OPENED_WITHIN_S)
        self.check_stop()

    def test_callers_are_served_once_their_port_is_free(self):
        with taken(self.ports["callers"]):
            self.start()
            self.wait_until(lambda: self.is_open("peers"), SERVED_WITHIN_S)
            time.sleep(TAKEN_S)
        self.wait_until(self.serves, OPENED_WITHIN_S)
        self.check_is_counted("callers' server")
        self.check_stop()

    def test_stop_signal_ends_a_daemon_that_waits_for_the_callers_port(self):
        with taken(self.ports["callers"]):
            self.start()
            self.wait_until(lambda: self.is_open("peers"), SERVED_WITHIN_S)
            time.sleep(TAKEN_S)
            self.check_stop()


if __name__ == "__main__":
    unittest.main()
