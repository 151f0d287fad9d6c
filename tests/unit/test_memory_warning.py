"""Memory near the limit is logged before the platform kills the process."""

import unittest

from loguru import logger

from cardamomfork._internal.telemetry import memory_warning

LIMIT = 300_000_000


class MemoryWarningTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        handler = logger.add(self.lines.append, format="{message}")
        self.addCleanup(logger.remove, handler)
        self.warning = memory_warning.MemoryWarning(LIMIT)

    def check(self, *megabytes):
        for one in megabytes:
            self.warning.check(one * 1_000_000)

    def test_memory_far_from_the_limit_is_not_logged(self):
        self.check(50, 230)
        self.assertEqual(self.lines, [])

    def test_growing_memory_is_logged_before_the_kill(self):
        self.check(50, 241, 299)
        self.assertEqual(len(self.lines), 1)

    def test_second_growth_is_logged_again(self):
        self.check(241, 200, 241)
        self.assertEqual(len(self.lines), 2)


if __name__ == "__main__":
    unittest.main()
