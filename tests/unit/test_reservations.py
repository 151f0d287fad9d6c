"""Tests that unused engine memory is freed, and memory in use is not."""

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


class ReservationMachine(stateful.RuleBasedStateMachine):
    """Model of two owners and one home instance that sweeps one engine.

    Owners open and release reservations, pause, restart and die. At the end,
    the engine must hold exactly the reservations that are in use.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.engine = set()
        self.delayed = []
        self.attempts = 0
        self.boot_numbers = dict.fromkeys("ab", 1)
        self.dead_since = {}
        self.paused = set()
        self.owners = {name: self.make_owner(name) for name in "ab"}
        self.home = reservation_sweep.HomeSweep("home", random.Random(1), "dc")

    def make_owner(self, name):
        boot = f"b{self.boot_numbers[name]:03}"
        return reservations.LocalReservations(
            name, boot, random.Random(2), "dc"
        )

    def members(self):
        return {
            name: reservation_sweep.Member(
                f"b{self.boot_numbers[name]:03}",
                STATES.DEAD if name in self.dead_since else STATES.ALIVE,
            )
            for name in "ab"
        }

    def is_running(self, owner_id):
        return owner_id not in self.paused and owner_id not in self.dead_since

    @stateful.rule(owner_id=st.sampled_from("ab"), is_delayed=st.booleans())
    def start(self, owner_id, is_delayed):
        if not self.is_running(owner_id):
            return
        self.attempts += 1
        name = self.owners[owner_id].open(f"a{self.attempts}", ENGINE)
        (self.delayed.append if is_delayed else self.engine.add)(name)

    @stateful.rule()
    def delayed_call_arrives(self):
        if self.delayed:
            self.engine.add(self.delayed.pop())

    @stateful.rule(owner_id=st.sampled_from("ab"), pick=st.integers(0, 9))
    def end(self, owner_id, pick):
        names = sorted(
            n for n in self.engine if n.startswith(f"dc/{owner_id}/")
        )
        if names and self.is_running(owner_id):
            self.owners[owner_id].begin_release(
                names[pick % len(names)], self.now
            )

    @stateful.rule(owner_id=st.sampled_from("ab"), confirms=st.booleans())
    def owner_releases(self, owner_id, confirms):
        if not self.is_running(owner_id):
            return
        for release in self.owners[owner_id].collect_due(self.now):
            self.engine.discard(release.name)
            if confirms:
                self.owners[owner_id].confirm(release.name)

    @stateful.rule(owner_id=st.sampled_from("ab"))
    def restart(self, owner_id):
        self.boot_numbers[owner_id] += 1
        self.owners[owner_id] = self.make_owner(owner_id)
        self.dead_since.pop(owner_id, None)
        self.paused.discard(owner_id)

    @stateful.rule(owner_id=st.sampled_from("ab"))
    def pause(self, owner_id):
        self.paused.add(owner_id)

    @stateful.rule(owner_id=st.sampled_from("ab"))
    def unpause(self, owner_id):
        self.paused.discard(owner_id)

    @stateful.rule(owner_id=st.sampled_from("ab"))
    def die(self, owner_id):
        self.dead_since.setdefault(owner_id, self.now)

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
                if self.is_running(query.owner):
                    owner = self.owners[query.owner]
                    answer = owner.find_unused(query.names)
                    self.home.record_answer(query, answer, self.now)
        for release in self.home.collect_due(self.now):
            self.check_release(release.name)
            self.engine.discard(release.name)
            self.home.confirm(release.name)

    def check_release(self, text):
        name = reservations.parse_name(text)
        owner_id = name.instance_id
        current = f"b{self.boot_numbers[owner_id]:03}" == name.boot_id
        in_use = current and not self.owners[owner_id].find_unused([text])
        assert not (in_use and owner_id not in self.dead_since), text

    def teardown(self):
        for owner_id in "ab":
            self.paused.discard(owner_id)
        self.engine.update(self.delayed)
        in_use = set()
        for owner_id in "ab":
            owner = self.owners[owner_id]
            for name in sorted(self.engine):
                if self.is_running(owner_id) and not owner.find_unused([name]):
                    in_use.add(name)
        for _ in range(16):
            self.tick(15.0)
        assert self.engine == in_use, self.engine ^ in_use


ReservationMachine.TestCase.settings = settings(
    seeds.STEADY, max_examples=150, stateful_step_count=40
)
ReservationMachineTest = ReservationMachine.TestCase


class ReservationsTest(unittest.TestCase):
    def setUp(self):
        self.local = reservations.LocalReservations(
            "i", "b1", random.Random(1), "dc"
        )
        self.home = reservation_sweep.HomeSweep("home", random.Random(1), "dc")
        self.alive = {"i": reservation_sweep.Member("b1", STATES.ALIVE)}
        self.dead = {"i": reservation_sweep.Member("b1", STATES.DEAD)}

    def test_release_is_repeated_with_backoff_until_confirmed(self):
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

    def test_released_name_cannot_be_opened_again(self):
        name = self.local.open("a1", ENGINE)
        self.local.begin_release(name, 0.0)
        with self.assertRaises(exceptions.InvariantViolationError):
            self.local.open("a1", ENGINE)

    def test_reservation_of_paused_owner_is_kept(self):
        name = self.local.open("a1", ENGINE)
        for now in range(0, 600, 10):
            self.home.record_listing(ENGINE, [name], self.alive, float(now))
        self.assertEqual(self.home.collect_due(600.0), [])

    def test_reservation_of_presumed_dead_owner_that_answers_is_kept(self):
        name = self.local.open("a1", ENGINE)
        self.home.record_listing(ENGINE, [name], self.dead, 0.0)
        (query,) = self.home.record_listing(ENGINE, [name], self.dead, 29.0)
        self.home.record_answer(query, self.local.find_unused([name]), 29.0)
        self.home.record_listing(ENGINE, [name], self.dead, 58.0)
        self.assertEqual(self.home.collect_due(58.0), [])
        self.home.record_listing(ENGINE, [name], self.dead, 60.0)
        self.assertEqual(len(self.home.collect_due(60.0)), 1)

    def test_home_changes_with_the_live_instances(self):
        engines = [f"e{n}" for n in range(20)]
        live = ["home", "other"]
        before = self.home.collect_due_engines(engines, live, 0.0)
        self.assertTrue(0 < len(before) < 20)
        after = self.home.collect_due_engines(engines, ["home"], 20.0)
        self.assertEqual(after, sorted(engines))

    def test_reservation_of_remote_owner_outlives_longest_request(self):
        remote = reservations.LocalReservations(
            "f", "b1", random.Random(1), "far"
        )
        name = remote.open("a1", ENGINE)
        local_name = self.local.open("a2", ENGINE)
        for now in range(0, 3900, 10):
            self.home.record_listing(ENGINE, [name, local_name], {}, float(now))
            freed = {r.name for r in self.home.collect_due(float(now))}
            self.assertNotIn(name, freed)
        self.home.record_listing(ENGINE, [name], {}, 3900.0)
        self.assertIn(name, {r.name for r in self.home.collect_due(3900.0)})

    def test_unrecognized_names_are_not_released(self):
        self.assertEqual(self.home.record_listing(ENGINE, ["x"], {}, 0.0), [])
        self.home.record_listing(ENGINE, ["x"], {}, 1e6)
        self.assertEqual(self.home.collect_due(1e6), [])
        self.assertEqual(self.home.unrecognized_names, 2)
