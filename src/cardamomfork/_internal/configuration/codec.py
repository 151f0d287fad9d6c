"""Encodes configuration objects as JSON for the store and packed for peers.

A key in the store is `PREFIXconfig/KIND/NAME` with the name percent-encoded.
Peers receive the same JSON; the changes of one message are compressed together
with a preset dictionary of the text that most changes have in common.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING
import urllib.parse
import zlib

import attrs
from loguru import logger
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import findings
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_PREFIX = "/cardamomfork/"
MAX_OBJECT_BYTES = 1_048_576
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Most bytes that the packed changes of one message may decompress to."""
MAX_NAME_CHARACTERS = 200
"""Characters of a name that are shown in a finding."""
MAX_VERSION = 2**63 - 1
_KEY_SECTION = "config/"
_COMPRESSION_LEVEL = 6
_STREAM_TRAILER_BYTES = 16
"""Space kept for the end of the compressed stream."""

_TYPE_BY_KIND: dict[
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
    """One change on the wire, a line of JSON; a deletion has a null body."""

    kind: int
    name: str
    version: int
    body: msgspec.Raw = msgspec.Raw(b"null")


@attrs.frozen
class PackedChanges:
    """As many changes as fit a byte budget, in order of version.

    Attributes:
        data: The packed changes.
        count: Number of changes packed.
        upto: Version up to which a recipient is complete after these changes,
            if it has all changes before them.
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
    for kind, object_type in _TYPE_BY_KIND.items():
        if isinstance(value, object_type):
            return kind
    raise TypeError(f"{type(value).__name__} is not a configuration object")


def section_prefix(prefix: str = DEFAULT_PREFIX) -> str:
    """Returns the prefix of the keys of all objects in the store."""
    return prefix + _KEY_SECTION


def key_of(
    kind: configuration.ObjectKind, name: str, prefix: str = DEFAULT_PREFIX
) -> str:
    """Returns an object's key in the store."""
    quoted = urllib.parse.quote(name, safe="")
    return f"{section_prefix(prefix)}{kind.value}/{quoted}"


def parse_key(
    key: str, prefix: str = DEFAULT_PREFIX
) -> tuple[configuration.ObjectKind, str] | None:
    """Returns the kind and name in a key; None for a key of another form."""
    section = section_prefix(prefix)
    kind, slash, quoted = key.removeprefix(section).partition("/")
    if not key.startswith(section) or not slash or kind not in _KINDS:
        return None
    name = urllib.parse.unquote(quoted)
    return configuration.ObjectKind(kind), name


def encode(value: configuration.ConfigurationObject) -> bytes:
    """Returns an object as JSON for the store."""
    return msgspec.json.encode(value)


@decoding.register
def decode(
    kind: configuration.ObjectKind, name: str, data: bytes
) -> result.Result[configuration.ConfigurationObject, findings.Finding]:
    """Decodes the store's JSON.

    The object's name must be the one in the key.
    """
    location = findings.Location(f"{kind.value}/{name}", "$")
    if len(data) > MAX_OBJECT_BYTES:
        return result.Err(
            findings.Finding(location, f"exceeds {MAX_OBJECT_BYTES} bytes")
        )
    decoded = decoding.decode_bounded_json(data, _TYPE_BY_KIND[kind])
    if isinstance(decoded, result.Err):
        return result.Err(findings.Finding(location, decoded.err_value))
    value = decoded.ok_value
    if value.name != name:
        return result.Err(
            findings.Finding(
                location,
                f"names {value.name[:MAX_NAME_CHARACTERS]!r} in its body",
            )
        )
    return result.Ok(value)


def pack(
    changes: Iterable[configuration.Versioned], upto: int, budget_bytes: int
) -> PackedChanges:
    """Packs changes in order of version until the budget is used.

    Args:
        changes: Changes, sorted by version.
        upto: Version up to which all the changes together make a recipient
            complete.
        budget_bytes: Largest size of the packed form.
    """
    compressor = _LineCompressor(budget_bytes)
    next_bytes = 0
    for change in changes:
        next_bytes = compressor.add(_encode_change(change))
        if next_bytes:
            upto = min(upto, change.version - 1)
            break
    return PackedChanges(
        compressor.finish(), compressor.count, upto, next_bytes
    )


class _LineCompressor:
    """Compresses lines as one stream, so that repeated text costs little."""

    def __init__(self, budget_bytes: int) -> None:
        """Initializes the compressor without lines."""
        self._budget_bytes = budget_bytes
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL, zdict=_compression_dictionary()
        )
        self._data = b""
        self._unpacked_bytes = 0
        self.count = 0

    def add(self, line: bytes) -> int:
        """Adds a line if it fits.

        Returns:
            0, or the packed size of the line if it does not fit.
        """
        trial = self._compressor.copy()
        chunk = trial.compress(line) + trial.flush(zlib.Z_SYNC_FLUSH)
        size = len(self._data) + len(chunk) + _STREAM_TRAILER_BYTES
        self._unpacked_bytes += len(line)
        if (
            size > self._budget_bytes
            or self._unpacked_bytes > MAX_UNPACKED_BYTES
        ):
            return len(chunk) + _STREAM_TRAILER_BYTES
        self._compressor = trial
        self._data += chunk
        self.count += 1
        return 0

    def finish(self) -> bytes:
        """Returns the packed lines; empty if there are none."""
        if not self.count:
            return b""
        return self._data + self._compressor.flush(zlib.Z_FINISH)


@attrs.frozen
class UnpackedChanges:
    """Changes of a peer.

    Attributes:
        changes: The changes.
        unreadable: Kind and name of the objects whose new value can't be
            decoded; the others are complete without them.
    """

    changes: tuple[configuration.Versioned, ...] = ()
    unreadable: frozenset[tuple[configuration.ObjectKind, str]] = frozenset()


@decoding.decoder("packed changes")
def unpack(data: bytes) -> result.Result[UnpackedChanges, str]:
    """Decodes packed changes; an object that can't be decoded is left out."""
    if not data:
        return result.Ok(UnpackedChanges())
    lines = decoding.decompress(
        data, MAX_UNPACKED_BYTES, _compression_dictionary()
    )
    if isinstance(lines, result.Err):
        return lines
    changes = []
    unreadable = set()
    for line in lines.ok_value.splitlines():
        decoded = decoding.decode_json(line, _PackedChange)
        if isinstance(decoded, result.Err):
            return decoded
        packed = decoded.ok_value
        if not 0 < packed.version <= MAX_VERSION:
            return result.Err(f"version {packed.version:.3g}")
        if not 0 <= packed.kind < len(_KINDS):
            continue  # A kind that only a later release knows.
        kind = _KINDS[packed.kind]
        change = _decode_change(kind, packed)
        if change is None:
            unreadable.add((kind, packed.name))
        else:
            changes.append(change)
    return result.Ok(UnpackedChanges(tuple(changes), frozenset(unreadable)))


def _encode_change(change: configuration.Versioned) -> bytes:
    """Returns one change as a line of JSON."""
    body = msgspec.Raw(b"null")
    if change.value is not None:
        body = msgspec.Raw(encode(change.value))
    packed = _PackedChange(
        _KINDS.index(change.kind), change.name, change.version, body
    )
    return msgspec.json.encode(packed) + b"\n"


def _decode_change(
    kind: configuration.ObjectKind, packed: _PackedChange
) -> configuration.Versioned | None:
    """Decodes one change; returns None if its value can't be decoded."""
    value = None
    if bytes(packed.body) != b"null":
        decoded = decode(kind, packed.name, bytes(packed.body))
        if isinstance(decoded, result.Err):
            logger.error(
                "can't decode a configuration object: {}", decoded.err_value
            )
            return None
        value = decoded.ok_value
    return configuration.Versioned(kind, packed.name, packed.version, value)


@functools.cache
def _compression_dictionary() -> bytes:
    """Returns the preset dictionary: text that most changes have in common.

    It is part of the wire format; all peers of one release use the same one.
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
