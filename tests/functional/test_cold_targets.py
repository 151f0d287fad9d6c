"""Tests of engines that return cold, with processes."""

import asyncio
import unittest

from tests.lib import warming_fleet

MIN_USED_SHARE = 0.5
"""Less than the 0.8 of the simulation: the processes share a busy machine."""


class ColdTargetsTest(unittest.TestCase):
    def test_instances_together_keep_within_the_rate_of_cold_engines(self):
        # Each instance on its own fills the slots of an engine that returns.
        options = warming_fleet.Options()
        deployment, _ = asyncio.run(warming_fleet.run(1, options))
        self.assertLessEqual(deployment.most_in_a_window(), options.allowed)
        self.assertGreaterEqual(deployment.used_share(), MIN_USED_SHARE)
        for text in ("target is cold", "target is warm"):
            self.assertTrue(deployment.entry_lines(text), text)


if __name__ == "__main__":
    unittest.main()
