"""Configuration objects as the store's JSON and as packed bytes for peers.

A key in the store is `PREFIXconfig/KIND/NAME` with the name percent-encoded.
Peers get the same JSON, the changes of one message deflated together over a
dictionary of what most of them share.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING
import urllib.parse
import zlib

import attrs
import msgspec
import result

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_PREFIX = "/cardamomfork/"
MAX_OBJECT_BYTES = 1_048_576
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Most bytes that packed changes of one message may unfold to."""
_SECTION = "config/"
_COMPRESSION_LEVEL = 6
_STREAM_END_BYTES = 16

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
    """One change on the wire, a line of JSON; a null body is a deletion."""

    kind: int
    name: str
    version: int
    body: msgspec.Raw = msgspec.Raw(b"null")


_LINES = msgspec.json.Decoder(_PackedChange)


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
    packed = _PackedLines(budget_bytes)
    next_bytes = 0
    for change in changes:
        next_bytes = packed.add(_pack_one(change))
        if next_bytes:
            upto = min(upto, change.version - 1)
            break
    return PackedChanges(packed.finish(), packed.count, upto, next_bytes)


class _PackedLines:
    """Lines deflated together, so that what they share is told once."""

    def __init__(self, budget_bytes: int) -> None:
        """Starts empty."""
        self._budget = budget_bytes
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zdict=_dictionary()
        )
        self._data = b""
        self._plain_bytes = 0
        self.count = 0

    def add(self, line: bytes) -> int:
        """Adds a line; returns the bytes that it needs if it does not fit."""
        trial = self._compressor.copy()
        more = trial.compress(line) + trial.flush(zlib.Z_SYNC_FLUSH)
        size = len(self._data) + len(more) + _STREAM_END_BYTES
        self._plain_bytes += len(line)
        if size > self._budget or self._plain_bytes > MAX_UNPACKED_BYTES:
            return len(more) + _STREAM_END_BYTES
        self._compressor = trial
        self._data += more
        self.count += 1
        return 0

    def finish(self) -> bytes:
        """Returns the packed form; empty without lines."""
        if not self.count:
            return b""
        return self._data + self._compressor.flush(zlib.Z_FINISH)


def unpack(
    data: bytes,
) -> result.Result[tuple[configuration.Versioned, ...], findings.Finding]:
    """Reads packed changes; refuses the whole if one can't be read."""
    place = findings.Place("peer", "configuration")
    if not data:
        return result.Ok(())
    try:
        reader = zlib.decompressobj(zdict=_dictionary())
        lines = reader.decompress(data, MAX_UNPACKED_BYTES)
        if not reader.eof:
            raise ValueError("the packed changes are cut off or too long")
        packed = _LINES.decode_lines(lines)
        return result.Ok(tuple(_unpack_one(change) for change in packed))
    except (ValueError, IndexError, zlib.error, msgspec.MsgspecError) as error:
        return result.Err(findings.Finding(place, str(error)))


def _pack_one(change: configuration.Versioned) -> bytes:
    """Returns one change as a line."""
    body = msgspec.Raw(b"null")
    if change.value is not None:
        body = msgspec.Raw(encode(change.value))
    packed = _PackedChange(
        _KINDS.index(change.kind), change.name, change.version, body
    )
    return msgspec.json.encode(packed) + b"\n"


def _unpack_one(packed: _PackedChange) -> configuration.Versioned:
    """Reads one change; raises a ValueError if it can't."""
    if not 0 <= packed.kind < len(_KINDS) or packed.version <= 0:
        raise ValueError(f"kind {packed.kind}, version {packed.version}")
    kind = _KINDS[packed.kind]
    value = None
    if bytes(packed.body) != b"null":
        decoded = decode(kind, packed.name, bytes(packed.body))
        if isinstance(decoded, result.Err):
            raise ValueError(str(decoded.err_value))
        value = decoded.ok_value
    return configuration.Versioned(kind, packed.name, packed.version, value)


@functools.cache
def _dictionary() -> bytes:
    """Returns the text that the lines of most changes share.

    It is part of the wire format: peers of one release have the same.
    """
    target = targets.Target(
        identifiers.TargetId("engine-1"),
        targets.TargetKind.ENGINE,
        "10.0.0.1",
        8000,
        identifiers.DataCentreId("centre-1"),
        memory_tokens=500_000,
    )
    service = configuration.Service(
        name=identifiers.ServiceName("service"),
        kind=configuration.ServiceKind.MODEL,
        models=("model",),
        targets=(target,),
    )
    key = configuration.HashedKey("0" * 16, "0" * 32, "0" * 64)
    account = configuration.ClientAccount(
        identifiers.AccountName("account"), (key,)
    )
    drain = configuration.Drain("engine-1", "maintenance")
    return b"".join(encode(value) for value in (drain, service, account))
