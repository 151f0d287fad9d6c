"""Tests of allowed regions, with processes and changing configurations."""

import asyncio
import unittest

from tests.lib import regional_fleet
from tests.soak import callers

APPLIED_S = 1.5
"""Time after which a change is in force here; the rule allows 4 s."""


class RegionsTest(unittest.TestCase):
    def test_requests_stay_in_the_regions_of_the_newest_configuration(self):
        # Guards against requests that are placed by an older configuration, and
        # against a wider choice where the allowed regions have no target.
        deployment, calls = asyncio.run(
            regional_fleet.run(1, regional_fleet.Options())
        )
        self.assertEqual(deployment.runs_outside(APPLIED_S), [])
        refused = [call for call in calls if b"no target is in" in call.body]
        self.assertTrue(refused)
        self.assertEqual({call.status for call in refused}, {503})
        nowhere = deployment.periods[2][0]
        for call in refused:
            self.assertGreater(call.sent_at, nowhere - APPLIED_S)
            # Refused at once, and those that waited with the change.
            known_at = max(call.sent_at, nowhere + APPLIED_S)
            self.assertLess(call.ended_at - known_at, 0.5)
        others = [
            call
            for call in calls
            if call.sent_at < nowhere - APPLIED_S
            or call.sent_at > deployment.periods[3][0] + APPLIED_S
        ]
        served = sum(call.status == callers.OK for call in others)
        self.assertGreater(served, 0.9 * len(others))


if __name__ == "__main__":
    unittest.main()
