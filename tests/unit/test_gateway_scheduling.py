"""Waiting requests get places, and places never get lost."""

import contextlib
import random
import time
import unittest

import anyio

from cardamomfork._internal.gateway import placement
from cardamomfork._internal.gateway import scheduling
from tests.lib import gateway_parts

TOKENS = 5000
TEST_LIMIT_S = 2.0
WAITING = 30
FREE_TOKENS = 12_000


class Site:
    """One engine with one place, and the scheduler in front of it."""

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

    def commit(self, demand, chosen, now):
        """Notes the request where it runs."""
        self.fleet.run(
            chosen.target.record.target_id, demand.job_id, ends_at=now + 1.0
        )

    async def acquire(self, job_id, answers, changes=None, priority=1):
        """Asks for a place and notes the answer."""
        demand = gateway_parts.make_demand(
            TOKENS, **({"job_id": job_id} | (changes or {}))
        )
        answers[job_id] = await self.scheduler.acquire(demand, priority)

    @property
    def jobs(self):
        return [job.job_id for job in self.fleet.load.local_jobs]


@contextlib.asynccontextmanager
async def limited_tasks():
    """Runs tasks for no longer than the limit."""
    with anyio.fail_after(TEST_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            yield tasks


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    async def test_released_place_goes_to_the_one_that_waits(self):
        site = Site()
        answers = {}
        await site.acquire("first", answers)
        async with limited_tasks() as tasks:
            tasks.start_soon(site.acquire, "second", answers)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(site.scheduler.waiting, 1)
            site.scheduler.release("first")
        self.assertIsInstance(answers["second"], placement.Placement)
        self.assertEqual(site.jobs, ["second"])

    async def test_place_given_to_a_caller_that_has_left_comes_back(self):
        site = Site()
        answers = {}
        await site.acquire("first", answers)
        async with limited_tasks() as tasks:
            await self._leave_at_release(site, answers, tasks)
        self.assertEqual(site.scheduler.waiting, 0)
        self.assertEqual(site.jobs, [])

    async def test_place_given_back_goes_to_the_next(self):
        site = Site()
        answers = {}
        await site.acquire("first", answers)
        async with limited_tasks() as tasks:
            await self._leave_at_release(site, answers, tasks, "third")
        self.assertIsInstance(answers["third"], placement.Placement)
        self.assertEqual(site.jobs, ["third"])

    async def test_many_that_wait_are_looked_at_together(self):
        # Each of them once looked at all of them, twenty times a second.
        site = Site()
        looks = []
        choose = site.fleet.placer.choose
        site.fleet.placer.choose = lambda *given: (
            looks.append(1) or choose(*given)
        )
        site.scheduler = scheduling.Scheduler(
            site.fleet.placer,
            site.commit,
            site.fleet.load.end,
            time.monotonic,
            random.Random(1),
        )
        answers = {}
        site.clock.now = time.monotonic()
        async with limited_tasks() as tasks:
            for number in range(WAITING + 1):
                tasks.start_soon(site.acquire, f"job{number}", answers)
            await anyio.wait_all_tasks_blocked()
            looks.clear()
            await anyio.sleep(4 * scheduling.MAX_RECHECK_INTERVAL_S)
            # One choice tells all of a size that there is no room.
            self.assertGreaterEqual(len(looks), 1)
            self.assertLessEqual(len(looks), 6)
            tasks.cancel_scope.cancel()

    async def test_one_that_may_not_use_the_free_place_holds_nobody_up(self):
        # The first in order has been at the target that becomes free; it
        # found no room at the other one, which says nothing of the next.
        site = Site()
        site.fleet.table.put(gateway_parts.make_record(1, slots=1))
        answers = {}
        for job_id in ("first", "second"):
            await site.acquire(job_id, answers)
        freed = next(
            job for job in site.fleet.load.local_jobs if job.target_id == "t0"
        )
        async with limited_tasks() as tasks:
            for job_id, changes, priority in (
                ("again", {"excluded": frozenset(("t0",))}, 0),
                ("next", {}, 1),
            ):
                tasks.start_soon(
                    site.acquire, job_id, answers, changes, priority
                )
                await anyio.wait_all_tasks_blocked()
            site.scheduler.release(freed.job_id)
            await anyio.wait_all_tasks_blocked()
            self.assertIn("next", answers)
            tasks.cancel_scope.cancel()

    async def test_one_with_a_long_answer_holds_no_prompt_up(self):
        # No engine has memory for the first one's answer. The next one's is
        # short, and its prompt, though longer than both, fits on four.
        site = Site()
        most = int(
            gateway_parts.LAW.memory_tokens * placement.PLANNED_MEMORY_FRACTION
        )
        for number in range(4):
            site.fleet.table.put(gateway_parts.make_record(number))
            site.fleet.run(
                f"t{number}",
                f"large{number}",
                most - FREE_TOKENS,
                output_tokens=0,
                ends_at=site.clock.now + 1.0,
            )
        answers = {}
        wanted = (
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
            for job_id, changes, priority in wanted:
                tasks.start_soon(
                    site.acquire, job_id, answers, changes, priority
                )
                await anyio.wait_all_tasks_blocked()
            self.assertIsInstance(answers.get("next"), placement.Placement)
            self.assertNotIn("long", answers)
            tasks.cancel_scope.cancel()

    async def _leave_at_release(self, site, answers, tasks, *later):
        """Frees a place between a caller's leaving and its task's next turn."""
        scope = anyio.CancelScope()

        async def wait_second():
            with scope:
                await site.acquire("second", answers)

        tasks.start_soon(wait_second)
        await anyio.wait_all_tasks_blocked()
        for job_id in later:
            site.clock.now += 0.01
            tasks.start_soon(site.acquire, job_id, answers)
        await anyio.wait_all_tasks_blocked()
        scope.cancel()
        site.scheduler.release("first")
        self.assertEqual(site.jobs, ["second"])
