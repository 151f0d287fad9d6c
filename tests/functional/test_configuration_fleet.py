"""Accepted changes reach every instance whatever fails in between."""

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
BOUND_S = 4.0
WATCHING = 4


class ConfigurationFleetTest(unittest.TestCase):
    def put(self, names="t", reason="disk"):
        key = codec.key_of(DRAIN, names)
        current = self.fleet.store.read(key)
        value = codec.encode(configuration.Drain(names, reason))
        version = current.version if current else 0
        self.fleet.store.write(key, value, version, 0).unwrap()

    def remove(self, name):
        key = codec.key_of(DRAIN, name)
        version = self.fleet.store.read(key).version
        self.fleet.store.write(key, None, version, 0).unwrap()

    def holding(self, name, reason="disk"):
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

    def test_sessions_are_closed_after_use_and_at_the_stop(self):
        async def scenario(_group):
            store = self.fleet.store
            self.assertEqual(store.open_sessions, WATCHING)
            await anyio.sleep(follower.WATCH_LIFE_S * 3)
            self.assertGreater(store.counters.watches, WATCHING * 2)
            # A poll holds one beside a watcher's own.
            self.assertLessEqual(store.open_sessions, WATCHING * 2)

        self.run_fleet((6, 6), scenario)
        self.assertEqual(self.fleet.store.open_sessions, 0)

    def test_change_reaches_all_and_few_watch(self):
        async def scenario(_group):
            self.put()
            await anyio.sleep(BOUND_S)
            self.assertEqual(self.holding("t"), 12)
            watching = [
                m for m in self.fleet.members if m.follower.counters.watches
            ]
            self.assertEqual(len(watching), 4)
            self.remove("t")
            await anyio.sleep(BOUND_S)
            self.assertEqual(self.holding("t"), 0)

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
            await anyio.sleep(BOUND_S)
            entry = self.fleet.store.write(key, codec.encode(pool), 0, 0)
            version = entry.unwrap().version
            self.put()
            await anyio.sleep(BOUND_S)
            held = [m.replica.get(kind, "pool") for m in self.fleet.members]
            self.assertEqual([h and h.version for h in held], [version] * 9)
            self.assertEqual(self.holding("t"), 9)
            counters = [m.follower.counters for m in self.fleet.members]
            self.assertGreater(sum(c.ranges for c in counters), 0)
            self.assertEqual(sum(c.snapshots for c in counters), 0)

        self.run_fleet((9,), scenario)

    def test_silent_watch_is_given_up(self):
        async def scenario(_group):
            for member in self.fleet.members:
                member.faults.silent_watches = True
            await anyio.sleep(1)
            self.put()
            await anyio.sleep(10)
            self.assertEqual(self.holding("t"), 4)
            silent = [m.follower.counters.silent for m in self.fleet.members]
            self.assertEqual(sum(silent), 2)

        self.run_fleet((4,), scenario)

    def test_outage_keeps_the_last_and_newcomer_asks_a_peer(self):
        async def scenario(group):
            self.put()
            await anyio.sleep(BOUND_S)
            for member in self.fleet.members:
                member.faults.down = True
            victim = self.fleet.members[2]
            await anyio.sleep(30)
            fresh = self.fleet.restart(victim, group)
            fresh.faults.down = True
            await anyio.sleep(5)
            self.assertEqual(self.holding("t"), 4)
            self.assertEqual(fresh.follower.counters.snapshots, 1)
            self.put("u")
            for member in self.fleet.members:
                member.faults.down = False
            await anyio.sleep(BOUND_S + 2)
            self.assertEqual(self.holding("u"), 4)

        self.run_fleet((4,), scenario)

    def test_cut_off_data_centre_catches_up_and_nothing_reverts(self):
        async def scenario(_group):
            home = self.fleet.members[3:]
            for member in home:
                self.fleet.network.sides[member.instance.instance_id] = 1
                member.faults.down = True
            self.put()
            await anyio.sleep(20)
            self.assertEqual(self.holding("t"), 3)
            self.fleet.network.sides.clear()
            await anyio.sleep(15)
            # The store is still away from there: delegates told it.
            self.assertEqual(self.holding("t"), 6)

        self.run_fleet((3, 3), scenario)
