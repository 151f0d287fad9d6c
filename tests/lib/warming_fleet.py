"""Real processes, and engines that return cold while requests arrive.

`python -m tests.lib.warming_fleet --seed 1 --seeds 20` runs seeds with random
conditions, restarts and pauses of instances, and prints what each gave.
"""

import argparse
import asyncio
import json
import random
import sys
import time

import attrs

from tests.lib import crashing_fleet
from tests.soak import callers
from tests.soak import processes

WINDOW_S = 1.0
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 5
SETTLE_S = 6.0
"""Time for which all instances know each other before the engines return.
Longer than a new owner issues no permits."""
AWAY_S = 1.0


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        cold: Number of engines that return cold.
        warm: Number of engines that stay warm.
        cold_per_s: Requests a second that a cold engine handles.
        cold_s: Time for which it is cold.
        pause_s: Mean time between two requests.
    """

    instances: int = 6
    cold: int = 2
    warm: int = 0
    cold_per_s: float = 6.0
    cold_s: float = 8.0
    pause_s: float = 0.02

    @property
    def allowed(self):
        """Most requests that may reach a cold engine within a second."""
        return WINDOW_FACTOR * self.cold_per_s + WINDOW_EXTRA


class WarmingDeployment(processes.Deployment):
    """A deployment in which some engines return cold."""

    def __init__(self, seed, options):
        self.options = options
        self.services = tuple(
            service
            | (
                {"coldPerS": options.cold_per_s, "coldStartS": options.cold_s}
                if service["name"] == "engines"
                else {}
            )
            for service in processes.SERVICES
        )
        super().__init__(seed, options.instances, options.warm, 1)
        self._cold_ports = {
            f"cold-{number}": next(self._ports)
            for number in range(options.cold)
        }
        self.returned_at = {}
        for name, port in self._cold_ports.items():
            self.targets[name] = self._make_target(name, "engines", port, port)

    async def return_cold(self):
        """Restarts engines, which are cold afterwards."""
        for name in self._cold_ports:
            await self.targets[name].kill()
        await asyncio.sleep(AWAY_S)
        for name, port in self._cold_ports.items():
            self.targets[name] = self._make_target(
                name,
                "engines",
                port,
                port,
                f"--cold-s={self.options.cold_s}",
            )
            await self.targets[name].start()
            self.returned_at[name] = time.monotonic()

    def arrivals(self, name):
        """Returns the times at which requests reached a returned engine."""
        records = [
            json.loads(line)
            for _, line in self.targets[name].lines
            if line.startswith('{"r')
        ]
        return sorted(record["at"] for record in records)

    def most_in_a_window(self):
        """Returns the most requests that reached a cold engine in 1 s."""
        most = 0
        for name, returned_at in self.returned_at.items():
            times = [
                at
                for at in self.arrivals(name)
                if at < returned_at + self.options.cold_s
            ]
            for index, start in enumerate(times):
                within = [at for at in times[index:] if at < start + WINDOW_S]
                most = max(most, len(within))
        return most

    def used_share(self):
        """Returns the share of the cold engines' rate that was used."""
        options = self.options
        settled_s = 1.0
        counted = sum(
            returned_at + settled_s <= at < returned_at + options.cold_s
            for name, returned_at in self.returned_at.items()
            for at in self.arrivals(name)
        )
        return counted / (
            options.cold * options.cold_per_s * (options.cold_s - settled_s)
        )


async def run(seed, options, act=None):
    """Sends load to a deployment whose engines return cold.

    Args:
        seed: Seed of the random generators.
        options: Conditions of the run.
        act: Coroutine function that disturbs the deployment meanwhile.

    Returns:
        The deployment, stopped, and the finished calls.
    """
    deployment = WarmingDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        await asyncio.sleep(SETTLE_S)
        generator.finished.clear()
        tasks = [asyncio.create_task(generator.run())]
        if act is not None:
            tasks.append(asyncio.create_task(act(deployment)))
        await deployment.return_cold()
        await asyncio.sleep(options.cold_s + 1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await generator.finish()
    finally:
        await deployment.stop()
    return deployment, generator.finished


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    return Options(
        instances=rng.choice((3, 6, 9)),
        cold=rng.choice((1, 2, 4)),
        warm=rng.choice((0, 1, 3)),
        cold_per_s=rng.choice((1.0, 3.0, 6.0, 15.0)),
        cold_s=rng.choice((3.0, 8.0)),
        pause_s=rng.choice((0.01, 0.02, 0.05)),
    )


def main():
    """Runs the seeds; returns 1 if one breaks the rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--disturb", action="store_true")
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = draw_options(seed)
        act = crashing_fleet.disturb if arguments.disturb else None
        deployment, calls = asyncio.run(run(seed, options, act))
        most = deployment.most_in_a_window()
        broken += most > options.allowed
        served = sum(call.status == callers.OK for call in calls)
        print(
            f"seed {seed}: most {most} in {WINDOW_S:g} s,"
            f" allowed {options.allowed:g},"
            f" used {deployment.used_share():.2f}, served {served} of"
            f" {len(calls)}, {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
