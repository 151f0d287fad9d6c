"""Tests of entry instances whose store is restored from an older copy."""

import functools
import unittest

from tests.lib import restored_fleet

SMALL_FLEET = 6
LARGE_FLEET = 86
RUNS = (
    (SMALL_FLEET, (*range(1, 21), 75, 77, 88, 2099, 2204)),
    (LARGE_FLEET, (2, 20, 22)),
)
MAX_READS_PER_S = restored_fleet.READS_PER_S / 2
MAX_WRITES_PER_S = restored_fleet.WRITES_PER_S / 2
"""Half of what the platform allows all instances together."""


@functools.cache
def run_world(seed, instances):
    return restored_fleet.run_seed(seed, instances)


class RestoredStoreTest(unittest.TestCase):
    def assert_no_problem(self, word):
        for instances, seeds in RUNS:
            for seed in seeds:
                found = [
                    problem
                    for problem in run_world(seed, instances).problems
                    if word in problem
                ]
                self.assertEqual(found, [], f"{instances} instances, {seed}")

    def test_change_after_a_restoration_reaches_paused_followers(self):
        self.assert_no_problem("version")

    def test_version_in_force_never_goes_back(self):
        self.assert_no_problem("went back")

    def test_engines_that_register_after_a_restoration_are_used(self):
        self.assert_no_problem("misses")

    def test_engine_that_left_before_a_restoration_gets_no_work(self):
        self.assert_no_problem("uses")

    def test_instances_are_registered_again_after_a_restoration(self):
        self.assert_no_problem("registered")

    def test_crash_reports_are_written_again_after_a_restoration(self):
        self.assert_no_problem("crash report")

    def test_restoration_does_not_overload_the_store(self):
        for instances, seeds in RUNS:
            for seed in seeds:
                world = run_world(seed, instances)
                self.assertLessEqual(
                    world.max_calls_per_s("GET"), MAX_READS_PER_S
                )
                self.assertLessEqual(
                    world.max_calls_per_s("POST"), MAX_WRITES_PER_S
                )


if __name__ == "__main__":
    unittest.main()
