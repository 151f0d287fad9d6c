"""Unit tests of prefix index, engine groups, target health and cost model."""

import math
import random
import unittest

from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import cost_model
from cardamomfork._internal.routing import prefixes
from cardamomfork._internal.routing import size_classes
from cardamomfork._internal.targets import health


def _event(sequence, stored=(), evicted=(), boot_id="b1", **options):
    return targets.CacheEvent(
        "e0", boot_id, sequence, tuple(stored), tuple(evicted), **options
    )


class PrefixIndexTest(unittest.TestCase):
    def test_longest_prefix_is_found_in_short_and_long_prompts(self):
        index = prefixes.PrefixIndex()
        blocks = tuple(range(1, 401))
        index.record_sent("e0", blocks[:10])
        index.record_sent("e1", blocks)
        self.assertEqual(index.find(blocks[:10]).holders, ("e1", "e0"))
        match = index.find((*blocks[:100], *range(1000, 1100)))
        self.assertEqual(
            (match.covered_fraction, match.holders), (0.48, ("e1",))
        )
        self.assertEqual(index.find((1001, 6)), prefixes.NO_MATCH)

    def test_gap_requests_resync_until_snapshot_arrives(self):
        index = prefixes.PrefixIndex()
        self.assertTrue(index.observe(_event(1, stored=(1, 2))))
        self.assertFalse(index.observe(_event(3, stored=(3,))))
        self.assertFalse(index.observe(_event(4, evicted=(3,))))
        self.assertTrue(index.observe(_event(5, stored=(2,), reset=True)))
        self.assertEqual(index.find((1, 2)), prefixes.NO_MATCH)
        self.assertEqual(index.find((2,)).holders, ("e0",))
        self.assertTrue(index.observe(_event(2, stored=(9,))))
        self.assertEqual(index.find((9,)), prefixes.NO_MATCH)

    def test_restart_empties_cache_and_late_events_are_ignored(self):
        index = prefixes.PrefixIndex()
        index.observe(_event(1, stored=(1,)))
        index.observe(_event(1, stored=(2,), boot_id="b2"))
        self.assertTrue(index.observe(_event(2, stored=(1,))))
        self.assertEqual(index.find((1,)), prefixes.NO_MATCH)
        self.assertEqual(index.find((2,)).holders, ("e0",))

    def test_table_is_bounded(self):
        index = prefixes.PrefixIndex(max_blocks=50)
        for start in range(0, 1000, 10):
            index.record_sent("e0", tuple(range(start, start + 10)))
            self.assertLessEqual(len(index), 50)
        self.assertEqual(index.find((990,)).holders, ("e0",))
        index.remove_target("e0")
        self.assertEqual(len(index), 0)


class EngineGroupsTest(unittest.TestCase):
    def _record_and_resize(self, groups, seconds, start, end):
        for tick in range(int(start), int(end)):
            for size_class, work in enumerate(seconds):
                groups.record_work(size_class, work, float(tick))
            groups.resize(float(tick))

    def test_groups_follow_demand_and_leave_one_engine_for_short_prompts(self):
        groups = size_classes.EngineGroups(0.9)
        groups.set_engine_count(20)
        self._record_and_resize(groups, (4.0, 3.0, 3.0, 4.0), 0, 300)
        first = groups.sizes
        for size, needed in zip(first[1:], (12, 8, 5), strict=True):
            self.assertIn(size, (needed, needed + 1))
        self._record_and_resize(groups, (4.0, 0.0, 0.0, 0.0), 300, 1000)
        for size in groups.sizes[1:]:
            self.assertIn(size, (12, 13))
        self._record_and_resize(groups, (0.1, 0.0, 0.0, 60.0), 1000, 1300)
        self.assertEqual(groups.sizes[1:], (19, 19, 19))

    def test_small_load_changes_do_not_resize_groups(self):
        groups = size_classes.EngineGroups(0.9)
        groups.set_engine_count(20)
        self._record_and_resize(groups, (6.0, 0.0, 0.0, 5.1), 0, 300)
        before = groups.sizes
        for turn in range(10):
            work = 5.1 + 0.2 * (-1) ** turn
            start = 300 + 60 * turn
            self._record_and_resize(
                groups, (6.0, 0.0, 0.0, work), start, start + 60
            )
            self.assertEqual(groups.sizes, before)


class HealthTest(unittest.TestCase):
    def _weights_after(self, ratios, steps=200):
        pool = [health.Health() for _ in ratios]
        for step in range(steps):
            for target, ratio in zip(pool, ratios, strict=True):
                target.record_ratio(ratio(step), float(step))
        health.update_weights(pool)
        return [target.weight for target in pool]

    def test_weight_falls_gradually_with_slow_decline(self):
        def decline_after_step_60(log_slowdown):
            return lambda step: 1.0 if step < 60 else math.exp(log_slowdown)

        weights = self._weights_after(
            [
                decline_after_step_60(log_slowdown)
                for log_slowdown in (0, 0, 0, 0, 0.2, 0.6)
            ]
        )
        self.assertEqual(weights[:4], [1.0] * 4)
        self.assertTrue(0.2 < weights[4] < 0.9)
        self.assertAlmostEqual(weights[5], health.MIN_WEIGHT, delta=0.05)

    def test_common_or_constant_slowness_keeps_weight(self):
        def load(step):
            return 1.0 if step < 60 else 1.5

        self.assertEqual(self._weights_after([load] * 4), [1.0] * 4)
        steady = [lambda _: 1.0] * 3 + [lambda _: 1.6]
        self.assertEqual(self._weights_after(steady), [1.0] * 4)

    def test_total_weight_loss_is_bounded(self):
        def slow(step):
            return 1.0 if step < 60 else 3.0

        weights = self._weights_after([slow] * 4 + [lambda _: 1.0] * 6)
        lost_weight = sum(1.0 - weight for weight in weights)
        self.assertAlmostEqual(
            lost_weight, health.MAX_LOST_WEIGHT_FRACTION * 10
        )


class CostModelTest(unittest.TestCase):
    def test_cost_and_ratios_do_not_drift(self):
        model = cost_model.CostModel()
        pool = [health.Health() for _ in range(10)]
        rng = random.Random(1)
        for turn in range(20_000):
            target = pool[turn % 10]
            seconds = 0.05 * math.exp(rng.gauss(0.0, 0.3))
            ratio = model.record_prefill(2000, rng.randrange(30), seconds)
            target.record_ratio(ratio, turn / 50)
        self.assertAlmostEqual(model.prefill_s(2000), 0.05, delta=0.01)
        for target in pool:
            self.assertAlmostEqual(target.recent_log_ratio, 0.0, delta=0.25)

    def test_cost_is_fitted_by_length_and_batch_size(self):
        model = cost_model.CostModel()
        for turn in range(3000):
            tokens = 1000 * 2 ** (turn % 8)
            running = turn % 37
            seconds = tokens * (1e-5 + tokens * 1e-11)
            model.record_prefill(
                tokens, running, seconds * (1 + 0.01 * running)
            )
        for tokens in (1000, 20_000, 128_000):
            expected = tokens * (1e-5 + tokens * 1e-11) * 1.2
            predicted = model.prefill_s(tokens) * model.batch_factor(20)
            self.assertAlmostEqual(predicted / expected, 1.0, delta=0.08)
