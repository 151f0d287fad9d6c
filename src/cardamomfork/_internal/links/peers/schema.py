"""Schema of the peer RPC, and conversion of its messages to contract types."""

from __future__ import annotations

import functools
import pathlib
from typing import Any
from typing import TYPE_CHECKING

import capnp

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.contracts import peering
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from collections.abc import Mapping

_PATH = pathlib.Path(__file__).with_name("peers.capnp")
_TOPICS = frozenset(gossip.Topic)


@functools.cache
def load() -> Any:
    """Returns the compiled schema, loading it on the first call."""
    return capnp.load(str(_PATH))


def instance_fields(instance: instances.Instance) -> Mapping[str, Any]:
    """Converts an instance to the fields of the schema's `Instance`."""
    return {
        "instanceId": instance.instance_id,
        "bootId": instance.boot_id,
        "dataCentre": instance.data_centre,
        "host": instance.host,
        "port": instance.port,
    }


def read_instance(reader: Any) -> instances.Instance:
    """Converts a message reader to an instance."""
    return instances.Instance(
        identifiers.InstanceId(reader.instanceId),
        identifiers.BootId(reader.bootId),
        identifiers.DataCentreId(reader.dataCentre),
        reader.host,
        reader.port,
    )


def envelope_fields(envelope: peering.Envelope) -> Mapping[str, Any]:
    """Converts an envelope to the fields of the schema's `Envelope`."""
    return {
        "sender": instance_fields(envelope.sender),
        "sections": [
            {"topic": int(section.topic), "payload": section.payload}
            for section in envelope.sections
        ],
    }


def read_envelope(reader: Any) -> peering.Envelope:
    """Converts a message reader to an envelope, skipping unknown topics."""
    return peering.Envelope(
        read_instance(reader.sender),
        tuple(
            peering.Section(gossip.Topic(section.topic), bytes(section.payload))
            for section in reader.sections
            if section.topic in _TOPICS
        ),
    )
