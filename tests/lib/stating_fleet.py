"""Real processes, and targets that ask for rest or say that they leave.

`python -m tests.lib.stating_fleet --seed 1 --seeds 20` runs seeds with random
conditions and prints what each gave.
"""

import argparse
import asyncio
import bisect
import collections
import json
import random
import sys
import time

import attrs

from tests.lib import crashing_fleet
from tests.soak import callers
from tests.soak import processes

REST_GRACE_S = 0.5
MAX_IN_REST = 2
DRAIN_S = 2.0
SAYS_LEAVING_AFTER_S = 4.0
SEED_S = 9.0


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        engines: Number of engines that serve.
        resting: Number of engines that turn each request away.
        rest_s: Time of rest that they ask for.
        leaving: Number of the engines that serve which say that they leave.
        pause_s: Mean time between two requests.
    """

    instances: int = 1
    engines: int = 1
    resting: int = 3
    rest_s: float = 3.0
    leaving: int = 0
    pause_s: float = 0.03


class StatingDeployment(processes.Deployment):
    """A deployment in which some engines state something in their answers."""

    def __init__(self, seed, options):
        self.options = options
        self.says_leaving_from = time.monotonic() + SAYS_LEAVING_AFTER_S
        self.load_started_at = 0.0
        super().__init__(
            seed, options.instances, options.engines - options.leaving, 1
        )
        self.resting = self._add(
            "resting", options.resting, f"--rest-s={options.rest_s}"
        )
        self.leaving = self._add(
            "leaving",
            options.leaving,
            f"--says-leaving-from={self.says_leaving_from}",
        )

    def _add(self, word, count, *arguments):
        names = [f"{word}-{number}" for number in range(count)]
        for name in names:
            port = next(self._ports)
            self.targets[name] = self._make_target(
                name, "engines", port, port, *arguments
            )
        return names

    def arrivals(self, name, word):
        """Yields the id and the time of each request at a target."""
        for _, line in self.targets[name].lines:
            if line.startswith(f'{{"{word}"'):
                record = json.loads(line)
                yield record[word], record["at"]

    def most_in_a_rest(self, calls):
        """Returns the most requests from an instance in a rest."""
        entries = {call.request_id: call.entry for call in calls}
        most = 0
        for name in self.resting:
            times = collections.defaultdict(list)
            for request_id, at in self.arrivals(name, "refused"):
                times[entries.get(request_id)].append(at)
            for one in times.values():
                one.sort()
                for at in one:
                    first = bisect.bisect(one, at + REST_GRACE_S)
                    last = bisect.bisect(one, at + self.options.rest_s)
                    most = max(most, last - first)
        return most

    def sent_after_leaving(self, calls):
        """Returns how many requests came too late to engines that leave."""
        by_id = {call.request_id: call for call in calls}
        count = 0
        for name in self.leaving:
            known_at = {}
            runs = sorted(self.arrivals(name, "run"), key=lambda run: run[1])
            for request_id, at in runs:
                call = by_id.get(request_id)
                if call is None or at < self.says_leaving_from:
                    continue
                if call.sent_at > known_at.get(call.entry, at) + DRAIN_S:
                    count += 1
                if call.is_complete:
                    known_at[call.entry] = min(
                        known_at.get(call.entry, call.ended_at), call.ended_at
                    )
        return count


async def run(seed, seconds, options):
    """Sends load; returns the stopped deployment and the finished calls."""
    deployment = StatingDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s)
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        deployment.load_started_at = time.monotonic()
        load = asyncio.create_task(generator.run())
        await asyncio.sleep(seconds)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await generator.finish()
    finally:
        await deployment.stop()
    return deployment, generator.finished


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    engines = rng.choice((1, 2, 4))
    return Options(
        instances=rng.choice((1, 3, 6)),
        engines=engines,
        resting=rng.choice((1, 2, 4)),
        rest_s=rng.choice((1.0, 3.0, 6.0)),
        leaving=rng.choice((0, engines // 2)),
        pause_s=rng.choice((0.02, 0.03, 0.06)),
    )


def main():
    """Runs the seeds; returns 1 if one breaks a rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = draw_options(seed)
        deployment, calls = asyncio.run(run(seed, SEED_S, options))
        most = deployment.most_in_a_rest(calls)
        late = deployment.sent_after_leaving(calls)
        broken += most > MAX_IN_REST or late > 0
        statuses = collections.Counter(call.status for call in calls)
        print(
            f"seed {seed}: most {most} in a rest, {late} after leaving,"
            f" {dict(statuses)}, {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
