"""Real processes, and a request that crashes each engine that runs it.

`python -m tests.lib.crashing_fleet --seed 1 --seeds 50` runs seeds with random
conditions, restarts and pauses of instances, and prints what each gave.
"""

import argparse
import asyncio
import collections
import itertools
import json
import random
import signal
import sys
import time
import uuid

import attrs
import httpcore

from cardamomfork._internal.standins import platform_site
from tests.soak import callers
from tests.soak import processes

CRASH_WORD = "splinter"
CRASH_PART = "badc0de"
SETTLE_S = 3.0
"""Time after the third crash within which further runs are not counted."""
MAX_COUNTED_CRASHES = 3
SINGLE_ATTEMPT_PATH = "/single/"
"""Prefix of a route whose requests are sent to one engine only."""
TIMEOUT_S = 4.0
START_TIMEOUT_S = 20.0
LOAD_PAUSE_S = 0.05
MAX_LATE_RUNS = 3
"""Runs that the users' rule allows later than `SETTLE_S` after the third
crash."""
SHOWN_LINES = 30
"""Log lines that are shown of an instance that does not serve."""
SEED_S = 14.0
MAX_DISTURBANCE_PAUSE_S = 3.0
MAX_FREEZE_S = 2.0


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        engines: Number of engines.
        away_s: Time for which an engine is away after a crash.
        keeps_id: Whether an engine restarts under its id.
        ledgers: Number of targets that no request crashes.
        callers: Number of callers that repeat the crashing request, each when
            its last one has ended.
        pause_s: Time between two requests that crash engines.
        crash_events: Events that an engine writes before a part crashes it.
        path: Path of the request that crashes engines.
        harmless_s: Time from the construction of the deployment in which the
            part crashes no engine.
    """

    instances: int = 3
    engines: int = 10
    away_s: float = 3.0
    keeps_id: bool = True
    ledgers: int = 1
    callers: int = 0
    pause_s: float = 0.25
    crash_events: int = 0
    path: str = "/stream/crash"
    harmless_s: float = 0.0


class CrashingDeployment(processes.Deployment):
    """A deployment whose engines crash and are restarted by a supervisor."""

    routes = (
        *processes.ROUTES,
        platform_site.Route(SINGLE_ATTEMPT_PATH, "unsafe", "engines", 1500),
    )

    def __init__(self, seed, options):
        self.options = options
        self.harmful_from = time.monotonic() + options.harmless_s
        self._restarts = itertools.count(1)
        super().__init__(seed, options.instances, 0, options.ledgers)
        self._engine_ports = [next(self._ports) for _ in range(options.engines)]
        self._supervisors = []

    async def start(self):
        await super().start()
        self._supervisors = [
            asyncio.create_task(self._supervise(number, port))
            for number, port in enumerate(self._engine_ports)
        ]

    async def stop(self):
        for task in self._supervisors:
            task.cancel()
        await asyncio.gather(*self._supervisors, return_exceptions=True)
        await super().stop()

    def crash_times(self):
        """Returns the times at which engines crashed, in order."""
        return sorted(
            record["at"] for record in self._records() if "crash" in record
        )

    def late_runs(self):
        """Returns the number of runs that the users' rule counts."""
        crash_times = self.crash_times()
        if len(crash_times) < MAX_COUNTED_CRASHES:
            return 0
        since = crash_times[MAX_COUNTED_CRASHES - 1] + SETTLE_S
        return sum(at > since for at in crash_times)

    def _records(self):
        for process in self.targets.values():
            for _, line in process.lines:
                if line.startswith("{"):
                    yield json.loads(line)

    async def _supervise(self, number, port):
        name = f"engine-{number}"
        process = self._make_engine(name, port)
        while True:
            await process.start()
            await process.wait()
            await asyncio.sleep(self.options.away_s)
            if not self.options.keeps_id:
                name = f"engine-{number}-{next(self._restarts)}"
                process = self._make_engine(name, port)

    def _make_engine(self, name, port):
        process = self._make_target(
            name,
            "engines",
            port,
            port,
            f"--crash-word={CRASH_WORD}",
            f"--crash-part={CRASH_PART}",
            f"--crash-events={self.options.crash_events}",
            f"--crash-from={self.harmful_from}",
        )
        self.targets[name] = process
        return process


class CrashingCaller:
    """Sends the same crashing request again and again."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._tasks = set()
        self.statuses = collections.Counter()

    async def run(self):
        """Sends until cancelled."""
        if self._deployment.options.callers:
            await self._repeat()
        while True:
            entry = self._deployment.rng.choice(
                list(self._deployment.caller_ports)
            )
            task = asyncio.create_task(self.send(entry))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._deployment.options.pause_s)

    async def _repeat(self):
        """Sends from several callers, at all instances in turn."""
        entries = list(self._deployment.caller_ports)

        async def repeat(number):
            for entry in itertools.islice(
                itertools.cycle(entries), number, None
            ):
                await self.send(entry)
                await asyncio.sleep(self._deployment.options.pause_s)

        await asyncio.gather(
            *map(repeat, range(self._deployment.options.callers))
        )

    async def send(self, entry):
        """Sends the request once; returns its status, 0 without an answer."""
        port = self._deployment.caller_ports[entry]
        headers = {
            "Host": "soak.example",
            "X-Cardamomfork-Request-Id": uuid.uuid4().hex,
            "X-Cardamomfork-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
            "X-Cardamomfork-Token-Usage": "500,400",
            "Api-Key": "key-1",
        }
        status = 0
        try:
            async with (
                asyncio.timeout(TIMEOUT_S),
                httpcore.AsyncConnectionPool() as pool,
            ):
                response = await pool.request(
                    "POST",
                    f"http://127.0.0.1:{port}{self._deployment.options.path}",
                    headers=headers,
                    content=f"a {CRASH_WORD} board".encode(),
                )
                status = response.status
        except callers.CONNECTION_ERRORS:
            pass
        self.statuses[status] += 1
        return status

    async def finish(self):
        """Waits for all pending requests."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))


async def run(seed, seconds, options, act=None):
    """Repeats a crashing request beside other load.

    Args:
        seed: Seed of the random generators.
        seconds: Time for which the request is repeated.
        options: Conditions of the run.
        act: Coroutine function that disturbs the deployment meanwhile.

    Returns:
        The deployment, stopped, and the caller.
    """
    deployment = CrashingDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, LOAD_PAUSE_S)
    caller = CrashingCaller(deployment)
    try:
        await deployment.start()
        await wait_until_served(deployment, generator)
        tasks = [
            asyncio.create_task(generator.run()),
            asyncio.create_task(caller.run()),
        ]
        if act is not None:
            tasks.append(asyncio.create_task(act(deployment)))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await caller.finish()
        await generator.finish()
    finally:
        await deployment.stop()
    return deployment, caller


async def wait_until_served(deployment, generator):
    """Waits until each instance serves streams."""
    give_up_at = time.monotonic() + START_TIMEOUT_S
    for entry in deployment.entries:
        while (call := await generator.send(entry, "stream")).status != (
            callers.OK
        ):
            if time.monotonic() > give_up_at:
                lines = deployment.entries[entry].lines[-SHOWN_LINES:]
                raise AssertionError(
                    f"{entry} serves no stream: {call} {lines}"
                )
            await asyncio.sleep(0.1)


async def disturb(deployment):
    """Kills, terminates and pauses entry instances until cancelled."""
    rng = random.Random(deployment.rng.random())
    while True:
        await asyncio.sleep(rng.random() * MAX_DISTURBANCE_PAUSE_S)
        count = rng.choice((1, 1, len(deployment.entries)))
        chosen = rng.sample(sorted(deployment.entries), count)
        signal_number = rng.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        )
        processes_chosen = [deployment.entries[name] for name in chosen]
        for process in processes_chosen:
            process.signal(signal_number)
        if signal_number == signal.SIGSTOP:
            await asyncio.sleep(rng.random() * MAX_FREEZE_S)
            for process in processes_chosen:
                process.signal(signal.SIGCONT)
            continue
        for process in processes_chosen:
            await process.wait()
            await process.start()


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    return Options(
        instances=rng.choice((2, 3, 6)),
        engines=rng.choice((4, 10, 16)),
        away_s=rng.choice((0.1, 0.5, 1.0, 3.0, 5.0)),
        keeps_id=rng.random() < 0.5,
        pause_s=rng.choice((0.2, 0.5, 1.0, 2.0)),
    )


def main():
    """Runs the seeds; returns 1 if one breaks the rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = draw_options(seed)
        deployment, caller = asyncio.run(run(seed, SEED_S, options, disturb))
        late_runs = deployment.late_runs()
        broken += late_runs > MAX_LATE_RUNS
        starts = sum(each.starts for each in deployment.entries.values())
        print(
            f"seed {seed}: {len(deployment.crash_times())} crashes,"
            f" {late_runs} late, {starts} starts, {dict(caller.statuses)},"
            f" {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
