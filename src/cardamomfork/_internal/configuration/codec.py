"""Configuration objects as the store's JSON and as packed bytes for peers.

A key in the store is `PREFIXconfig/KIND/NAME` with the name percent-encoded.
Peers get the same JSON deflated: an object with a hundred targets shrinks to
about a tenth.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse
import zlib

import attrs
import msgspec
import result

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_PREFIX = "/cardamomfork/"
MAX_OBJECT_BYTES = 1_048_576
MAX_PACKED_CHANGES = 100_000
_SECTION = "config/"
_COMPRESSION_LEVEL = 6

_TYPES: dict[
    configuration.ObjectKind, type[configuration.ConfigurationObject]
] = {
    configuration.ObjectKind.SERVICE: configuration.Service,
    configuration.ObjectKind.ACCOUNT: configuration.ClientAccount,
    configuration.ObjectKind.DRAIN: configuration.Drain,
    configuration.ObjectKind.ORDER: configuration.Order,
}
_KINDS = tuple(configuration.ObjectKind)


class _PackedChange(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """One change on the wire; an empty body is a deletion."""

    kind: int
    name: str
    version: int
    body: bytes = b""


@attrs.frozen
class PackedChanges:
    """As many changes as fit, in order of version.

    Attributes:
        data: The packed changes.
        count: How many.
        upto: Version that a reader who holds all before them is brought to.
        next_bytes: Size of the first change that did not fit; 0 if all did.
    """

    data: bytes
    count: int
    upto: int
    next_bytes: int = 0


def kind_of(
    value: configuration.ConfigurationObject,
) -> configuration.ObjectKind:
    """Returns the kind of an object."""
    for kind, type_ in _TYPES.items():
        if isinstance(value, type_):
            return kind
    raise TypeError(f"{type(value).__name__} is not a configuration object")


def section_prefix(prefix: str = DEFAULT_PREFIX) -> str:
    """Returns the prefix under which all objects stand in the store."""
    return prefix + _SECTION


def key_of(
    kind: configuration.ObjectKind, name: str, prefix: str = DEFAULT_PREFIX
) -> str:
    """Returns an object's key in the store."""
    quoted = urllib.parse.quote(name, safe="")
    return f"{section_prefix(prefix)}{kind.value}/{quoted}"


def parse_key(
    key: str, prefix: str = DEFAULT_PREFIX
) -> tuple[configuration.ObjectKind, str] | None:
    """Returns the kind and name of a key; None for a key of another form."""
    start = section_prefix(prefix)
    kind, slash, quoted = key.removeprefix(start).partition("/")
    if not key.startswith(start) or not slash or kind not in _KINDS:
        return None
    name = urllib.parse.unquote(quoted)
    return configuration.ObjectKind(kind), name


def encode(value: configuration.ConfigurationObject) -> bytes:
    """Returns an object as the JSON that the store holds."""
    return msgspec.json.encode(value)


def decode(
    kind: configuration.ObjectKind, name: str, data: bytes
) -> result.Result[configuration.ConfigurationObject, findings.Finding]:
    """Reads the store's JSON; the object must carry the key's name."""
    place = findings.Place(f"{kind.value}/{name}", "$")
    if len(data) > MAX_OBJECT_BYTES:
        return result.Err(
            findings.Finding(place, f"exceeds {MAX_OBJECT_BYTES} bytes")
        )
    try:
        value = msgspec.json.decode(data, type=_TYPES[kind])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(findings.Finding(place, str(error)))
    if value.name != name:
        return result.Err(
            findings.Finding(place, f"names {value.name!r} in its body")
        )
    return result.Ok(value)


def pack(
    changes: Iterable[configuration.Versioned], upto: int, budget_bytes: int
) -> PackedChanges:
    """Packs changes in order of version until the budget is used.

    Args:
        changes: Changes, sorted by version.
        upto: Version that all of them together bring a reader to.
        budget_bytes: Most bytes of the packed form.
    """
    parts: list[bytes] = []
    left = budget_bytes - _ARRAY_HEAD_BYTES
    next_bytes = 0
    for change in changes:
        part = _pack_one(change)
        if len(part) > left:
            upto = min(upto, change.version - 1)
            next_bytes = len(part)
            break
        left -= len(part)
        parts.append(part)
    body = msgspec.msgpack.encode([msgspec.Raw(part) for part in parts])
    return PackedChanges(body if parts else b"", len(parts), upto, next_bytes)


def unpack(
    data: bytes,
) -> result.Result[tuple[configuration.Versioned, ...], findings.Finding]:
    """Reads packed changes; refuses the whole if one can't be read."""
    place = findings.Place("peer", "configuration")
    if not data:
        return result.Ok(())
    try:
        packed = msgspec.msgpack.decode(data, type=list[_PackedChange])
        if len(packed) > MAX_PACKED_CHANGES:
            raise ValueError(f"{len(packed)} changes in one message")
        return result.Ok(tuple(_unpack_one(change) for change in packed))
    except (ValueError, IndexError, zlib.error) as error:
        return result.Err(findings.Finding(place, str(error)))


_ARRAY_HEAD_BYTES = 5


def _pack_one(change: configuration.Versioned) -> bytes:
    """Packs one change."""
    body = b""
    if change.value is not None:
        body = zlib.compress(encode(change.value), _COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(
        _PackedChange(
            _KINDS.index(change.kind), change.name, change.version, body
        )
    )


def _unpack_one(packed: _PackedChange) -> configuration.Versioned:
    """Reads one change; raises a ValueError if it can't."""
    if not 0 <= packed.kind < len(_KINDS) or packed.version <= 0:
        raise ValueError(f"kind {packed.kind}, version {packed.version}")
    kind = _KINDS[packed.kind]
    value = None
    if packed.body:
        reader = zlib.decompressobj()
        body = reader.decompress(packed.body, MAX_OBJECT_BYTES)
        decoded = decode(kind, packed.name, body)
        if isinstance(decoded, result.Err):
            raise ValueError(str(decoded.err_value))
        value = decoded.ok_value
    return configuration.Versioned(kind, packed.name, packed.version, value)
