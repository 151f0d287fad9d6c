"""Bodies of the store's calls."""

from __future__ import annotations

import base64
import binascii

import msgspec

from cardamomfork._internal.contracts import store


class Item(msgspec.Struct, rename="camel"):
    """A key; in a watch also one that has been removed."""

    key: str
    value: str = ""
    revision: int = 0
    lease: int = 0
    removed: bool = False

    def to_entry(self, prefix: str) -> store.Entry:
        """Returns the entry; a removed key is absent.

        Args:
            prefix: Beginning of all keys, which the entry's key lacks.

        Raises:
            ValueError: The value isn't base64 text.
        """
        key = self.key.removeprefix(prefix)
        if self.removed:
            return store.Entry(key, b"", store.ABSENT)
        value = decode_value(self.value)
        return store.Entry(key, value, self.revision, self.lease)


class Items(msgspec.Struct, rename="camel"):
    """Answer to a read of a prefix, or to a failed comparison."""

    items: list[Item] = []
    more_pages: bool = False
    store_revision: int = 0


class Events(msgspec.Struct, rename="camel"):
    """Answer to a watch."""

    events: list[Item] = []
    store_revision: int = 0


class Comparison(msgspec.Struct):
    """A key and the revision that it must have; 0 if it must be absent."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """A key's new value."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct):
    """A write under a condition; all or nothing."""

    expect: list[Comparison] = []
    puts: list[Write] = []
    deletes: list[str] = []


class Committed(msgspec.Struct):
    """Answer to a transaction that was carried out."""

    revision: int


class LeaseRequest(msgspec.Struct, rename="camel"):
    """Asks for a lease."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct, rename="camel"):
    """A lease as granted or renewed; a renewal names only the time."""

    ttl_ms: int
    lease: int = 0


def encode_value(value: bytes) -> str:
    """Returns a value as the store takes it."""
    return base64.b64encode(value).decode()


def decode_value(text: str) -> bytes:
    """Returns a value from the store's text.

    Raises:
        ValueError: The text isn't base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise ValueError(f"not base64: {error}") from error
