"""Messages of the etcd v3 JSON gateway, as far as the store needs them.

Keys and values travel in base64, 64-bit numbers as text, and fields with
their default value are left out.
"""

from __future__ import annotations

import base64
from typing import Any

import msgspec

from cardamomfork._internal.contracts import store as store_contract


class Header(msgspec.Struct):
    """Head of each answer."""

    revision: str = "0"


class KeyValue(msgspec.Struct):
    """A key as the gateway shows it."""

    key: str = ""
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"


class RangeAnswer(msgspec.Struct):
    """Answer of /v3/kv/range, also inside a transaction's answer."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValue] = msgspec.field(default_factory=list)


class TxnOperationAnswer(msgspec.Struct):
    """Answer of one operation of a transaction."""

    response_range: RangeAnswer | None = None


class TxnAnswer(msgspec.Struct):
    """Answer of /v3/kv/txn."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[TxnOperationAnswer] = msgspec.field(default_factory=list)


class LeaseAnswer(msgspec.Struct):
    """Answer of /v3/lease/grant; a renewal's has it under `result`."""

    lease_id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveAnswer(msgspec.Struct):
    """Answer of /v3/lease/keepalive."""

    result: LeaseAnswer


class Event(msgspec.Struct):
    """One change in a watch."""

    kv: KeyValue
    type: str = "PUT"


class WatchAnswer(msgspec.Struct):
    """One message of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[Event] = msgspec.field(default_factory=list)


class WatchMessage(msgspec.Struct):
    """One line of a watch's answer."""

    result: WatchAnswer = msgspec.field(default_factory=WatchAnswer)


class ErrorAnswer(msgspec.Struct):
    """Body of an answer with an error status."""

    message: str = ""
    code: int = 0


def encode_bytes(data: bytes) -> str:
    """Returns bytes in base64."""
    return base64.b64encode(data).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Returns the bytes of a base64 text."""
    return base64.b64decode(text)


def prefix_end(prefix: bytes) -> bytes:
    """Returns the first key after all that begin with a prefix."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\0"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


def range_request(key: str, prefix: bool) -> dict[str, Any]:
    """Returns the body that reads one key, or all under a prefix."""
    name = key.encode()
    body = {"key": encode_bytes(name)}
    if prefix:
        body["range_end"] = encode_bytes(prefix_end(name))
    return body


def write_request(
    key: str, value: bytes | None, expected: int, lease: int
) -> dict[str, Any]:
    """Returns the transaction that writes or (no value) deletes a key."""
    name = encode_bytes(key.encode())
    operation: dict[str, Any]
    if value is None:
        operation = {"request_delete_range": {"key": name}}
    else:
        put = {"key": name, "value": encode_bytes(value), "lease": str(lease)}
        operation = {"request_put": put}
    compare = {
        "key": name,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected),
    }
    return {
        "compare": [compare],
        "success": [operation],
        "failure": [{"request_range": {"key": name}}],
    }


def watch_request(prefix: str, from_revision: int) -> dict[str, Any]:
    """Returns the body that follows a prefix after a revision."""
    create = range_request(prefix, prefix=True)
    create["start_revision"] = str(from_revision + 1)
    create["progress_notify"] = True
    return {"create_request": create}


def entry_of(kv: KeyValue, prefix: str) -> store_contract.Entry:
    """Returns the entry that a key's message shows.

    Args:
        kv: The message.
        prefix: Put before every key by this user of the store; cut off.
    """
    return store_contract.Entry(
        decode_bytes(kv.key).decode().removeprefix(prefix),
        decode_bytes(kv.value),
        int(kv.mod_revision),
        int(kv.lease),
    )


def changed_entry(event: Event, prefix: str) -> store_contract.Entry:
    """Returns the entry that a watch's event shows."""
    entry = entry_of(event.kv, prefix)
    if event.type == "DELETE":
        return store_contract.Entry(entry.key, b"", store_contract.ABSENT)
    return entry
