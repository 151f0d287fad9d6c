"""Entry instances as their peers see them."""

from __future__ import annotations

import enum

import attrs

from cardamomfork._internal.models import identifiers


class InstanceState(enum.StrEnum):
    """What the peers hold of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class Instance:
    """An entry instance.

    Attributes:
        instance_id: Its name, from its settings.
        boot_id: Which life of it.
        data_centre: Where it stands.
        host: IP number of its peer port.
        port: TCP port for peers.
    """

    instance_id: identifiers.InstanceId
    boot_id: identifiers.BootId
    data_centre: identifiers.DataCentreId
    host: str
    port: int
