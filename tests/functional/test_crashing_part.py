"""Tests of a part of prompts that crashes each engine that writes on it.

Real processes; engines are restarted by a supervisor.
"""

import asyncio
import unittest

from tests.lib import crashing_fleet
from tests.lib import crashing_part_fleet


class CrashingPartTest(unittest.TestCase):
    def assert_contained(self, **options):
        found = asyncio.run(
            crashing_part_fleet.run(4, crashing_fleet.Options(**options))
        )
        self.assertLessEqual(found.late, crashing_part_fleet.MAX_LATE_RUNS)
        self.assertGreaterEqual(
            found.served_after,
            crashing_part_fleet.MIN_SERVED_RATIO * found.served_before,
        )

    def test_part_in_requests_of_which_no_two_are_alike_is_contained(self):
        self.assert_contained(instances=6, engines=16)

    def test_part_is_contained_while_engines_restart_fast_under_other_ids(self):
        self.assert_contained(
            instances=3, engines=8, away_s=0.5, keeps_id=False
        )

    def test_part_is_contained_if_engines_write_an_event_before_they_crash(
        self,
    ):
        self.assert_contained(instances=6, engines=16, crash_events=1)

    def test_part_that_was_sound_is_contained_when_it_becomes_harmful(self):
        self.assert_contained(instances=6, engines=16, harmless_s=15.0)


if __name__ == "__main__":
    unittest.main()
