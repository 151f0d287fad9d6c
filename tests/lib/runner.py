"""Runs all tests, each test module in its own process.

Modules in folders named `exclusive` run last and one at a time, since they
check the memory of a process.

Prints each failing test when it has run, the names of all of them at the end,
and, last, `N passed, N failed`. Tests listed in
KNOWN-RED.txt (lines that begin with `test:`) also run and are printed when
they fail, but do not change the exit status. The run fails if no test ran.
"""

from __future__ import annotations

import concurrent.futures
import io
import os
import pathlib
import sys
from typing import TYPE_CHECKING
import unittest

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_WORKERS = 4
EXCLUSIVE = ".exclusive."


@attrs.frozen
class ModuleReport:
    """Results of one test module.

    Attributes:
        module: Dotted module name.
        passed: Number of tests that passed.
        skipped: Number of skipped tests.
        failures: Id and failure text of each failing test.
    """

    module: str
    passed: int
    skipped: int
    failures: tuple[tuple[str, str], ...]


def run_module(module: str) -> ModuleReport:
    """Runs one test module in this process."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    stream = io.StringIO()
    test_result = unittest.TextTestRunner(stream=stream, verbosity=0).run(suite)
    failing = [*test_result.failures, *test_result.errors]
    failing += [
        (case, "unexpected success") for case in test_result.unexpectedSuccesses
    ]
    failed_ids = {case.id().split(" ")[0] for case, _ in failing}
    return ModuleReport(
        module=module,
        passed=max(
            test_result.testsRun - len(failed_ids) - len(test_result.skipped), 0
        ),
        skipped=len(test_result.skipped),
        failures=tuple((case.id(), text) for case, text in failing),
    )


def find_modules(words: list[str]) -> list[str]:
    """Returns the test modules whose names contain a word, or all of them."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [
        ".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths
    ]
    if not words:
        return names
    return [name for name in names if any(word in name for word in words)]


def read_known_red() -> set[str]:
    """Returns the ids of the tests listed as known failures."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def _run_modules(modules: list[str]) -> Iterator[ModuleReport]:
    """Runs modules; yields the exclusive ones' reports last."""
    shared = [name for name in modules if EXCLUSIVE not in name]
    exclusive = [name for name in modules if EXCLUSIVE in name]
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    for names, max_workers in ((shared, workers), (exclusive, 1)):
        with concurrent.futures.ProcessPoolExecutor(
            max_workers=max_workers, max_tasks_per_child=1
        ) as pool:
            yield from pool.map(run_module, names)


def main(arguments: list[str]) -> int:
    """Runs the tests; returns the exit status."""
    known_red = read_known_red()
    passed = skipped = 0
    failed: dict[str, str] = {}
    for report in _run_modules(find_modules(arguments)):
        passed += report.passed
        skipped += report.skipped
        for test_id, text in report.failures:
            if test_id.split(" ")[0] in known_red:
                print(f"known red: {test_id}")
                continue
            failed[test_id] = text.strip().rpartition("\n")[2]
            print(f"FAILED {test_id}\n{text}")
    # Logs of the tests after a failure can be long.
    for test_id, error in failed.items():
        print(f"failed: {test_id}: {error}")
    if passed + len(failed) == 0:
        failed["no test ran"] = ""
        print("no test ran")
    skipped_text = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {len(failed)} failed{skipped_text}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
