"""Turns the schema's messages into the project's objects and back.

Readers and builders of pycapnp have no static types, hence `Any`.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from collections.abc import Sequence


def write_object(builder: Any, value: configuration.Versioned) -> None:
    """Writes a configuration object."""
    builder.kind = value.kind.value
    builder.name = value.name
    builder.version = value.version
    if value.value is None:
        builder.deleted = None
    else:
        builder.value = codec.encode(value.value)


def read_object(reader: Any) -> configuration.Versioned:
    """Reads a configuration object.

    Raises:
        ValueError: Its JSON can't be read; the other side is newer.
    """
    kind = configuration.ObjectKind(str(reader.kind))
    value = None
    if reader.which() == "value":
        decoded = codec.decode(kind, reader.name, bytes(reader.value))
        if decoded.is_err():
            raise ValueError(str(decoded.unwrap_err()))
        value = decoded.unwrap()
    return configuration.Versioned(kind, reader.name, reader.version, value)


def write_objects(
    builders: Any, values: Sequence[configuration.Versioned]
) -> None:
    """Writes a list of configuration objects."""
    for builder, value in zip(builders, values, strict=True):
        write_object(builder, value)


def write_change(builder: Any, change: collaborators.Change) -> None:
    """Writes a change."""
    builder.kind = change.kind.value
    builder.name = change.name
    builder.basedOn = change.based_on
    if change.body is None:
        builder.delete = None
    else:
        builder.value = change.body


def read_change(reader: Any) -> collaborators.Change:
    """Reads a change."""
    return collaborators.Change(
        kind=configuration.ObjectKind(str(reader.kind)),
        name=reader.name,
        based_on=reader.basedOn,
        body=bytes(reader.value) if reader.which() == "value" else None,
    )


def write_applied(builder: Any, applied: collaborators.Applied) -> None:
    """Writes what became of a change set."""
    count = len(applied.accepted)
    write_objects(builder.init("accepted", count), applied.accepted)
    found = builder.init("findings", len(applied.found))
    for each, finding in zip(found, applied.found, strict=True):
        _write_finding(each, finding)
    conflicts = builder.init("conflicts", len(applied.conflicts))
    for each, conflict in zip(conflicts, applied.conflicts, strict=True):
        write_change(each.mine, conflict.mine)
        write_object(each.theirs, conflict.theirs)
        each.inDoubt = conflict.in_doubt
    faults = builder.init("unavailable", len(applied.unavailable))
    for each, fault in zip(faults, applied.unavailable, strict=True):
        each.detail = fault.detail
        each.indeterminate = fault.indeterminate
        each.object = fault.subject
    builder.skipped = applied.skipped


def read_applied(reader: Any) -> collaborators.Applied:
    """Reads what became of a change set."""
    return collaborators.Applied(
        accepted=tuple(read_object(each) for each in reader.accepted),
        found=tuple(_read_finding(each) for each in reader.findings),
        conflicts=tuple(
            collaborators.Conflict(
                read_change(each.mine), read_object(each.theirs), each.inDoubt
            )
            for each in reader.conflicts
        ),
        unavailable=tuple(
            collaborators.Unavailable(
                each.detail, each.indeterminate, each.object
            )
            for each in reader.unavailable
        ),
        skipped=reader.skipped,
    )


def write_report(builder: Any, report: collaborators.StatusReport) -> None:
    """Writes a status report."""
    builder.version = report.version
    builder.reached = report.reached
    each = builder.init("instances", len(report.instances))
    for one, status in zip(each, report.instances, strict=True):
        one.instanceId = status.instance_id
        one.bootId = status.boot_id
        one.dataCentre = status.data_centre
        one.state = status.state.value
        one.version = status.version
        one.ageS = status.age_s


def read_report(reader: Any) -> collaborators.StatusReport:
    """Reads a status report."""
    return collaborators.StatusReport(
        reader.version,
        reader.reached,
        tuple(
            collaborators.InstanceStatus(
                identifiers.InstanceId(each.instanceId),
                identifiers.BootId(each.bootId),
                identifiers.DataCentreId(each.dataCentre),
                instances.InstanceState(each.state),
                each.version,
                each.ageS,
            )
            for each in reader.instances
        ),
    )


def _write_finding(builder: Any, finding: findings.Finding) -> None:
    """Writes a finding."""
    builder.source = finding.place.source
    builder.path = finding.place.path
    builder.line = finding.place.line or 0
    builder.message = finding.message


def _read_finding(reader: Any) -> findings.Finding:
    """Reads a finding."""
    place = findings.Place(reader.source, reader.path, reader.line or None)
    return findings.Finding(place, reader.message)
