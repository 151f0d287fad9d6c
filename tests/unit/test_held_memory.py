"""Connections together hold a bounded amount of memory."""

import unittest

from cardamomfork._internal.links import held_memory


class _Holder:
    def __init__(self):
        self.releases = 0

    def release(self):
        self.releases += 1


class HeldMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = held_memory.HeldMemory(100)

    def test_the_largest_is_released_and_small_ones_stay(self):
        small, large, newest = _Holder(), _Holder(), _Holder()
        self.memory.hold(small, 10, small.release)
        self.memory.hold(large, 60, large.release)
        self.memory.hold(newest, 40, newest.release)
        self.assertEqual(
            (small.releases, large.releases, newest.releases), (0, 1, 0)
        )
        self.assertEqual((self.memory.total, self.memory.released), (50, 1))

    def test_requests_that_were_read_are_counted_and_not_released(self):
        read, newest = _Holder(), _Holder()
        self.memory.hold(read, 95)
        self.memory.hold(newest, 10, newest.release)
        self.assertEqual((read.releases, newest.releases), (0, 1))
        self.assertFalse(self.memory.is_full)
        self.memory.hold(newest, 10)
        self.assertTrue(self.memory.is_full)

    def test_the_one_without_a_change_for_longest_is_released(self):
        memory = held_memory.HeldMemory(100, held_memory.Victim.OLDEST)
        growing, stalled, newest = _Holder(), _Holder(), _Holder()
        memory.hold(growing, 10, growing.release)
        memory.hold(stalled, 10, stalled.release)
        memory.hold(growing, 50, growing.release)
        memory.hold(newest, 45, newest.release)
        self.assertEqual(
            (growing.releases, stalled.releases, newest.releases), (0, 1, 0)
        )

    def test_new_amounts_replace_old_ones(self):
        holder = _Holder()
        for size in (90, 80, 0, 100):
            self.memory.hold(holder, size, holder.release)
        self.memory.forget(holder)
        self.memory.forget(holder)
        self.assertEqual((self.memory.total, holder.releases), (0, 0))


if __name__ == "__main__":
    unittest.main()
