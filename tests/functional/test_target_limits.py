"""Tests of limits that targets put on the rate of requests, with processes."""

import asyncio
import unittest

from tests.lib import limited_fleet
from tests.soak import callers

SECONDS = 12.0


class TargetLimitTest(unittest.TestCase):
    def test_instances_together_keep_to_the_limit_of_a_target(self):
        deployment, calls = asyncio.run(
            limited_fleet.run(1, SECONDS, limited_fleet.Options())
        )
        self.assertLessEqual(
            deployment.most_in_a_window(), deployment.allowed()
        )
        served = sum(call.status == callers.OK for call in calls)
        self.assertGreater(served, 0.98 * len(calls))


if __name__ == "__main__":
    unittest.main()
