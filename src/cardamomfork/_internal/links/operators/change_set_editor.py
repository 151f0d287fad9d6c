"""Applies operators' change sets through the configuration editor."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.configuration import validation
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.configuration import replica


@attrs.frozen
class ChangeSetEditor:
    """Decodes, checks and writes change sets.

    Attributes:
        editor: Writes changes to the store.
        replica: Configuration in force, which changes are checked against.
    """

    editor: editor.ConfigurationEditor
    replica: replica.ConfigurationReplica

    async def apply(
        self,
        changes: Sequence[interfaces.Change],
        *,
        check_only: bool = False,
    ) -> interfaces.ApplyResult:
        """Checks all changes, then writes them one at a time."""
        edits, undecodable = _decode_changes(changes)
        found = validation.check_changes(
            [(edit.kind, edit.name, edit.value) for edit in edits],
            self.replica,
        )
        found = (*undecodable, *_drop_consequential(found, undecodable))
        if found or check_only:
            return interfaces.ApplyResult(found=found)
        write_result = await self.editor.apply(edits)
        if isinstance(write_result, result.Err):
            return interfaces.ApplyResult(found=write_result.err_value)
        return _to_apply_result(write_result.ok_value)


def _decode_changes(
    changes: Sequence[interfaces.Change],
) -> tuple[list[editor.Edit], tuple[findings.Finding, ...]]:
    """Decodes changes; returns edits, and findings for undecodable ones."""
    edits = []
    undecodable = []
    for change in changes:
        value = None
        if change.body is not None:
            decoded = codec.decode(change.kind, change.name, change.body)
            if isinstance(decoded, result.Err):
                undecodable.append(decoded.err_value)
                continue
            value = decoded.ok_value
        edits.append(
            editor.Edit(change.kind, change.name, value, change.based_on)
        )
    return edits, tuple(undecodable)


def _drop_consequential(
    found: tuple[findings.Finding, ...],
    undecodable: tuple[findings.Finding, ...],
) -> tuple[findings.Finding, ...]:
    """Drops findings that mention an undecodable object.

    They only report it as missing, which its own finding already explains.
    """
    undecodable_names = [
        repr(finding.place.source.partition("/")[2]) for finding in undecodable
    ]
    return tuple(
        finding
        for finding in found
        if not any(name in finding.message for name in undecodable_names)
    )


def _to_apply_result(report: editor.Report) -> interfaces.ApplyResult:
    """Converts the editor's report to a result for operators."""
    results = [_outcome_of(verdict) for verdict in report.verdicts]
    return interfaces.ApplyResult(
        accepted=tuple(
            each for partial in results for each in partial.accepted
        ),
        conflicts=tuple(
            each for partial in results for each in partial.conflicts
        ),
        unavailable=tuple(
            each for partial in results for each in partial.unavailable
        ),
        skipped=len(report.skipped),
    )


@functools.singledispatch
def _outcome_of(outcome: object) -> interfaces.ApplyResult:
    """Converts the editor's verdict on one change to a result."""
    raise TypeError(type(outcome).__name__)


@_outcome_of.register
def _outcome_of_accepted(verdict: editor.Accepted) -> interfaces.ApplyResult:
    edit = verdict.edit
    accepted = configuration.Versioned(
        edit.kind, edit.name, verdict.version, edit.value
    )
    return interfaces.ApplyResult(accepted=(accepted,))


@_outcome_of.register
def _outcome_of_conflict(verdict: editor.Conflict) -> interfaces.ApplyResult:
    edit = verdict.edit
    current = verdict.current or configuration.Versioned(
        edit.kind, edit.name, 0, None
    )
    conflict = interfaces.Conflict(
        _to_change(edit), current, in_doubt=not verdict.certain
    )
    return interfaces.ApplyResult(conflicts=(conflict,))


@_outcome_of.register
def _outcome_of_unconfirmed(
    verdict: editor.Unconfirmed,
) -> interfaces.ApplyResult:
    fault = interfaces.Unavailable(
        verdict.fault.detail or verdict.fault.kind.value,
        indeterminate=verdict.written is None,
        subject=f"{verdict.edit.kind.value}/{verdict.edit.name}",
    )
    return interfaces.ApplyResult(unavailable=(fault,))


def _to_change(edit: editor.Edit) -> interfaces.Change:
    """Converts an edit back to the change that requested it."""
    body = None if edit.value is None else codec.encode(edit.value)
    return interfaces.Change(edit.kind, edit.name, edit.based_on, body)
