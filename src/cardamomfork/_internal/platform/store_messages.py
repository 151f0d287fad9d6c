"""Request and response bodies of the platform's store."""

from __future__ import annotations

import base64
from typing import Annotated

import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import store

MAX_DECODED_BYTES = 64 * 1024 * 1024
MAX_BYTES_BY_PREFIX = {
    "servers/": 16_384,
    "instances/": 16_384,
    "crashes/": 262_144,
    "peering/": 4096,
}
"""Sizes that no sound value under a prefix exceeds. A scan holds all values
under its prefix, and others may write any number of them there."""
MAX_LEASE = 2**63 - 1
MAX_TTL_MS = 24 * 3600 * 1000

# An answer that is out of range is a fault of its call.
_Revision = Annotated[int, msgspec.Meta(ge=0, lt=store.REVISIONS_PER_ERA)]
_Lease = Annotated[int, msgspec.Meta(ge=0, le=MAX_LEASE)]


class Item(msgspec.Struct, rename="camel"):
    """A key and its value; in a watch, possibly a deleted key.

    Numbers out of range are limited rather than a fault, which would hide the
    other items of the answer.
    """

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    removed: bool = False

    def __post_init__(self) -> None:
        """Limits the numbers."""
        self.revision = min(max(self.revision, 0), store.REVISIONS_PER_ERA - 1)
        self.lease = min(max(self.lease, 0), MAX_LEASE)

    def to_entry(
        self, prefix: str, era: int
    ) -> result.Result[store.Entry, str]:
        """Converts the item to an entry; a removed key has version `ABSENT`.

        The value of an oversized entry is dropped, which leaves a malformed
        one.

        Args:
            prefix: Common key prefix to strip.
            era: Era of the store in which it was read.

        Returns:
            The entry, or an error if the value isn't base64 text.
        """
        key = self.key.removeprefix(prefix)
        if self.removed:
            return result.Ok(store.Entry(key, b"", store.ABSENT))
        version = store.join_era(era, self.revision)
        if decoding.base64_bytes(self.value) > _max_bytes(key):
            return result.Ok(store.Entry(key, b"", version, self.lease))
        return decode_value(self.value).map(
            lambda value: store.Entry(key, value, version, self.lease)
        )


class Items(msgspec.Struct, rename="camel"):
    """Response to a range read or to a failed comparison."""

    items: list[Item] = []
    more_pages: bool = False
    store_revision: _Revision = 0


class Events(msgspec.Struct, rename="camel"):
    """Response to a watch."""

    events: list[Item] = []
    store_revision: _Revision = 0


class Comparison(msgspec.Struct):
    """A key and its expected revision; 0 if the key must be absent."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """A key to write and its new value."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """An atomic conditional write."""

    expect: list[Comparison] = []
    puts: list[Write] = []
    deletes: list[str] = []


class Committed(msgspec.Struct):
    """Response to a committed transaction."""

    revision: _Revision


class LeaseRequest(msgspec.Struct, rename="camel"):
    """Request for a new lease."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct, rename="camel"):
    """A granted or renewed lease; a renewal omits the lease id."""

    ttl_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TTL_MS)]
    lease: _Lease = 0


def _max_bytes(key: str) -> int:
    """Returns the size that a sound value of a key does not exceed."""
    prefix, separator, _ = key.partition("/")
    return MAX_BYTES_BY_PREFIX.get(prefix + separator, MAX_DECODED_BYTES)


def encode_value(value: bytes) -> str:
    """Encodes a value as base64 text."""
    return str(base64.b64encode(value), "ascii")


@decoding.decoder("value")
def decode_value(text: str) -> result.Result[bytes, str]:
    """Decodes a value from base64 text."""
    return decoding.decode_base64(text, MAX_DECODED_BYTES)


decode_item = decoding.json_decoder(__name__, "item of the store", Item)
decode_items = decoding.json_decoder(__name__, "items of the store", Items)
decode_events = decoding.json_decoder(__name__, "events of the store", Events)
decode_committed = decoding.json_decoder(
    __name__, "commit of the store", Committed
)
decode_lease = decoding.json_decoder(
    __name__, "lease of the store", LeaseAnswer
)
