"""Background tasks that fail are restarted, counted and logged."""

import asyncio
import random
import unittest

import anyio
from loguru import logger
import trio
import trio.testing

from cardamomfork._internal import supervision


class Crashing:
    """A task that fails after some time, and the times of its starts."""

    def __init__(self, run_s=0.0, error=RecursionError):
        self.run_s = run_s
        self.error = error
        self.starts = []

    async def run(self):
        self.starts.append(trio.current_time())
        await anyio.sleep(self.run_s)
        if self.error is not None:
            raise self.error("text of a foreign exception")

    @property
    def delays(self):
        return [
            later - earlier - self.run_s
            for earlier, later in zip(
                self.starts, self.starts[1:], strict=False
            )
        ]


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.records = []
        logger.remove()
        handler = logger.add(lambda line: self.records.append(line.record))
        self.addCleanup(logger.remove, handler)

    def supervise(self, seconds, *functions, **options):
        """Runs tasks named one, two, ... in virtual time."""

        async def main():
            self.supervisor = supervision.Supervisor(
                random.Random(1), trio.current_time
            )
            with anyio.move_on_after(seconds):
                async with anyio.create_task_group() as tasks:
                    for name, function in zip(
                        ("one", "two"), functions, strict=False
                    ):
                        self.supervisor.start(tasks, name, function, **options)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_failing_task_is_restarted_beside_one_that_goes_on(self):
        failing, sound = Crashing(run_s=1.0), Crashing(run_s=1e6)
        self.supervise(100.0, failing.run, sound.run)
        self.assertGreater(len(failing.starts), 8)
        self.assertEqual(len(sound.starts), 1)
        self.assertEqual(
            self.supervisor.failures, {"one": len(failing.starts), "two": 0}
        )

    def test_delay_of_restarts_grows_up_to_its_bound(self):
        failing = Crashing()
        self.supervise(100.0, failing.run)
        self.assertLessEqual(failing.delays[0], 0.1)
        self.assertLessEqual(max(failing.delays), 10.0)
        self.assertGreaterEqual(min(failing.delays[7:]), 5.0)
        self.assertGreater(len(set(failing.delays[8:])), 1)

    def test_task_that_is_needed_soon_is_restarted_within_its_own_bound(self):
        failing = Crashing()
        self.supervise(100.0, failing.run, max_backoff_s=1.0)
        self.assertLessEqual(max(failing.delays), 1.0)

    def test_task_that_had_run_well_is_restarted_soon(self):
        failing = Crashing(run_s=supervision.STABLE_RUN_S)
        self.supervise(1000.0, failing.run)
        self.assertLessEqual(max(failing.delays), 0.11)

    def test_task_that_returns_unexpectedly_is_restarted(self):
        returning = Crashing(run_s=1.0, error=None)
        self.supervise(10.0, returning.run)
        self.assertGreater(len(returning.starts), 2)
        self.assertEqual(self.records[0]["extra"]["reason"], "returned")

    def test_complete_task_is_not_restarted(self):
        returning = Crashing(error=None)
        self.supervise(10.0, returning.run, may_return=lambda: True)
        self.assertEqual(len(returning.starts), 1)
        self.assertEqual(self.supervisor.failures, {"one": 0})

    def test_failures_in_quick_succession_are_not_all_logged(self):
        failing = Crashing()
        self.supervise(600.0, failing.run, max_backoff_s=0.1)
        self.assertGreater(len(failing.starts), 6000)
        self.assertLessEqual(
            len(self.records),
            supervision.LOG_BURST + 600 / supervision.LOG_INTERVAL_S,
        )
        self.assertGreater(self.records[-1]["extra"]["count"], 5000)

    def test_line_names_task_exception_and_delay(self):
        failing = Crashing()
        self.supervise(1.0, failing.run)
        first = self.records[0]
        self.assertEqual(first["message"], "background task failed")
        self.assertEqual(first["extra"]["name"], "one")
        self.assertIs(first["exception"].type, RecursionError)
        self.assertAlmostEqual(
            first["extra"]["seconds"], failing.delays[0], delta=0.001
        )

    def test_exceptions_that_end_a_program_pass_through(self):
        with self.assertRaises(BaseExceptionGroup) as raised:
            self.supervise(1.0, Crashing(error=SystemExit).run)
        self.assertIsInstance(raised.exception.exceptions[0], SystemExit)

    def test_failing_part_does_not_end_the_others(self):
        async def main():
            supervisor = supervision.Supervisor()
            done = []

            async def fail():
                await anyio.sleep(0.1)
                raise KeyError("part")

            async def work():
                await anyio.sleep(0.2)
                done.append(True)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(supervisor.run_once, "part", fail)
                tasks.start_soon(supervisor.run_once, "part", work)
            supervisor.call("step", done.remove, "absent")
            return done, dict(supervisor.failures)

        done, failures = trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        self.assertEqual(done, [True])
        self.assertEqual(failures, {"part": 1, "step": 1})

    def test_future_cancelled_by_others_does_not_end_the_tasks(self):
        async def main():
            supervisor = supervision.Supervisor()
            starts = []

            async def wait():
                starts.append(True)
                future = asyncio.get_running_loop().create_future()
                asyncio.get_running_loop().call_later(0.01, future.cancel)
                await future

            with anyio.move_on_after(1.0) as scope:
                async with anyio.create_task_group() as tasks:
                    supervisor.start(tasks, "one", wait)
            return len(starts), scope.cancelled_caught

        count, was_cancelled = anyio.run(main)
        self.assertGreater(count, 2)
        self.assertTrue(was_cancelled)

    def test_cancellation_ends_a_task_at_once(self):
        async def main():
            supervisor = supervision.Supervisor()
            async with anyio.create_task_group() as tasks:
                supervisor.start(tasks, "one", anyio.sleep_forever)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            return dict(supervisor.failures)

        self.assertEqual(anyio.run(main), {"one": 0})
        self.assertEqual(trio.run(main), {"one": 0})


if __name__ == "__main__":
    unittest.main()
