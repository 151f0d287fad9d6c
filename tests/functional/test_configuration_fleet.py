"""Tests that accepted changes reach all instances despite failures."""

import random
import unittest

import anyio
import attrs

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import follower
from cardamomfork._internal.models import configuration
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time
from tests.lib import configurations

DRAIN = configuration.ObjectKind.DRAIN
PROPAGATION_BOUND_S = 4.0
WATCHER_COUNT = 4


class ConfigurationFleetTest(unittest.TestCase):
    def put(self, name="t", reason="disk"):
        key = codec.key_of(DRAIN, name)
        current = self.fleet.store.read(key)
        value = codec.encode(configuration.Drain(name, reason))
        version = current.version if current else 0
        self.fleet.store.write(key, value, version, 0).unwrap()

    def remove(self, name):
        key = codec.key_of(DRAIN, name)
        version = self.fleet.store.read(key).version
        self.fleet.store.write(key, None, version, 0).unwrap()

    def count_holding(self, name, reason="disk"):
        found = [m.replica.get(DRAIN, name) for m in self.fleet.members]
        return sum(
            bool(f and f.value and f.value.reason == reason) for f in found
        )

    def run_fleet(self, sizes, scenario):
        async def main():
            self.fleet = fleet.Fleet(sizes, seed=5)
            async with anyio.create_task_group() as group:
                self.fleet.start(group)
                await anyio.sleep(10)
                await scenario(group)
                group.cancel_scope.cancel()

        virtual_time.run(main)

    def test_sessions_are_closed_after_use_and_on_stop(self):
        async def scenario(_group):
            store = self.fleet.store
            self.assertEqual(store.open_sessions, WATCHER_COUNT)
            await anyio.sleep(follower.WATCH_LIFETIME_S * 3)
            self.assertGreater(store.counters.watches, WATCHER_COUNT * 2)
            # A poll uses another session than the watch.
            self.assertLessEqual(store.open_sessions, WATCHER_COUNT * 2)

        self.run_fleet((6, 6), scenario)
        self.assertEqual(self.fleet.store.open_sessions, 0)

    def test_change_reaches_all_instances_with_few_watchers(self):
        async def scenario(_group):
            self.put()
            await anyio.sleep(PROPAGATION_BOUND_S)
            self.assertEqual(self.count_holding("t"), 12)
            watching = [
                m for m in self.fleet.members if m.follower.counters.watches
            ]
            self.assertEqual(len(watching), 4)
            self.remove("t")
            await anyio.sleep(PROPAGATION_BOUND_S)
            self.assertEqual(self.count_holding("t"), 0)

        self.run_fleet((6, 6), scenario)

    def test_object_larger_than_an_envelope_is_fetched(self):
        kind = configuration.ObjectKind.SERVICE
        rng = random.Random(1)
        pool = configurations.service("pool", target_count=900)
        pool = attrs.evolve(
            pool,
            targets=tuple(
                attrs.evolve(target, host=rng.randbytes(8).hex())
                for target in pool.targets
            ),
        )
        key = codec.key_of(kind, "pool")

        async def scenario(_group):
            self.put("first")
            await anyio.sleep(PROPAGATION_BOUND_S)
            entry = self.fleet.store.write(key, codec.encode(pool), 0, 0)
            version = entry.unwrap().version
            self.put()
            await anyio.sleep(PROPAGATION_BOUND_S)
            held = [m.replica.get(kind, "pool") for m in self.fleet.members]
            self.assertEqual([h and h.version for h in held], [version] * 9)
            self.assertEqual(self.count_holding("t"), 9)
            counters = [m.follower.counters for m in self.fleet.members]
            self.assertGreater(sum(c.ranges for c in counters), 0)
            self.assertEqual(sum(c.snapshots for c in counters), 0)

        self.run_fleet((9,), scenario)

    def test_silent_watch_is_replaced(self):
        async def scenario(_group):
            for member in self.fleet.members:
                member.faults.silent_watches = True
            await anyio.sleep(1)
            self.put()
            await anyio.sleep(10)
            self.assertEqual(self.count_holding("t"), 4)
            idle_counts = [
                m.follower.counters.idle_watches for m in self.fleet.members
            ]
            self.assertEqual(sum(idle_counts), 2)

        self.run_fleet((4,), scenario)

    def test_configuration_survives_outage_and_new_instance_loads_from_peer(
        self,
    ):
        async def scenario(group):
            self.put()
            await anyio.sleep(PROPAGATION_BOUND_S)
            for member in self.fleet.members:
                member.faults.down = True
            victim = self.fleet.members[2]
            await anyio.sleep(30)
            restarted = self.fleet.restart(victim, group)
            restarted.faults.down = True
            await anyio.sleep(5)
            self.assertEqual(self.count_holding("t"), 4)
            self.assertEqual(restarted.follower.counters.snapshots, 1)
            self.put("u")
            for member in self.fleet.members:
                member.faults.down = False
            await anyio.sleep(PROPAGATION_BOUND_S + 2)
            self.assertEqual(self.count_holding("u"), 4)

        self.run_fleet((4,), scenario)

    def test_isolated_data_centre_catches_up_from_delegates(self):
        async def scenario(_group):
            isolated = self.fleet.members[3:]
            for member in isolated:
                self.fleet.network.sides[member.instance.instance_id] = 1
                member.faults.down = True
            self.put()
            await anyio.sleep(20)
            self.assertEqual(self.count_holding("t"), 3)
            self.fleet.network.sides.clear()
            await anyio.sleep(15)
            # These instances still can't reach the store; the delegates of the
            # other data centre have sent the change.
            self.assertEqual(self.count_holding("t"), 6)

        self.run_fleet((3, 3), scenario)
