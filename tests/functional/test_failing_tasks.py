"""No unexpected exception in a background task ends an entry process."""

import os
import signal
import time
import unittest
import unittest.mock

import anyio
import attrs
from loguru import logger

from cardamomfork._internal.gateway import process
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import store_client
from cardamomfork._internal.platform import wire_format
from tests.lib import small_site
from tests.soak import processes

RESTARTED_WITHIN_S = 1.5


class UnexpectedError(Exception):
    """An exception that no code expects."""


class FailingProcess(process.GatewayProcess):
    """An instance whose background tasks can be made to fail at work."""

    def __init__(self, path, store, signals):
        load_settings = node_settings.SettingsFile(path).load
        super().__init__(
            load_settings(),
            wire_format.WireFormat(),
            store,
            load_settings,
            signals,
        )
        self.starts = {}
        self.triggers = {}

    @property
    def background_tasks(self):
        return tuple(
            attrs.evolve(task, run=self._make_failing(task))
            for task in super().background_tasks
        )

    def _make_failing(self, task):
        async def fail():
            await self.triggers[task.name].wait()
            raise UnexpectedError

        async def run():
            self.triggers[task.name] = anyio.Event()
            self.starts[task.name] = self.starts.get(task.name, 0) + 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fail)
                await task.run()
                tasks.cancel_scope.cancel()

        return run


class FailingTasksTest(unittest.TestCase):
    def setUp(self):
        self.records = []
        logger.remove()
        handler = logger.add(lambda line: self.records.append(line.record))
        self.addCleanup(logger.remove, handler)
        self.signals = signal_queue.SignalQueue()
        for number in signal_queue.HANDLED_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.signals.install()

    def test_process_serves_on_whichever_background_task_fails(self):
        async def main():
            site = small_site.Site()
            site.entries.clear()
            await site.start()
            store = store_client.PlatformStore(
                settings_models.StoreSettings(
                    (f"{small_site.HOST}:{site.store_port}",), 1.5, prefix=""
                )
            )
            self.ports = site.ports["entry-0"]
            self.process = FailingProcess(
                site.paths["entry-0"], store, self.signals
            )
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.process.run)
                    await self.wait_until(
                        self.is_serving, processes.START_TIMEOUT_S
                    )
                    await self.fail_each()
                    await self.check_reports()
                    os.kill(os.getpid(), signal.SIGTERM)
            finally:
                await site.stop()

        anyio.run(main, backend_options=event_loop.BACKEND_OPTIONS)
        messages = [record["message"] for record in self.records]
        self.assertIn("stopped", messages)
        self.assertNotIn("grace period expired", messages)

    def test_failing_step_of_the_maintenance_skips_no_other(self):
        site = small_site.Site()
        self.addCleanup(site.release)
        instance = FailingProcess(site.paths["entry-0"], None, self.signals)
        known = instance._known
        steps = [
            (known.fleet_state, "expire"),
            (known.cold_targets, "update"),
            (instance._targets.access, "close_idle"),
            (instance._requests.retry_budget, "update_instances"),
        ]
        for owner, name in steps:
            step = unittest.mock.Mock(side_effect=UnexpectedError)
            setattr(owner, name, step)
        table = unittest.mock.PropertyMock(side_effect=UnexpectedError)
        self.enterContext(
            unittest.mock.patch.object(
                type(known.peer_table), "known_count", table
            )
        )

        async def main():
            with anyio.move_on_after(3.5 * process.MAINTENANCE_INTERVAL_S):
                await instance._run_maintenance()

        anyio.run(main)
        for owner, name in steps[:3]:
            self.assertGreaterEqual(getattr(owner, name).call_count, 2, name)
        self.assertGreaterEqual(table.call_count, 2)

    async def is_serving(self):
        status, _ = await small_site.get(
            self.ports.readiness, small_site.READINESS_PATH
        )
        return status == 200 and await small_site.serves(self.ports.callers)

    async def wait_until(self, check, within_s, subject=""):
        give_up_at = time.monotonic() + within_s
        while not await check():
            self.assertLess(time.monotonic(), give_up_at, subject)
            await anyio.sleep(0.02)

    async def fail_each(self):
        self.names = [task.name for task in self.process.background_tasks]
        self.assertGreater(len(self.names), 15)
        self.assertEqual(sorted(self.names), sorted(self.process.starts))
        for name in self.names:
            self.process.triggers[name].set()

            async def is_restarted(name=name):
                return self.process.starts[name] == 2

            await self.wait_until(is_restarted, RESTARTED_WITHIN_S, name)
            await self.wait_until(self.is_serving, RESTARTED_WITHIN_S, name)
            self.assertEqual(self.process.starts[name], 2, name)

    async def check_reports(self):
        failures = await small_site.count_failures(self.ports.metrics)
        self.assertEqual(
            failures, dict.fromkeys(self.names, 1) | {"event loop": 0}
        )
        logged = [
            record["extra"]["name"]
            for record in self.records
            if record["message"] == "background task failed"
        ]
        self.assertEqual(logged, self.names)
        _, dump = await small_site.get(self.ports.metrics, "/dump")
        self.assertIn('"background_task_failures"', dump)


if __name__ == "__main__":
    unittest.main()
