"""No unexpected exception in a background task ends a daemon."""

import os
import random
import signal
import time
import unittest

import anyio
import capnp
import httpcore
from loguru import logger

from cardamomfork._internal import daemon_program
from cardamomfork._internal import embedded
from cardamomfork._internal import supervision
from cardamomfork._internal.composition import process as process_module
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.models import settings as settings_models

RESTARTED_WITHIN_S = 1.5
START_TIMEOUT_S = 10.0
PROMPT = b'{"model": "demo-model", "prompt": "Hello", "max_tokens": 3}'
TASKS = (
    "boot id",
    "callers' server",
    "cancellations",
    "claim commits",
    "configuration follower",
    "configuration lag",
    "configuration poll",
    "configuration watch",
    "dispatch queue",
    "engine observer",
    "idle streams",
    "metrics push",
    "operators' server",
    "order lease",
    "order runner",
    "peer probes",
    "peering",
    "peers' server",
    "planned stop",
    "pushes",
    "remote exchanges",
    "reservations",
    "seeds",
    "signals",
    "stream heartbeats",
    "target checks",
    "urgent exchanges",
    "watchdog",
)


class UnexpectedError(Exception):
    """An exception that no code expects."""


class FailingSupervisor(supervision.Supervisor):
    """A supervisor whose tasks can be made to fail at work."""

    def __init__(self):
        super().__init__(random.Random(1))
        self.starts = {}
        self.triggers = {}

    def start(self, tasks, name, function, *arguments, **options):
        async def fail():
            await self.triggers[name].wait()
            raise UnexpectedError

        async def run():
            self.triggers[name] = anyio.Event()
            self.starts[name] = self.starts.get(name, 0) + 1
            async with anyio.create_task_group() as group:
                group.start_soon(fail)
                await function(*arguments)
                group.cancel_scope.cancel()

        super().start(tasks, name, run, **options)


class PortRecorder:
    """Finds the callers' port in the log."""

    def __init__(self):
        self.port = 0
        self.messages = []

    def __call__(self, line):
        message = line.record["message"]
        self.messages.append(message)
        if message.startswith("serving callers on "):
            self.port = int(message.rsplit(":", 1)[1])


class FailingTasksTest(unittest.TestCase):
    maxDiff = None

    def test_daemon_serves_on_whichever_background_task_fails(self):
        self.recorder = PortRecorder()
        logger.remove()
        self.addCleanup(logger.remove, logger.add(self.recorder))
        anyio.run(self.main, backend_options=event_loop.BACKEND_OPTIONS)
        self.assertIn("stopped", self.recorder.messages)

    async def main(self):
        settings = settings_models.DaemonSettings(
            embedded=True,
            callers=settings_models.CallerSettings(port=0),
            peers=settings_models.PeerSettings(port=0, seeds=("127.0.0.1:9",)),
            operators=settings_models.OperatorSettings(port=0),
            telemetry=settings_models.TelemetrySettings(
                otlp_endpoint="http://127.0.0.1:9"
            ),
        )
        self.supervisor = FailingSupervisor()
        signals = signal_queue.SignalQueue()
        for number in signal_queue.HANDLED_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        signals.install()
        async with (
            capnp.kj_loop(),
            embedded.running_if_enabled(settings) as environment,
        ):
            process = process_module.make_process(
                environment.settings, self.supervisor
            )
            await environment.configure(process.platform.store)
            serving = daemon_program.ServingProcess(
                process,
                environment.wrap_verifier(process.serving.keys),
                signals,
                None,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serving.run)
                await self.wait_until(self.serves, START_TIMEOUT_S, "start")
                names = sorted(self.supervisor.starts)
                for name in names:
                    await self.check_failure(name)
                os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(names, sorted(TASKS))
        self.assertEqual(
            {n: c for n, c in self.supervisor.failures.items() if c},
            dict.fromkeys(names, 1),
        )

    async def check_failure(self, name):
        starts = self.supervisor.starts[name]
        self.supervisor.triggers[name].set()

        async def is_restarted():
            return self.supervisor.starts[name] > starts

        await self.wait_until(is_restarted, RESTARTED_WITHIN_S, name)
        await self.wait_until(self.serves, RESTARTED_WITHIN_S, name)

    async def serves(self):
        if not self.recorder.port:
            return False
        url = f"http://127.0.0.1:{self.recorder.port}/v1/completions"
        headers = [("Authorization", f"Bearer {embedded.ACCOUNT_KEY}")]
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request(
                    "POST", url, headers=headers, content=PROMPT
                )
        except httpcore.NetworkError:
            return False
        return answer.status == 200

    async def wait_until(self, check, within_s, subject):
        give_up_at = time.monotonic() + within_s
        while not await check():
            self.assertLess(time.monotonic(), give_up_at, subject)
            await anyio.sleep(0.02)


if __name__ == "__main__":
    unittest.main()
