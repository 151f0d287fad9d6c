"""One body takes down two targets at most, and the others finish."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.measure import poison as model
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gossip
from cardamomfork._internal.requests import suspicion
from tests.lib import seeds

VERDICTS = suspicion.Verdict
FLEET = gossip.Scope.FLEET
BAD = b"bad-body" + bytes(8)
GOOD = b"good-one" + bytes(8)


class PoisonGuardTest(unittest.TestCase):
    def setUp(self):
        self.guard = poison.PoisonGuard(random.Random(1))
        self.peer_guard = poison.PoisonGuard(random.Random(2))
        self.sender = poison_gossip.PoisonGossip(self.guard)
        self.receiver = poison_gossip.PoisonGossip(self.peer_guard)

    def kill(self, target, now, *ran, guard=None):
        guard = guard or self.guard
        for fingerprint in ran:
            guard.started(fingerprint, target, now)
        for fingerprint in ran[:1]:
            guard.ended(fingerprint, target, now, finished=False)
        guard.target_died(target, now)

    def send_update(self, now, budget=10_000):
        payload = self.sender.collect("peer", FLEET, budget, now)
        self.assertLessEqual(len(payload), budget)
        if payload:
            self.receiver.absorb("me", payload, now)
        return payload

    def verdict(self, fingerprint, now, guard=None):
        return (guard or self.guard).admit(fingerprint, now).verdict

    def test_two_different_targets_deaths_quarantine(self):
        self.kill("t1", 0.0, BAD, GOOD)
        self.assertEqual(self.verdict(BAD, 0.0), VERDICTS.WAIT)
        self.assertEqual(self.verdict(BAD, 5.0), VERDICTS.ISOLATED)
        self.kill("t2", 5.0, BAD)
        self.assertEqual(self.verdict(BAD, 6.0), VERDICTS.QUARANTINED)
        self.assertEqual(self.verdict(GOOD, 6.0), VERDICTS.ISOLATED)
        self.assertGreater(self.guard.retry_at(BAD, 6.0), 6.0)

    def test_one_target_that_dies_twice_quarantines_nothing(self):
        self.kill("t1", 0.0, BAD)
        self.kill("t1", 50.0, BAD)
        self.assertEqual(self.verdict(BAD, 60.0), VERDICTS.ISOLATED)

    def test_finishing_clears_and_old_news_do_not_accuse_again(self):
        self.kill("t1", 0.0, BAD, GOOD)
        old = self.send_update(1.0)
        self.guard.started(GOOD, "t2", 5.0)
        self.guard.ended(GOOD, "t2", 9.0, finished=True)
        self.assertEqual(self.verdict(GOOD, 9.0), VERDICTS.UNRESTRICTED)
        self.send_update(10.0)
        self.assertEqual(
            self.verdict(GOOD, 10.0, self.peer_guard), VERDICTS.UNRESTRICTED
        )
        self.receiver.absorb("late", old, 12.0)
        self.assertEqual(
            self.verdict(GOOD, 12.0, self.peer_guard), VERDICTS.UNRESTRICTED
        )
        self.assertEqual(
            self.verdict(BAD, 20.0, self.peer_guard), VERDICTS.ISOLATED
        )

    def test_deaths_at_two_instances_quarantine_at_both(self):
        self.kill("t1", 0.0, BAD, GOOD)
        self.kill("t2", 0.5, BAD, guard=self.peer_guard)
        self.send_update(1.0)
        self.assertEqual(
            self.verdict(BAD, 1.0, self.peer_guard), VERDICTS.QUARANTINED
        )
        back = self.receiver.collect("me", FLEET, 10_000, 1.0)
        self.sender.absorb("peer", back, 1.0)
        self.assertEqual(self.verdict(BAD, 1.5), VERDICTS.QUARANTINED)

    def test_news_of_a_run_elsewhere_makes_the_body_wait(self):
        self.kill("t1", 0.0, BAD)
        self.send_update(0.1)
        self.guard.started(BAD, "t2", 6.0)
        self.assertTrue(self.sender.urgent)
        self.send_update(6.1)
        self.assertEqual(self.verdict(BAD, 7.0, self.peer_guard), VERDICTS.WAIT)

    def test_lost_payload_is_told_again(self):
        self.kill("t1", 0.0, BAD)
        self.sender.collect("peer", FLEET, 10_000, 0.0)
        self.assertEqual(self.send_update(5.0), b"")
        self.send_update(31.0)
        self.assertEqual(
            self.verdict(BAD, 40.0, self.peer_guard), VERDICTS.ISOLATED
        )

    def test_small_budget_only_takes_longer_and_garbage_is_counted(self):
        bodies = [bytes([n]) * 16 for n in range(40)]
        self.kill("t1", 0.0, *bodies)
        rounds = 0
        while self.send_update(0.1, budget=200):
            rounds += 1
        self.assertGreater(rounds, 3)
        self.assertEqual(len(self.peer_guard.suspects), 40)
        self.receiver.absorb("me", b"\xff\x00", 1.0)
        self.assertEqual(self.receiver.unreadable, 1)

    def test_lost_request_waits_for_the_verdict_on_its_target(self):
        self.guard.started(GOOD, "t1", 0.0)
        self.guard.ended(GOOD, "t1", 1.0, finished=False)
        self.assertEqual(self.verdict(GOOD, 1.1), VERDICTS.WAIT)
        self.guard.target_survived("t1")
        self.assertEqual(self.verdict(GOOD, 1.2), VERDICTS.UNRESTRICTED)

    def test_many_deaths_at_once_accuse_no_more(self):
        for number in range(20):
            bodies = [bytes([number, n]) * 8 for n in range(10)]
            self.kill(f"t{number}", 0.1 * number, *bodies)
        self.assertEqual(self.guard.counters.bursts, 16)
        self.assertEqual(len(self.guard.suspects), 40)

    @settings(seeds.STEADY, max_examples=60)
    @given(st.integers(1, 30), st.integers(1, 12))
    def test_suspects_never_share_a_target(self, bodies, targets):
        guard = poison.PoisonGuard(random.Random(1))
        fleet = frozenset(f"t{n}" for n in range(targets))
        ran = [bytes([n]) * 16 for n in range(bodies)]
        self.kill("dead", 0.0, *ran, guard=guard)
        waiting = set(ran)
        now = 10.0
        while waiting:
            placed = {}
            for body in sorted(waiting):
                target = guard.isolation_target(body, fleet, now)
                if target is not None:
                    self.assertNotIn(target, placed)
                    placed[target] = body
                    guard.started(body, target, now)
            self.assertTrue(placed)
            for target, body in placed.items():
                guard.ended(body, target, now + 1.0, finished=True)
                waiting.discard(body)
            now += 1.0

    def test_model_loses_two_targets_and_no_innocent(self):
        for seed in range(4):
            found = model._World(9, model.PUSHED, bool(seed % 2), seed).run()
            self.assertEqual(found.killed, 2, seed)
            self.assertEqual((found.unfinished, found.refused), (0, 0), seed)

    def test_model_without_the_guard_loses_many(self):
        found = model._World(3, model.UNGUARDED, False, 1).run()
        self.assertGreater(found.killed, 10)
