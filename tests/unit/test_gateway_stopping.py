"""Tests which requests a stopping process still sends, and when it refuses."""

import random
import unittest

import anyio

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import admission
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import stopping
from tests.lib import gateway_parts

GRACE_S = 8.0
IN_WINDOW_S = 1.0
AFTER_WINDOW_S = 3.0
TEST_LIMIT_S = 2.0


class MaySendTest(unittest.TestCase):
    def may_send(self, since_stop_s, time_left_s, service_s, *, has_run=False):
        stop = stopping.StopState(100.0, GRACE_S)
        times = stopping.RequestTimes(time_left_s, service_s, has_run)
        return stop.may_send(times, 100.0 + since_stop_s)

    def test_every_request_may_be_sent_before_the_stop(self):
        times = stopping.RequestTimes(1e9, 1e9)
        self.assertTrue(stopping.StopState().may_send(times, 5.0))

    def test_request_whose_time_limit_ends_before_the_exit_may_be_sent(self):
        self.assertTrue(self.may_send(7.0, 0.5, None))
        self.assertTrue(self.may_send(5.0, 2.0, 10.0))

    def test_other_request_may_be_sent_until_the_balancer_has_reacted(self):
        for service_s in (None, 1.0):
            self.assertTrue(self.may_send(IN_WINDOW_S, 10.0, service_s))
            self.assertFalse(self.may_send(AFTER_WINDOW_S, 10.0, service_s))

    def test_request_known_to_last_too_long_is_refused_at_once(self):
        self.assertFalse(self.may_send(IN_WINDOW_S, 60.0, 5.0))

    def test_request_that_may_have_run_is_retried_while_there_is_time(self):
        self.assertTrue(self.may_send(5.0, 10.0, 1.0, has_run=True))
        self.assertTrue(self.may_send(5.0, 10.0, None, has_run=True))
        self.assertFalse(self.may_send(7.0, 10.0, 1.0, has_run=True))
        self.assertFalse(self.may_send(7.0, 10.0, None, has_run=True))


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    def make(self, ends_in_s, *, predicts_waits):
        """Creates a scheduler in front of one busy engine."""
        self.clock = gateway_parts.Clock()
        self.fleet = gateway_parts.Fleet(engines=0)
        self.fleet.table.put(gateway_parts.make_record(0, slots=1))
        self.fleet.run("t0", "busy", ends_at=self.clock.now + ends_in_s)
        self.stop = stopping.StopState()
        rng = random.Random(1)
        admitter = admission.Admission(
            self.fleet.table,
            self.fleet.load,
            peer_queues.PeerQueues(),
            rng,
        )
        self.scheduler = scheduling.Scheduler(
            self.fleet.placer,
            lambda *_: None,
            self.fleet.load.end,
            self.clock,
            rng,
            admitter=admitter if predicts_waits else None,
            stop=self.stop,
        )

    async def decide(self, change):
        """Returns the decision on a request that waits during a change."""
        decisions = []

        async def acquire():
            demand = gateway_parts.make_demand(time_left_s=15.0)
            decisions.append(await self.scheduler.acquire(demand, 1))

        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(acquire)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(decisions, [])
                change()
                self.clock.now += 2 * scheduling.MAX_RECHECK_INTERVAL_S
        return decisions[0]

    def begin_stop(self):
        self.stop.begin(self.clock.now, gateway_parts.make_settings())

    async def test_request_without_a_slot_before_the_exit_is_refused_at_once(
        self,
    ):
        for predicts_waits in (False, True):
            with self.subTest(predicts_waits=predicts_waits):
                self.make(8.6, predicts_waits=predicts_waits)
                decision = await self.decide(self.begin_stop)
                self.assertEqual(
                    decision,
                    scheduling.Refusal(
                        stopping.REFUSAL_REASON, stopping.RETRY_AFTER_S
                    ),
                )

    async def test_request_that_gets_a_slot_soon_is_served(self):
        self.make(0.5, predicts_waits=False)

        def free_slot():
            self.begin_stop()
            self.scheduler.dispatch_waiting()
            self.assertEqual(self.scheduler.waiting, 1)
            self.clock.now += 0.5
            self.scheduler.release("busy")

        decision = await self.decide(free_slot)
        self.assertIsInstance(decision, placement.Placement)

    async def test_request_whose_slot_comes_later_than_predicted_is_refused(
        self,
    ):
        self.make(0.5, predicts_waits=False)

        def pass_time():
            self.begin_stop()
            self.clock.now += AFTER_WINDOW_S

        decision = await self.decide(pass_time)
        self.assertIsInstance(decision, scheduling.Refusal)


if __name__ == "__main__":
    unittest.main()
