"""Fault runs hold the promises, and catch parts that break them."""

import unittest
import unittest.mock

import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.measure import faults
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import lifecycle
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.standins import engine_links

SEEDS = range(1, 9)
BROKEN_SEEDS = range(1, 13)


def violations(seeds):
    """All violations of some seeds' runs."""
    return [v for seed in seeds for v in faults.run_seed(seed).violations]


def first_violation(seeds):
    """The first violation, if there is one."""
    for seed in seeds:
        found = faults.run_seed(seed).violations
        if found:
            return found[0]
    return None


class FaultRunsTest(unittest.TestCase):
    def test_promises_hold(self):
        self.assertEqual(violations(SEEDS), [])

    def test_claims_that_ask_nobody_are_caught(self):
        async def claim(_, account, key, fingerprint, time_left_s):
            return result.Ok(claiming.Claim(account, key, "t"))

        with unittest.mock.patch.object(
            ledger.StoreClaimLedger, "claim", claim
        ):
            self.assertRegex(first_violation(BROKEN_SEEDS), r"ran \d times")

    def test_lost_attempts_called_not_run_are_caught(self):
        def lie(self):
            if self.state is attempts.AttemptState.LOST:
                return outcomes.Outcome.NOT_RUN
            return truth.fget(self)

        truth = attempts.AttemptMachine.outcome
        with unittest.mock.patch.object(
            attempts.AttemptMachine, "outcome", property(lie)
        ):
            self.assertIsNotNone(first_violation(BROKEN_SEEDS))

    def test_streams_joined_without_their_offset_are_caught(self):
        def deliver(self, attempt, data):
            attempt.advance(len(data))
            return data

        with unittest.mock.patch.object(
            lifecycle.RequestLifecycle, "deliver", deliver
        ):
            self.assertIn("bytes of another", first_violation(BROKEN_SEEDS))

    def test_homes_that_sweep_nothing_are_caught(self):
        with unittest.mock.patch.object(
            reservation_sweep.HomeSweep, "listed", return_value=[]
        ):
            self.assertIn("still holds", first_violation(BROKEN_SEEDS))

    def test_deadlines_without_a_timer_are_caught(self):
        silence = unittest.mock.patch.object(engine_links, "IDLE_BOUND_S", 30.0)
        no_timer = unittest.mock.patch.object(
            faults.fault_instances.anyio, "move_on_at", _never
        )
        with silence:
            self.assertEqual(violations(range(1, 3)), [])
            with no_timer:
                self.assertIn("late", first_violation(BROKEN_SEEDS))


class _never:  # noqa: N801
    """A time limit without effect."""

    def __init__(self, _):
        pass

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False


if __name__ == "__main__":
    unittest.main()
