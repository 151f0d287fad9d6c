"""The retry budget limits the number of retries while all targets fail."""

from __future__ import annotations

import random

import anyio

from cardamomfork.coordination import retries

SERVICE = "assistant-pool"
REQUESTS = 1000
RETRY_BUDGET_FRACTION = 0.1


def count_attempts(policy: retries.RetryPolicy, now: float) -> int:
    """Returns the number of attempts of a request that always fails."""
    policy.note_first_try(SERVICE, RETRY_BUDGET_FRACTION, now)
    attempts = 1
    while True:
        policy.note_end(SERVICE, failed=True)
        failure = retries.Failure(
            SERVICE,
            retries.FaultKind.UNREACHABLE,
            attempts,
            may_run_again=True,
            time_left_s=60.0,
            expected_s=0.5,
        )
        if policy.decide(failure).is_err():
            return attempts
        attempts += 1


async def main() -> None:
    """Sends many requests while all targets fail."""
    policy = retries.RetryPolicy(random.Random(1))
    attempts = sum(
        count_attempts(policy, number / 100) for number in range(REQUESTS)
    )
    print(
        "tries stay within the budget:",
        attempts <= REQUESTS * (1 + RETRY_BUDGET_FRACTION),
    )
    print("some were retried:", attempts > REQUESTS)


if __name__ == "__main__":
    anyio.run(main)
