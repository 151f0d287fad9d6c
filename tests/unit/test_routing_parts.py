"""Cache index, size split, health and cost model on their own."""

import math
import random
import unittest

from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import costs
from cardamomfork._internal.routing import prefixes
from cardamomfork._internal.routing import split
from cardamomfork._internal.targets import health


def _event(sequence, stored=(), evicted=(), boot_id="b1", **more):
    return targets.CacheEvent(
        "e0", boot_id, sequence, tuple(stored), tuple(evicted), **more
    )


class PrefixIndexTest(unittest.TestCase):
    def test_longest_prefix_is_found_also_in_long_prompts(self):
        index = prefixes.PrefixIndex()
        blocks = tuple(range(1, 401))
        index.note_sent("e0", blocks[:10])
        index.note_sent("e1", blocks)
        self.assertEqual(index.find(blocks[:10]).holders, ("e1", "e0"))
        match = index.find((*blocks[:100], *range(1000, 1100)))
        self.assertEqual((match.share, match.holders), (0.48, ("e1",)))
        self.assertEqual(index.find((1001, 6)), prefixes.NO_MATCH)

    def test_gap_asks_for_a_resync_until_it_comes(self):
        index = prefixes.PrefixIndex()
        self.assertTrue(index.observe(_event(1, stored=(1, 2))))
        self.assertFalse(index.observe(_event(3, stored=(3,))))
        self.assertFalse(index.observe(_event(4, evicted=(3,))))
        self.assertTrue(index.observe(_event(5, stored=(2,), reset=True)))
        self.assertEqual(index.find((1, 2)), prefixes.NO_MATCH)
        self.assertEqual(index.find((2,)).holders, ("e0",))
        self.assertTrue(index.observe(_event(2, stored=(9,))))
        self.assertEqual(index.find((9,)), prefixes.NO_MATCH)

    def test_new_life_has_an_empty_cache_and_old_news_is_ignored(self):
        index = prefixes.PrefixIndex()
        index.observe(_event(1, stored=(1,)))
        index.observe(_event(1, stored=(2,), boot_id="b2"))
        self.assertTrue(index.observe(_event(2, stored=(1,))))
        self.assertEqual(index.find((1,)), prefixes.NO_MATCH)
        self.assertEqual(index.find((2,)).holders, ("e0",))

    def test_table_is_bounded(self):
        index = prefixes.PrefixIndex(max_blocks=50)
        for start in range(0, 1000, 10):
            index.note_sent("e0", tuple(range(start, start + 10)))
            self.assertLessEqual(len(index), 50)
        self.assertEqual(index.find((990,)).holders, ("e0",))
        index.forget("e0")
        self.assertEqual(len(index), 0)


class SizeSplitTest(unittest.TestCase):
    def _feed(self, sizes, seconds, start, end):
        for tick in range(int(start), int(end)):
            for size_class, work in enumerate(seconds):
                sizes.note(size_class, work, float(tick))
            sizes.resize(float(tick))

    def test_groups_follow_the_work_and_keep_one_for_the_short(self):
        sizes = split.SizeSplit(0.9)
        sizes.set_engines(20)
        self._feed(sizes, (4.0, 3.0, 3.0, 4.0), 0, 300)
        first = sizes.sizes
        for size, needed in zip(first[1:], (12, 8, 5), strict=True):
            self.assertIn(size, (needed, needed + 1))
        self._feed(sizes, (4.0, 0.0, 0.0, 0.0), 300, 1000)
        for size in sizes.sizes[1:]:
            self.assertIn(size, (12, 13))
        self._feed(sizes, (0.1, 0.0, 0.0, 60.0), 1000, 1300)
        self.assertEqual(sizes.sizes[1:], (19, 19, 19))

    def test_small_moves_of_the_load_change_nothing(self):
        sizes = split.SizeSplit(0.9)
        sizes.set_engines(20)
        self._feed(sizes, (6.0, 0.0, 0.0, 5.1), 0, 300)
        before = sizes.sizes
        for turn in range(10):
            work = 5.1 + 0.2 * (-1) ** turn
            start = 300 + 60 * turn
            self._feed(sizes, (6.0, 0.0, 0.0, work), start, start + 60)
            self.assertEqual(sizes.sizes, before)


class HealthTest(unittest.TestCase):
    def _pool(self, ratios, steps=200):
        pool = [health.Health() for _ in ratios]
        for step in range(steps):
            for target, ratio in zip(pool, ratios, strict=True):
                target.observe(ratio(step), float(step))
        health.weigh(pool)
        return [target.weight for target in pool]

    def test_decline_costs_weight_by_degrees(self):
        def slower(by):
            return lambda step: 1.0 if step < 60 else math.exp(by)

        weights = self._pool([slower(by) for by in (0, 0, 0, 0, 0.2, 0.6)])
        self.assertEqual(weights[:4], [1.0] * 4)
        self.assertTrue(0.2 < weights[4] < 0.9)
        self.assertAlmostEqual(weights[5], health.MIN_WEIGHT, delta=0.05)

    def test_what_all_share_or_always_was_costs_nothing(self):
        def load(step):
            return 1.0 if step < 60 else 1.5

        self.assertEqual(self._pool([load] * 4), [1.0] * 4)
        steady = [lambda _: 1.0] * 3 + [lambda _: 1.6]
        self.assertEqual(self._pool(steady), [1.0] * 4)

    def test_no_more_than_a_part_of_the_pool_is_lost(self):
        def slow(step):
            return 1.0 if step < 60 else 3.0

        weights = self._pool([slow] * 4 + [lambda _: 1.0] * 6)
        lost = sum(1.0 - weight for weight in weights)
        self.assertAlmostEqual(lost, health.MAX_LOST_SHARE * 10)


class CostModelTest(unittest.TestCase):
    def test_cost_and_ratios_do_not_drift_apart(self):
        model = costs.CostModel()
        pool = [health.Health() for _ in range(10)]
        rng = random.Random(1)
        for turn in range(20_000):
            target = pool[turn % 10]
            seconds = 0.05 * math.exp(rng.gauss(0.0, 0.3))
            ratio = model.learn_prefill(2000, rng.randrange(30), seconds)
            target.observe(ratio, turn / 50)
        self.assertAlmostEqual(model.prefill_s(2000), 0.05, delta=0.01)
        for target in pool:
            self.assertAlmostEqual(target.recent, 0.0, delta=0.25)

    def test_learns_cost_by_length_and_batch(self):
        model = costs.CostModel()
        for turn in range(3000):
            tokens = 1000 * 2 ** (turn % 8)
            running = turn % 37
            seconds = tokens * (1e-5 + tokens * 1e-11)
            model.learn_prefill(tokens, running, seconds * (1 + 0.01 * running))
        for tokens in (1000, 20_000, 128_000):
            true = tokens * (1e-5 + tokens * 1e-11) * 1.2
            learned = model.prefill_s(tokens) * model.batch_factor(20)
            self.assertAlmostEqual(learned / true, 1.0, delta=0.08)
