"""Fault runs hold the promises, and catch parts that break them."""

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
            reservation_sweep.HomeSweep, "record_listing", return_value=[]
        ):
            self.assertIn("still holds", first_violation(BROKEN_SEEDS))

    def test_deadlines_without_a_timer_are_caught(self):
        silence = unittest.mock.patch.object(
            in_memory_engine, "IDLE_TIMEOUT_S", 30.0
        )
        no_timer = unittest.mock.patch.object(
            faults.fault_instances.anyio, "move_on_at", _never
        )
        with silence:
            self.assertEqual(violations(range(1, 3)), [])
            with no_timer:
                self.assertIn("late", first_violation(BROKEN_SEEDS))


class OneCallWorld:
    """Two instances; the first dies at one of its steps of one call."""

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
            one.instance_id: reservation_sweep.Member(
                one.boot_id, alive if one.reachable else dead
            )
            for one in self.instances
        }

    def instance(self, name):
        return next(i for i in self.instances if i.instance_id == name)

    async def start(self, name, dies):
        made = faults.fault_instances.FaultInstance(
            name, "b1", self, random.Random(self.step)
        )
        if dies:
            made.gate = self.deadly_gate(made)
        self.instances.append(made)
        self.tasks.start_soon(made.run)
        await anyio.sleep(0.05)
        return made

    def deadly_gate(self, instance):
        async def gate():
            if self.calling:
                self.step -= 1
            if self.step == 0:
                instance.kill()
            await anyio.lowlevel.checkpoint()

        return gate

    async def run(self):
        request = requests_lib.make_request(
            idempotent=False,
            body=b"book",
            deadline=8.0,
            idempotency_key=f"{self.clock.wall():.0f}-k",
        )
        self.calling = False
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            first = await self.start("i1", dies=True)
            second = await self.start("i2", dies=False)
            self.calling = True
            answers = [await first.call(request)]
            self.calling = False
            for wait_s in (0.0, 60.0):
                await anyio.sleep(wait_s)
                now = anyio.current_time()
                again = attrs.evolve(request, deadline=now + 8.0)
                answers.append(await second.call(again))
            await anyio.sleep(300.0)
            tasks.cancel_scope.cancel()
        return answers, not first.reachable


class DeathAtEachStepTest(unittest.TestCase):
    def test_call_runs_at_most_once_and_is_told_the_truth(self):
        ends = set()
        for step in range(1, 100):
            world = OneCallWorld(step)
            answers, died = virtual_time.run(world.run)
            runs = world.engines[0].bodies[b"book"]
            with self.subTest(step=step):
                self.assertLessEqual(runs, 1)
                self.assertEqual(world.engines[0].held, set())
                last = answers[-1].outcome
                if last is outcomes.Outcome.DONE:
                    self.assertEqual(runs, 1)
                    expected = in_memory_engine.expected_answer(b"book")
                    self.assertEqual(answers[-1].body, expected)
                else:
                    self.assertEqual(last, outcomes.Outcome.UNKNOWN)
                ends.add((died, last, runs))
            if not died:
                break
        self.assertGreater(step, 10)
        self.assertIn((True, outcomes.Outcome.UNKNOWN, 1), ends)
        self.assertIn((True, outcomes.Outcome.UNKNOWN, 0), ends)
        self.assertIn((True, outcomes.Outcome.DONE, 1), ends)


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
