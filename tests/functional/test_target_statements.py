"""Tests of what targets state in their answers, with real processes."""

import asyncio
import unittest

from tests.lib import stating_fleet
from tests.soak import callers

SECONDS = 7.0


def run(**options):
    return asyncio.run(
        stating_fleet.run(1, SECONDS, stating_fleet.Options(**options))
    )


class RestTest(unittest.TestCase):
    def check(self, **options):
        deployment, calls = run(**options)
        self.assertLessEqual(
            deployment.most_in_a_rest(calls), stating_fleet.MAX_IN_REST
        )
        self.assertGreater(sum(call.status == callers.OK for call in calls), 20)

    def test_target_that_asks_one_instance_for_rest_gets_it(self):
        self.check()

    def test_targets_that_ask_several_instances_for_rest_get_it(self):
        self.check(instances=3, engines=2, resting=2, pause_s=0.02)


class LeavingTest(unittest.TestCase):
    def test_target_that_says_it_leaves_gets_no_further_request(self):
        deployment, calls = run(
            instances=2, engines=4, resting=0, leaving=2, pause_s=0.06
        )
        self.assertEqual(deployment.sent_after_leaving(calls), 0)
        # Callers of instances that are still starting are refused.
        calls = [
            call for call in calls if call.sent_at >= deployment.load_started_at
        ]
        served = sum(call.status == callers.OK for call in calls)
        self.assertGreater(served, 0.9 * len(calls), calls)


if __name__ == "__main__":
    unittest.main()
