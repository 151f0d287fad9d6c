"""Decodes the entries with which targets register in the store."""

from __future__ import annotations

import msgspec
import result

from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import node_settings

PREFIX = "servers/"

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Entry(msgspec.Struct, rename="camel"):
    """A target's entry, without the fields that the gateway does not use.

    Attributes:
        zone: The target's data centre.
        version: Software version of the target.
        born: Start of the target's process, in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: str = ""
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode(key: str, value: bytes) -> result.Result[fleet.TargetRecord, str]:
    """Decodes an entry, or returns an error that describes the fault."""
    target_id = key.removeprefix(PREFIX)
    # The id is sent in a header of each request to the target.
    if not target_id.isascii() or not target_id.isprintable() or not target_id:
        return result.Err(f"malformed target id: {target_id!r}")
    try:
        entry = _decoder.decode(value)
        host, port = node_settings.split_address(entry.address)
        is_leaving = _IS_LEAVING_BY_STATE[entry.state]
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        return result.Err(f"malformed target entry: {error!r}")
    return result.Ok(
        fleet.TargetRecord(
            target_id=target_id,
            service=entry.service,
            host=host,
            port=port,
            data_centre=entry.zone,
            slots=max(entry.slots, 1),
            is_leaving=is_leaving,
            started_at_ms=entry.born,
        )
    )
