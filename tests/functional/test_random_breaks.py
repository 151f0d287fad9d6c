"""Streams that break off at random while engines and instances end."""

import unittest

from tests.lib import random_breaks

SEEDS = (1, 2, 3)


class RandomBreakTest(unittest.TestCase):
    def test_callers_receive_whole_events_of_their_own_stream_in_order(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = random_breaks.play(seed)
                self.assertEqual(outcome.faults, [])
                self.assertGreater(outcome.complete, 0)
                self.assertGreater(outcome.broken, 0)


if __name__ == "__main__":
    unittest.main()
