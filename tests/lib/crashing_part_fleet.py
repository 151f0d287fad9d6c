"""Real processes, and requests with a part that crashes engines.

No two requests with the part are alike. Sound requests share their account and
all other parts. `python -m tests.lib.crashing_part_fleet --seed 1 --seeds 50`
runs seeds with random conditions, restarts and pauses of instances.
"""

import argparse
import asyncio
import random
import sys
import time
import uuid

import attrs
import httpcore

from tests.lib import crashing_fleet
from tests.soak import callers

MAX_COUNTED_CRASHES = 5
SETTLE_S = crashing_fleet.SETTLE_S
MAX_LATE_RUNS = 3
MIN_SERVED_RATIO = 0.5
"""Part of the sound requests that must be served, relative to before."""
ROUTE_PART = "a0"
SHARED_PARTS = ("b1", "b2", "b3")
CALM_S = 5.0
SECONDS = 15.0
TIMEOUT_S = 6.0
MIN_SAMPLE = 20


@attrs.frozen
class Sent:
    """A finished request.

    Attributes:
        at: Monotonic time at which it was sent.
        is_crashing: Whether it had the part that crashes engines.
        status: HTTP status; 0 without an answer.
        is_complete: Whether the answer arrived completely.
    """

    at: float
    is_crashing: bool
    status: int
    is_complete: bool


class PartCaller:
    """Sends sound requests, and requests with the part that crashes engines."""

    def __init__(self, deployment, pause_s, sound_per_crashing):
        self._deployment = deployment
        self._rng = random.Random(deployment.rng.random())
        self._pause_s = pause_s
        self._sound_per_crashing = sound_per_crashing
        self._tasks = set()
        self.sends_crashing = False
        self.finished = []

    async def run(self):
        """Sends until cancelled."""
        while True:
            if self.sends_crashing:
                self._start(is_crashing=True)
            for _ in range(self._sound_per_crashing):
                await asyncio.sleep(self._pause_s / self._sound_per_crashing)
                self._start(is_crashing=False)

    async def finish(self):
        """Waits for all pending requests."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def served_ratio(self, since, until):
        """Returns the part of the sound requests of a span that were served.

        None if there are too few.
        """
        found = [
            sent.is_complete and sent.status == callers.OK
            for sent in self.finished
            if not sent.is_crashing and since <= sent.at < until
        ]
        return sum(found) / len(found) if len(found) >= MIN_SAMPLE else None

    def _start(self, *, is_crashing):
        task = asyncio.create_task(self._send(is_crashing))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_parts(self, is_crashing):
        parts = [ROUTE_PART, self._rng.choice(SHARED_PARTS)]
        if is_crashing:
            parts.insert(self._rng.randint(1, 2), crashing_fleet.CRASH_PART)
        return ",".join(f"{part}:100" for part in (*parts, uuid.uuid4().hex))

    async def _send(self, is_crashing):
        entry = self._rng.choice(list(self._deployment.caller_ports))
        port = self._deployment.caller_ports[entry]
        headers = {
            "Host": "soak.example",
            "X-Cardamomfork-Request-Id": uuid.uuid4().hex,
            "X-Cardamomfork-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
            "X-Cardamomfork-Token-Usage": "500,400",
            "X-Cardamomfork-Prefix-Hash": self._make_parts(is_crashing),
            "Api-Key": "key-1",
        }
        sent_at, status, is_complete = time.monotonic(), 0, False
        try:
            async with (
                asyncio.timeout(TIMEOUT_S),
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    "POST",
                    f"http://127.0.0.1:{port}/stream/{uuid.uuid4().hex}",
                    headers=headers,
                    content=uuid.uuid4().bytes,
                ) as response,
            ):
                status = response.status
                async for _ in response.aiter_stream():
                    pass
                is_complete = True
        except callers.CONNECTION_ERRORS:
            pass
        self.finished.append(Sent(sent_at, is_crashing, status, is_complete))


@attrs.frozen
class Result:
    """What a run gave.

    Attributes:
        crashes: Number of engines that crashed.
        late: Number of crashes later than `SETTLE_S` after the fifth.
        served_before: Part of the sound requests that were served before the
            first crash.
        served_after: The same from 2 x `SETTLE_S` after the fifth crash; None
            if there are too few.
    """

    crashes: int
    late: int
    served_before: float | None
    served_after: float | None

    @property
    def is_broken(self):
        """Whether one of the users' rules is broken."""
        return self.late > MAX_LATE_RUNS or (
            None not in (self.served_before, self.served_after)
            and self.served_after < MIN_SERVED_RATIO * self.served_before
        )


async def run(seed, options, sound_per_crashing=2, act=None):
    """Sends requests that crash engines beside sound ones.

    Args:
        seed: Seed of the random generators.
        options: Conditions of the run.
        sound_per_crashing: Sound requests for each one that crashes.
        act: Coroutine function that disturbs the deployment meanwhile.
    """
    deployment = crashing_fleet.CrashingDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, crashing_fleet.LOAD_PAUSE_S)
    caller = PartCaller(deployment, options.pause_s, sound_per_crashing)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        calm_at = time.monotonic()
        tasks = [asyncio.create_task(caller.run())]
        caller.sends_crashing = deployment.harmful_from > calm_at
        await asyncio.sleep(max(deployment.harmful_from - calm_at, CALM_S))
        caller.sends_crashing = True
        crashing_at = time.monotonic()
        if act is not None:
            tasks.append(asyncio.create_task(act(deployment)))
        await asyncio.sleep(SECONDS)
        ended_at = time.monotonic()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await caller.finish()
        await generator.finish()
    finally:
        await deployment.stop()
    times = deployment.crash_times()
    counted = times[:MAX_COUNTED_CRASHES]
    fifth_at = counted[-1] if counted else ended_at
    late = 0
    if len(times) >= MAX_COUNTED_CRASHES:
        late = sum(at > fifth_at + SETTLE_S for at in times)
    return Result(
        len(times),
        late,
        caller.served_ratio(calm_at, crashing_at),
        caller.served_ratio(fifth_at + 2 * SETTLE_S, ended_at),
    )


def main():
    """Runs the seeds; returns 1 if one breaks a rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--disturb", action="store_true")
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = attrs.evolve(
            crashing_fleet.draw_options(seed),
            pause_s=random.Random(seed).choice((0.1, 0.25, 0.5, 1.0)),
            crash_events=random.Random(f"events {seed}").choice((0, 0, 1, 3)),
            harmless_s=random.Random(f"from {seed}").choice((0.0, 0.0, 15.0)),
        )
        act = crashing_fleet.disturb if arguments.disturb else None
        result = asyncio.run(run(seed, options, act=act))
        broken += result.is_broken
        mark = "BROKEN " if result.is_broken else ""
        print(f"seed {seed}: {mark}{result}, {options}", flush=True)
    print(f"{broken} of {arguments.seeds} seeds broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
