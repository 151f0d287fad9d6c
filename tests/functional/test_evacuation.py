"""Tests of the evacuation of a data centre, with processes and a store."""

import asyncio
import unittest

from tests.lib import evacuated_fleet
from tests.soak import callers

KNOWN_S = 2.0
"""Time in which all instances know an order; the rule allows 5 s."""
MIN_SERVED_RATIO = 0.97


class EvacuationTest(unittest.TestCase):
    def run_fleet(self, options):
        return asyncio.run(evacuated_fleet.run(1, options))

    def check(self, deployment, calls):
        self.assertEqual(deployment.arrivals(KNOWN_S), [])
        served = sum(call.status == callers.OK for call in calls)
        self.assertGreater(served, MIN_SERVED_RATIO * len(calls))
        # The data centre is used again after the order has ended.
        self.assertTrue(deployment.served_there(deployment.periods[-1][1]))

    def test_instance_that_the_store_turns_away_follows_an_order(self):
        # Guards against an instance that learns of orders from the store only.
        deployment, calls = self.run_fleet(evacuated_fleet.Options())
        self.check(deployment, calls)
        lines = deployment.entry_lines("data centre evacuated")
        self.assertEqual(len(lines), len(deployment.entries))
        self.assertTrue(any("peer entry-" in line for line in lines), lines)
        ended = deployment.entry_lines("evacuation ended")
        self.assertEqual(len(ended), len(deployment.entries))

    def test_instance_that_restarts_in_an_evacuation_follows_it(self):
        # Guards against an instance that serves before it knows the orders.
        deployment, calls = self.run_fleet(
            evacuated_fleet.Options(turned_away=0, restarted=1, order_s=6.0)
        )
        # Requests at the instance that was killed have no answer.
        self.assertEqual(deployment.arrivals(KNOWN_S), [])
        self.assertTrue(any(call.status == callers.OK for call in calls))


if __name__ == "__main__":
    unittest.main()
