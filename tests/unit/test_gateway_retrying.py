"""Tests of the decision after a failed attempt."""

import math
import types
import unittest

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.queueing import retrying
from cardamomfork._internal.gateway.requests import exchanges
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.state import crash_records
from cardamomfork._internal.gateway.state import routes
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import forwarding
from tests.lib import gateway_parts

Failure = outcomes.Failure
SENT = (Failure.BROKEN, Failure.SILENT, Failure.FAILED)
UNSENT = (
    Failure.UNREACHABLE,
    Failure.NO_MEMORY,
    Failure.BLOCKED,
    Failure.NOT_RUN,
)


class Case:
    """A decider and a request after an attempt."""

    def __init__(
        self, rule, *, sent_attempts=1, possible_runs=1, waited=0.5, **route
    ):
        self.clock = gateway_parts.Clock()
        attempts = 1 if rule is fleet.RepeatPolicy.ONCE else 2
        self.guard = poison_guard.PoisonGuard()
        self.decider = retrying.RetryDecider(
            retry_budget.RetryBudget(gateway_parts.make_settings(), -math.inf),
            self.guard,
            self.clock,
        )
        fields = {"rule": rule, "max_attempts": attempts, "timeout_s": 3.0}
        self.exchange = exchanges.Exchange(
            request=forwarding.CallerRequest(
                "r1", b"POST", b"/a/", "/a/", "h", ()
            ),
            body=b"",
            match=routes.Match(
                gateway_parts.make_route(**(fields | route)),
                gateway_parts.PLAIN,
                None,
                1,
                1,
            ),
            sink=types.SimpleNamespace(),
            arrived_at=self.clock.now - waited,
            fingerprint=7,
            log=request_log.RequestLog("r1"),
            sent_attempts=sent_attempts,
            possible_runs=possible_runs,
        )

    def decide(self, failure):
        failed = outcomes.Failed(failure, "seen")
        return self.decider.after_failure(self.exchange, failed)


class RetryDeciderTest(unittest.TestCase):
    def test_sent_request_that_may_run_once_ends_with_unknown_outcome(self):
        for failure, status in zip(SENT, (502, 504, 502), strict=True):
            final = Case(fleet.RepeatPolicy.ONCE).decide(failure)
            self.assertEqual(final.status, status)
            self.assertIsNone(final.retry_after_s)

    def test_request_that_did_not_run_is_retried(self):
        for rule in fleet.RepeatPolicy:
            for failure in UNSENT:
                case = Case(rule, possible_runs=0)
                self.assertIsNone(case.decide(failure), (rule, failure))

    def test_repeatable_request_is_retried_up_to_its_maximum(self):
        for rule in (fleet.RepeatPolicy.SAFE, fleet.RepeatPolicy.STREAM):
            for failure in SENT:
                self.assertIsNone(Case(rule).decide(failure))
                again = Case(rule, possible_runs=2, sent_attempts=2).decide(
                    failure
                )
                self.assertIn("no attempt left", again.reason)

    def test_status_503_only_if_no_attempt_may_have_run(self):
        for rule in fleet.RepeatPolicy:
            for failure in UNSENT:
                for possible_runs in (0, 1):
                    case = Case(
                        rule, possible_runs=possible_runs, sent_attempts=9
                    )
                    final = case.decide(failure)
                    self.assertEqual(final.status == 503, possible_runs == 0)
                    self.assertEqual(
                        final.retry_after_s is None, possible_runs > 0
                    )

    def test_no_retry_without_time_left(self):
        case = Case(fleet.RepeatPolicy.SAFE, possible_runs=0, waited=2.95)
        self.assertIn("no time left", case.decide(Failure.NOT_RUN).reason)

    def test_request_that_crashed_several_targets_is_not_retried(self):
        case = Case(fleet.RepeatPolicy.SAFE)
        for number in range(3):
            crash = crash_records.Crash(
                case.exchange.fingerprint, f"t{number}", 1
            )
            case.guard.record_crash(
                crash_records.CrashReport(crash), case.clock.now
            )
        final = case.decide(Failure.BROKEN)
        self.assertIn("crashed several targets", final.reason)

    def test_caller_of_a_blocked_request_learns_when_the_block_ends(self):
        case = Case(fleet.RepeatPolicy.ONCE, possible_runs=0)
        for number in range(3):
            crash = crash_records.Crash(7, f"t{number}", 1)
            case.guard.record_crash(
                crash_records.CrashReport(crash), case.clock.now - 10.0
            )
        final = case.decide(Failure.BLOCKED)
        self.assertEqual(final.status, 503)
        self.assertEqual(final.retry_after_s, poison_guard.BLOCK_S - 10.0)

    def test_retries_end_with_the_budget_of_the_instance(self):
        case = Case(fleet.RepeatPolicy.SAFE)
        ends = [case.decide(Failure.BROKEN) for _ in range(500)]
        reasons = {final.reason for final in ends if final is not None}
        self.assertEqual(reasons, {"broken: seen; no retry left"})
        self.assertIsNone(ends[0])


if __name__ == "__main__":
    unittest.main()
