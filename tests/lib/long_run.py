"""Runs the state machine tests with a chosen number of seeds.

    python -m tests.lib.long_run SEEDS [EXAMPLES]

Prints the seeds, examples, steps and violations of each state machine.
`cardamomfork measure faults` runs the fault simulation with many seeds.
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
STEPS_PER_EXAMPLE = 50


@attrs.define
class RunCounts:
    """Counts over all runs of one state machine."""

    examples: int = 0
    steps: int = 0
    violations: int = 0


def run(machine, seed, examples, count):
    """Runs one state machine with one seed and adds to its counts."""

    class Counted(machine):
        """The state machine, with counted examples and steps."""

        def __init__(self):
            super().__init__()
            count.examples += 1

        def check_invariants(self, *arguments, **keywords):
            count.steps += 1
            super().check_invariants(*arguments, **keywords)

    case = hypothesis.seed(seed)(Counted.TestCase)
    case.settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    test_result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromTestCase(case).run(test_result)
    for _, text in [*test_result.failures, *test_result.errors]:
        count.violations += 1
        print(f"{machine.__name__} seed {seed}:\n{text}")


def main(arguments):
    """Runs all state machines; returns 1 if an invariant was violated."""
    seeds = int(arguments[0]) if arguments else 10
    examples = int(arguments[1]) if len(arguments) > 1 else 100
    violations = 0
    for machine in MACHINES:
        count = RunCounts()
        started_at = time.monotonic()
        for seed in range(seeds):
            run(machine, seed, examples, count)
        violations += count.violations
        print(
            f"{machine.__name__}: seeds 0 to {seeds - 1},"
            f" {count.examples} examples, {count.steps} steps,"
            f" {count.violations} violations,"
            f" {time.monotonic() - started_at:.0f} s"
        )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
