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

MAX_DIVERGENT_PEERS = 256
HEADER_BYTES = 16
DEFAULT_TRANSMISSIONS = 8


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """Hash of the sender's table, and rows."""

    digest: int
    rows: list[msgspec.Raw]


@attrs.define
class _Row:
    """A row's packed form, its hash, and how often to tell it unasked."""

    data: bytes
    fingerprint: int
    transmissions: int


class DeltaGossip:
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
        self._pending_keys: dict[str, None] = {}
        self._divergent_peers: set[str] = set()
        self._cursor = 0
        self._digest = 0

    def __len__(self) -> int:
        """Returns the rows held."""
        return len(self._rows)

    def put(
        self,
        key: str,
        data: bytes,
        transmissions: int = DEFAULT_TRANSMISSIONS,
        in_digest: bool = True,
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
        evicted_key = None
        if len(self._rows) >= self._max_rows:
            evicted_key = next(iter(self._rows))
            self.remove(evicted_key)
        fingerprint = xxhash.xxh3_64_intdigest(data) if in_digest else 0
        self._rows[key] = _Row(data, fingerprint, transmissions)
        self._pending_keys[key] = None
        self._digest ^= fingerprint
        return evicted_key

    def remove(self, key: str) -> None:
        """Forgets a row."""
        row = self._rows.pop(key, None)
        if row is not None:
            self._digest ^= row.fingerprint
            self._pending_keys.pop(key, None)

    def collect(
        self,
        peer: identifiers.InstanceId,
        budget_bytes: int,
        priority_key: str = "",
    ) -> bytes:
        """Returns the hash and rows for a peer; b"" if there is no room.

        Args:
            peer: For whom.
            budget_bytes: Most bytes.
            first: Key of a row to tell in any case.
        """
        remaining_bytes = budget_bytes - HEADER_BYTES
        if remaining_bytes < 0:
            return b""
        selected_rows: dict[str, bytes] = {}
        if (
            priority_key in self._rows
            and len(self._rows[priority_key].data) <= remaining_bytes
        ):
            selected_rows[priority_key] = self._rows[priority_key].data
            remaining_bytes -= len(selected_rows[priority_key])
        remaining_bytes = self._add_pending_rows(selected_rows, remaining_bytes)
        if peer in self._divergent_peers:
            self._add_table_slice(selected_rows, remaining_bytes)
        if not self._rows and peer not in self._divergent_peers:
            return b""
        rows = [msgspec.Raw(data) for data in selected_rows.values()]
        return msgspec.msgpack.encode((self._digest, rows))

    def _add_pending_rows(
        self, selected_rows: dict[str, bytes], remaining_bytes: int
    ) -> int:
        """Adds rows that changed lately; returns the bytes left."""
        for key in list(self._pending_keys):
            row = self._rows[key]
            if key in selected_rows:
                continue
            if len(row.data) > remaining_bytes:
                break
            selected_rows[key] = row.data
            remaining_bytes -= len(row.data)
            row.transmissions -= 1
            if row.transmissions <= 0:
                del self._pending_keys[key]
        return remaining_bytes

    def read(self, payload: bytes) -> tuple[int, Sequence[bytes]]:
        """Reads a payload into the sender's hash and its packed rows.

        Raises:
            msgspec.DecodeError: The payload can't be read.
        """
        received = msgspec.msgpack.decode(payload, type=_Payload)
        return received.digest, [bytes(row) for row in received.rows]

    def compare(self, sender: identifiers.InstanceId, digest: int) -> None:
        """Notes whether a peer's table differs; call after taking its rows."""
        if digest == self._digest:
            self._divergent_peers.discard(sender)
        elif len(self._divergent_peers) < MAX_DIVERGENT_PEERS:
            self._divergent_peers.add(sender)

    def _add_table_slice(
        self, selected_rows: dict[str, bytes], remaining_bytes: int
    ) -> None:
        """Adds rows from where the last slice ended."""
        keys = sorted(self._rows)
        for offset in range(len(keys)):
            key = keys[(self._cursor + offset) % len(keys)]
            data = self._rows[key].data
            if len(data) > remaining_bytes:
                self._cursor += offset
                return
            if key not in selected_rows:
                selected_rows[key] = data
                remaining_bytes -= len(data)
