"""Runs the soak: `python -m tests.soak.run --seed 1 --seconds 20`.

Starts the real programs, sends requests while faults come and go, and checks
what callers and targets see. Prints each fault and each broken promise; the
exit status is 1 if a promise is broken.
"""

import argparse
import asyncio
import collections
import signal
import sys
import time

from tests.soak import callers
from tests.soak import faults
from tests.soak import processes

RECOVERY_S = 12.0
"""Time after the last fault in which service must be back."""
FREE_S = 4.5
"""Time after the last request in which engines' memory must be free."""
MIN_SERVED = 0.9
"""Share of requests that are served once all faults are over."""
CONFIGURATION_S = 2.5
"""Time in which a configuration is in force, once all faults are over."""
OK = 200
UNKNOWN_KEY = 401


async def soak(seed, seconds, sizes, say):
    """Runs one seed; returns the broken promises."""
    played = processes.Deployment(seed, *sizes)
    broken = []
    try:
        await played.start()
        sending = callers.LoadGenerator(played, 0.03)
        await _wait_until_served(sending, played)
        load = asyncio.create_task(sending.run())
        harmed = faults.FaultInjector(played, say)
        harming = asyncio.create_task(harmed.run())
        await asyncio.sleep(seconds)
        harming.cancel()
        await asyncio.gather(harming, return_exceptions=True)
        await harmed.heal()
        await asyncio.sleep(RECOVERY_S)
        healed_at = time.monotonic()
        broken += await _check_configuration(played, sending)
        await asyncio.sleep(3.0)
        load.cancel()
        await sending.finish()
        ended_at = time.monotonic()
        broken += check_calls(sending.done, played.runs())
        broken += _check_service(sending.done, healed_at)
        await asyncio.sleep(max(ended_at + FREE_S - time.monotonic(), 0.0))
        broken += _check_processes(played)
        statuses = collections.Counter(call.status for call in sending.done)
        say(f"seed {seed}: {len(sending.done)} requests, {dict(statuses)}")
    finally:
        await played.stop()
    return broken


def check_calls(done, runs):
    """Returns broken promises of single requests."""
    broken = []
    runs_of = collections.Counter(request_id for _, request_id, *_ in runs)
    known = {call.request_id for call in done}
    for call in done:
        name = f"{call.kind} {call.request_id} at {call.entry}"
        wrong = callers.check_answer(call)
        if wrong:
            broken.append(f"{name}: {wrong}")
        ran = runs_of[call.request_id]
        if call.kind == "once" and ran > 1:
            broken.append(f"{name}: ran {ran} times")
        if (
            call.kind == "once"
            and ran
            and call.status in callers.NOT_RUN_STATUSES
        ):
            broken.append(f"{name}: {call.status} though it ran")
        if ran > 2:
            broken.append(f"{name}: ran at {ran} targets")
        if call.status and call.ended_at - call.sent_at > (
            callers.TIMEOUT_S[call.kind] + callers.LATENESS_TOLERANCE_S
        ):
            broken.append(f"{name}: held {call.ended_at - call.sent_at:.1f} s")
    for target, request_id, account, _ in runs:
        if request_id not in known:
            broken.append(f"{target} ran {request_id}, which nobody sent")
        if account != "depot":
            broken.append(f"{request_id} ran for account {account!r}")
    return broken


def _check_service(done, healed_at):
    """Returns what is wrong with the service after all faults."""
    late = [call for call in done if call.sent_at > healed_at]
    late = [call for call in late if call.key == "key-1"]
    served = sum(call.status == OK and call.is_complete for call in late)
    if not late or served < MIN_SERVED * len(late):
        counted = collections.Counter(
            (call.kind, call.status, call.fault[:40]) for call in late
        )
        return [f"only {served} of {len(late)} served at the end: {counted}"]
    return []


async def _check_configuration(played, sending):
    """Returns what is wrong with a change once all faults are over."""
    broken = []
    for keys, wanted in ((["key-1", "key-3"], OK), (["key-1"], UNKNOWN_KEY)):
        played.keys["depot"] = keys
        await played.change()
        await asyncio.sleep(CONFIGURATION_S)
        for entry in played.entries:
            call = await sending.send(entry, "safe", "key-3")
            if call.status != wanted:
                broken.append(
                    f"{entry} answers {call.status} {call.fault} for key-3"
                    f" under {keys}"
                )
    return broken


def _check_processes(played):
    """Returns what is wrong with the processes themselves."""
    broken = []
    for name, process in played.entries.items():
        if not process.is_running:
            broken.append(f"{name} has ended by itself")
    broken += [
        f"log: {line[:300]}" for line in played.entry_lines("ended by an error")
    ]
    return broken


async def _wait_until_served(sending, played):
    """Waits until each instance serves."""
    limit = time.monotonic() + processes.START_S
    for entry in played.entries:
        while (await sending.send(entry, "safe")).status != OK:
            if time.monotonic() > limit:
                raise AssertionError(f"{entry} does not serve")
            await asyncio.sleep(0.1)


def main():
    """Runs seeds one after the other."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--ledgers", type=int, default=2)
    asked = parser.parse_args()
    # The processes that the soak started end with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sizes = (asked.instances, asked.engines, asked.ledgers)
    failed = []
    for seed in range(asked.seed, asked.seed + asked.seeds):
        broken = asyncio.run(soak(seed, asked.seconds, sizes, print))
        for line in broken:
            print(f"BROKEN seed {seed}: {line}")
        if broken:
            failed.append(seed)
    print(f"{asked.seeds} seeds, broken: {failed or 'none'}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
