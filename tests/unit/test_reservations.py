"""Engine memory comes back, and none in use is freed."""

import itertools
import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from cardamomfork._internal import exceptions
from cardamomfork._internal.models import instances
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests import reservations
from tests.lib import seeds

STATES = instances.InstanceState
ENGINE = "engine-1"


class MemoryMachine(stateful.RuleBasedStateMachine):
    """Owners come, pause, restart and die; one home sweeps one engine."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engine = set()
        self.late = []
        self.attempts = 0
        self.boots = dict.fromkeys("ab", 1)
        self.dead_since = {}
        self.paused = set()
        self.owners = {name: self.boot(name) for name in "ab"}
        self.home = reservation_sweep.HomeSweep("home", random.Random(1), "dc")

    def boot(self, name):
        boot = f"b{self.boots[name]:03}"
        return reservations.LocalReservations(
            name, boot, random.Random(2), "dc"
        )

    def members(self):
        return {
            name: reservation_sweep.Member(
                f"b{self.boots[name]:03}",
                STATES.DEAD if name in self.dead_since else STATES.ALIVE,
            )
            for name in "ab"
        }

    def running(self, who):
        return who not in self.paused and who not in self.dead_since

    @stateful.rule(who=st.sampled_from("ab"), late=st.booleans())
    def start(self, who, late):
        if not self.running(who):
            return
        self.attempts += 1
        name = self.owners[who].open(f"a{self.attempts}", ENGINE)
        (self.late.append if late else self.engine.add)(name)

    @stateful.rule()
    def late_call_arrives(self):
        if self.late:
            self.engine.add(self.late.pop())

    @stateful.rule(who=st.sampled_from("ab"), pick=st.integers(0, 9))
    def end(self, who, pick):
        names = sorted(n for n in self.engine if n.startswith(f"dc/{who}/"))
        if names and self.running(who):
            self.owners[who].begin_release(names[pick % len(names)], self.now)

    @stateful.rule(who=st.sampled_from("ab"), confirms=st.booleans())
    def owner_releases(self, who, confirms):
        if not self.running(who):
            return
        for release in self.owners[who].collect_due(self.now):
            self.engine.discard(release.name)
            if confirms:
                self.owners[who].confirm(release.name)

    @stateful.rule(who=st.sampled_from("ab"))
    def restart(self, who):
        self.boots[who] += 1
        self.owners[who] = self.boot(who)
        self.dead_since.pop(who, None)
        self.paused.discard(who)

    @stateful.rule(who=st.sampled_from("ab"))
    def pause(self, who):
        self.paused.add(who)

    @stateful.rule(who=st.sampled_from("ab"))
    def wake(self, who):
        self.paused.discard(who)

    @stateful.rule(who=st.sampled_from("ab"))
    def die(self, who):
        self.dead_since.setdefault(who, self.now)

    @stateful.rule(seconds=st.sampled_from([1.0, 5.0, 15.0]))
    def tick(self, seconds):
        self.now += seconds
        self.sweep()

    def sweep(self):
        for engine in self.home.collect_due_engines(
            [ENGINE], ["home"], self.now
        ):
            queries = self.home.record_listing(
                engine, sorted(self.engine), self.members(), self.now
            )
            for query in queries:
                if self.running(query.owner):
                    owner = self.owners[query.owner]
                    answer = owner.find_unused(query.names)
                    self.home.record_answer(query, answer, self.now)
        for release in self.home.collect_due(self.now):
            self.check_release(release.name)
            self.engine.discard(release.name)
            self.home.confirm(release.name)

    def check_release(self, text):
        name = reservations.parse_name(text)
        who = name.instance_id
        current = f"b{self.boots[who]:03}" == name.boot_id
        in_use = current and not self.owners[who].find_unused([text])
        assert not (in_use and who not in self.dead_since), text

    def teardown(self):
        for who in "ab":
            self.paused.discard(who)
        self.engine.update(self.late)
        in_use = set()
        for who in "ab":
            owner = self.owners[who]
            for name in sorted(self.engine):
                if self.running(who) and not owner.find_unused([name]):
                    in_use.add(name)
        for _ in range(16):
            self.tick(15.0)
        assert self.engine == in_use, self.engine ^ in_use


MemoryMachine.TestCase.settings = settings(
    seeds.STEADY, max_examples=150, stateful_step_count=40
)
MemoryTest = MemoryMachine.TestCase


class ReservationsTest(unittest.TestCase):
    def setUp(self):
        self.local = reservations.LocalReservations(
            "i", "b1", random.Random(1), "dc"
        )
        self.home = reservation_sweep.HomeSweep("home", random.Random(1), "dc")
        self.alive = {"i": reservation_sweep.Member("b1", STATES.ALIVE)}
        self.dead = {"i": reservation_sweep.Member("b1", STATES.DEAD)}

    def test_release_is_repeated_later_and_later_until_confirmed(self):
        name = self.local.open("a1", ENGINE)
        self.local.begin_release(name, 0.0)
        times = []
        for step in range(600):
            if self.local.collect_due(step / 10):
                times.append(step / 10)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertGreater(len(times), 6)
        self.assertLessEqual(max(gaps), 10.1)
        self.assertLess(gaps[0], gaps[-1])
        self.local.confirm(name)
        self.assertEqual(self.local.collect_due(1000.0), [])

    def test_name_that_was_let_go_is_not_used_again(self):
        name = self.local.open("a1", ENGINE)
        self.local.begin_release(name, 0.0)
        with self.assertRaises(exceptions.InvariantViolationError):
            self.local.open("a1", ENGINE)

    def test_paused_owner_keeps_its_stream(self):
        name = self.local.open("a1", ENGINE)
        for now in range(0, 600, 10):
            self.home.record_listing(ENGINE, [name], self.alive, float(now))
        self.assertEqual(self.home.collect_due(600.0), [])

    def test_owner_thought_dead_that_answers_keeps_its_stream(self):
        name = self.local.open("a1", ENGINE)
        self.home.record_listing(ENGINE, [name], self.dead, 0.0)
        (query,) = self.home.record_listing(ENGINE, [name], self.dead, 29.0)
        self.home.record_answer(query, self.local.find_unused([name]), 29.0)
        self.home.record_listing(ENGINE, [name], self.dead, 58.0)
        self.assertEqual(self.home.collect_due(58.0), [])
        self.home.record_listing(ENGINE, [name], self.dead, 60.0)
        self.assertEqual(len(self.home.collect_due(60.0)), 1)

    def test_home_moves_with_the_live_instances(self):
        engines = [f"e{n}" for n in range(20)]
        live = ["home", "other"]
        before = self.home.collect_due_engines(engines, live, 0.0)
        self.assertTrue(0 < len(before) < 20)
        after = self.home.collect_due_engines(engines, ["home"], 20.0)
        self.assertEqual(after, sorted(engines))

    def test_owner_elsewhere_keeps_its_stream_past_its_longest_request(self):
        far = reservations.LocalReservations("f", "b1", random.Random(1), "far")
        name = far.open("a1", ENGINE)
        near = self.local.open("a2", ENGINE)
        for now in range(0, 3900, 10):
            self.home.record_listing(ENGINE, [name, near], {}, float(now))
            freed = {r.name for r in self.home.collect_due(float(now))}
            self.assertNotIn(name, freed)
        self.home.record_listing(ENGINE, [name], {}, 3900.0)
        self.assertIn(name, {r.name for r in self.home.collect_due(3900.0)})

    def test_foreign_names_are_left_alone(self):
        self.assertEqual(self.home.record_listing(ENGINE, ["x"], {}, 0.0), [])
        self.home.record_listing(ENGINE, ["x"], {}, 1e6)
        self.assertEqual(self.home.collect_due(1e6), [])
        self.assertEqual(self.home.unrecognized_names, 2)
