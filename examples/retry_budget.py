"""All targets fail; the budget keeps the tries close to the first ones."""

from __future__ import annotations

import random

import anyio

from cardamomfork.coordination import retries

SERVICE = "assistant-pool"
REQUESTS = 1000
BUDGET = 0.1


def send(policy: retries.RetryPolicy, now: float) -> int:
    """Sends one request that always fails; returns its tries."""
    policy.note_first_try(SERVICE, BUDGET, now)
    tries = 1
    while True:
        policy.note_end(SERVICE, failed=True)
        failure = retries.Failure(
            SERVICE,
            retries.FaultKind.UNREACHABLE,
            tries,
            may_run_again=True,
            time_left_s=60.0,
            expected_s=0.5,
        )
        if policy.decide(failure).is_err():
            return tries
        tries += 1


async def main() -> None:
    """Sends many requests while nothing works."""
    policy = retries.RetryPolicy(random.Random(1))
    tries = sum(send(policy, number / 100) for number in range(REQUESTS))
    print("tries stay within the budget:", tries <= REQUESTS * (1 + BUDGET))
    print("some were retried:", tries > REQUESTS)


if __name__ == "__main__":
    anyio.run(main)
