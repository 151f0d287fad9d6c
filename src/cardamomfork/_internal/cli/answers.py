"""Prints what became of changes, and gives the exit code."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module

if TYPE_CHECKING:
    from cardamomfork._internal.links.operators import collaborators

Code = exit_codes.ExitCode


def print_applied(
    applied: collaborators.Applied,
    output: output_module.Output,
    *,
    checked_only: bool = False,
) -> Code:
    """Prints the end of a change set and returns the exit code."""
    if output is output_module.Output.JSON:
        output_module.print_json(_to_json(applied))
    else:
        _print_text(applied, checked_only)
    return code_of(applied)


def code_of(applied: collaborators.Applied) -> Code:
    """Returns the exit code of a change set's end."""
    if applied.found:
        return Code.FINDINGS
    if applied.conflicts:
        return Code.CONFLICT
    if applied.unavailable:
        return Code.UNAVAILABLE
    return Code.OK


def _print_text(applied: collaborators.Applied, checked_only: bool) -> None:
    """Prints it for people: what was accepted, then what was not."""
    if applied.accepted:
        rows = tuple(
            (
                each.kind.value,
                each.name,
                each.version,
                "deleted" if each.value is None else "accepted",
            )
            for each in applied.accepted
        )
        columns = ("kind", "name", "version", "state")
        output_module.print_table(
            output_module.Table(columns, rows), output_module.Output.TABLE
        )
        version = max(each.version for each in applied.accepted)
        if version:
            print(f"in force everywhere: cardamomfork status --wait {version}")
    elif applied.done and checked_only:
        print("no findings; nothing was written")
    output_module.print_findings(applied.found, output_module.Output.TABLE)
    for conflict in applied.conflicts:
        _print_conflict(conflict)
    for fault in applied.unavailable:
        _print_unavailable(fault)
    if applied.skipped:
        output_module.print_error(f"not tried: {applied.skipped} changes")


def _print_conflict(conflict: collaborators.Conflict) -> None:
    """Prints both sides of a conflict."""
    mine, theirs = conflict.mine, conflict.theirs
    output_module.print_error(
        f"conflict on {mine.kind.value}/{mine.name}: based on version"
        f" {mine.based_on}, but version {theirs.version} is in force"
    )
    if conflict.in_doubt:
        output_module.print_error(
            "  an answer was lost: yours may have been in force before it"
        )
    for each in change_sets.compare(mine, theirs):
        now, then = _to_text(each.now), _to_text(each.then)
        output_module.print_error(f"  {each.path}: {now} -> {then}")


def _print_unavailable(unavailable: collaborators.Unavailable) -> None:
    """Prints why the store gave no answer."""
    end = "nothing of it was written"
    if unavailable.indeterminate:
        end = "it may have been written: compare with `cardamomfork diff`"
    output_module.print_error(
        f"{unavailable.subject}: the store is unavailable"
        f" ({unavailable.detail}); {end}"
    )


def _to_text(value: Any) -> str:
    """Returns one side of a difference."""
    return "(none)" if value is None else str(value)


def _to_json(applied: collaborators.Applied) -> dict[str, Any]:
    """Returns it for programs."""
    return {
        "accepted": [
            {"kind": e.kind.value, "name": e.name, "version": e.version}
            for e in applied.accepted
        ],
        "findings": [
            {"place": str(finding.place), "message": finding.message}
            for finding in applied.found
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
            for each in applied.conflicts
        ],
        "unavailable": [
            {
                "object": fault.subject,
                "detail": fault.detail,
                "indeterminate": fault.indeterminate,
            }
            for fault in applied.unavailable
        ],
        "skipped": applied.skipped,
    }
