"""A request that can't be placed now waits only if its turn comes in time."""

import itertools
import math
import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import admission
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import peer_queues
from tests.lib import gateway_parts
from tests.lib import sharing_fleet

NOW = 100.0
SLOTS = 8
ENGINE_TOKENS = int(
    gateway_parts.LAW.memory_tokens * placement.PLANNED_MEMORY_FRACTION
)


class AdmissionFixture:
    """An admission over some engines."""

    def __init__(self, engines=2, seed=1):
        self.fleet = gateway_parts.Fleet(engines)
        self.queues = peer_queues.PeerQueues()
        self.admission = admission.Admission(
            self.fleet.table, self.fleet.load, self.queues, random.Random(seed)
        )

    def run(self, target, *ends, **changes):
        """Starts jobs with some remaining times on a target."""
        for end_s in ends:
            number = len(self.fleet.load.local_jobs)
            self.fleet.run(
                f"t{target}", f"j{number}", ends_at=NOW + end_s, **changes
            )

    def decide(self, ahead=0, tokens_ahead=0, service_s=0.2, **changes):
        return self.admission.decide(
            gateway_parts.make_demand(**({"time_left_s": 4.0} | changes)),
            admission.Ahead(ahead, tokens_ahead),
            service_s,
            NOW,
        )


class AdmissionTest(unittest.TestCase):
    def fill(self, *, tokens=500):
        fixture = AdmissionFixture()
        for target in range(2):
            fixture.run(
                target,
                *(0.5 * n for n in range(1, SLOTS + 1)),
                tokens=tokens,
                output_tokens=0,
            )
        return fixture

    def test_wait_grows_with_the_requests_ahead(self):
        # Guards against a prediction by the first job that ends, which lets
        # all requests wait and refuses most of them late.
        fixture = self.fill()
        self.assertAlmostEqual(fixture.decide().wait_s, 0.5)
        self.assertAlmostEqual(fixture.decide(ahead=5).wait_s, 1.5)
        self.assertTrue(fixture.decide(ahead=5).may_wait)
        self.assertFalse(fixture.decide(ahead=7, time_left_s=2.0).may_wait)
        self.assertGreater(fixture.decide(ahead=16).wait_s, 4.0)

    def test_requests_that_wait_at_peers_are_ahead(self):
        fixture = self.fill()
        fixture.queues.replace(
            "peer",
            (
                peer_queues.WaitingClass("engines", False, 3),
                peer_queues.WaitingClass("engines", True, 2),
                peer_queues.WaitingClass("plain", False, 90),
            ),
            NOW,
        )
        self.assertAlmostEqual(fixture.decide().wait_s, 1.5)

    def test_long_prompt_waits_for_memory(self):
        # Guards against long prompts that are held for the slot that becomes
        # free first, have no memory then, and are refused late.
        fixture = AdmissionFixture(engines=2)
        for target in range(2):
            for end_s in (1.0, 5.0):
                fixture.run(
                    target, end_s, tokens=ENGINE_TOKENS // 2, output_tokens=0
                )
        long = {"prompt_tokens": ENGINE_TOKENS * 3 // 2, "output_tokens": 0}
        self.assertAlmostEqual(fixture.decide(**long).wait_s, 5.0)
        self.assertFalse(fixture.decide(ahead=1, **long).may_wait)
        half = {"prompt_tokens": ENGINE_TOKENS // 2, "output_tokens": 0}
        self.assertAlmostEqual(fixture.decide(**half).wait_s, 1.0)
        self.assertAlmostEqual(
            fixture.decide(tokens_ahead=ENGINE_TOKENS, **half).wait_s, 5.0
        )

    def test_prompt_that_no_engines_hold_may_not_wait(self):
        fixture = AdmissionFixture(engines=2)
        verdict = fixture.decide(prompt_tokens=3 * ENGINE_TOKENS)
        self.assertFalse(verdict.may_wait)
        self.assertTrue(math.isinf(verdict.wait_s))

    def test_nothing_is_refused_while_half_of_the_slots_are_free(self):
        # Guards against a refusal by a wrong prediction on an idle service.
        fixture = AdmissionFixture(engines=1)
        fixture.run(0, 60.0, 60.0, tokens=ENGINE_TOKENS // 2, output_tokens=0)
        half = {"prompt_tokens": ENGINE_TOKENS // 2, "output_tokens": 0}
        self.assertTrue(fixture.decide(**half).may_wait)
        self.assertFalse(fixture.decide(ahead=1, **half).may_wait)
        self.assertFalse(fixture.decide(time_left_s=0.1).may_wait)

    def test_caller_can_come_back_if_capacity_is_likely_by_then(self):
        fixture = AdmissionFixture()
        times = [fixture.admission.retry_after_s(0.5, 9.0) for _ in range(200)]
        self.assertGreaterEqual(min(times), 0.5)
        self.assertLessEqual(max(times), 3.0)
        # Spread over the whole range, so that callers don't return together.
        for start in range(5):
            low = 0.5 + 0.5 * start
            self.assertGreater(sum(low <= one < low + 0.5 for one in times), 10)

    @hypothesis.given(
        strategies.floats(0.0, allow_nan=False),
        strategies.floats(-10.0, 1e6),
        strategies.integers(0, 100),
    )
    def test_retry_after_is_bounded(self, wait_s, left_s, seed):
        fixture = AdmissionFixture(seed=seed)
        found = fixture.admission.retry_after_s(wait_s, left_s)
        self.assertGreaterEqual(found, admission.MIN_RETRY_AFTER_S)
        self.assertLessEqual(found, 1.5 * admission.MAX_RETRY_AFTER_S)
        if admission.MIN_RETRY_AFTER_S <= wait_s < min(left_s / 3, 3.0):
            self.assertLessEqual(found, left_s / 3)

    @hypothesis.given(
        strategies.lists(strategies.floats(-1.0, 9.0), max_size=SLOTS),
        strategies.lists(strategies.floats(-1.0, 9.0), max_size=SLOTS),
        strategies.integers(0, ENGINE_TOKENS),
    )
    def test_more_requests_ahead_never_shorten_the_wait(
        self, first, second, tokens
    ):
        fixture = AdmissionFixture(engines=2)
        for target, ends in enumerate((first, second)):
            fixture.run(target, *ends, tokens=tokens)
        waits = [fixture.decide(ahead=count).wait_s for count in range(40)]
        for shorter, longer in itertools.pairwise(waits):
            # Sums of floats differ by their rounding.
            self.assertGreaterEqual(longer, shorter - 1e-9)

    def test_prediction_is_corrected_by_observed_waits(self):
        # Guards against late refusals of an account above its share, before
        # whose requests those of others are served although they come later.
        fixture = self.fill()
        before_s = fixture.decide(ahead=3).wait_s
        for _ in range(100):
            fixture.admission.record_wait(1.0, 9.0, is_above_share=False)
        self.assertAlmostEqual(
            fixture.decide(ahead=3).wait_s,
            admission.MAX_FACTOR * before_s,
            delta=0.01,
        )
        for _ in range(100):
            fixture.admission.record_wait(1.0, 0.0, is_above_share=False)
        self.assertAlmostEqual(fixture.decide(ahead=3).wait_s, before_s)


class AdmittedTest(unittest.IsolatedAsyncioTestCase):
    async def test_admitted_request_is_refused_only_when_it_is_hopeless(self):
        # Guards against a request that is held for long and then refused
        # because a job takes longer than predicted.
        fixture = AdmissionFixture(engines=1)
        fixture.run(0, *[0.5] * SLOTS, tokens=9, output_tokens=0)
        clock = gateway_parts.Clock()
        clock.now = NOW
        scheduler = scheduling.Scheduler(
            fixture.fleet.placer,
            lambda *_: None,
            fixture.fleet.load.end,
            clock,
            random.Random(1),
            admitter=fixture.admission,
        )
        answers = []

        async def ask(**changes):
            answers.append(
                await scheduler.acquire(gateway_parts.make_demand(**changes), 0)
            )

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.wait_all_tasks_blocked()
                for job in fixture.fleet.load.local_jobs:
                    job.ends_at = NOW + 60.0
                clock.now += 5.0
                scheduler.dispatch_waiting()
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(answers, [])
                tasks.start_soon(ask)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(len(answers), 1)
                clock.now += 4.99
                scheduler.dispatch_waiting()
        self.assertEqual(len(answers), 2)
        for refusal in answers:
            self.assertEqual(refusal.reason, "all engines are full")


class RefusalTimeTest(unittest.TestCase):
    def test_hardly_any_request_is_refused_late(self):
        # Guards against requests that are held until their deadline although
        # the queue ahead of them is longer than that.
        late = {}
        for is_predicting in (False, True):
            fleet = sharing_fleet.SharingFleet(6, 1)
            fleet.is_predicting = is_predicting
            found = fleet.play(
                [
                    sharing_fleet.Account("small", 0.15 * fleet.capacity_per_s),
                    sharing_fleet.Account("large", 1.5 * fleet.capacity_per_s),
                ],
                8.0,
            )
            late[is_predicting] = found["large"].refused_late
            self.assertGreater(found["large"].served_share, 0.35)
            self.assertGreaterEqual(found["small"].served_share, 0.9)
            if is_predicting:
                self.assertGreater(found["large"].refused, 100)
        self.assertLessEqual(late[True], 10)
        self.assertGreater(late[False], late[True])


if __name__ == "__main__":
    unittest.main()
