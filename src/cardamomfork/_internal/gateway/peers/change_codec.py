"""Cap'n Proto encoding of changes in the store that peers exchange."""

from __future__ import annotations

import zlib

import result

from cardamomfork._internal import decoding
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.store import change_relay

UPDATE = b"\4"
"""First byte of a datagram with an update."""
MAX_DECODED_BYTES = 262_144
MAX_CHANGES = change_relay.MAX_LOGGED_CHANGES


def encode(update: change_relay.Update) -> bytes:
    """Encodes an update as a datagram."""
    message = digest_codec.schema().ChangeUpdate.new_message(
        baseRevision=update.base_revision, revision=update.revision
    )
    changes = message.init("changes", len(update.changes))
    for index, change in enumerate(update.changes):
        changes[index].key = change.key
        changes[index].value = change.value or b""
        changes[index].revision = change.revision
        changes[index].isRemoved = change.value is None
        changes[index].mayReturn = change.may_return
    return UPDATE + zlib.compress(message.to_bytes())


@decoding.decoder("update")
def decode(data: bytes) -> result.Result[change_relay.Update, str]:
    """Decodes a datagram with an update, or returns an error message."""
    unpacked = decoding.decompress(data[len(UPDATE) :], MAX_DECODED_BYTES)
    if isinstance(unpacked, result.Err):
        return result.Err(f"malformed update: {unpacked.err_value}")
    with digest_codec.schema().ChangeUpdate.from_bytes(
        unpacked.ok_value
    ) as message:
        if len(message.changes) > MAX_CHANGES:
            return result.Err("malformed update: too many changes")
        if message.revision > digest_codec.MAX_REVISION:
            return result.Err("malformed update: revision out of range")
        return result.Ok(
            change_relay.Update(
                message.baseRevision,
                message.revision,
                tuple(
                    change_relay.Change(
                        change.key,
                        None if change.isRemoved else bytes(change.value),
                        change.revision,
                        change.mayReturn,
                    )
                    for change in message.changes
                    if change.revision <= message.revision
                ),
            )
        )
