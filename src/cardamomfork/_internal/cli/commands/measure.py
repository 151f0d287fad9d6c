"""`cardamomfork measure`: runs a measurement and prints its report."""

from __future__ import annotations

import difflib
import importlib
import pkgutil
from typing import Any

from cardamomfork._internal import measure
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output
from cardamomfork._internal.measure import reports


def list_measurements() -> tuple[str, ...]:
    """Returns the names of the modules that have a `measure` function."""
    names = [
        each.name
        for each in pkgutil.iter_modules(measure.__path__)
        if each.name != "reports"
    ]
    return tuple(
        sorted(name for name in names if _load_measurement(name) is not None)
    )


def run(
    name: str = "", /, *, smallest: bool = False, seed: int = 1
) -> exit_codes.ExitCode:
    """Run a measurement; without a name, list all measurements.

    Parameters
    ----------
    name
        Name of the measurement.
    smallest
        Run only the smallest size, as a quick test of the measurement.
    seed
        Seed of the random generators.
    """
    known = list_measurements()
    if not name:
        rows = tuple((each, _summarize(each)) for each in known)
        table = output.Table(("name", "measures"), rows)
        output.print_table(table, output.OutputFormat.TABLE)
        return exit_codes.ExitCode.OK
    if name not in known:
        close_matches = difflib.get_close_matches(name, known, n=1)
        advice = (
            f"did you mean {close_matches[0]!r}?"
            if close_matches
            else ", ".join(known)
        )
        output.print_error(f"no measurement {name!r}; {advice}")
        return exit_codes.ExitCode.NOT_FOUND
    options = reports.Options(smallest=smallest, seed=seed)
    print(_load_measurement(name).measure(options))
    return exit_codes.ExitCode.OK


def _load_measurement(name: str) -> Any:
    """Imports a module; returns None if it has no `measure` function."""
    module = importlib.import_module(f"{measure.__name__}.{name}")
    return module if callable(getattr(module, "measure", None)) else None


def _summarize(name: str) -> str:
    """Returns the first line of a measurement's doc string."""
    return (_load_measurement(name).__doc__ or "").strip().splitlines()[0]
