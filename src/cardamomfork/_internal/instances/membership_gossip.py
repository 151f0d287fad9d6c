"""Gossips membership records and data centre summaries.

Records of instances are only sent to peers of the same data centre. Summaries
of all data centres are sent to all peers.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import delta_gossip
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import records

if TYPE_CHECKING:
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.models import identifiers

TRANSMISSION_FACTOR = 3.0
"""Transmissions of a change per binary logarithm of the member count."""
_HEADER_BYTES = 8
_MAX_SUMMARY_BYTES = 500


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """Wire format: rows of the sender's table, and encoded summaries."""

    records: bytes
    summaries: bytes


_decode_payload = decoding.msgpack_decoder("membership update", _Payload)
_decode_packed_record = decoding.msgpack_decoder(
    "packed record of an instance", records.PackedRecord
)


class MembershipGossip:
    """Gossip participant for membership records and summaries.

    Attributes:
        unreadable: Payloads dropped because they could not be decoded.
    """

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> None:
        """Initializes the participant and subscribes to the table.

        Args:
            members: Membership table.
            others: Summaries of the data centres.
        """
        self._members = members
        self._summaries = others
        self._delta_gossip = delta_gossip.DeltaGossip(membership.MAX_RECORDS)
        self.unreadable = 0
        members.subscribe(self._update_row)
        for record in members.known():
            self._update_row(record)

    @property
    def topic(self) -> gossip.Topic:
        """Topic of the payloads."""
        return gossip.Topic.MEMBERSHIP

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns a payload of summaries and, to a local peer, of records.

        Args:
            peer: Recipient.
            scope: Whether the recipient is in the local data centre.
            budget_bytes: Maximum size of the payload.
            now: Monotonic time, in seconds.
        """
        remaining_bytes = budget_bytes - _HEADER_BYTES
        if remaining_bytes < 0:
            return b""
        packed_summaries = self._summaries.collect(
            min(remaining_bytes // 3, _MAX_SUMMARY_BYTES), now
        )
        rows = b""
        if scope is gossip.Scope.DATA_CENTRE:
            rows = self._delta_gossip.collect(
                peer,
                remaining_bytes - len(packed_summaries),
                self._priority_key(peer),
            )
        return msgspec.msgpack.encode(_Payload(rows, packed_summaries))

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Merges a peer's records and summaries; drops malformed payloads."""
        decoded = _decode_payload(payload)
        if isinstance(decoded, result.Err):
            self.unreadable += 1
            return
        received = decoded.ok_value
        if received.summaries:
            self._summaries.absorb(received.summaries, now)
        if not received.records:
            return
        read = self._delta_gossip.read(received.records)
        if isinstance(read, result.Err):
            self.unreadable += 1
            return
        digest, rows = read.ok_value
        for row in rows:
            record = _decode_record(row)
            if isinstance(record, result.Err):
                self.unreadable += 1
                continue
            self._members.hear(record.ok_value, now)
        self._delta_gossip.compare(sender, digest)

    def _priority_key(self, peer: identifiers.InstanceId) -> str:
        """Returns the peer's key if the peer is suspected or dead, else "".

        The peer must receive the report about itself to refute it.
        """
        record = self._members.record(peer)
        is_healthy = record is None or record.health is records.Health.ALIVE
        return "" if is_healthy else peer

    def _update_row(self, record: records.Record) -> None:
        """Updates the gossip row of a changed local record."""
        local_data_centre = self._members.me.instance.data_centre
        name = record.instance.instance_id
        if record.instance.data_centre != local_data_centre:
            return
        if self._members.record(name) is None:
            self._delta_gossip.remove(name)
            return
        member_count = len(self._members.staying()) + 1
        self._delta_gossip.put(
            name,
            msgspec.msgpack.encode(records.pack(record)),
            transmissions=math.ceil(
                TRANSMISSION_FACTOR * math.log2(member_count + 1)
            ),
            in_digest=record.health is not records.Health.DEAD,
        )


@decoding.decoder("record of an instance")
def _decode_record(row: bytes) -> result.Result[records.Record, str]:
    """Decodes a record."""
    return _decode_packed_record(row).map(records.unpack)
