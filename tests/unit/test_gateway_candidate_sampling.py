"""Tests of the choice of a target among hundreds and thousands."""

import random
import statistics
import unittest

import attrs

from cardamomfork._internal.gateway.choice import candidate_sampling
from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.measure import engine_simulation
from cardamomfork._internal.measure import placing
from tests.lib import gateway_parts

NOW = 100.0
LARGE_FLEET = placing.Size(195, 195, 5.7, placing.VIEW_DELAY_S)
SHORT_BURST = {"short": 2.5, "medium": 0.5, "long": 0.05}
BURST_S = 4.0
MIN_SHORT_ON_TIME = 0.97
LONG_TOKENS = 220_000


class CountingLoad(load_view.LoadView):
    """Counts how many targets are looked at."""

    def __init__(self):
        super().__init__()
        self.looked_at = set()

    def load(self, target_id, now):
        self.looked_at.add(target_id)
        return super().load(target_id, now)


class CandidateSamplingTest(unittest.TestCase):
    def make_placer(self, engines, data_centres=("a",)):
        self.table = target_table.TargetTable()
        self.load = CountingLoad()
        for number in range(engines):
            self.table.put(
                gateway_parts.make_record(
                    number,
                    data_centre=data_centres[number % len(data_centres)],
                )
            )
        return placement.Placer(
            self.table, self.load, "a", random.Random(1), lambda: 195
        )

    def make_demand(self, tokens=5000, **changes):
        fields = {
            "job_id": "j",
            "service": gateway_parts.ENGINES,
            "prompt_tokens": tokens,
            "output_tokens": 1000,
            "max_gap_s": 0.3 if tokens < LONG_TOKENS else 1.2,
            "objective_left_s": 0.4 if tokens < LONG_TOKENS else 4.0,
            "time_left_s": 10.0,
        }
        return demands.Demand(**(fields | changes))

    def fill(self, targets):
        """Fills all slots of targets with jobs that end in a second."""
        for target_id in targets:
            for slot in range(8):
                self.load.start(
                    load_view.Job(
                        f"{target_id}-{slot}",
                        target_id,
                        (),
                        5000,
                        1000,
                        0.3,
                        1.0,
                        NOW - 1.0,
                        is_writing=True,
                        ends_at=NOW + 1.0,
                    )
                )

    def test_short_prompt_looks_at_few_targets_of_any_number(self):
        for engines in (195, 3500):
            placer = self.make_placer(engines)
            self.assertIsInstance(
                placer.choose(self.make_demand(), NOW), placement.Placement
            )
            self.assertLessEqual(
                len(self.load.looked_at), candidate_sampling.SHORT_CANDIDATES
            )

    def test_long_prompt_looks_at_few_targets_of_any_number(self):
        for engines in (195, 3500):
            placer = self.make_placer(engines)
            chosen = placer.choose(self.make_demand(LONG_TOKENS), NOW)
            self.assertGreater(len(chosen.helpers), 0)
            self.assertLessEqual(
                len(self.load.looked_at), candidate_sampling.LONG_LEAST_LOADED
            )

    def test_small_service_is_compared_as_a_whole(self):
        placer = self.make_placer(candidate_sampling.MIN_SAMPLED_TARGETS - 1)
        placer.choose(self.make_demand(), NOW)
        self.assertEqual(
            len(self.load.looked_at), candidate_sampling.MIN_SAMPLED_TARGETS - 1
        )

    def test_only_free_target_of_many_is_found(self):
        for tokens in (5000, 40_000):
            placer = self.make_placer(300)
            self.fill(f"t{number}" for number in range(300) if number != 123)
            chosen = placer.choose(self.make_demand(tokens), NOW)
            self.assertEqual(chosen.target.record.target_id, "t123")

    def test_full_fleet_has_no_capacity(self):
        placer = self.make_placer(300)
        self.fill(f"t{number}" for number in range(300))
        chosen = placer.choose(self.make_demand(), NOW)
        self.assertIsInstance(chosen, placement.NoCapacity)
        self.assertTrue(chosen.is_for_all_requests)

    def test_unusable_targets_are_not_drawn(self):
        placer = self.make_placer(100)
        for number in range(100):
            record = self.table.find(f"t{number}").record
            if number % 3 == 0:
                self.table.mark_leaving(record)
            elif number % 3 == 1:
                self.table.record_rest(record, 5.0, NOW)
        excluded = frozenset(f"t{n}" for n in range(2, 99, 6))
        for _ in range(100):
            chosen = placer.choose(self.make_demand(excluded=excluded), NOW)
            target_id = chosen.target.record.target_id
            self.assertEqual(int(target_id[1:]) % 3, 2)
            self.assertNotIn(target_id, excluded)

    def test_services_with_rate_limits_are_compared_as_a_whole(self):
        placer = self.make_placer(100)
        for number in range(100):
            self.table.find(f"t{number}").rate_limit = target_table.RateLimit(
                1.0, NOW
            )
        placer.choose(self.make_demand(), NOW)
        self.assertEqual(len(self.load.looked_at), 100)

    def test_half_of_the_candidates_are_local(self):
        placer = self.make_placer(200, ("a", "b", "c", "d", "e"))
        shares = []
        for _ in range(50):
            self.load.looked_at.clear()
            placer.choose(self.make_demand(), NOW)
            local = [t for t in self.load.looked_at if int(t[1:]) % 5 == 0]
            shares.append(len(local) / len(self.load.looked_at))
        self.assertGreater(statistics.fmean(shares), 0.5)

    def test_target_that_comes_or_goes_is_in_or_out_of_the_order(self):
        self.make_placer(80)
        self.assertEqual(len(self.table.order_service("engines", None)), 80)
        self.table.put(gateway_parts.make_record(80))
        self.table.remove("t3", NOW, may_return=False)
        order = self.table.order_service("engines", "a")
        names = {target.record.target_id for target in order}
        self.assertIn("t80", names)
        self.assertNotIn("t3", names)
        restarted = attrs.evolve(gateway_parts.make_record(5), started_at_ms=2)
        self.table.put(restarted)
        self.assertIn(
            self.table.find("t5"), self.table.order_service("engines", "a")
        )


class ShortBurstTest(unittest.TestCase):
    def test_instances_do_not_choose_the_same_engines_in_a_burst(self):
        simulation = engine_simulation.Simulation(
            placing.ENGINE_COST_MODEL,
            LARGE_FLEET.engines,
            placing.place_by_cost,
            1,
            instances=LARGE_FLEET.instances,
            view_delay_s=LARGE_FLEET.view_delay_s,
        )
        requests = simulation.run(
            BURST_S,
            {kind: LARGE_FLEET.load * x for kind, x in SHORT_BURST.items()},
        )
        on_time = engine_simulation.worth_on_time(requests, "short")
        self.assertGreaterEqual(on_time, MIN_SHORT_ON_TIME)


if __name__ == "__main__":
    unittest.main()
