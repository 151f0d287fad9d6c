"""Entry instances, as known to their peers."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers


class InstanceState(enum.StrEnum):
    """The state of an instance, in the view of its peers."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Instance:
    """An entry instance.

    Attributes:
        instance_id: Name of the instance, from its settings.
        boot_id: Id of the process start.
        data_centre: Data centre in which it runs.
        host: IP address of the port for peers.
        port: TCP port for peers.
    """

    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    data_centre: identifiers.DataCentreId
    host: str
    port: int
