"""Tests of instances without a link to any target, with real processes."""

import asyncio
import unittest

from tests.lib import isolated_fleet


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


if __name__ == "__main__":
    unittest.main()
