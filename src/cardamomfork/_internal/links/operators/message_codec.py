"""Converts between messages of the operators' RPC and domain objects.

Readers and builders of pycapnp have no static types and are typed as `Any`.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import interfaces
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
        ValueError: The JSON can't be decoded, for example because the sender
            runs a newer version.
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


def write_change(builder: Any, change: interfaces.Change) -> None:
    """Writes a change."""
    builder.kind = change.kind.value
    builder.name = change.name
    builder.basedOn = change.based_on
    if change.body is None:
        builder.delete = None
    else:
        builder.value = change.body


def read_change(reader: Any) -> interfaces.Change:
    """Reads a change."""
    return interfaces.Change(
        kind=configuration.ObjectKind(str(reader.kind)),
        name=reader.name,
        based_on=reader.basedOn,
        body=bytes(reader.value) if reader.which() == "value" else None,
    )


def write_apply_result(
    builder: Any, apply_result: interfaces.ApplyResult
) -> None:
    """Writes the result of a change set."""
    count = len(apply_result.accepted)
    write_objects(builder.init("accepted", count), apply_result.accepted)
    finding_builders = builder.init("findings", len(apply_result.found))
    for item_builder, finding in zip(
        finding_builders, apply_result.found, strict=True
    ):
        _write_finding(item_builder, finding)
    conflict_builders = builder.init("conflicts", len(apply_result.conflicts))
    for item_builder, conflict in zip(
        conflict_builders, apply_result.conflicts, strict=True
    ):
        write_change(item_builder.mine, conflict.mine)
        write_object(item_builder.theirs, conflict.theirs)
        item_builder.inDoubt = conflict.in_doubt
    unavailable_builders = builder.init(
        "unavailable", len(apply_result.unavailable)
    )
    for item_builder, fault in zip(
        unavailable_builders, apply_result.unavailable, strict=True
    ):
        item_builder.detail = fault.detail
        item_builder.indeterminate = fault.indeterminate
        item_builder.object = fault.subject
    builder.skipped = apply_result.skipped


def read_apply_result(reader: Any) -> interfaces.ApplyResult:
    """Reads the result of a change set."""
    return interfaces.ApplyResult(
        accepted=tuple(read_object(each) for each in reader.accepted),
        found=tuple(_read_finding(each) for each in reader.findings),
        conflicts=tuple(
            interfaces.Conflict(
                read_change(each.mine), read_object(each.theirs), each.inDoubt
            )
            for each in reader.conflicts
        ),
        unavailable=tuple(
            interfaces.Unavailable(each.detail, each.indeterminate, each.object)
            for each in reader.unavailable
        ),
        skipped=reader.skipped,
    )


def write_status_report(builder: Any, report: interfaces.StatusReport) -> None:
    """Writes a status report."""
    builder.version = report.version
    builder.reached = report.reached
    builders = builder.init("instances", len(report.instances))
    for status_builder, status in zip(builders, report.instances, strict=True):
        status_builder.instanceId = status.instance_id
        status_builder.bootId = status.boot_id
        status_builder.dataCentre = status.data_centre
        status_builder.state = status.state.value
        status_builder.version = status.version
        status_builder.ageS = status.age_s


def read_status_report(reader: Any) -> interfaces.StatusReport:
    """Reads a status report."""
    return interfaces.StatusReport(
        reader.version,
        reader.reached,
        tuple(
            interfaces.InstanceStatus(
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
    place = findings.Location(reader.source, reader.path, reader.line or None)
    return findings.Finding(place, reader.message)
