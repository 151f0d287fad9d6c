"""The baseline dispatchers follow the contract of the request service."""

import unittest

from cardamomfork._internal.models import outcomes
from cardamomfork._internal.routing import baselines
from tests.lib import routing


class BaselineTest(unittest.TestCase):
    def _create_dispatchers(self):
        kinds = (
            baselines.RoundRobinDispatcher,
            baselines.LeastLoadDispatcher,
            baselines.SharedQueueDispatcher,
        )
        dispatchers = [kind(max_queued=2) for kind in kinds]
        for dispatcher in dispatchers:
            dispatcher.apply_service(routing.service(2))
        return dispatchers

    def test_leaving_target_gets_no_requests(self):
        for dispatcher in self._create_dispatchers():
            dispatcher.set_leaving("e0", True)
            dispatcher.submit(routing.request("a"), 0.0)
            started, _ = dispatcher.poll(0.0)
            self.assertEqual([a.target_id for a in started], ["e1"])
            dispatcher.set_leaving("e1", True)
            refused = dispatcher.submit(routing.request("b"), 0.0)
            self.assertEqual(
                refused.unwrap_err().reason, outcomes.RefusalReason.NO_TARGET
            )

    def test_full_queue_refuses_and_deadlines_expire(self):
        for dispatcher in self._create_dispatchers():
            for name in "ab":
                dispatcher.submit(routing.request(name, deadline=5.0), 0.0)
            refused = dispatcher.submit(routing.request("c"), 0.0)
            self.assertEqual(
                refused.unwrap_err().reason, outcomes.RefusalReason.QUEUE_FULL
            )
            started, expired = dispatcher.poll(5.0)
            self.assertEqual(started, [])
            self.assertEqual([e.request_id for e in expired], ["a", "b"])
            self.assertIsNone(dispatcher.next_wakeup(5.0))

    def test_long_prompt_is_split_over_engines(self):
        for dispatcher in self._create_dispatchers():
            dispatcher.submit(routing.request("a", prompt_tokens=900), 0.0)
            ((assignment,), _) = dispatcher.poll(0.0)
            self.assertEqual([h.prompt_tokens for h in assignment.hops], [455])
            refused = dispatcher.submit(
                routing.request("b", prompt_tokens=1000), 0.0
            )
            self.assertEqual(
                refused.unwrap_err().reason,
                outcomes.RefusalReason.PROMPT_TOO_LARGE,
            )
            dispatcher.finished("a", 1.0, 10)
            self.assertEqual(dispatcher.outstanding("e0").requests, 0)

    def test_shared_queue_holds_requests_until_first_token(self):
        dispatcher = baselines.SharedQueueDispatcher()
        dispatcher.apply_service(routing.service(1))
        dispatcher.submit(routing.request("a"), 0.0)
        dispatcher.submit(routing.request("b"), 0.0)
        self.assertEqual(len(dispatcher.poll(0.0)[0]), 1)
        self.assertEqual(len(dispatcher.poll(0.1)[0]), 0)
        dispatcher.first_token("a", 0.2)
        self.assertEqual(len(dispatcher.poll(0.2)[0]), 1)

    def test_order_of_round_robin_and_least_load(self):
        round_robin = baselines.RoundRobinDispatcher()
        least_load = baselines.LeastLoadDispatcher()
        for dispatcher, expected in (
            (round_robin, ["e0", "e1", "e0"]),
            (least_load, ["e0", "e1", "e1"]),
        ):
            dispatcher.apply_service(routing.service(2))
            for name, tokens in (("a", 300), ("b", 100), ("c", 100)):
                dispatcher.submit(
                    routing.request(name, prompt_tokens=tokens), 0.0
                )
            started, _ = dispatcher.poll(0.0)
            self.assertEqual([a.target_id for a in started], expected)
