"""Brings operators' change sets to the configuration's editor."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.configuration import checking
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import editor
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.configuration import replica


@attrs.frozen
class ChangeSetEditor:
    """Decodes, checks and writes change sets.

    Attributes:
        editor: Writes to the store.
        replica: Configuration in force, to check against.
    """

    editor: editor.ConfigurationEditor
    replica: replica.ConfigurationReplica

    async def apply(
        self,
        changes: Sequence[collaborators.Change],
        *,
        check_only: bool = False,
    ) -> collaborators.Applied:
        """Checks all changes, then writes them one by one."""
        edits, broken = _decode(changes)
        found = checking.check(
            [(edit.kind, edit.name, edit.value) for edit in edits],
            self.replica,
        )
        found = (*broken, *_without_consequences(found, broken))
        if found or check_only:
            return collaborators.Applied(found=found)
        written = await self.editor.apply(edits)
        if isinstance(written, result.Err):
            return collaborators.Applied(found=written.err_value)
        return _to_applied(written.ok_value)


def _decode(
    changes: Sequence[collaborators.Change],
) -> tuple[list[editor.Edit], tuple[findings.Finding, ...]]:
    """Decodes what can be decoded; findings for the rest."""
    edits = []
    broken = []
    for change in changes:
        value = None
        if change.body is not None:
            decoded = codec.decode(change.kind, change.name, change.body)
            if isinstance(decoded, result.Err):
                broken.append(decoded.err_value)
                continue
            value = decoded.ok_value
        edits.append(
            editor.Edit(change.kind, change.name, value, change.based_on)
        )
    return edits, tuple(broken)


def _without_consequences(
    found: tuple[findings.Finding, ...], broken: tuple[findings.Finding, ...]
) -> tuple[findings.Finding, ...]:
    """Drops findings that only say that a broken object is missing."""
    names = [repr(finding.place.source.partition("/")[2]) for finding in broken]
    return tuple(
        finding
        for finding in found
        if not any(name in finding.message for name in names)
    )


def _to_applied(report: editor.Report) -> collaborators.Applied:
    """Turns the editor's report into what operators are told."""
    parts = [_describe(verdict) for verdict in report.verdicts]
    return collaborators.Applied(
        accepted=tuple(each for part in parts for each in part.accepted),
        conflicts=tuple(each for part in parts for each in part.conflicts),
        unavailable=tuple(each for part in parts for each in part.unavailable),
        skipped=len(report.skipped),
    )


@functools.singledispatch
def _describe(verdict: object) -> collaborators.Applied:
    """Returns what operators are told of one change."""
    raise TypeError(type(verdict).__name__)


@_describe.register
def _describe_accepted(verdict: editor.Accepted) -> collaborators.Applied:
    edit = verdict.edit
    held = configuration.Versioned(
        edit.kind, edit.name, verdict.version, edit.value
    )
    return collaborators.Applied(accepted=(held,))


@_describe.register
def _describe_conflict(verdict: editor.Conflict) -> collaborators.Applied:
    edit = verdict.edit
    theirs = verdict.current or configuration.Versioned(
        edit.kind, edit.name, 0, None
    )
    conflict = collaborators.Conflict(
        _to_change(edit), theirs, in_doubt=not verdict.certain
    )
    return collaborators.Applied(conflicts=(conflict,))


@_describe.register
def _describe_unconfirmed(
    verdict: editor.Unconfirmed,
) -> collaborators.Applied:
    fault = collaborators.Unavailable(
        verdict.fault.detail or verdict.fault.kind.value,
        indeterminate=verdict.written is None,
        subject=f"{verdict.edit.kind.value}/{verdict.edit.name}",
    )
    return collaborators.Applied(unavailable=(fault,))


def _to_change(edit: editor.Edit) -> collaborators.Change:
    """Turns an edit back into the change that asked for it."""
    body = None if edit.value is None else codec.encode(edit.value)
    return collaborators.Change(edit.kind, edit.name, edit.based_on, body)
