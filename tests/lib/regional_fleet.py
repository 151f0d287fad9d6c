"""Real processes in three regions; a client account changes its regions.

`python -m tests.lib.regional_fleet --seed 1 --seeds 20` runs seeds with random
conditions and prints what each gave.
"""

import argparse
import asyncio
import random
import sys
import time

import attrs

from tests.lib import crashing_fleet
from tests.soak import callers
from tests.soak import processes

REGIONS = {"a": "east", "b": "west", "c": "south"}
ACCOUNT = "depot"
APPLIED_S = 4.0
"""Time within which a configuration must be in force."""


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        changes: Allowed regions, one list after the other.
        period_s: Time for which each is in force.
        pause_s: Mean time between two requests.
    """

    instances: int = 3
    changes: tuple = (("east",), ("west", "south"), ("nowhere",), ("west",))
    period_s: float = 3.0
    pause_s: float = 0.03


class RegionalDeployment(processes.Deployment):
    """A deployment with a data centre in each region."""

    regions = REGIONS

    def __init__(self, seed, options):
        self.periods = []
        super().__init__(seed, options.instances, 0, 0)
        for data_centre in REGIONS:
            for service in ("engines", "ledger"):
                self._add_target(
                    f"{service}-{data_centre}",
                    service,
                    f"--data-centre={data_centre}",
                )

    def data_centre_of(self, name):
        return "abc"[int(name.rpartition("-")[2]) % 3]

    async def allow(self, names):
        """Changes the allowed regions of the account."""
        self.allowed_regions = {ACCOUNT: list(names)}
        started_at = time.monotonic()
        await self.write_configuration()
        self.periods.append((started_at, frozenset(names)))

    def runs_outside(self, settle_s):
        """Returns the runs outside of the regions allowed at that time.

        Regions allowed within some time before also count.

        Args:
            settle_s: That time, in seconds.
        """
        outside = []
        for name, request_id, _, at in self.runs():
            region = REGIONS[name.rpartition("-")[2]]
            ends = [*(start for start, _ in self.periods[1:]), float("inf")]
            allowed = {
                one
                for (start, names), end in zip(self.periods, ends, strict=True)
                if start <= at < end + settle_s
                for one in names
            }
            is_settled = at > self.periods[0][0] + settle_s
            if is_settled and region not in allowed:
                outside.append((name, request_id, at))
        return outside


async def run(seed, options):
    """Sends load while the allowed regions change.

    Returns:
        The deployment, stopped, and the finished calls.
    """
    deployment = RegionalDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        generator.finished.clear()
        load = asyncio.create_task(generator.run())
        for names in options.changes:
            await deployment.allow(names)
            await asyncio.sleep(options.period_s)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await generator.finish()
    finally:
        await deployment.stop()
    return deployment, generator.finished


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    names = [*REGIONS.values(), "nowhere"]
    return Options(
        instances=rng.choice((3, 6)),
        changes=tuple(
            tuple(rng.sample(names, rng.randint(1, 3))) for _ in range(5)
        ),
        period_s=rng.choice((1.0, 3.0)),
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
        deployment, calls = asyncio.run(run(seed, options))
        late = deployment.runs_outside(APPLIED_S)
        broken += bool(late)
        served = sum(call.status == callers.OK for call in calls)
        print(
            f"seed {seed}: {len(late)} runs outside of the allowed regions,"
            f" served {served} of {len(calls)}, {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
