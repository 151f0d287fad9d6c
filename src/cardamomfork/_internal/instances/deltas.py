"""Spreads the rows of a small versioned table among peers.

A changed row is told to a few peers unasked. A hash of the whole table goes
along; to a peer whose hash differs, a slice of the table is added, a further
one each time, until the hashes agree.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.models import identifiers

MAX_DIFFERING = 256
HEAD_BYTES = 16
DEFAULT_TELLS = 8


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """Hash of the sender's table, and rows."""

    digest: int
    rows: list[msgspec.Raw]


@attrs.define
class _Row:
    """A row's packed form, its hash, and how often to tell it unasked."""

    data: bytes
    fingerprint: int
    tells: int


class DeltaSpreader:
    """Packed rows by key, and what which peer may lack."""

    def __init__(self, max_rows: int) -> None:
        """Starts empty.

        Args:
            max_rows: Most rows held; the longest unchanged go first.
        """
        self._max_rows = max_rows
        self._rows: collections.OrderedDict[str, _Row] = (
            collections.OrderedDict()
        )
        self._hot: dict[str, None] = {}
        self._differing: set[str] = set()
        self._cursor = 0
        self._digest = 0

    def __len__(self) -> int:
        """Returns the rows held."""
        return len(self._rows)

    def put(
        self,
        key: str,
        data: bytes,
        tells: int = DEFAULT_TELLS,
        counted: bool = True,
    ) -> str | None:
        """Sets a row.

        Args:
            key: Its key.
            data: Its packed form.
            tells: How often the change is told unasked.
            counted: Whether the hash covers it. Rows that peers forget at
                different times must not make their tables differ.

        Returns:
            The key of a row dropped to make room, or None.
        """
        self.remove(key)
        dropped = None
        if len(self._rows) >= self._max_rows:
            dropped = next(iter(self._rows))
            self.remove(dropped)
        fingerprint = xxhash.xxh3_64_intdigest(data) if counted else 0
        self._rows[key] = _Row(data, fingerprint, tells)
        self._hot[key] = None
        self._digest ^= fingerprint
        return dropped

    def remove(self, key: str) -> None:
        """Forgets a row."""
        row = self._rows.pop(key, None)
        if row is not None:
            self._digest ^= row.fingerprint
            self._hot.pop(key, None)

    def collect(
        self,
        peer: identifiers.InstanceId,
        budget_bytes: int,
        first: str = "",
    ) -> bytes:
        """Returns the hash and rows for a peer; b"" if there is no room.

        Args:
            peer: For whom.
            budget_bytes: Most bytes.
            first: Key of a row to tell in any case.
        """
        left = budget_bytes - HEAD_BYTES
        if left < 0:
            return b""
        chosen: dict[str, bytes] = {}
        if first in self._rows and len(self._rows[first].data) <= left:
            chosen[first] = self._rows[first].data
            left -= len(chosen[first])
        left = self._add_hot(chosen, left)
        if peer in self._differing:
            self._add_slice(chosen, left)
        if not self._rows and peer not in self._differing:
            return b""
        rows = [msgspec.Raw(data) for data in chosen.values()]
        return msgspec.msgpack.encode((self._digest, rows))

    def _add_hot(self, chosen: dict[str, bytes], left: int) -> int:
        """Adds rows that changed lately; returns the bytes left."""
        for key in list(self._hot):
            row = self._rows[key]
            if key in chosen:
                continue
            if len(row.data) > left:
                break
            chosen[key] = row.data
            left -= len(row.data)
            row.tells -= 1
            if row.tells <= 0:
                del self._hot[key]
        return left

    def read(self, payload: bytes) -> tuple[int, Sequence[bytes]]:
        """Reads a payload into the sender's hash and its packed rows.

        Raises:
            msgspec.DecodeError: The payload can't be read.
        """
        heard = msgspec.msgpack.decode(payload, type=_Payload)
        return heard.digest, [bytes(row) for row in heard.rows]

    def compare(self, sender: identifiers.InstanceId, digest: int) -> None:
        """Notes whether a peer's table differs; call after taking its rows."""
        if digest == self._digest:
            self._differing.discard(sender)
        elif len(self._differing) < MAX_DIFFERING:
            self._differing.add(sender)

    def _add_slice(self, chosen: dict[str, bytes], left: int) -> None:
        """Adds rows from where the last slice ended."""
        keys = sorted(self._rows)
        for step in range(len(keys)):
            key = keys[(self._cursor + step) % len(keys)]
            data = self._rows[key].data
            if len(data) > left:
                self._cursor += step
                return
            if key not in chosen:
                chosen[key] = data
                left -= len(data)
