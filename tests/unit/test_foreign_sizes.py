"""Tests of values in the store that are larger than any sound one."""

import unittest

from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.peers import fleet_secret
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.platform import store_messages
from cardamomfork._internal.platform import target_entries

LARGE_BYTES = 900_000


def decode(key, size):
    """Returns the entry of a key with a value of a size in bytes."""
    text = store_messages.encode_value(b"x" * size)
    return store_messages.Item(key, text, 7).to_entry("", 0).unwrap()


class LargeValuesTest(unittest.TestCase):
    def test_large_values_of_other_writers_are_not_held(self):
        for prefix in store_messages.MAX_BYTES_BY_PREFIX:
            entry = decode(prefix + "odd", LARGE_BYTES)
            self.assertEqual((entry.value, entry.version), (b"", 7))

    def test_values_up_to_the_bound_are_held(self):
        for prefix, bound in store_messages.MAX_BYTES_BY_PREFIX.items():
            for size in (bound - 1, bound):
                self.assertEqual(len(decode(prefix + "k", size).value), size)
        key = configuration_format.KEY
        self.assertEqual(len(decode(key, LARGE_BYTES).value), LARGE_BYTES)

    def test_every_followed_prefix_has_a_bound(self):
        self.assertEqual(
            set(store_messages.MAX_BYTES_BY_PREFIX),
            {
                target_entries.PREFIX,
                registration.INSTANCE_KEY_PREFIX,
                crash_persistence.KEY_PREFIX,
                fleet_secret.KEY.partition("/")[0] + "/",
            },
        )


if __name__ == "__main__":
    unittest.main()
