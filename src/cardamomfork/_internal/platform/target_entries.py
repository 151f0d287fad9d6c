"""Decodes the entries with which targets register in the store."""

from __future__ import annotations

from typing import Annotated
from typing import Any

from loguru import logger
import msgspec
import result

from cardamomfork._internal import addresses
from cardamomfork._internal import decoding
from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import numbers

PREFIX = "servers/"
MS_PER_S = 1000.0
MAX_ID_CHARACTERS = 200
"""Bound of a key in the store."""
MAX_SLOTS = 2**31 - 1

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
_Name = Annotated[str, msgspec.Meta(max_length=256)]


class _Entry(msgspec.Struct, rename="camel"):
    """A target's entry, without the fields that the gateway does not use.

    Attributes:
        zone: The target's data centre.
        version: Software version of the target.
        born: Start of the target's process, in Unix milliseconds.
        cold_remaining_ms: Time for which the target is still cold, of any JSON
            type, since a malformed one must not drop the entry.
    """

    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=-MAX_SLOTS, le=MAX_SLOTS)]
    state: str
    version: str = ""
    # The range in messages between instances.
    born: Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)] = 0
    cold_remaining_ms: Any = None


@decoding.decoder("target entry")
def decode(key: str, value: bytes) -> result.Result[fleet.TargetRecord, str]:
    """Decodes an entry, or returns an error that describes the fault."""
    target_id = key.removeprefix(PREFIX)
    # The id is sent in a header of each request to the target.
    if (
        not target_id.isascii()
        or not target_id.isprintable()
        or not 0 < len(target_id) <= MAX_ID_CHARACTERS
    ):
        return result.Err(f"malformed target id: {numbers.describe(target_id)}")
    decoded = decoding.decode_json(value, _Entry)
    if isinstance(decoded, result.Err):
        return result.Err(f"malformed target entry: {decoded.err_value}")
    entry = decoded.ok_value
    address = addresses.parse(entry.address)
    if isinstance(address, result.Err):
        return result.Err(f"malformed target entry: {address.err_value}")
    host, port = address.ok_value
    is_leaving = _IS_LEAVING_BY_STATE.get(entry.state)
    if is_leaving is None:
        return result.Err("malformed target entry: unknown state")
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
