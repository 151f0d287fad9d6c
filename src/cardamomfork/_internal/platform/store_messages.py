"""Request and response bodies of the platform's store."""

from __future__ import annotations

import base64
import binascii

import msgspec

from cardamomfork._internal.contracts import store


class Item(msgspec.Struct, rename="camel"):
    """A key and its value; in a watch, possibly a deleted key."""

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    removed: bool = False

    def to_entry(self, prefix: str, era: int) -> store.Entry:
        """Converts the item to an entry; a removed key has version `ABSENT`.

        Args:
            prefix: Common key prefix to strip.
            era: Era of the store in which it was read.

        Raises:
            ValueError: The value isn't base64 text.
        """
        key = self.key.removeprefix(prefix)
        if self.removed:
            return store.Entry(key, b"", store.ABSENT)
        value = decode_value(self.value)
        return store.Entry(
            key, value, store.join_era(era, self.revision), self.lease
        )


class Items(msgspec.Struct, rename="camel"):
    """Response to a range read or to a failed comparison."""

    items: list[Item] = []
    more_pages: bool = False
    store_revision: int = 0


class Events(msgspec.Struct, rename="camel"):
    """Response to a watch."""

    events: list[Item] = []
    store_revision: int = 0


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

    revision: int


class LeaseRequest(msgspec.Struct, rename="camel"):
    """Request for a new lease."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct, rename="camel"):
    """A granted or renewed lease; a renewal omits the lease id."""

    ttl_ms: int
    lease: int = 0


def encode_value(value: bytes) -> str:
    """Encodes a value as base64 text."""
    return base64.b64encode(value).decode()


def decode_value(text: str) -> bytes:
    """Decodes a value from base64 text.

    Raises:
        ValueError: The text isn't base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError(f"not base64: {error}") from error
