"""What is known of one instance, and which of two reports is newer."""

from __future__ import annotations

import enum

import attrs
import msgspec

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances


class Health(enum.IntEnum):
    """Reachability; of two reports of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.frozen
class Record:
    """A report on one life of an instance.

    Attributes:
        instance: The instance with its boot id and address.
        incarnation: Raised by the instance itself, to refute a suspicion.
        health: Whether it answers.
        leaving: Whether it said that it stops; sticky for its boot id.
    """

    instance: instances.Instance
    incarnation: int = 0
    health: Health = Health.ALIVE
    leaving: bool = False

    @property
    def state(self) -> instances.InstanceState:
        """The state as others are told."""
        if self.health is Health.DEAD:
            return instances.InstanceState.DEAD
        if self.health is Health.SUSPECT:
            return instances.InstanceState.SUSPECT
        if self.leaving:
            return instances.InstanceState.LEAVING
        return instances.InstanceState.ALIVE

    @property
    def has_stopped(self) -> bool:
        """Whether it is gone after it said that it stops."""
        return self.leaving and self.health is Health.DEAD

    @property
    def order(self) -> tuple[str, int, Health]:
        """Grows with each newer report on the instance."""
        return self.instance.boot_id, self.incarnation, self.health


class PackedRecord(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """A record on the wire."""

    instance_id: str
    boot_id: str
    data_centre: str
    host: str
    port: int
    incarnation: int = 0
    health: int = 0
    leaving: bool = False


def merge(current: Record | None, reported: Record) -> Record:
    """Returns the newer of two reports; leaving sticks to a boot id."""
    if current is None or reported.instance.boot_id > current.instance.boot_id:
        return reported
    if reported.instance.boot_id < current.instance.boot_id:
        return current
    newer = reported if reported.order > current.order else current
    return attrs.evolve(newer, leaving=current.leaving or reported.leaving)


def pack(record: Record) -> PackedRecord:
    """Returns a record's form on the wire."""
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
    """Reads a record; raises ValueError for a health that doesn't exist."""
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
