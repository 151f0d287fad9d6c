"""Real processes; some instances lose their links to all targets.

`python -m tests.lib.isolated_fleet --seed 1 --seeds 20` runs seeds with random
conditions and prints what each gave.
"""

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import time

import attrs

from tests.lib import crashing_fleet
from tests.lib import linked_entry
from tests.soak import callers
from tests.soak import processes
from tests.soak import proxy

STABLE_S = 3.0
"""Time from the start of a cut from which on requests count."""
TRY_S = 2.0
"""Time limit of each request, which is sent once."""
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
DATA_CENTRES = "abc"
WARM_UP_S = 2.0
CUT_S = 10.0
RESTORED_S = 3.0
PAUSE_S = 0.03
MIN_DISTURBED = 2
MAX_DISTURBANCE_PAUSE_S = 3.0
MAX_FREEZE_S = 2.0
SILENT = "silent"
RESET = "reset"
REFUSED = "refused"
CUT_KINDS = (SILENT, RESET, REFUSED)
_CONNECTION_FAULTS = {
    SILENT: proxy.ConnectionFault.SILENCE,
    RESET: proxy.ConnectionFault.RESET,
    REFUSED: proxy.ConnectionFault.NONE,
}


@attrs.frozen
class Options:
    """Conditions of a run.

    Attributes:
        instances: Number of entry instances.
        cut: Number of instances that are cut off from all targets.
        how: What happens to their connections.
        engines: Number of engines.
        cuts: Number of cuts, one after the other.
        pause_s: Mean time between two requests.
    """

    instances: int = 6
    cut: int = 3
    how: str = SILENT
    engines: int = 6
    cuts: int = 1
    pause_s: float = PAUSE_S


@attrs.define
class Tally:
    """Requests at some instances.

    Attributes:
        served: Number of requests with a complete success.
        total: Number of requests.
    """

    served: int = 0
    total: int = 0

    @property
    def failed(self):
        return self.total - self.served

    @property
    def share(self):
        return self.served / self.total if self.total else 1.0


@attrs.define
class Outcome:
    """What a run gave.

    Attributes:
        deployment: The stopped deployment.
        calls: All requests.
        cut: Requests at instances that were cut off at that time.
        others: Requests at the others at that time.
        restored: Requests after the last cut.
        cut_calls: Requests at instances that were cut off at that time.
    """

    deployment: processes.Deployment
    calls: list
    cut: Tally = attrs.field(factory=Tally)
    others: Tally = attrs.field(factory=Tally)
    restored: Tally = attrs.field(factory=Tally)
    cut_calls: list = attrs.field(factory=list)

    @property
    def is_served_less(self):
        """Whether callers of instances that were cut off were served less."""
        failed = self.cut.failed + self.others.failed
        total = self.cut.total + self.others.total
        return (
            self.cut.share < MIN_SERVED_RATIO * self.others.share
            and failed > MAX_FAILED + MAX_FAILED_FRACTION * total
        )

    @property
    def repeated_once_runs(self):
        """Ids of requests that must run once and ran more than once."""
        once = {call.request_id for call in self.calls if call.kind == "once"}
        ran = [run[1] for run in self.deployment.runs() if run[1] in once]
        return sorted({one for one in ran if ran.count(one) > 1})

    @property
    def run_although_refused(self):
        """Ids of requests with a status that says "not run", which ran."""
        ran = {run[1] for run in self.deployment.runs()}
        return sorted(
            call.request_id
            for call in self.calls
            if call.status in callers.NOT_RUN_STATUSES
            and call.request_id in ran
        )


class IsolatedDeployment(processes.Deployment):
    """A deployment in which each instance has links of its own to targets."""

    def __init__(self, seed, options):
        self._link_paths = {}
        self._links = {}
        super().__init__(seed, options.instances, options.engines, 2)

    def data_centre_of(self, name):
        number = int(name.rpartition("-")[2])
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def cut_off(self, entry, how):
        """Cuts an instance off from all targets."""
        mode = linked_entry.REFUSE if how == REFUSED else linked_entry.HANG
        self._set_mode(entry, mode)
        for link in self._links[entry]:
            link.set_fault(_CONNECTION_FAULTS[how])

    def restore(self, entry):
        """Ends the cut of an instance."""
        for link in self._links[entry]:
            link.set_fault(proxy.ConnectionFault.NONE)
        self._set_mode(entry, "")

    def _set_mode(self, entry, mode):
        path = self._link_paths[entry].with_suffix(linked_entry.MODE_SUFFIX)
        path.write_text(mode)

    def _make_entry(self, name, path):
        links_path = pathlib.Path(self._directory.name) / f"{name}.links"
        links_path.with_suffix(linked_entry.MODE_SUFFIX).write_text("")
        ports = {}
        self._links[name] = []
        for target in self.targets:
            advertised = self.proxies[target].port
            link = proxy.Proxy(next(self._ports), advertised, self.rng)
            ports[str(advertised)] = link.port
            self._links[name].append(link)
            self.proxies[f"{name}-{target}"] = link
        links_path.write_text(json.dumps(ports))
        self._link_paths[name] = links_path
        entry = super()._make_entry(name, path)
        return processes.Process(
            ("-m", linked_entry.__name__),
            {
                **entry.environment,
                linked_entry.LINKS_VARIABLE: str(links_path),
            },
        )


async def run(seed, options, act=None):
    """Sends load to a deployment while instances are cut off.

    Args:
        seed: Seed of the random generators.
        options: Conditions of the run.
        act: Coroutine function that disturbs the deployment during each cut.

    Returns:
        The outcome.
    """
    deployment = IsolatedDeployment(seed, options)
    generator = callers.LoadGenerator(deployment, options.pause_s, TRY_S)
    outcome = Outcome(deployment, generator.finished)
    periods = []
    try:
        await deployment.start()
        await crashing_fleet.wait_until_served(deployment, generator)
        load = asyncio.create_task(generator.run())
        await asyncio.sleep(WARM_UP_S)
        for _ in range(options.cuts):
            entries = deployment.rng.sample(
                sorted(deployment.entries), options.cut
            )
            for entry in entries:
                deployment.cut_off(entry, options.how)
            cut_at = time.monotonic()
            disturbance = asyncio.create_task(
                (act or _do_nothing)(deployment, entries)
            )
            await asyncio.sleep(CUT_S)
            disturbance.cancel()
            await asyncio.gather(disturbance, return_exceptions=True)
            for entry in entries:
                deployment.restore(entry)
            periods.append((cut_at, time.monotonic(), frozenset(entries)))
            await asyncio.sleep(RESTORED_S)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        await generator.finish()
    finally:
        await deployment.stop()
    for call in generator.finished:
        _count(outcome, call, periods)
    return outcome


async def disturb_others(deployment, entries):
    """Ends and freezes instances that are not cut off, until cancelled."""
    rng = random.Random(deployment.rng.random())
    others = sorted(set(deployment.entries) - set(entries))
    if len(others) < MIN_DISTURBED:
        return
    while True:
        await asyncio.sleep(rng.random() * MAX_DISTURBANCE_PAUSE_S)
        process = deployment.entries[rng.choice(others)]
        signal_number = rng.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        )
        process.signal(signal_number)
        try:
            await asyncio.sleep(rng.random() * MAX_FREEZE_S)
        finally:
            # Also if cancelled, so that the instance serves after the cut.
            if signal_number == signal.SIGSTOP:
                process.signal(signal.SIGCONT)
            else:
                await process.wait()
                await process.start()


async def _do_nothing(deployment, entries):
    """Disturbs nothing."""
    del deployment, entries


def _count(outcome, call, periods):
    """Counts a call in the tally of its time and its instance."""
    is_served = call.status == callers.OK and call.is_complete
    for cut_at, restored_at, entries in periods:
        if cut_at + STABLE_S <= call.sent_at < restored_at - TRY_S:
            tally = outcome.others
            if call.entry in entries:
                tally = outcome.cut
                outcome.cut_calls.append(call)
            break
    else:
        if call.sent_at < periods[-1][1]:
            return
        tally = outcome.restored
    tally.total += 1
    tally.served += is_served


def draw_options(seed):
    """Returns random conditions for a seed."""
    rng = random.Random(seed)
    instances = rng.choice((3, 6, 9))
    return Options(
        instances=instances,
        cut=rng.randint(1, instances - 1),
        how=rng.choice(CUT_KINDS),
        engines=rng.choice((4, 6, 10)),
        cuts=rng.choice((1, 2)),
        pause_s=rng.choice((0.03, 0.06)),
    )


def main():
    """Runs the seeds; returns 1 if one breaks a rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--disturb", action="store_true")
    arguments = parser.parse_args()
    act = disturb_others if arguments.disturb else None
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = draw_options(seed)
        outcome = asyncio.run(run(seed, options, act))
        broken += bool(
            outcome.is_served_less
            or outcome.repeated_once_runs
            or outcome.run_although_refused
        )
        print(
            f"seed {seed}: cut {outcome.cut}, others {outcome.others},"
            f" restored {outcome.restored}, ran twice"
            f" {len(outcome.repeated_once_runs)}, ran although refused"
            f" {len(outcome.run_although_refused)}, {options}",
            flush=True,
        )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
