"""Runs all tests, a process for each test module, and counts the results.

Prints one line a failing test and ends with `N passed, N failed`. Tests that
KNOWN-RED.txt lists (lines that begin with `test:`) run too and are printed,
but do not decide the verdict. The run fails when no test ran.
"""

import concurrent.futures
import io
import os
import pathlib
import sys
import unittest

import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_WORKERS = 4


@attrs.frozen
class ModuleReport:
    """What one test module's run gave."""

    module: str
    passed: int
    skipped: int
    failures: tuple[tuple[str, str], ...]


def run_module(module: str) -> ModuleReport:
    """Runs one test module in this process."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    stream = io.StringIO()
    outcome = unittest.TextTestRunner(stream=stream, verbosity=0).run(suite)
    bad = [*outcome.failures, *outcome.errors]
    bad += [
        (case, "unexpected success") for case in outcome.unexpectedSuccesses
    ]
    failed_ids = {case.id().split(" ")[0] for case, _ in bad}
    return ModuleReport(
        module=module,
        passed=max(
            outcome.testsRun - len(failed_ids) - len(outcome.skipped), 0
        ),
        skipped=len(outcome.skipped),
        failures=tuple((case.id(), text) for case, text in bad),
    )


def find_modules(patterns: list[str]) -> list[str]:
    """Names the test modules below tests/, all or those that contain a word."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]
    if not patterns:
        return names
    return [name for name in names if any(word in name for word in patterns)]


def read_known_red() -> set[str]:
    """Reads the ids of tests whose fault is known and listed."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def main(arguments: list[str]) -> int:
    """Runs the tests and returns the exit status."""
    known_red = read_known_red()
    passed = failed = skipped = 0
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=min(MAX_WORKERS, os.cpu_count() or 1), max_tasks_per_child=1
    ) as pool:
        for report in pool.map(run_module, find_modules(arguments)):
            passed += report.passed
            skipped += report.skipped
            for test_id, text in report.failures:
                if test_id.split(" ")[0] in known_red:
                    print(f"known red: {test_id}")
                    continue
                failed += 1
                print(f"FAILED {test_id}\n{text}")
    if passed + failed == 0:
        print("no test ran")
        failed = 1
    extra = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{extra}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
