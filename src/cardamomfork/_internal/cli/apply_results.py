"""Prints the results of change sets and maps them to exit codes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module

if TYPE_CHECKING:
    from cardamomfork._internal.links.operators import interfaces

ExitCode = exit_codes.ExitCode


def print_apply_result(
    apply_result: interfaces.ApplyResult,
    output: output_module.OutputFormat,
    *,
    checked_only: bool = False,
) -> ExitCode:
    """Prints the result of a change set and returns the exit code."""
    if output is output_module.OutputFormat.JSON:
        output_module.print_json(_to_json(apply_result))
    else:
        _print_text(apply_result, checked_only)
    return exit_code_for(apply_result)


def exit_code_for(apply_result: interfaces.ApplyResult) -> ExitCode:
    """Returns the exit code for the result of a change set."""
    if apply_result.found:
        return ExitCode.FINDINGS
    if apply_result.conflicts:
        return ExitCode.CONFLICT
    if apply_result.unavailable:
        return ExitCode.UNAVAILABLE
    return ExitCode.OK


def _print_text(
    apply_result: interfaces.ApplyResult, checked_only: bool
) -> None:
    """Prints a result as text: accepted changes first, then refused ones."""
    if apply_result.accepted:
        rows = tuple(
            (
                each.kind.value,
                each.name,
                each.version,
                "deleted" if each.value is None else "accepted",
            )
            for each in apply_result.accepted
        )
        columns = ("kind", "name", "version", "state")
        output_module.print_table(
            output_module.Table(columns, rows), output_module.OutputFormat.TABLE
        )
        version = max(each.version for each in apply_result.accepted)
        if version:
            print(
                "to wait until this is in force on all instances:"
                f" cardamomfork status --wait {version}"
            )
    elif apply_result.all_accepted and checked_only:
        print("no findings; nothing was written")
    output_module.print_findings(
        apply_result.found, output_module.OutputFormat.TABLE
    )
    for conflict in apply_result.conflicts:
        _print_conflict(conflict)
    for fault in apply_result.unavailable:
        _print_unavailable(fault)
    if apply_result.skipped:
        output_module.print_error(
            f"{apply_result.skipped} changes were not attempted"
        )


def _print_conflict(conflict: interfaces.Conflict) -> None:
    """Prints the version in force and the fields that differ from it."""
    mine, theirs = conflict.mine, conflict.theirs
    output_module.print_error(
        f"conflict on {mine.kind.value}/{mine.name}: based on version"
        f" {mine.based_on}, but version {theirs.version} is in force"
    )
    if conflict.in_doubt:
        output_module.print_error(
            "  the store's answer was lost: your change may have been in force"
            " before this version"
        )
    for each in change_sets.compare(mine, theirs):
        now, then = _format_value(each.now), _format_value(each.then)
        output_module.print_error(f"  {each.path}: {now} -> {then}")


def _print_unavailable(unavailable: interfaces.Unavailable) -> None:
    """Prints a change that the store did not confirm."""
    consequence = "nothing of it was written"
    if unavailable.indeterminate:
        consequence = (
            "it may have been written: compare with `cardamomfork diff`"
        )
    output_module.print_error(
        f"{unavailable.subject}: the store is unavailable"
        f" ({unavailable.detail}); {consequence}"
    )


def _format_value(value: Any) -> str:
    """Formats one value of a difference."""
    return "(none)" if value is None else str(value)


def _to_json(apply_result: interfaces.ApplyResult) -> dict[str, Any]:
    """Converts a result to JSON values."""
    return {
        "accepted": [
            {"kind": e.kind.value, "name": e.name, "version": e.version}
            for e in apply_result.accepted
        ],
        "findings": [
            {"place": str(finding.place), "message": finding.message}
            for finding in apply_result.found
        ],
        "conflicts": [
            {
                "kind": each.mine.kind.value,
                "name": each.mine.name,
                "based_on": each.mine.based_on,
                "version": each.theirs.version,
                "in_doubt": each.in_doubt,
                "theirs": change_sets.to_builtins(each.theirs.value),
            }
            for each in apply_result.conflicts
        ],
        "unavailable": [
            {
                "object": fault.subject,
                "detail": fault.detail,
                "indeterminate": fault.indeterminate,
            }
            for fault in apply_result.unavailable
        ],
        "skipped": apply_result.skipped,
    }
