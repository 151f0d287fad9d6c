"""Tests of placement under mixed loads, and of target health."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import target_table
from tests.lib import gateway_parts

AUDIT = {
    "max_gap_s": gateway_parts.LONG_GAP_S,
    "objective_left_s": 3.0,
    "time_left_s": 15.0,
    "output_tokens": 800,
}


class EngineTimingTest(unittest.TestCase):
    def test_prefill_time_grows_with_attention_pairs(self):
        cost_model = gateway_parts.LAW
        short = engine_timing.prefill_s(cost_model, 5_000)
        long = engine_timing.prefill_s(cost_model, 154_000)
        self.assertAlmostEqual(short, 0.033, delta=0.005)
        self.assertAlmostEqual(long, 3.1, delta=0.1)

    def test_prefill_in_parts_divides_the_time(self):
        cost_model = gateway_parts.LAW
        whole = engine_timing.prefill_s(cost_model, 154_000)
        self.assertAlmostEqual(
            engine_timing.prefill_s(cost_model, 154_000, 8),
            whole / 8,
            delta=0.01,
        )

    def test_event_interval_grows_with_the_batch(self):
        cost_model = gateway_parts.LAW
        self.assertEqual(
            engine_timing.event_interval_s(cost_model, []), cost_model.step_s
        )
        self.assertGreater(
            engine_timing.event_interval_s(cost_model, [5000] * 8), 0.05
        )


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.fleet = gateway_parts.Fleet()

    def choose(self, demand):
        return self.fleet.placer.choose(demand, 10.0)

    def test_short_prompts_use_few_engines(self):
        used = set()
        for number in range(12):
            chosen = self.choose(gateway_parts.make_demand())
            target_id = chosen.target.record.target_id
            used.add(target_id)
            self.fleet.run(target_id, f"job{number}")
        self.assertLessEqual(len(used), 3)

    def test_long_prompt_avoids_engines_with_short_streams(self):
        for number in range(3):
            self.fleet.run(f"t{number}", f"job{number}")
        chosen = self.choose(gateway_parts.make_demand(45_000, **AUDIT))
        self.assertIn(chosen.target.record.target_id, {"t3", "t4", "t5"})

    def test_short_prompt_avoids_an_engine_in_a_long_prefill(self):
        self.fleet.run("t0", "audit", 154_000, writing=False, reads_until=13.0)
        chosen = self.choose(gateway_parts.make_demand())
        self.assertNotEqual(chosen.target.record.target_id, "t0")

    def test_short_prompt_avoids_an_engine_whose_prefill_is_overdue(self):
        # The prefill was mispredicted and may take about as long again.
        self.fleet.run("t0", "audit", 154_000, writing=False, reads_until=9.0)
        load = self.fleet.load.load("t0", 10.0)
        self.assertGreaterEqual(load.reading_left_s, 0.5)
        chosen = self.choose(gateway_parts.make_demand())
        self.assertNotEqual(chosen.target.record.target_id, "t0")

    def test_prefill_just_overdue_counts_as_almost_complete(self):
        self.fleet.run("t0", "audit", 154_000, writing=False, reads_until=9.9)
        load = self.fleet.load.load("t0", 10.0)
        self.assertLess(load.reading_left_s, 0.05)

    def test_long_prompt_is_split_to_meet_its_objective(self):
        chosen = self.choose(gateway_parts.make_demand(154_000, **AUDIT))
        self.assertGreaterEqual(len(chosen.helpers), 1)
        self.assertLess(chosen.first_token_s, 3.0)

    def test_prompt_larger_than_one_engine_reserves_the_rest_on_helpers(self):
        demand = gateway_parts.make_demand(500_000, **AUDIT)
        chosen = self.choose(demand)
        reserved = sum(helper.reserved_tokens for helper in chosen.helpers)
        planned = (
            gateway_parts.LAW.memory_tokens * placement.PLANNED_MEMORY_FRACTION
        )
        self.assertGreaterEqual(reserved, 500_800 - planned)

    def test_reserved_memory_counts_on_the_helper(self):
        self.fleet.run(
            "t0",
            "large",
            500_000,
            parts=(load_view.Part("t1", 200_000),),
        )
        self.assertEqual(
            self.fleet.load.load("t1", 10.0).memory_tokens, 200_000
        )
        self.assertEqual(
            self.fleet.load.load("t0", 10.0).memory_tokens, 301_500
        )

    def test_prompt_larger_than_all_memory_has_no_capacity(self):
        demand = gateway_parts.make_demand(5_000_000, **AUDIT)
        self.assertIsInstance(self.choose(demand), placement.NoCapacity)

    def test_engine_with_a_reader_close_to_its_objective_is_avoided(self):
        # A prefill part ahead of the audit's would make it late.
        for number in range(5):
            self.fleet.run(f"t{number}", f"short{number}", max_gap_s=10.0)
        self.fleet.run(
            "t5",
            "audit",
            154_000,
            writing=False,
            reads_until=11.0,
            late_at=11.2,
            max_gap_s=10.0,
        )
        demand = gateway_parts.make_demand(
            60_000, **(AUDIT | {"max_gap_s": 10.0})
        )
        chosen = self.choose(demand)
        self.assertNotEqual(chosen.target.record.target_id, "t5")

    def test_existing_lateness_does_not_count_again(self):
        # All engines have a long prefill and streams that are late due to it.
        # A further prefill of a few milliseconds must not cost as if it made
        # all of them late.
        for number in range(6):
            self.fleet.run(f"t{number}", f"short{number}")
            self.fleet.run(
                f"t{number}",
                f"audit{number}",
                154_000,
                writing=False,
                reads_until=13.0,
                max_gap_s=gateway_parts.LONG_GAP_S,
            )
        chosen = self.choose(gateway_parts.make_demand(objective_left_s=9.0))
        self.assertLess(chosen.cost, 1.5)

    def test_full_engines_return_the_time_until_capacity(self):
        for target in range(6):
            for number in range(8):
                self.fleet.run(
                    f"t{target}", f"job{target}-{number}", ends_at=10.7
                )
        chosen = self.choose(gateway_parts.make_demand())
        self.assertAlmostEqual(chosen.capacity_in_s, 0.7)

    def test_failing_target_gets_less_work(self):
        for _ in range(3):
            self.fleet.table.record_signal(
                "t0", target_table.HealthSignal.FAILED, 10.0
            )
            self.fleet.table.record_signal(
                "t0", target_table.HealthSignal.GOOD, 10.0
            )
        chosen = {
            self.choose(gateway_parts.make_demand()).target.record.target_id
            for _ in range(20)
        }
        self.assertNotIn("t0", chosen)

    def test_excluded_targets_are_not_chosen(self):
        excluded = frozenset(f"t{number}" for number in range(5))
        chosen = self.choose(gateway_parts.make_demand(excluded=excluded))
        self.assertEqual(chosen.target.record.target_id, "t5")

    def test_only_target_is_chosen_although_excluded(self):
        fleet = gateway_parts.Fleet(1)
        demand = gateway_parts.make_demand(excluded=frozenset({"t0"}))
        chosen = fleet.placer.choose(demand, 10.0)
        self.assertIsInstance(chosen, placement.Placement)


class ManyInstancesTest(unittest.TestCase):
    """Instances that choose at the same moment see the same load."""

    SLOTS = 6
    BUSY = 5
    ENGINES = 20
    CHOICES = 20

    def count_beyond_slots(self, instances, seed):
        """Returns the choices that find all slots of their engine taken."""
        fleet = gateway_parts.Fleet(
            engines=self.ENGINES,
            slots=self.SLOTS,
            instances=instances,
            seed=seed,
        )
        for engine in range(self.ENGINES):
            running = self.BUSY if engine % 2 else 1
            for number in range(running):
                fleet.run(f"t{engine}", f"job {engine} {number}")
        chosen = collections.Counter(
            fleet.placer.choose(
                gateway_parts.make_demand(), 10.0
            ).target.record.target_id
            for _ in range(self.CHOICES)
        )
        return sum(
            max(fleet.load.load(name, 10.0).running + count - self.SLOTS, 0)
            for name, count in chosen.items()
        )

    def test_last_slots_are_not_taken_by_several_instances_at_once(self):
        beyond = [self.count_beyond_slots(69, seed) for seed in range(10)]
        # A request beyond the slots is often late; 1 in 20 may be.
        self.assertLessEqual(sum(beyond), self.CHOICES * len(beyond) / 20)

    def test_few_instances_still_fill_busy_engines_first(self):
        # They hear of each other's placements before they choose again, and
        # idle engines are kept for long prompts.
        self.assertGreater(self.count_beyond_slots(6, 1), 0)


class PlainPlacementTest(unittest.TestCase):
    def test_calls_go_to_the_least_loaded_target(self):
        fleet = gateway_parts.Fleet(3, "plain")
        for number in range(4):
            fleet.run("t0", f"a{number}", 0)
            fleet.run("t1", f"b{number}", 0)
        demand = gateway_parts.make_demand(0, service=gateway_parts.PLAIN)
        chosen = fleet.placer.choose(demand, 10.0)
        self.assertEqual(chosen.target.record.target_id, "t2")


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.fleet = gateway_parts.Fleet(1)
        self.table = self.fleet.table

    def test_consecutive_failures_pause_a_target(self):
        self.table.record_signal("t0", target_table.HealthSignal.FAILED, 0.0)
        self.assertTrue(self.table.list_service("engines", 0.0))
        self.table.record_signal("t0", target_table.HealthSignal.FAILED, 0.0)
        self.assertFalse(self.table.list_service("engines", 0.4))
        self.assertTrue(self.table.list_service("engines", 0.6))

    def test_one_slow_answer_does_not_raise_the_slowdown(self):
        for ratio in (1.0, 8.0, 1.1):
            self.table.record_time_ratio("t0", ratio, 1.0)
        self.assertLess(self.table.find("t0").slowdown(1.0), 1.2)

    def test_repeated_slow_answers_raise_the_slowdown(self):
        for _ in range(3):
            ratio = 5.0 / self.table.find("t0").slowdown(1.0)
            self.table.record_time_ratio("t0", ratio, 1.0)
        self.assertAlmostEqual(
            self.table.find("t0").slowdown(1.0), 5.0, delta=0.5
        )

    def test_slowdown_decays(self):
        for _ in range(3):
            self.table.record_time_ratio("t0", 5.0, 1.0)
        self.assertLess(self.table.find("t0").slowdown(60.0), 1.1)


class PlacementInvariantsTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.integers(100, 400_000),
                strategies.booleans(),
            ),
            max_size=40,
        ),
        strategies.integers(1, 900_000),
    )
    @hypothesis.settings(deadline=None)
    def test_no_placement_exceeds_slots_or_memory(self, jobs, tokens):
        fleet = gateway_parts.Fleet(4)
        for number, (target, size, writing) in enumerate(jobs):
            fleet.run(f"t{target}", f"j{number}", size, writing=writing)
        demand = gateway_parts.make_demand(tokens, **AUDIT)
        chosen = fleet.placer.choose(demand, 10.0)
        if isinstance(chosen, placement.NoCapacity):
            return
        first = fleet.load.load(chosen.target.record.target_id, 10.0)
        self.assertLess(first.running, 8)
        ids = [chosen.target.record.target_id]
        ids += [helper.target.record.target_id for helper in chosen.helpers]
        self.assertEqual(len(ids), len(set(ids)))
        reserved = sum(helper.reserved_tokens for helper in chosen.helpers)
        memory = gateway_parts.LAW.memory_tokens
        self.assertLessEqual(
            first.memory_tokens + tokens + 800 - reserved, memory
        )
        for helper in chosen.helpers:
            held = fleet.load.load(helper.target.record.target_id, 10.0)
            if helper.reserved_tokens:
                self.assertLessEqual(
                    held.memory_tokens + helper.reserved_tokens, memory
                )


if __name__ == "__main__":
    unittest.main()
