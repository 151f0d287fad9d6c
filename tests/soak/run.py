"""Runs the soak: `python -m tests.soak.run --seed 1 --seconds 20`.

Starts the real programs, sends requests while faults are injected, and checks
the responses that callers get and the runs that targets log. Prints each fault
and each violation; the exit status is 1 if there is a violation.
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
"""Time after the last fault within which requests must be served again."""
MEMORY_RELEASE_S = 4.5
"""Time after the last request within which engines must free their memory."""
MIN_SERVED_FRACTION = 0.9
"""Minimum fraction of requests served after the recovery."""
CONFIGURATION_APPLY_S = 2.5
"""Time within which instances apply a configuration after the recovery."""
OK = 200
UNAUTHORIZED = 401


async def soak(seed, seconds, sizes, report):
    """Runs one seed.

    Args:
        seed: Seed of the random generators.
        seconds: Duration of the fault injection.
        sizes: Numbers of instances, engines and ledgers.
        report: Called with each line to print.

    Returns:
        A description of each violation.
    """
    deployment = processes.Deployment(seed, *sizes)
    violations = []
    tasks = []
    try:
        await deployment.start()
        generator = callers.LoadGenerator(deployment, 0.03)
        await _wait_until_served(generator, deployment)
        load_task = asyncio.create_task(generator.run())
        injector = faults.FaultInjector(deployment, report)
        fault_task = asyncio.create_task(injector.run())
        tasks += [load_task, fault_task]
        await asyncio.sleep(seconds)
        fault_task.cancel()
        await asyncio.gather(fault_task, return_exceptions=True)
        await injector.clear()
        await asyncio.sleep(RECOVERY_S)
        recovered_at = time.monotonic()
        violations += await _check_configuration(deployment, generator)
        await asyncio.sleep(3.0)
        load_task.cancel()
        await generator.finish()
        ended_at = time.monotonic()
        violations += check_calls(generator.finished, deployment.runs())
        violations += _check_service(generator.finished, recovered_at)
        await asyncio.sleep(
            max(ended_at + MEMORY_RELEASE_S - time.monotonic(), 0.0)
        )
        violations += _check_processes(deployment)
        statuses = collections.Counter(
            call.status for call in generator.finished
        )
        report(
            f"seed {seed}: {len(generator.finished)} requests, {dict(statuses)}"
        )
    finally:
        # The faults would start processes again after the stop.
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()
    return violations


def check_calls(calls, runs):
    """Returns the violations found in calls and in the targets' runs."""
    violations = []
    run_counts = collections.Counter(request_id for _, request_id, *_ in runs)
    sent_ids = {call.request_id for call in calls}
    for call in calls:
        name = f"{call.kind} {call.request_id} at {call.entry}"
        difference = callers.check_answer(call)
        if difference:
            violations.append(f"{name}: {difference}")
        run_count = run_counts[call.request_id]
        if call.kind == "once" and run_count > 1:
            violations.append(f"{name}: ran {run_count} times")
        if (
            call.kind == "once"
            and run_count
            and call.status in callers.NOT_RUN_STATUSES
        ):
            violations.append(f"{name}: {call.status} though it ran")
        if run_count > 2:
            violations.append(f"{name}: ran at {run_count} targets")
        if call.status and call.ended_at - call.sent_at > (
            callers.TIMEOUT_S[call.kind] + callers.LATENESS_TOLERANCE_S
        ):
            violations.append(
                f"{name}: held {call.ended_at - call.sent_at:.1f} s"
            )
    for target, request_id, account, _ in runs:
        if request_id not in sent_ids:
            violations.append(f"{target} ran {request_id}, which nobody sent")
        if account != "depot":
            violations.append(f"{request_id} ran for account {account!r}")
    return violations


def _check_service(calls, recovered_at):
    """Returns a violation if too few requests succeed after the recovery."""
    recent = [call for call in calls if call.sent_at > recovered_at]
    recent = [call for call in recent if call.key == "key-1"]
    served = sum(call.status == OK and call.is_complete for call in recent)
    if not recent or served < MIN_SERVED_FRACTION * len(recent):
        counts = collections.Counter(
            (call.kind, call.status, call.error[:40]) for call in recent
        )
        return [f"only {served} of {len(recent)} served at the end: {counts}"]
    return []


async def _check_configuration(deployment, generator):
    """Returns the instances that don't apply a configuration change."""
    violations = []
    for keys, expected_status in (
        (["key-1", "key-3"], OK),
        (["key-1"], UNAUTHORIZED),
    ):
        deployment.keys["depot"] = keys
        await deployment.write_configuration()
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        for entry in deployment.entries:
            call = await generator.send(entry, "safe", "key-3")
            if call.status != expected_status:
                violations.append(
                    f"{entry} answers {call.status} {call.error} for key-3"
                    f" under {keys}"
                )
    return violations


def _check_processes(deployment):
    """Returns the instances that exited and their logged errors."""
    violations = []
    for name, process in deployment.entries.items():
        if not process.is_running:
            violations.append(f"{name} has ended by itself")
    violations += [
        f"log: {line[:300]}"
        for line in deployment.entry_lines("ended by an error")
    ]
    return violations


async def _wait_until_served(generator, deployment):
    """Waits until each instance serves requests."""
    give_up_at = time.monotonic() + processes.START_TIMEOUT_S
    for entry in deployment.entries:
        while (await generator.send(entry, "safe")).status != OK:
            if time.monotonic() > give_up_at:
                raise AssertionError(f"{entry} does not serve")
            await asyncio.sleep(0.1)


async def _run_until_sigterm(coroutine):
    """Awaits a coroutine; SIGTERM cancels it, so that it stops processes.

    The event loop delivers the signal between two steps, so that it doesn't
    interrupt the start of a process.
    """
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await coroutine


def main():
    """Runs the seeds one after another; exits with 1 on a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--ledgers", type=int, default=2)
    arguments = parser.parse_args()
    sizes = (arguments.instances, arguments.engines, arguments.ledgers)
    failed = []
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        violations = asyncio.run(
            _run_until_sigterm(soak(seed, arguments.seconds, sizes, print))
        )
        for line in violations:
            print(f"BROKEN seed {seed}: {line}")
        if violations:
            failed.append(seed)
    print(f"{arguments.seeds} seeds, broken: {failed or 'none'}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
