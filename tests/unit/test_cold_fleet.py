"""Tests that a simulated fleet keeps within the bound of a cold target."""

import unittest
from unittest import mock

from cardamomfork._internal.gateway.peers import cold_permits
from tests.lib import cold_fleet

SETTLED_S = cold_fleet.COLD_FROM_S + 1.0
MIN_USED_SHARE = 0.8


class ColdFleetTest(unittest.TestCase):
    def play(self, seed=1, **conditions):
        """Plays a run; checks the bound; returns the fleet."""
        fleet = cold_fleet.ColdFleet(cold_fleet.Conditions(**conditions), seed)
        self.assertLessEqual(
            fleet.run(), fleet.conditions.allowed, fleet.conditions
        )
        return fleet

    def test_rate_is_used_while_all_instances_are_heard(self):
        for instances, length_s in ((6, 36.0), (78, 20.0), (195, 14.0)):
            for max_wait_s in (0.0, 0.5):
                if instances == 195 and max_wait_s:
                    continue
                with self.subTest(instances=instances, max_wait_s=max_wait_s):
                    fleet = self.play(
                        instances=instances,
                        length_s=length_s,
                        loss=0.01,
                        late=0.02,
                        late_s=0.5,
                        max_wait_s=max_wait_s,
                    )
                    self.assertGreaterEqual(
                        fleet.used_share(SETTLED_S, length_s), MIN_USED_SHARE
                    )

    def test_bound_holds_whatever_fails(self):
        for seed in range(1, 25):
            conditions = cold_fleet.draw_conditions(seed, 6)
            with self.subTest(seed=seed):
                fleet = cold_fleet.ColdFleet(conditions, seed)
                self.assertLessEqual(fleet.run(), conditions.allowed)

    def test_bound_holds_in_a_large_fleet_that_is_cut(self):
        for instances, length_s in ((78, 30.0), (195, 22.0)):
            with self.subTest(instances=instances):
                self.play(
                    instances=instances,
                    length_s=length_s,
                    loss=0.05,
                    late=0.05,
                    late_s=1.0,
                    fault="cut",
                    fault_s=11.0,
                )

    def test_both_halves_of_a_cut_fleet_go_on(self):
        fleet = self.play(instances=6, fault="cut", fault_s=20.0)
        used = fleet.used_share(cold_fleet.FAULT_S + 9.0, 30.0)
        self.assertGreaterEqual(used, MIN_USED_SHARE)

    def test_next_owner_goes_on_after_a_death(self):
        fleet = self.play(instances=6, fault="kill")
        fault_s = cold_fleet.FAULT_S
        # Only what has been permitted before arrives while no other may issue.
        self.assertLess(fleet.used_share(fault_s + 1.0, fault_s + 7.0), 0.05)
        used = fleet.used_share(fault_s + 9.0, fleet.conditions.length_s)
        self.assertGreaterEqual(used, MIN_USED_SHARE / 2)

    def test_runs_show_what_the_rules_of_the_owner_prevent(self):
        # Without them, two instances issue all of the rate at the same time.
        fleet = cold_fleet.ColdFleet(
            cold_fleet.Conditions(instances=6, fault="cut"), 1
        )
        with mock.patch.object(
            cold_permits.OwnerAuthority,
            "decide",
            return_value=cold_permits.Authority(1.0),
        ):
            self.assertGreater(fleet.run(), fleet.conditions.allowed)


if __name__ == "__main__":
    unittest.main()
