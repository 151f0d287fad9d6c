"""Leaving marks are sticky, reach all tables and ignore outdated updates."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip
from tests.lib import seeds

BOOTS = ("", "b1", "b2", "b3")
TARGETS = ("t1", "t2")


def send_payload(sender, sender_name, receiver, receiver_name, budget=1000):
    payload = sender.collect(
        receiver_name, gossip.Scope.DATA_CENTRE, budget, 0.0
    )
    assert len(payload) <= budget
    if payload:
        receiver.absorb(sender_name, payload, 0.0)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.marks = leaving.LeavingTargets()

    def test_each_cause_marks_and_a_later_boot_id_clears(self):
        changes = []
        self.marks.subscribe(lambda *change: changes.append(change))
        self.marks.observe_boot_id("t1", "b1")
        self.assertTrue(self.marks.mark("t1", leaving.Cause.SAID))
        self.assertFalse(self.marks.mark("t1", leaving.Cause.SAID))
        self.assertFalse(self.marks.observe_boot_id("t1", "b1"))
        self.assertTrue(self.marks.is_leaving("t1"))
        self.marks.observe_boot_id("t1", "b2")
        self.assertFalse(self.marks.is_leaving("t1"))
        self.marks.mark("t1", leaving.Cause.LISTED, "b1")
        self.assertFalse(self.marks.is_leaving("t1"))
        self.marks.set_silent("t1", True)
        self.marks.set_silent("t1", False)
        self.marks.set_drained("t1", True)
        self.marks.observe_boot_id("t1", "b3")
        self.assertEqual(self.marks.causes("t1"), leaving.Cause.DRAINED)
        self.assertEqual(
            [state for _, state in changes], [True, False, True, False, True]
        )

    def test_old_silence_mark_does_not_override_a_newer_change(self):
        other = leaving.LeavingTargets()
        self.marks.set_silent("t1", True)
        old = self.marks.collect("x", gossip.Scope.DATA_CENTRE, 1000, 0.0)
        other.absorb("s", old, 0.0)
        other.set_silent("t1", False)
        other.absorb("s", old, 0.0)
        self.assertFalse(other.is_leaving("t1"))
        send_payload(other, "b", self.marks, "a")
        self.assertFalse(self.marks.is_leaving("t1"))

    def test_new_table_is_synchronized_in_slices_and_is_bounded(self):
        small = leaving.LeavingTargets(max_targets=30)
        for number in range(40):
            small.mark(f"t{number:02d}", leaving.Cause.LISTED, "b1")
        self.assertFalse(small.is_leaving("t00"))
        for _ in range(100):
            send_payload(small, "small", leaving.LeavingTargets(), "sink", 200)
        new_table = leaving.LeavingTargets()
        for _ in range(20):
            send_payload(new_table, "late", small, "small", 200)
            send_payload(small, "small", new_table, "late", 200)
        self.assertEqual(
            sum(new_table.is_leaving(f"t{n:02d}") for n in range(40)), 30
        )
        new_table.absorb("s", b"\xc1", 0.0)
        self.assertEqual(new_table.unreadable, 1)


class MarksMachine(stateful.RuleBasedStateMachine):
    """Three tables exchange marks; messages arrive late and in any order."""

    def __init__(self):
        super().__init__()
        self.tables = [leaving.LeavingTargets() for _ in range(3)]
        self.messages = []
        self.sticky_marks = [{} for _ in self.tables]

    @stateful.rule(
        table=strategies.integers(0, 2),
        target_id=strategies.sampled_from(TARGETS),
        boot=strategies.sampled_from(BOOTS),
        cause=strategies.sampled_from(list(leaving.STICKY_CAUSES)),
    )
    def mark(self, table, target_id, boot, cause):
        self.tables[table].mark(target_id, cause, boot)

    @stateful.rule(
        table=strategies.integers(0, 2),
        target_id=strategies.sampled_from(TARGETS),
        boot=strategies.sampled_from(BOOTS),
    )
    def boot(self, table, target_id, boot):
        self.tables[table].observe_boot_id(target_id, boot)

    @stateful.rule(
        table=strategies.integers(0, 2),
        target_id=strategies.sampled_from(TARGETS),
        silent=strategies.booleans(),
    )
    def silence(self, table, target_id, silent):
        self.tables[table].set_silent(target_id, silent)

    @stateful.rule(table=strategies.integers(0, 2))
    def send(self, table):
        payload = self.tables[table].collect("p", gossip.Scope.FLEET, 500, 0.0)
        self.messages.append(payload)

    @stateful.rule(
        table=strategies.integers(0, 2), index=strategies.integers(0, 99)
    )
    def receive(self, table, index):
        if self.messages:
            payload = self.messages[index % len(self.messages)]
            if payload:
                self.tables[table].absorb("s", payload, 0.0)

    @stateful.invariant()
    def sticky_causes_stay_for_a_boot_id(self):
        for table, sticky_marks in zip(
            self.tables, self.sticky_marks, strict=True
        ):
            for target in TARGETS:
                mark = table._marks.get(target, leaving.Mark())
                boot, sticky = sticky_marks.get(target, ("", leaving.Cause(0)))
                assert mark.boot_id >= boot
                if mark.boot_id == boot:
                    assert sticky & mark.sticky == sticky
                sticky_marks[target] = (mark.boot_id, mark.sticky)

    def teardown(self):
        for _ in range(6):
            for one, table in enumerate(self.tables):
                for other, receiver in enumerate(self.tables):
                    if table is not receiver:
                        send_payload(
                            table, f"i{one}", receiver, f"i{other}", 5000
                        )
        states = [
            [table._marks.get(t, leaving.Mark()) for t in TARGETS]
            for table in self.tables
        ]
        assert states[0] == states[1] == states[2], states


class MarksMachineTest(MarksMachine.TestCase):
    settings = hypothesis.settings(
        seeds.STEADY, max_examples=150, stateful_step_count=30
    )


class LoadGossipTest(unittest.TestCase):
    def report(self, number, at, boot="b1"):
        return targets.LoadReport(f"t{number}", boot, at, 5, 2, 900, ("m",))

    def test_two_instances_watch_a_target_and_removal_moves_only_its_targets(
        self,
    ):
        names = [f"i{n}" for n in range(9)]
        ids = [f"t{n}" for n in range(200)]
        before = {t: load_gossip.watchers_of(t, names) for t in ids}
        after = {t: load_gossip.watchers_of(t, names[1:]) for t in ids}
        for target in ids:
            self.assertEqual(len(set(before[target])), 2)
            if "i0" not in before[target]:
                self.assertEqual(before[target], after[target])
        watched = load_gossip.targets_watched_by("i1", ids, names)
        self.assertLess(len(watched), 80)
        self.assertEqual(rendezvous.owner("watch/t1", names), before["t1"][0])

    def test_old_report_is_not_delivered(self):
        delivered = []
        one = load_gossip.LoadGossip(
            lambda report, now: delivered.append(report)
        )
        two = load_gossip.LoadGossip(lambda report, now: None, max_reports=3)
        for number in range(5):
            two.observe(self.report(number, 1.0), 1.0)
        payload = two.collect("p", gossip.Scope.DATA_CENTRE, 500, 1.0)
        one.absorb("s", payload, 1.0)
        self.assertEqual({r.target_id for r in delivered}, {"t2", "t3", "t4"})
        self.assertFalse(one.observe(self.report(2, 0.5), 1.0))
        self.assertTrue(one.observe(self.report(2, 0.5, "b2"), 1.0))
        one.absorb("s", payload, 9.0)
        boot_ids = [r.boot_id for r in delivered if r.target_id == "t2"]
        self.assertEqual(boot_ids, ["b1", "b2"])
        self.assertEqual(
            two.collect("p", gossip.Scope.DATA_CENTRE, 500, 20.0), b""
        )
