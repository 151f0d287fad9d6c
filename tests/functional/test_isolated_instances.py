"""Tests of instances without a link to any target, with real processes."""

import asyncio
import unittest

from tests.lib import isolated_fleet

NOT_RUN = 503


class IsolatedInstanceTest(unittest.TestCase):
    def check(self, options):
        outcome = asyncio.run(isolated_fleet.run(1, options))
        self.assertGreater(outcome.cut.total, 20)
        self.assertFalse(outcome.is_served_less, (outcome.cut, outcome.others))
        self.assertEqual(outcome.repeated_once_runs, [])
        self.assertEqual(outcome.run_although_refused, [])

    def test_callers_of_instances_with_silent_links_are_served(self):
        self.check(isolated_fleet.Options(how=isolated_fleet.SILENT))

    def test_callers_of_most_instances_with_reset_links_are_served(self):
        self.check(isolated_fleet.Options(cut=5, how=isolated_fleet.RESET))

    def test_callers_of_instances_whose_new_links_are_refused_are_served(self):
        self.check(isolated_fleet.Options(how=isolated_fleet.REFUSED))

    def test_instances_that_are_all_cut_off_refuse_at_once(self):
        outcome = asyncio.run(
            isolated_fleet.run(1, isolated_fleet.Options(instances=3, cut=3))
        )
        refused = [call for call in outcome.cut_calls if call.status == NOT_RUN]
        self.assertGreater(len(refused), 20)
        self.assertEqual(len(refused), len(outcome.cut_calls))
        held_s = max(call.ended_at - call.sent_at for call in refused)
        self.assertLess(held_s, 0.5)
        self.assertEqual(outcome.run_although_refused, [])
        self.assertGreater(outcome.restored.share, 0.8)


if __name__ == "__main__":
    unittest.main()
