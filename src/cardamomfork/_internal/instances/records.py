"""Membership records of instances, and their order and wire format."""

from __future__ import annotations

import enum

import attrs
import msgspec

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances


class Health(enum.IntEnum):
    """Health of an instance; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class Record:
    """Membership record of one boot of an instance.

    Attributes:
        instance: The instance with its boot id and address.
        incarnation: Counter that only the instance itself increments, to
            refute a suspicion.
        health: Whether the instance answers probes.
        leaving: Whether the instance has announced its stop. Stays set for
            the boot id.
    """

    instance: instances.Instance
    incarnation: int = 0
    health: Health = Health.ALIVE
    leaving: bool = False

    @property
    def state(self) -> instances.InstanceState:
        """State that is shown to operators and other components."""
        if self.health is Health.DEAD:
            return instances.InstanceState.DEAD
        if self.health is Health.SUSPECT:
            return instances.InstanceState.SUSPECT
        if self.leaving:
            return instances.InstanceState.LEAVING
        return instances.InstanceState.ALIVE

    @property
    def has_stopped(self) -> bool:
        """Whether the instance is dead after a planned stop."""
        return self.leaving and self.health is Health.DEAD

    @property
    def order(self) -> tuple[str, int, Health]:
        """Sort key that increases with each newer record of the instance."""
        return self.instance.boot_id, self.incarnation, self.health


MAX_INCARNATION = 2**62
"""An instance counts on from an incarnation that others report of it."""
MAX_PORT = 65_535


class PackedRecord(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Wire format of a record."""

    instance_id: str
    boot_id: str
    data_centre: str
    host: str
    port: int
    incarnation: int = 0
    health: int = 0
    leaving: bool = False


def merge(current: Record | None, reported: Record) -> Record:
    """Returns the newer of two records; `leaving` stays set for a boot id."""
    if current is None or reported.instance.boot_id > current.instance.boot_id:
        return reported
    if reported.instance.boot_id < current.instance.boot_id:
        return current
    newer = reported if reported.order > current.order else current
    return attrs.evolve(newer, leaving=current.leaving or reported.leaving)


def pack(record: Record) -> PackedRecord:
    """Converts a record to its wire format."""
    return PackedRecord(
        record.instance.instance_id,
        record.instance.boot_id,
        record.instance.data_centre,
        record.instance.host,
        record.instance.port,
        record.incarnation,
        int(record.health),
        record.leaving,
    )


def unpack(packed: PackedRecord) -> Record:
    """Converts a record from its wire format.

    Raises:
        ValueError: The health value is unknown, or a number out of range.
    """
    if not 0 <= packed.incarnation <= MAX_INCARNATION:
        raise ValueError("the incarnation is out of range")
    if not 0 <= packed.port <= MAX_PORT:
        raise ValueError("the port is out of range")
    return Record(
        instances.Instance(
            identifiers.InstanceId(packed.instance_id),
            identifiers.BootId(packed.boot_id),
            identifiers.DataCentreId(packed.data_centre),
            packed.host,
            packed.port,
        ),
        packed.incarnation,
        Health(packed.health),
        packed.leaving,
    )
