"""Membership: suspicion precedes death, and stale records never win."""

import random
import unittest

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import loguru

from cardamomfork._internal.instances import byte_budget
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import records
from cardamomfork._internal.instances import superseded_boot
from cardamomfork._internal.models import instances
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time
from tests.lib import seeds


def instance(name, boot="b1", centre="kempten"):
    return instances.Instance(name, boot, centre, name, 1)


def table(name="me", **rest):
    return membership.Membership(instance(name), random.Random(1), **rest)


class SupersededBootTest(unittest.TestCase):
    def test_later_boot_of_the_same_instance_is_logged_once(self):
        logged = []
        sink = loguru.logger.add(logged.append, level="ERROR")
        self.addCleanup(loguru.logger.remove, sink)
        me = table()

        async def scenario():
            async with anyio.create_task_group() as group:
                group.start_soon(superseded_boot.warn_superseded, me)
                await anyio.sleep(20.0)
                self.assertEqual(logged, [])
                me.hear(records.Record(instance("me", "b9")), 20.0)
                await anyio.sleep(20.0)
                group.cancel_scope.cancel()

        virtual_time.run(scenario)
        self.assertEqual(len(logged), 1)
        self.assertIn("superseded", logged[0])


class MembershipTest(unittest.TestCase):
    def test_suspicion_precedes_death_and_can_be_refuted(self):
        me = table()
        me.hear_list([instance("x"), instance("y")], 0.0)
        me.probe_failed(instance("x"), 1.0)
        self.assertIs(me.record("x").state, instances.InstanceState.SUSPECT)
        me.tick(2.0)
        x = table("x")
        x.hear(me.record("x"), 2.0)
        self.assertEqual((x.me.incarnation, x.counters.refuted), (1, 1))
        me.hear(x.me, 2.5)
        self.assertIs(me.record("x").health, records.Health.ALIVE)
        me.probe_failed(instance("x"), 3.0)
        for second in range(3, 9):
            me.tick(float(second))
        self.assertIs(me.record("x").health, records.Health.DEAD)
        self.assertNotIn("x", me.staying())
        me.hear(records.Record(instance("x"), 1), 9.0)
        self.assertIs(me.record("x").health, records.Health.DEAD)
        me.hear(records.Record(instance("x", "b2")), 9.0)
        self.assertIs(me.record("x").health, records.Health.ALIVE)

    def test_pause_of_the_local_process_declares_no_instance_dead(self):
        me = table()
        me.hear_list([instance("x")], 0.0)
        me.tick(0.5)
        me.probe_failed(instance("x"), 1.0)
        me.tick(60.0)
        self.assertIs(me.record("x").health, records.Health.SUSPECT)

    def test_list_adds_instances_but_neither_revives_nor_declares_dead(self):
        me = table()
        me.hear_list([instance("x"), instance("z", centre="weilheim")], 0.0)
        me.hear(records.Record(instance("x"), 0, records.Health.DEAD), 1.0)
        me.hear_list([instance("x")], 2.0)
        self.assertIs(me.record("x").health, records.Health.DEAD)
        self.assertIsNone(me.record("z"))
        me.hear_list([], 3.0)
        self.assertIsNotNone(me.record("x"))
        me.hear_list([instance("me", "b9")], 4.0)
        self.assertEqual(me.superseded_by, "b9")

    def test_leaving_stays_set_for_the_boot_id(self):
        me, x = table(), table("x")
        x.leave(1.0)
        me.hear(x.me, 1.0)
        me.hear(records.Record(instance("x"), 5), 2.0)
        self.assertIs(me.record("x").state, instances.InstanceState.LEAVING)
        self.assertNotIn("x", me.staying())

    def test_table_is_bounded(self):
        me = table(max_records=4)
        me.hear_list([instance(f"x{n}") for n in range(9)], 0.0)
        self.assertEqual(len(me.known()), 4)
        dead = records.Record(instance("x1"), 0, records.Health.DEAD)
        me.hear(dead, 1.0)
        me.hear(records.Record(instance("new")), 2.0)
        self.assertIsNone(me.record("x1"))
        self.assertIsNotNone(me.record("new"))


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Four tables merge records in any order and converge."""

    NAMES = ("a", "b", "c", "d")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.tables = [table(name) for name in self.NAMES]
        for held in self.tables:
            held.hear_list([instance(n) for n in self.NAMES], 0.0)
        self.old = []
        self.orders = [{} for _ in self.tables]

    @stateful.rule(
        who=strategies.integers(0, 3), about=strategies.integers(0, 3)
    )
    def fail(self, who, about):
        if who != about:
            self.tables[who].probe_failed(instance(self.NAMES[about]), self.now)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 2.0]))
    def wait(self, seconds):
        self.now += seconds
        for held in self.tables:
            held.tick(self.now)

    @stateful.rule(who=strategies.integers(0, 3))
    def leave(self, who):
        self.tables[who].leave(self.now)

    @stateful.rule(who=strategies.integers(0, 3))
    def remember(self, who):
        self.old += self.tables[who].known()

    @stateful.rule(
        who=strategies.integers(0, 3), pick=strategies.integers(0, 999)
    )
    def hear_old(self, who, pick):
        if self.old:
            self.tables[who].hear(self.old[pick % len(self.old)], self.now)

    @stateful.rule(
        one=strategies.integers(0, 3), other=strategies.integers(0, 3)
    )
    def tell(self, one, other):
        for record in self.tables[one].known():
            self.tables[other].hear(record, self.now)

    @stateful.invariant()
    def orders_only_grow_and_nobody_denies_itself(self):
        for held, orders in zip(self.tables, self.orders, strict=True):
            assert held.me.health is records.Health.ALIVE
            for record in held.known():
                name = record.instance.instance_id
                assert record.order >= orders.get(name, record.order)
                orders[name] = record.order

    def teardown(self):
        for _ in range(4):
            for one in range(4):
                for other in range(4):
                    self.tell(one, other)
        for held in self.tables:
            assert all(
                record.health is records.Health.ALIVE for record in held.known()
            )
        known = [sorted(held.known(), key=str) for held in self.tables]
        assert all(some == known[0] for some in known), known


class RecordsMachineTest(RecordsMachine.TestCase):
    settings = hypothesis.settings(
        seeds.STEADY, max_examples=150, stateful_step_count=30
    )


class ByteBudgetTest(unittest.TestCase):
    def test_spending_stays_within_the_rate(self):
        budget = byte_budget.ByteBudget(100.0)
        spent = 0
        for step in range(1000):
            now = step / 10
            if budget.spend(37, now):
                spent += 37
        self.assertLessEqual(spent, 100 * 100 + 200)
        self.assertGreater(spent, 100 * 100 - 100)
        self.assertGreater(budget.refused, 0)


class MembershipFleetTest(unittest.TestCase):
    def test_healed_partition_merges_within_the_byte_budget(self):
        async def main():
            simulated_fleet = fleet.Fleet((8,), seed=3)
            async with anyio.create_task_group() as group:
                simulated_fleet.start(group)
                await anyio.sleep(10)
                for member in simulated_fleet.members[:4]:
                    simulated_fleet.network.sides[
                        member.instance.instance_id
                    ] = 1
                await anyio.sleep(40)
                sizes = [len(m.members.live()) for m in simulated_fleet.members]
                self.assertEqual(sizes, [4] * 8)
                simulated_fleet.network.sides.clear()
                await anyio.sleep(40)
                sizes = [len(m.members.live()) for m in simulated_fleet.members]
                self.assertEqual(sizes, [8] * 8)
                spent = max(simulated_fleet.network.bytes_by_sender.values())
                self.assertLess(spent, 6000 * 90)
                group.cancel_scope.cancel()

        virtual_time.run(main)

    def test_one_broken_path_declares_no_instance_dead(self):
        async def main():
            simulated_fleet = fleet.Fleet((6,), seed=3)
            cut_pair = frozenset(
                m.instance.instance_id for m in simulated_fleet.members[:2]
            )
            simulated_fleet.network.cut_pairs.add(cut_pair)
            async with anyio.create_task_group() as group:
                simulated_fleet.start(group)
                await anyio.sleep(60)
                group.cancel_scope.cancel()
            for member in simulated_fleet.members:
                self.assertEqual(len(member.members.live()), 6)
                self.assertEqual(member.members.counters.declared_dead, 0)
            indirect = [
                m.peering.counters.indirect for m in simulated_fleet.members
            ]
            self.assertGreater(sum(indirect), 0)

        virtual_time.run(main)
