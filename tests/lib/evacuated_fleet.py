"""Real processes in two data centres, one of which is evacuated.

`python -m tests.lib.evacuated_fleet --seed 1 --seeds 20` runs seeds with random
conditions and prints what each gave.
"""

import argparse
import asyncio
import random
import sys
import time

import attrs

from cardamomfork._internal.contracts import store as store_contract
from tests.lib import crashing_fleet
from tests.soak import callers
from tests.soak import processes
from tests.soak import proxy

DATA_CENTRES = "ab"
EVACUATED = "b"
KEY = f"op/evacuate/{EVACUATED}"
BOUND_S = 5.0
STORE_BACK_S = 3.0
"""Time after the return of the store in which the end of an order is known."""
WARM_UP_S = 1.5
PAUSE_S = 0.02
TARGETS_PER_SERVICE = 4


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        turned_away: Number of instances that the store turns away from before
            the first order until the end of the last one.
        restarted: Number of instances that are killed and started again while
            an order is in force.
        orders: Number of orders, one after the other.
        order_s: Time for which an order is in force.
        is_down: Whether the store turns away all instances just after each
            order is known.
        pause_s: Mean time between two requests.
    """

    instances: int = 4
    turned_away: int = 1
    restarted: int = 0
    orders: int = 1
    order_s: float = 4.0
    is_down: bool = False
    pause_s: float = PAUSE_S


class EvacuatedDeployment(processes.Deployment):
    """A deployment whose targets are in two data centres."""

    evacuate_ms = int(BOUND_S * 1000)

    def __init__(self, seed, options):
        self.periods = []
        super().__init__(seed, options.instances, 0, 0)
        for number in range(TARGETS_PER_SERVICE):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            for service in ("engines", "ledger"):
                self._add_target(
                    f"{service}-{data_centre}-{number}",
                    service,
                    f"--data-centre={data_centre}",
                )

    def data_centre_of(self, name):
        number = int(name.rpartition("-")[2])
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    async def order(self):
        """Writes the order; returns when the store has acknowledged it."""
        written = await self._client.put(
            KEY, b"{}", expected=store_contract.ABSENT
        )
        self.periods.append([time.monotonic(), float("inf")])
        return written.unwrap().version

    async def withdraw(self, version):
        """Removes the order."""
        self.periods[-1][1] = time.monotonic()
        (await self._client.delete(KEY, expected=version)).unwrap()

    def turn_away(self, entry):
        """Makes the store refuse an instance."""
        self.proxies[f"{entry}-store"].set_fault(proxy.ConnectionFault.REFUSE)

    def accept(self, entry):
        """Makes the store accept an instance again."""
        self.proxies[f"{entry}-store"].set_fault(proxy.ConnectionFault.NONE)

    def arrivals(self, after_s):
        """Returns the runs in the evacuated data centre while it was so.

        Args:
            after_s: Time after the acknowledgement of an order from which on
                runs count, in seconds.
        """
        return [
            (name, request_id, at - started_at)
            for name, request_id, _, at in self.runs()
            for started_at, ended_at in self.periods
            if f"-{EVACUATED}-" in name and started_at + after_s < at < ended_at
        ]

    def served_there(self, since):
        """Returns whether the data centre has run requests since a time."""
        return any(
            f"-{EVACUATED}-" in name and at > since
            for name, _, _, at in self.runs()
        )


async def run(seed, options):
    """Sends load while a data centre is evacuated.

    Returns:
        The deployment, stopped, and the finished calls.
    """
    deployment = EvacuatedDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s)
    rng = random.Random(seed)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        generator.finished.clear()
        load = asyncio.create_task(generator.run())
        await asyncio.sleep(WARM_UP_S)
        entries = sorted(deployment.entries)
        rng.shuffle(entries)
        turned_away = entries[: options.turned_away]
        restarted = entries[::-1][: options.restarted]
        for entry in turned_away:
            deployment.turn_away(entry)
        await asyncio.sleep(WARM_UP_S * rng.random())
        for _ in range(options.orders):
            await _play_order(deployment, options, turned_away, restarted)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await generator.finish()
    finally:
        await deployment.stop()
    return deployment, generator.finished


async def _play_order(deployment, options, turned_away, restarted):
    """Plays one evacuation, and waits until it has ended everywhere."""
    version = await deployment.order()
    if options.is_down:
        await asyncio.sleep(options.order_s / 4)
        for entry in deployment.entries:
            deployment.turn_away(entry)
    for entry in restarted:
        await deployment.entries[entry].kill()
        await deployment.entries[entry].start()
    await asyncio.sleep(options.order_s)
    await deployment.withdraw(version)
    for entry in set(deployment.entries) - set(turned_away):
        deployment.accept(entry)
    await asyncio.sleep(STORE_BACK_S)


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    instances = rng.choice((3, 4, 6))
    turned_away = rng.choice((0, 1, instances - 1))
    return Options(
        instances=instances,
        turned_away=turned_away,
        restarted=rng.choice((0, 1)) if turned_away < instances - 1 else 0,
        orders=rng.choice((1, 2)),
        order_s=rng.choice((6.0, 8.0)),
        is_down=rng.random() < 0.5,
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
        late = deployment.arrivals(BOUND_S)
        broken += bool(late)
        last = max((at for _, _, at in deployment.arrivals(0.0)), default=0.0)
        served = sum(call.status == callers.OK for call in calls)
        print(
            f"seed {seed}: {len(late)} arrivals later than {BOUND_S:g} s,"
            f" last after {last:.2f} s, served {served} of {len(calls)},"
            f" {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
