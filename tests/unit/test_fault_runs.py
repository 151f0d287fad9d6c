"""Fault runs find no violated guarantee, and detect broken components."""

import random
import unittest
import unittest.mock

import anyio
import anyio.lowlevel
import attrs
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.measure import faults
from cardamomfork._internal.models import instances
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import lifecycle
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.standins import in_memory_engine
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import virtual_time
from tests.lib import requests_lib

SEEDS = range(1, 9)
BROKEN_SEEDS = range(1, 13)


def collect_violations(seeds):
    """Returns all violations in the runs of some seeds."""
    return [v for seed in seeds for v in faults.run_seed(seed).violations]


def find_first_violation(seeds):
    """Returns the first violation, or None."""
    for seed in seeds:
        found = faults.run_seed(seed).violations
        if found:
            return found[0]
    return None


class FaultRunsTest(unittest.TestCase):
    def test_runs_keep_all_guarantees(self):
        self.assertEqual(collect_violations(SEEDS), [])

    def test_claims_without_ledger_are_detected(self):
        async def claim(_, account, key, fingerprint, time_left_s):
            return result.Ok(claiming.Claim(account, key, "t"))

        with unittest.mock.patch.object(
            ledger.StoreClaimLedger, "claim", claim
        ):
            self.assertRegex(
                find_first_violation(BROKEN_SEEDS), r"ran \d times"
            )

    def test_lost_attempts_reported_as_not_run_are_detected(self):
        def report_not_run(self):
            if self.state is attempts.AttemptState.LOST:
                return outcomes.Outcome.NOT_RUN
            return original.fget(self)

        original = attempts.AttemptMachine.outcome
        with unittest.mock.patch.object(
            attempts.AttemptMachine, "outcome", property(report_not_run)
        ):
            self.assertIsNotNone(find_first_violation(BROKEN_SEEDS))

    def test_resumed_streams_joined_without_offset_are_detected(self):
        def deliver(self, attempt, data):
            attempt.advance(len(data))
            return data

        with unittest.mock.patch.object(
            lifecycle.RequestLifecycle, "deliver", deliver
        ):
            self.assertIn(
                "bytes of another", find_first_violation(BROKEN_SEEDS)
            )

    def test_missing_reservation_sweep_is_detected(self):
        with unittest.mock.patch.object(
            reservation_sweep.HomeSweep, "record_listing", return_value=[]
        ):
            self.assertIn("still holds", find_first_violation(BROKEN_SEEDS))

    def test_missing_deadline_timer_is_detected(self):
        longer_idle_timeout = unittest.mock.patch.object(
            in_memory_engine, "IDLE_TIMEOUT_S", 30.0
        )
        no_timer = unittest.mock.patch.object(
            faults.fault_instances.anyio, "move_on_at", _no_time_limit
        )
        with longer_idle_timeout:
            self.assertEqual(collect_violations(range(1, 3)), [])
            with no_timer:
                self.assertIn("late", find_first_violation(BROKEN_SEEDS))


class OneCallSimulation:
    """Simulates a call to an instance that is killed at a given step.

    The call is then repeated at a second instance.
    """

    def __init__(self, step):
        self.step = step
        self.clock = virtual_time.VirtualClock()
        self.store = store.MemoryStore(self.clock)
        self.engines = [in_memory_engine.MemoryEngine("engine-1")]
        self.instances = []

    def members(self):
        alive = instances.InstanceState.ALIVE
        dead = instances.InstanceState.DEAD
        return {
            instance.instance_id: reservation_sweep.Member(
                instance.boot_id, alive if instance.reachable else dead
            )
            for instance in self.instances
        }

    def instance(self, instance_id):
        return next(i for i in self.instances if i.instance_id == instance_id)

    async def start(self, instance_id, killed):
        instance = faults.fault_instances.FaultInstance(
            instance_id, "b1", self, random.Random(self.step)
        )
        if killed:
            instance.wait_while_frozen = self.make_killing_gate(instance)
        self.instances.append(instance)
        self.tasks.start_soon(instance.run)
        await anyio.sleep(0.05)
        return instance

    def make_killing_gate(self, instance):
        async def wait_while_frozen():
            if self.call_running:
                self.step -= 1
            if self.step == 0:
                instance.kill()
            await anyio.lowlevel.checkpoint()

        return wait_while_frozen

    async def run(self):
        request = requests_lib.make_request(
            idempotent=False,
            body=b"book",
            deadline=8.0,
            idempotency_key=f"{self.clock.wall():.0f}-k",
        )
        self.call_running = False
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            first = await self.start("i1", killed=True)
            second = await self.start("i2", killed=False)
            self.call_running = True
            answers = [await first.call(request)]
            self.call_running = False
            for wait_s in (0.0, 60.0):
                await anyio.sleep(wait_s)
                now = anyio.current_time()
                repeated = attrs.evolve(request, deadline=now + 8.0)
                answers.append(await second.call(repeated))
            await anyio.sleep(300.0)
            tasks.cancel_scope.cancel()
        return answers, not first.reachable


class KillAtEachStepTest(unittest.TestCase):
    def test_call_runs_at_most_once_and_reports_true_outcome(self):
        seen_outcomes = set()
        for step in range(1, 100):
            simulation = OneCallSimulation(step)
            answers, was_killed = virtual_time.run(simulation.run)
            executions = simulation.engines[0].bodies[b"book"]
            with self.subTest(step=step):
                self.assertLessEqual(executions, 1)
                self.assertEqual(simulation.engines[0].held, set())
                last_outcome = answers[-1].outcome
                if last_outcome is outcomes.Outcome.DONE:
                    self.assertEqual(executions, 1)
                    expected = in_memory_engine.expected_answer(b"book")
                    self.assertEqual(answers[-1].body, expected)
                else:
                    self.assertEqual(last_outcome, outcomes.Outcome.UNKNOWN)
                seen_outcomes.add((was_killed, last_outcome, executions))
            if not was_killed:
                break
        self.assertGreater(step, 10)
        self.assertIn((True, outcomes.Outcome.UNKNOWN, 1), seen_outcomes)
        self.assertIn((True, outcomes.Outcome.UNKNOWN, 0), seen_outcomes)
        self.assertIn((True, outcomes.Outcome.DONE, 1), seen_outcomes)


class _no_time_limit:  # noqa: N801
    """Replaces `anyio.move_on_at` by a deadline that never expires."""

    def __init__(self, _):
        pass

    def __enter__(self):
        return self

    def __exit__(self, *_):
        return False


if __name__ == "__main__":
    unittest.main()
