"""Decodes the entries with which targets register in the store."""

from __future__ import annotations

from typing import Any

from loguru import logger
import msgspec
import result

from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import node_settings
from cardamomfork._internal.platform import numbers

PREFIX = "servers/"
MS_PER_S = 1000.0

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Entry(msgspec.Struct, rename="camel"):
    """A target's entry, without the fields that the gateway does not use.

    Attributes:
        zone: The target's data centre.
        version: Software version of the target.
        born: Start of the target's process, in Unix milliseconds.
        cold_remaining_ms: Time for which the target is still cold, of any JSON
            type, since a malformed one must not drop the entry.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: str = ""
    born: int = 0
    cold_remaining_ms: Any = None


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
            cold_remaining_s=_decode_cold(target_id, entry.cold_remaining_ms),
        )
    )


def _decode_cold(target_id: str, value: object) -> float | None:
    """Returns the time for which a target is still cold, in seconds."""
    if value is None:
        return None
    milliseconds = numbers.parse(value)
    if milliseconds is None:
        logger.warning(
            "malformed field",
            name="coldRemainingMs",
            target_id=target_id,
            detail=numbers.describe(value),
        )
        return None
    return min(milliseconds / MS_PER_S, numbers.MAX_COLD_S)
