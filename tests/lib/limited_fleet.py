"""Real processes, and targets that name a limit on the rate of requests.

`python -m tests.lib.limited_fleet --seed 1 --seeds 20` runs seeds with random
limits, restarts and pauses of instances, and prints what each gave.
"""

import argparse
import asyncio
import json
import random
import sys

import attrs

from tests.lib import crashing_fleet
from tests.soak import callers
from tests.soak import processes

SETTLE_S = 3.0
"""Time after the first answer in which requests are not counted."""
WINDOW_S = 4.0
WINDOW_FACTOR = 1.5
WINDOW_EXTRA = 5
SEED_S = 16.0


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        limited: Number of engines with a limit.
        unlimited: Number of engines without one.
        limit_per_s: The limit of each limited engine.
        pause_s: Mean time between two requests.
    """

    instances: int = 6
    limited: int = 2
    unlimited: int = 4
    limit_per_s: float = 1.0
    pause_s: float = 0.03


class LimitedDeployment(processes.Deployment):
    """A deployment in which some engines name a limit."""

    def __init__(self, seed, options):
        self.options = options
        super().__init__(seed, options.instances, options.unlimited, 1)
        for number in range(options.limited):
            name = f"limited-{number}"
            port = next(self._ports)
            self.targets[name] = self._make_target(
                name,
                "engines",
                port,
                port,
                f"--rate-limit-per-s={options.limit_per_s}",
            )

    def arrivals(self, name):
        """Returns the times at which requests reached an engine, in order."""
        records = [
            json.loads(line)
            for _, line in self.targets[name].lines
            if line.startswith('{"r')
        ]
        return sorted(record["at"] for record in records)

    def most_in_a_window(self):
        """Returns the most requests that reached a limited engine in 4 s."""
        most = 0
        for number in range(self.options.limited):
            times = self.arrivals(f"limited-{number}")
            counted = [at for at in times if at > times[0] + SETTLE_S]
            for index, start in enumerate(counted):
                within = [at for at in counted[index:] if at < start + WINDOW_S]
                most = max(most, len(within))
        return most

    def allowed(self):
        """Returns the most requests allowed at a limited engine in 4 s."""
        return (
            WINDOW_FACTOR * WINDOW_S * self.options.limit_per_s + WINDOW_EXTRA
        )


async def run(seed, seconds, options, act=None):
    """Sends load to a deployment with limited engines.

    Args:
        seed: Seed of the random generators.
        seconds: Duration of the load.
        options: Conditions of the run.
        act: Coroutine function that disturbs the deployment meanwhile.

    Returns:
        The deployment, stopped, and the finished calls.
    """
    deployment = LimitedDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        generator.finished.clear()
        tasks = [asyncio.create_task(generator.run())]
        if act is not None:
            tasks.append(asyncio.create_task(act(deployment)))
        await asyncio.sleep(seconds)
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
        limited=rng.choice((1, 2, 6)),
        unlimited=rng.choice((0, 2, 4)),
        limit_per_s=rng.choice((0.5, 1.0, 1.3, 3.0, 8.0)),
        pause_s=rng.choice((0.02, 0.05, 0.1)),
    )


def main():
    """Runs the seeds; returns 1 if one breaks the rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--instances", type=int)
    parser.add_argument("--disturb", action="store_true")
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = draw_options(seed)
        if arguments.instances:
            options = attrs.evolve(options, instances=arguments.instances)
        act = crashing_fleet.disturb if arguments.disturb else None
        deployment, calls = asyncio.run(run(seed, SEED_S, options, act))
        most = deployment.most_in_a_window()
        broken += most > deployment.allowed()
        served = sum(call.status == callers.OK for call in calls)
        print(
            f"seed {seed}: most {most} in {WINDOW_S:g} s,"
            f" allowed {deployment.allowed():g}, served {served} of"
            f" {len(calls)}, {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
