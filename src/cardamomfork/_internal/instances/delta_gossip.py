"""Gossip protocol that replicates the rows of a small versioned table.

A changed row is pushed to the next few peers. Each payload contains a digest of
the sender's table. A peer whose digest differs also receives a slice of the
table in each payload, and the next slice follows in the next payload, until
the digests agree.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from cardamomfork._internal import decoding

if TYPE_CHECKING:
    from collections.abc import Sequence

    import result

    from cardamomfork._internal.models import identifiers

MAX_DIVERGENT_PEERS = 256
HEADER_BYTES = 16
DEFAULT_TRANSMISSIONS = 8


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """Wire format: digest of the sender's table, and rows."""

    digest: int
    rows: list[msgspec.Raw]


@attrs.define
class _Row:
    """A row of the table.

    Attributes:
        data: Encoded row.
        fingerprint: Hash of the encoded row; 0 if it is not in the digest.
        transmissions: Remaining number of payloads that push the row.
    """

    data: bytes
    fingerprint: int
    transmissions: int


_decode_payload = decoding.msgpack_decoder("gossip rows", _Payload)


class DeltaGossip:
    """Encoded rows by key, and the peers whose tables differ."""

    def __init__(self, max_rows: int) -> None:
        """Initializes an empty table.

        Args:
            max_rows: Maximum number of rows; the row that has been unchanged
                for longest is evicted first.
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
        """Returns the number of rows."""
        return len(self._rows)

    def put(
        self,
        key: str,
        data: bytes,
        transmissions: int = DEFAULT_TRANSMISSIONS,
        in_digest: bool = True,
    ) -> str | None:
        """Inserts or replaces a row.

        Args:
            key: Key of the row.
            data: Encoded row.
            transmissions: Number of payloads that push the change.
            in_digest: Whether the digest covers the row. False for rows that
                peers expire at different times, as these would make the
                digests differ.

        Returns:
            The key of the row that was evicted, or None.
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
        """Removes a row, if it exists."""
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
        """Returns a payload for a peer.

        Args:
            peer: Recipient.
            budget_bytes: Maximum size of the payload.
            priority_key: Key of a row that is sent first, even if it is not
                pending.

        Returns:
            The payload; b"" if the budget is too small or there is nothing to
            send.
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
        """Adds rows with pending transmissions; returns the remaining bytes."""
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

    def read(
        self, payload: bytes
    ) -> result.Result[tuple[int, Sequence[bytes]], str]:
        """Decodes a payload into the sender's digest and its encoded rows."""
        return _decode_payload(payload).map(
            lambda received: (
                received.digest,
                [bytes(row) for row in received.rows],
            )
        )

    def compare(self, sender: identifiers.InstanceId, digest: int) -> None:
        """Records whether a peer's table differs; call after a merge."""
        if digest == self._digest:
            self._divergent_peers.discard(sender)
        elif len(self._divergent_peers) < MAX_DIVERGENT_PEERS:
            self._divergent_peers.add(sender)

    def _add_table_slice(
        self, selected_rows: dict[str, bytes], remaining_bytes: int
    ) -> None:
        """Adds rows, beginning where the previous slice ended."""
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
