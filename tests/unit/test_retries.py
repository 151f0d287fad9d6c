"""Retries stay inside their budget and end at once when it is spent."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import retries
from tests.lib import seeds

KINDS = targets.FaultKind
REASONS = outcomes.RefusalReason


def failure(**changes):
    fields = {
        "service": "pool",
        "kind": KINDS.LOST,
        "tries": 1,
        "may_run_again": True,
        "time_left_s": 30.0,
        "expected_s": 1.0,
    }
    return retries.Failure(**{**fields, **changes})


class RetryPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = retries.RetryPolicy(random.Random(1))

    def earn(self, count, start=0.0):
        for number in range(count):
            self.policy.note_first_try("pool", 0.1, start + number * 0.01)

    @settings(seeds.STEADY, max_examples=60)
    @given(
        st.integers(0, 2**32),
        st.floats(0.0, 1.0),
        st.floats(0.001, 0.5),
    )
    def test_outage_after_any_past_stays_within_the_share(
        self, seed, past_failures, gap_s
    ):
        rng = random.Random(seed)
        policy = retries.RetryPolicy(rng)
        now = 0.0
        for _ in range(500):
            now += rng.expovariate(1 / gap_s)
            policy.note_first_try("pool", 0.1, now)
            failed = rng.random() < past_failures
            policy.note_end("pool", failed)
            if failed:
                policy.decide(failure())
        carried = policy.saved("pool")
        before = policy.counters.tries
        for _ in range(2000):
            now += rng.expovariate(1 / gap_s)
            policy.note_first_try("pool", 0.1, now)
            tries = 1
            policy.note_end("pool", True)
            while policy.decide(failure(tries=tries)).is_ok():
                tries += 1
                policy.note_end("pool", True)
        amplification = (policy.counters.tries - before) / 2000
        self.assertLessEqual(amplification, 1.1)
        self.assertLessEqual(carried, 0.1 * max(100.0, 10 / gap_s * 3))

    def test_spent_budget_gives_up_at_once_with_advice(self):
        self.earn(20)
        answers = [self.policy.decide(failure()) for _ in range(5)]
        self.assertEqual(sum(a.is_ok() for a in answers), 2)
        given_up = answers[-1].unwrap_err()
        self.assertEqual(given_up.reason, REASONS.RETRIES_EXHAUSTED)
        self.assertGreaterEqual(given_up.retry_after_s, 1.0)

    def test_nothing_is_tried_past_the_deadline(self):
        self.earn(100)
        answer = self.policy.decide(failure(time_left_s=0.9))
        self.assertEqual(
            answer.unwrap_err().reason, REASONS.DEADLINE_UNREACHABLE
        )
        self.assertEqual(self.policy.counters.retries, 0)

    def test_unrepeatable_request_is_not_tried_again(self):
        self.earn(100)
        answer = self.policy.decide(failure(may_run_again=False))
        self.assertEqual(answer.unwrap_err().reason, REASONS.TARGET_LOST)

    def test_other_target_comes_before_other_data_centre(self):
        self.earn(100)
        places = [
            self.policy.decide(failure(tries=tries)).unwrap().place
            for tries in (1, 2, 3)
        ]
        other = retries.Place
        self.assertEqual(
            places,
            [other.OTHER_TARGET, *[other.OTHER_DATA_CENTRE] * 2],
        )
        self.assertTrue(self.policy.decide(failure(tries=4)).is_err())

    def test_hedges_leave_half_of_the_budget_to_retries(self):
        self.earn(105)
        asked = [
            self.policy.may_hedge("pool", 100, True, 4.0, 1.0)
            for _ in range(20)
        ]
        self.assertEqual(sum(asked), 5)
        self.assertTrue(self.policy.decide(failure()).is_ok())

    def test_hedge_only_for_short_idempotent_late_requests(self):
        self.earn(100)
        ask = self.policy.may_hedge
        self.assertFalse(ask("pool", 100, False, 4.0, 1.0))
        self.assertFalse(ask("pool", 100_000, True, 4.0, 1.0))
        self.assertFalse(ask("pool", 100, True, 2.0, 1.0))
        self.assertTrue(ask("pool", 100, True, 4.0, 1.0))
