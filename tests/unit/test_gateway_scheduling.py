"""Waiting requests are placed, and no slot leaks."""

import contextlib
import random
import time
import unittest

import anyio

from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import scheduling
from tests.lib import gateway_parts

TOKENS = 5000
TEST_LIMIT_S = 2.0
WAITING_COUNT = 30
FREE_TOKENS = 12_000


class SchedulerFixture:
    """A scheduler with one engine that has one slot."""

    def __init__(self):
        self.clock = gateway_parts.Clock()
        self.fleet = gateway_parts.Fleet(engines=0)
        self.fleet.table.put(gateway_parts.make_record(0, slots=1))
        self.scheduler = scheduling.Scheduler(
            self.fleet.placer,
            self.commit,
            self.fleet.load.end,
            self.clock,
            random.Random(1),
        )

    def commit(self, demand, chosen, now, account_id):
        """Records the request on its target."""
        self.fleet.run(
            chosen.target.record.target_id, demand.job_id, ends_at=now + 1.0
        )

    async def acquire(self, job_id, answers, changes=None, priority=1):
        """Requests a placement and stores the decision."""
        demand = gateway_parts.make_demand(
            TOKENS, **({"job_id": job_id} | (changes or {}))
        )
        answers[job_id] = await self.scheduler.acquire(demand, priority)

    @property
    def jobs(self):
        return [job.job_id for job in self.fleet.load.local_jobs]


@contextlib.asynccontextmanager
async def limited_tasks():
    """Runs tasks for at most TEST_LIMIT_S."""
    with anyio.fail_after(TEST_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            yield tasks


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    async def test_released_slot_goes_to_the_waiting_request(self):
        fixture = SchedulerFixture()
        answers = {}
        await fixture.acquire("first", answers)
        async with limited_tasks() as tasks:
            tasks.start_soon(fixture.acquire, "second", answers)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(fixture.scheduler.waiting, 1)
            fixture.scheduler.release("first")
        self.assertIsInstance(answers["second"], placement.Placement)
        self.assertEqual(fixture.jobs, ["second"])

    async def test_slot_given_to_a_cancelled_request_is_released(self):
        fixture = SchedulerFixture()
        answers = {}
        await fixture.acquire("first", answers)
        async with limited_tasks() as tasks:
            await self._cancel_at_release(fixture, answers, tasks)
        self.assertEqual(fixture.scheduler.waiting, 0)
        self.assertEqual(fixture.jobs, [])

    async def test_slot_of_a_cancelled_request_goes_to_the_next(self):
        fixture = SchedulerFixture()
        answers = {}
        await fixture.acquire("first", answers)
        async with limited_tasks() as tasks:
            await self._cancel_at_release(fixture, answers, tasks, "third")
        self.assertIsInstance(answers["third"], placement.Placement)
        self.assertEqual(fixture.jobs, ["third"])

    async def test_waiting_requests_are_rechecked_together(self):
        # Guards against a recheck of the whole queue by each waiting request
        # in every interval of 50 ms.
        fixture = SchedulerFixture()
        choices = []
        choose = fixture.fleet.placer.choose
        fixture.fleet.placer.choose = lambda *given: (
            choices.append(1) or choose(*given)
        )
        fixture.scheduler = scheduling.Scheduler(
            fixture.fleet.placer,
            fixture.commit,
            fixture.fleet.load.end,
            time.monotonic,
            random.Random(1),
        )
        answers = {}
        fixture.clock.now = time.monotonic()
        async with limited_tasks() as tasks:
            for number in range(WAITING_COUNT + 1):
                tasks.start_soon(fixture.acquire, f"job{number}", answers)
            await anyio.wait_all_tasks_blocked()
            choices.clear()
            await anyio.sleep(4 * scheduling.MAX_RECHECK_INTERVAL_S)
            # One choice per pass shows that there is no capacity for anyone.
            self.assertGreaterEqual(len(choices), 1)
            self.assertLessEqual(len(choices), 6)
            tasks.cancel_scope.cancel()

    async def test_request_that_excludes_the_free_target_blocks_nobody(self):
        # The first request in the queue excludes the target that becomes free
        # and finds no capacity at the other one. That result must not apply to
        # the next request, which excludes no target.
        fixture = SchedulerFixture()
        fixture.fleet.table.put(gateway_parts.make_record(1, slots=1))
        answers = {}
        for job_id in ("first", "second"):
            await fixture.acquire(job_id, answers)
        freed = next(
            job
            for job in fixture.fleet.load.local_jobs
            if job.target_id == "t0"
        )
        async with limited_tasks() as tasks:
            for job_id, changes, priority in (
                ("again", {"excluded": frozenset(("t0",))}, 0),
                ("next", {}, 1),
            ):
                tasks.start_soon(
                    fixture.acquire, job_id, answers, changes, priority
                )
                await anyio.wait_all_tasks_blocked()
            fixture.scheduler.release(freed.job_id)
            await anyio.wait_all_tasks_blocked()
            self.assertIn("next", answers)
            tasks.cancel_scope.cancel()

    async def test_request_with_a_long_answer_blocks_nobody(self):
        # No engine has memory for the answer of the first request. The second
        # has a short answer, and a longer prompt that fits on four engines
        # together.
        fixture = SchedulerFixture()
        usable_tokens = int(
            gateway_parts.LAW.memory_tokens * placement.PLANNED_MEMORY_FRACTION
        )
        for number in range(4):
            fixture.fleet.table.put(gateway_parts.make_record(number))
            fixture.fleet.run(
                f"t{number}",
                f"large{number}",
                usable_tokens - FREE_TOKENS,
                output_tokens=0,
                ends_at=fixture.clock.now + 1.0,
            )
        answers = {}
        requests = (
            (
                "long",
                {
                    "prompt_tokens": 9,
                    "output_tokens": FREE_TOKENS + 1,
                    "time_left_s": 60.0,
                },
                0,
            ),
            ("next", {"prompt_tokens": 45_000, "output_tokens": 9}, 1),
        )
        async with limited_tasks() as tasks:
            for job_id, changes, priority in requests:
                tasks.start_soon(
                    fixture.acquire, job_id, answers, changes, priority
                )
                await anyio.wait_all_tasks_blocked()
            self.assertIsInstance(answers.get("next"), placement.Placement)
            self.assertNotIn("long", answers)
            tasks.cancel_scope.cancel()

    async def _cancel_at_release(self, fixture, answers, tasks, *later):
        """Frees a slot between a cancellation and the task's next run."""
        scope = anyio.CancelScope()

        async def wait_second():
            with scope:
                await fixture.acquire("second", answers)

        tasks.start_soon(wait_second)
        await anyio.wait_all_tasks_blocked()
        for job_id in later:
            fixture.clock.now += 0.01
            tasks.start_soon(fixture.acquire, job_id, answers)
        await anyio.wait_all_tasks_blocked()
        scope.cancel()
        fixture.scheduler.release("first")
        self.assertEqual(fixture.jobs, ["second"])
