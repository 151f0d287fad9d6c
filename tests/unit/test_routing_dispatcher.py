"""Fleet dispatcher: refusals, queue order, target faults and long prompts."""

import random
import unittest

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import admission
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from tests.lib import routing

MEMORY = 200_000
REASONS = outcomes.RefusalReason


def _create_dispatcher(engines, memory_tokens=MEMORY, limits=None, **options):
    dispatcher = dispatcher_module.FleetDispatcher(random.Random(1), limits)
    dispatcher.apply_service(routing.service(engines, memory_tokens, **options))
    return dispatcher


def _create_report(target_id, at, **options):
    values = {
        "boot_id": "b1",
        "queued_tokens": 0,
        "running": 0,
        "free_tokens": MEMORY,
    }
    values |= options
    return targets.LoadReport(target_id=target_id, measured_at=at, **values)


def _poll_started(dispatcher, now):
    return {a.request_id: a.target_id for a in dispatcher.poll(now)[0]}


class RefusalTest(unittest.TestCase):
    def _reason(self, outcome):
        refusal = outcome.unwrap_err()
        self.assertEqual(refusal.outcome, outcomes.Outcome.NOT_RUN)
        return refusal.reason

    def test_unknown_model_and_no_target(self):
        dispatcher = _create_dispatcher(1)
        unknown = dispatcher.submit(routing.request("a", model="x"), 0.0)
        self.assertEqual(self._reason(unknown), REASONS.UNKNOWN_SERVICE)
        dispatcher.set_leaving("e0", True)
        none = dispatcher.submit(routing.request("b"), 0.0)
        self.assertEqual(self._reason(none), REASONS.NO_TARGET)

    def test_service_without_models_accepts_any_model(self):
        dispatcher = dispatcher_module.FleetDispatcher(random.Random(1))
        service = attrs.evolve(routing.service(1, MEMORY), models=())
        dispatcher.apply_service(service)
        accepted = dispatcher.submit(routing.request("a", model="x"), 0.0)
        self.assertTrue(accepted.is_ok())

    def test_unreachable_deadline_is_refused_at_submission(self):
        dispatcher = _create_dispatcher(1)
        late = routing.request("a", prompt_tokens=150_000, deadline=2.0)
        refused = dispatcher.submit(late, 0.0)
        self.assertEqual(self._reason(refused), REASONS.DEADLINE_UNREACHABLE)
        for number in range(20):
            dispatcher.submit(
                routing.request(f"q{number}", prompt_tokens=15_000), 0.0
            )
            dispatcher.poll(0.0)
        refused = dispatcher.submit(routing.request("b", deadline=3.0), 0.0)
        self.assertEqual(self._reason(refused), REASONS.DEADLINE_UNREACHABLE)
        self.assertGreater(refused.unwrap_err().retry_after_s, 1.0)

    def test_queue_limits_apply_in_total_and_per_account(self):
        limits = admission.QueueLimits(total=3, per_account=2)
        dispatcher = _create_dispatcher(1, limits=limits)
        accepted = [
            dispatcher.submit(routing.request(name, account=account), 0.0)
            for name, account in (("a", "x"), ("b", "x"), ("c", "x"))
        ]
        self.assertEqual([o.is_ok() for o in accepted], [True, True, False])
        dispatcher.submit(routing.request("d", account="y"), 0.0)
        refused = dispatcher.submit(routing.request("e", account="z"), 0.0)
        self.assertEqual(self._reason(refused), REASONS.QUEUE_FULL)

    def test_prompt_larger_than_memory_is_refused(self):
        dispatcher = _create_dispatcher(3, exports_kv=False)
        refused = dispatcher.submit(
            routing.request("a", prompt_tokens=250_000), 0.0
        )
        self.assertEqual(self._reason(refused), REASONS.PROMPT_TOO_LARGE)

    def test_removed_service_expires_queued_requests(self):
        dispatcher = _create_dispatcher(1)
        dispatcher.submit(routing.request("a"), 0.0)
        dispatcher.remove_service("s")
        _, expired = dispatcher.poll(0.0)
        self.assertEqual(expired[0].refusal.reason, REASONS.UNKNOWN_SERVICE)


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.dispatcher = _create_dispatcher(1)
        self.dispatcher.submit(routing.request("busy"), 0.0)
        self.assertEqual(_poll_started(self.dispatcher, 0.0), {"busy": "e0"})

    def _start_order(self):
        order = []
        now = 0.001
        last = "busy"
        while self.dispatcher.queued:
            self.dispatcher.first_token(last, now)
            self.dispatcher.finished(last, now, 10)
            (last,) = _poll_started(self.dispatcher, now)
            order.append(last)
        return order

    def test_urgency_has_precedence_over_deadline(self):
        for name, urgency, deadline in (
            ("batch", 6, 30.0),
            ("late", 1, 60.0),
            ("soon", 1, 50.0),
        ):
            self.dispatcher.submit(
                routing.request(name, urgency=urgency, deadline=deadline), 0.0
            )
        self.dispatcher.first_token("busy", 0.001)
        self.assertEqual(list(_poll_started(self.dispatcher, 0.001)), ["soon"])

    def test_large_account_does_not_delay_small_account(self):
        for number in range(6):
            self.dispatcher.submit(
                routing.request(f"large{number}", account="large"), 0.0
            )
        for number in range(2):
            self.dispatcher.submit(
                routing.request(f"small{number}", account="small"), 0.0
            )
        order = self._start_order()
        self.assertLess(order.index("small0"), 2)
        self.assertLess(order.index("small1"), 4)

    def test_withdrawn_request_does_not_start(self):
        self.dispatcher.submit(routing.request("a"), 0.0)
        self.dispatcher.withdraw("a")
        self.dispatcher.withdraw("a")
        self.dispatcher.first_token("busy", 0.001)
        self.assertEqual(_poll_started(self.dispatcher, 0.001), {})

    def test_request_that_cannot_end_in_time_expires_at_once(self):
        self.dispatcher.submit(routing.request("a", deadline=5.0), 0.0)
        self.assertLess(self.dispatcher.next_wakeup(0.0), 5.0)
        _, expired = self.dispatcher.poll(4.95)
        self.assertEqual([e.request_id for e in expired], ["a"])

    def test_aged_batch_request_precedes_new_interactive_request(self):
        self.dispatcher.submit(
            routing.request("batch", urgency=6, deadline=10.0), 0.0
        )
        self.dispatcher.submit(
            routing.request("new", urgency=1, deadline=100.0), 9.0
        )
        self.dispatcher.poll(9.0)
        self.dispatcher.first_token("busy", 9.0)
        self.assertEqual(list(_poll_started(self.dispatcher, 9.0)), ["batch"])


class TargetTest(unittest.TestCase):
    def test_avoided_and_leaving_targets_get_no_requests(self):
        dispatcher = _create_dispatcher(3)
        dispatcher.set_leaving("e0", True)
        dispatcher.submit(routing.request("a"), 0.0, frozenset({"e1"}))
        self.assertEqual(_poll_started(dispatcher, 0.0), {"a": "e2"})

    def test_reported_leaving_lasts_until_boot_id_changes(self):
        dispatcher = _create_dispatcher(1)
        dispatcher.observe_load(_create_report("e0", 0.0, leaving=True), 0.5)
        dispatcher.observe_load(_create_report("e0", 1.0), 1.5)
        refused = dispatcher.submit(routing.request("a"), 2.0)
        self.assertEqual(refused.unwrap_err().reason, REASONS.NO_TARGET)
        dispatcher.observe_load(_create_report("e0", 2.0, boot_id="b2"), 2.5)
        self.assertTrue(dispatcher.submit(routing.request("a"), 3.0).is_ok())

    def test_reported_work_of_other_instances_is_respected(self):
        dispatcher = _create_dispatcher(2)
        dispatcher.observe_load(
            _create_report("e0", 0.0, queued_tokens=400_000), 0.1
        )
        for name in ("a", "b"):
            dispatcher.submit(routing.request(name), 0.2)
            self.assertIn(
                _poll_started(dispatcher, 0.2).get(name), ("e1", None)
            )
        self.assertEqual(dispatcher.queued, 1)

    def test_request_stops_waiting_for_slow_prefix_holder(self):
        dispatcher = _create_dispatcher(2)
        hashes = tuple(range(10))
        first_request = routing.request(
            "a", prompt_tokens=10_000, prefix_hashes=hashes
        )
        dispatcher.submit(first_request, 0.0)
        holder = _poll_started(dispatcher, 0.0)["a"]
        second_request = routing.request(
            "b", prompt_tokens=10_000, prefix_hashes=hashes
        )
        dispatcher.submit(second_request, 0.2)
        self.assertEqual(_poll_started(dispatcher, 0.2), {})
        self.assertLess(dispatcher.next_wakeup(0.2), 0.3)
        self.assertNotIn(
            _poll_started(dispatcher, 0.3).get("b"), (holder, None)
        )

    def test_kv_memory_is_not_reserved_twice(self):
        dispatcher = _create_dispatcher(1)
        dispatcher.submit(routing.request("a", prompt_tokens=150_000), 0.0)
        self.assertIn("a", _poll_started(dispatcher, 0.0))
        dispatcher.first_token("a", 4.0)
        dispatcher.submit(routing.request("b", prompt_tokens=150_000), 4.0)
        self.assertEqual(_poll_started(dispatcher, 4.0), {})
        dispatcher.finished("a", 5.0, 10)
        self.assertEqual(_poll_started(dispatcher, 5.0), {"b": "e0"})

    def test_engine_without_the_model_gets_no_requests(self):
        dispatcher = _create_dispatcher(2)
        dispatcher.observe_load(
            _create_report("e0", 0.0, models=("other",)), 0.1
        )
        for name in "ab":
            dispatcher.submit(routing.request(name), 0.1)
            dispatcher.poll(0.1)
        self.assertEqual(dispatcher.queued, 1)

    def test_faults_lower_trust_and_probes_restore_it(self):
        dispatcher = _create_dispatcher(1)
        fault = targets.TargetFault(targets.FaultKind.LOST, "e0", "")
        dispatcher.submit(routing.request("a"), 0.0)
        dispatcher.poll(0.0)
        dispatcher.finished("a", 0.1, 0, fault)
        for name in "bc":
            dispatcher.submit(routing.request(name), 0.1)
        self.assertEqual(_poll_started(dispatcher, 0.1), {})
        now = dispatcher.next_wakeup(0.1)
        probe = _poll_started(dispatcher, now)
        self.assertEqual(len(probe), 1)
        (name,) = probe
        dispatcher.first_token(name, now + 0.01)
        self.assertEqual(_poll_started(dispatcher, now + 0.01), {})
        dispatcher.finished(name, now + 0.1, 10)
        self.assertEqual(len(_poll_started(dispatcher, now + 0.1)), 1)

    def test_refusal_pauses_target_and_keeps_trust(self):
        dispatcher = _create_dispatcher(1)
        fault = targets.TargetFault(
            targets.FaultKind.REFUSED, "e0", "", retry_after_s=2.0
        )
        dispatcher.submit(routing.request("a"), 0.0)
        dispatcher.poll(0.0)
        dispatcher.finished("a", 0.1, 0, fault)
        dispatcher.submit(routing.request("a"), 0.1)
        self.assertEqual(_poll_started(dispatcher, 0.1), {})
        self.assertEqual(dispatcher.next_wakeup(0.1), 2.1)
        view = dispatcher.fleet.view("e0")
        self.assertEqual(view.health.trust, 1.0)

    def test_plain_target_runs_concurrent_calls(self):
        target = routing.engine(0, 0, max_batch=2)
        dispatcher = dispatcher_module.FleetDispatcher(random.Random(1))
        dispatcher.apply_service(
            configuration.Service(
                name="s",
                kind=configuration.ServiceKind.PLAIN,
                targets=(
                    targets.Target(
                        target_id=target.target_id,
                        kind=targets.TargetKind.PLAIN,
                        host=target.host,
                        port=1,
                        data_centre="here",
                        max_batch=2,
                    ),
                ),
            )
        )
        for name in "abc":
            dispatcher.submit(routing.request(name, max_tokens=0), 0.0)
        self.assertEqual(len(_poll_started(dispatcher, 0.0)), 2)
        dispatcher.finished("a", 0.1, 0)
        self.assertEqual(_poll_started(dispatcher, 0.1), {"c": "e0"})


class LongPromptTest(unittest.TestCase):
    def test_long_prompts_use_few_engines_and_short_prompts_the_others(self):
        dispatcher = _create_dispatcher(8, memory_tokens=500_000)
        for number in range(12):
            dispatcher.submit(
                routing.request(f"l{number}", prompt_tokens=300_000), 0.0
            )
        long_prompt_engines = set(_poll_started(dispatcher, 0.0).values())
        self.assertLess(len(long_prompt_engines), 8)
        for number in range(8):
            dispatcher.submit(routing.request(f"s{number}"), 0.0)
        short_prompt_engines = set(_poll_started(dispatcher, 0.0).values())
        self.assertEqual(len(short_prompt_engines | long_prompt_engines), 8)
        self.assertFalse(short_prompt_engines & long_prompt_engines)

    def test_engine_computes_one_part_at_a_time(self):
        dispatcher = _create_dispatcher(8)
        for name in "ab":
            dispatcher.submit(
                routing.request(name, prompt_tokens=250_000, deadline=900.0),
                0.0,
            )
        used = []
        for assignment in dispatcher.poll(0.0)[0]:
            hops = [hop.target_id for hop in assignment.hops]
            used += [*hops, assignment.target_id]
        self.assertGreaterEqual(len(used), 2)
        self.assertEqual(len(used), len(set(used)))

    def test_small_pool_splits_prompt_larger_than_one_engine(self):
        dispatcher = _create_dispatcher(3)
        dispatcher.submit(routing.request("a", prompt_tokens=590_000), 0.0)
        ((assignment,), _) = dispatcher.poll(0.0)
        self.assertEqual(len(assignment.hops), 2)

    def test_split_prompt_releases_memory_of_all_engines(self):
        dispatcher = _create_dispatcher(8)
        dispatcher.submit(routing.request("a", prompt_tokens=350_000), 0.0)
        ((assignment,), _) = dispatcher.poll(0.0)
        self.assertEqual(len(assignment.hops), 1)
        used = {assignment.target_id, assignment.hops[0].target_id}
        self.assertEqual(len(used), 2)
        views = [dispatcher.fleet.view(t) for t in used]
        self.assertEqual(sum(v.reserved for v in views), 350_010)
        dispatcher.first_token("a", 9.0)
        dispatcher.finished("a", 10.0, 10)
        self.assertEqual([v.reserved for v in views], [0, 0])
