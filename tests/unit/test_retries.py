"""Tests that retries stay within their budget and end when it is spent."""

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

    def add_first_tries(self, count, start=0.0):
        for number in range(count):
            self.policy.note_first_try("pool", 0.1, start + number * 0.01)

    @settings(seeds.STEADY, max_examples=60)
    @given(
        st.integers(0, 2**32),
        st.floats(0.0, 1.0),
        st.floats(0.001, 0.5),
    )
    def test_retries_in_an_outage_stay_within_the_share(
        self, seed, earlier_failure_ratio, gap_s
    ):
        rng = random.Random(seed)
        policy = retries.RetryPolicy(rng)
        now = 0.0
        for _ in range(500):
            now += rng.expovariate(1 / gap_s)
            policy.note_first_try("pool", 0.1, now)
            failed = rng.random() < earlier_failure_ratio
            policy.note_end("pool", failed)
            if failed:
                policy.decide(failure())
        saved_before = policy.saved("pool")
        tries_before = policy.counters.tries
        for _ in range(2000):
            now += rng.expovariate(1 / gap_s)
            policy.note_first_try("pool", 0.1, now)
            tries = 1
            policy.note_end("pool", True)
            while policy.decide(failure(tries=tries)).is_ok():
                tries += 1
                policy.note_end("pool", True)
        amplification = (policy.counters.tries - tries_before) / 2000
        self.assertLessEqual(amplification, 1.1)
        self.assertLessEqual(saved_before, 0.1 * max(100.0, 10 / gap_s * 3))

    def test_spent_budget_gives_up_with_retry_after(self):
        self.add_first_tries(20)
        answers = [self.policy.decide(failure()) for _ in range(5)]
        self.assertEqual(sum(a.is_ok() for a in answers), 2)
        given_up = answers[-1].unwrap_err()
        self.assertEqual(given_up.reason, REASONS.RETRIES_EXHAUSTED)
        self.assertGreaterEqual(given_up.retry_after_s, 1.0)

    def test_no_retry_that_would_exceed_the_deadline(self):
        self.add_first_tries(100)
        answer = self.policy.decide(failure(time_left_s=0.9))
        self.assertEqual(
            answer.unwrap_err().reason, REASONS.DEADLINE_UNREACHABLE
        )
        self.assertEqual(self.policy.counters.retries, 0)

    def test_request_that_must_not_run_again_is_not_retried(self):
        self.add_first_tries(100)
        answer = self.policy.decide(failure(may_run_again=False))
        self.assertEqual(answer.unwrap_err().reason, REASONS.TARGET_LOST)

    def test_second_try_uses_other_target_later_ones_other_data_centre(self):
        self.add_first_tries(100)
        places = [
            self.policy.decide(failure(tries=tries)).unwrap().place
            for tries in (1, 2, 3)
        ]
        place = retries.Place
        self.assertEqual(
            places,
            [place.OTHER_TARGET, *[place.OTHER_DATA_CENTRE] * 2],
        )
        self.assertTrue(self.policy.decide(failure(tries=4)).is_err())

    def test_hedges_leave_half_of_the_budget_to_retries(self):
        self.add_first_tries(105)
        hedged = [
            self.policy.may_hedge("pool", 100, True, 4.0, 1.0)
            for _ in range(20)
        ]
        self.assertEqual(sum(hedged), 5)
        self.assertTrue(self.policy.decide(failure()).is_ok())

    def test_hedge_only_for_short_idempotent_delayed_requests(self):
        self.add_first_tries(100)
        may_hedge = self.policy.may_hedge
        self.assertFalse(may_hedge("pool", 100, False, 4.0, 1.0))
        self.assertFalse(may_hedge("pool", 100_000, True, 4.0, 1.0))
        self.assertFalse(may_hedge("pool", 100, True, 2.0, 1.0))
        self.assertTrue(may_hedge("pool", 100, True, 4.0, 1.0))
