"""Start and end of a real entry process under signals and odd settings."""

import signal
import time
import unittest

from cardamomfork._internal.platform import node_settings
from tests.lib import entry_process

GRACE_S = 8.0
"""Time after SIGTERM at which the platform kills a process."""
IMPORT_STAGES = ("_asyncio", "msgspec", "httptools")
"""Libraries that are loaded one after the other while the process starts."""


class EntryTestCase(unittest.TestCase):
    def setUp(self):
        self.entry = entry_process.EntryProcess()
        self.addCleanup(self.entry.close)


class EarlySignalTest(EntryTestCase):
    def send_while_importing(self, signal_number, stage):
        self.entry.close()
        self.setUp()
        self.entry.start()
        self.entry.wait_until_loaded(stage)
        self.entry.process.send_signal(signal_number)

    def check_is_survived(self, signal_number):
        for stage in IMPORT_STAGES:
            with self.subTest(stage):
                self.send_while_importing(signal_number, stage)
                self.entry.wait_until_serving()
                (line,) = self.entry.find("signal received")
                self.assertEqual(line["signal"], signal_number.name)

    def check_ends_cleanly(self, signal_number):
        for stage in IMPORT_STAGES:
            with self.subTest(stage):
                self.send_while_importing(signal_number, stage)
                sent_at = time.monotonic()
                status = self.entry.process.wait(entry_process.TIMEOUT_S)
                self.assertEqual(status, 0, self.entry.output)
                self.assertLess(time.monotonic() - sent_at, GRACE_S)
                (line,) = self.entry.find("stopped")
                self.assertEqual(line["signal"], signal_number.name)
                self.assertEqual(self.entry.find("started"), [])

    def test_reload_signal_while_starting_does_not_end_the_process(self):
        self.check_is_survived(signal.SIGHUP)

    def test_user_signals_while_starting_do_not_end_the_process(self):
        self.check_is_survived(signal.SIGUSR1)
        self.check_is_survived(signal.SIGUSR2)

    def test_stop_signal_while_starting_ends_with_status_0_and_a_line(self):
        self.check_ends_cleanly(signal.SIGTERM)
        self.check_ends_cleanly(signal.SIGINT)


class LateSignalTest(EntryTestCase):
    def test_signals_until_the_end_do_not_change_the_status_of_a_stop(self):
        self.entry.start()
        self.entry.wait_until_serving()
        self.entry.process.send_signal(signal.SIGTERM)
        while self.entry.process.poll() is None:
            self.entry.process.send_signal(signal.SIGHUP)
            self.entry.process.send_signal(signal.SIGTERM)
            time.sleep(0.0005)
        self.assertEqual(self.entry.process.returncode, 0, self.entry.output)
        (line,) = self.entry.find("stopped")
        self.assertEqual(line["signal"], "SIGTERM")

    def test_user_signals_do_not_end_a_serving_process(self):
        self.entry.start()
        self.entry.wait_until_serving()
        for signal_number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE):
            self.entry.process.send_signal(signal_number)
        self.entry.wait_until(
            lambda: len(self.entry.find("signal received")) == 2
        )
        self.assertEqual(self.entry.stop(), 0)


class SettingsFileTest(EntryTestCase):
    def test_settings_half_written_at_the_start_are_read_again(self):
        whole = self.entry.settings
        self.entry.start(whole[: len(whole) // 2])
        self.entry.wait_until(lambda: self.entry.find("settings not read"))
        time.sleep(1.0)
        self.assertEqual(len(self.entry.find("settings not read")), 1)
        self.entry.settings_path.write_text(whole)
        self.entry.wait_until_serving()

    def test_missing_settings_file_is_waited_for(self):
        self.entry.start()
        self.entry.settings_path.unlink()
        self.entry.wait_until(lambda: self.entry.find("settings not read"))
        self.entry.settings_path.write_text(self.entry.settings)
        self.entry.wait_until_serving()

    def test_stop_signal_ends_the_wait_for_settings_with_status_0(self):
        self.entry.start("")
        self.entry.wait_until(lambda: self.entry.find("settings not read"))
        self.assertEqual(self.entry.stop(), 0)
        (line,) = self.entry.find("stopped")
        self.assertEqual(line["signal"], "SIGTERM")

    def test_missing_path_of_the_settings_file_is_an_error(self):
        self.entry.start(prefix=("env", "-u", node_settings.PATH_VARIABLE))
        self.assertEqual(self.entry.process.wait(entry_process.TIMEOUT_S), 1)
        (line,) = self.entry.find("stopped")
        self.assertIn(node_settings.PATH_VARIABLE, line["reason"])

    def test_malformed_optional_fields_do_not_prevent_the_start(self):
        whole = self.entry.settings
        bounds = "[bounds]\ngraceS = []\nholdMaxMs = -1\nretryBudget = nan\n"
        settings = whole.replace("[bounds]\ngraceS = 8\n", bounds)
        self.assertNotEqual(settings, whole)
        self.entry.start(settings + "[limits]\nmemoryMb = {}\nmaxFds = 0\n")
        self.entry.wait_until_serving()
        names = {line["name"] for line in self.entry.find("malformed field")}
        self.assertEqual(
            names, {"graceS", "holdMaxMs", "retryBudget", "memoryMb", "maxFds"}
        )

    def test_broken_settings_keep_the_present_ones_of_a_serving_process(self):
        self.entry.start()
        self.entry.wait_until_serving()
        for text in ("a = " + "[" * 50_000, f"a = {'9' * 5000}", "nodeName = "):
            count = len(self.entry.find("settings not reloaded"))
            self.entry.settings_path.write_text(text)
            self.entry.process.send_signal(signal.SIGHUP)
            self.entry.wait_until(
                lambda count=count: (
                    len(self.entry.find("settings not reloaded")) > count
                )
            )
        self.assertEqual(self.entry.stop(), 0)


class StandardStreamTest(EntryTestCase):
    def test_closed_standard_streams_do_not_prevent_the_start(self):
        self.check("<&- >&- 2>&-")

    def test_full_standard_streams_do_not_prevent_the_start(self):
        self.check(">/dev/full 2>/dev/full")

    def check(self, redirections):
        """Checks that a process with these streams starts and stops."""
        command = f'exec "$@" {redirections}'
        self.entry.start(prefix=("sh", "-c", command, "sh"))
        self.entry.wait_until_serving()
        self.assertEqual(self.entry.stop(), 0)


if __name__ == "__main__":
    unittest.main()
