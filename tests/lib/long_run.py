"""Runs the state machines with fresh seeds, as long as one likes.

    python -m tests.lib.long_run SEEDS [EXAMPLES]

Prints each machine's seeds, examples, steps and violations. The fault runs
over many seeds are `cardamomfork measure faults`.
"""

import sys
import time
import unittest

import attrs
import hypothesis

from tests.unit import test_lifecycle
from tests.unit import test_reservations

MACHINES = (
    test_lifecycle.LifecycleMachine,
    test_reservations.ReservationMachine,
)
STEPS = 50


@attrs.define
class Count:
    """What a machine's runs came to."""

    examples: int = 0
    steps: int = 0
    violations: int = 0


def run(machine, seed, examples, count):
    """Runs one machine with one seed."""

    class Counted(machine):
        """Counts its examples and steps."""

        def __init__(self):
            super().__init__()
            count.examples += 1

        def check_invariants(self, *arguments, **keywords):
            count.steps += 1
            super().check_invariants(*arguments, **keywords)

    case = hypothesis.seed(seed)(Counted.TestCase)
    case.settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    outcome = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromTestCase(case).run(outcome)
    for _, text in [*outcome.failures, *outcome.errors]:
        count.violations += 1
        print(f"{machine.__name__} seed {seed}:\n{text}")


def main(arguments):
    """Runs all machines; the exit status tells whether one was violated."""
    seeds = int(arguments[0]) if arguments else 10
    examples = int(arguments[1]) if len(arguments) > 1 else 100
    violations = 0
    for machine in MACHINES:
        count = Count()
        started = time.monotonic()
        for seed in range(seeds):
            run(machine, seed, examples, count)
        violations += count.violations
        print(
            f"{machine.__name__}: seeds 0 to {seeds - 1},"
            f" {count.examples} examples, {count.steps} steps,"
            f" {count.violations} violations,"
            f" {time.monotonic() - started:.0f} s"
        )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
