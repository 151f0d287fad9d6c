"""Rendezvous hashing moves only the keys of a removed member."""

import unittest

from cardamomfork._internal.data_centres import rendezvous


class RendezvousTest(unittest.TestCase):
    def test_only_keys_of_the_removed_member_move(self):
        members = [f"instance-{n}" for n in range(9)]
        keys = [f"engine-{n}" for n in range(900)]
        before = {k: rendezvous.owner(k, members) for k in keys}
        after = {k: rendezvous.owner(k, members[1:]) for k in keys}
        moved = [k for k in keys if before[k] != after[k]]
        owned = [k for k in keys if before[k] == members[0]]
        self.assertEqual(moved, owned)
        self.assertTrue(60 <= len(owned) <= 140, len(owned))

    def test_owners_start_with_the_owner_in_any_member_order(self):
        members = ["c", "a", "b"]
        first = rendezvous.owners("k", members, 2)
        self.assertEqual(first, rendezvous.owners("k", sorted(members), 2))
        self.assertEqual(first[0], rendezvous.owner("k", members))
        self.assertIsNone(rendezvous.owner("k", []))
