"""Tells the peers of a data centre who lives, in packed deltas.

Within a data centre the records of its instances are told, between data
centres and within them the summaries of all.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import deltas
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import records

if TYPE_CHECKING:
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.models import identifiers

RETRANSMIT_FACTOR = 3.0
_HEAD_BYTES = 8
_SUMMARY_BYTES = 500


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """Rows of the sender's table, and summaries of data centres."""

    records: bytes
    summaries: bytes


class MembershipGossip:
    """Gossips records of instances and summaries of data centres."""

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> None:
        """Follows a membership table and the other data centres' summaries."""
        self._members = members
        self._others = others
        self._spreader = deltas.DeltaSpreader(membership.MAX_RECORDS)
        self.unreadable = 0
        members.subscribe(self._note)
        for record in members.known():
            self._note(record)

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.MEMBERSHIP

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns summaries and, to a near peer, records that it may lack."""
        left = budget_bytes - _HEAD_BYTES
        if left < 0:
            return b""
        about = self._others.collect(min(left // 3, _SUMMARY_BYTES), now)
        rows = b""
        if scope is gossip.Scope.DATA_CENTRE:
            rows = self._spreader.collect(
                peer, left - len(about), self._suspected(peer)
            )
        return msgspec.msgpack.encode(_Payload(rows, about))

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Merges a peer's records and summaries."""
        try:
            heard = msgspec.msgpack.decode(payload, type=_Payload)
            digest, rows = 0, []
            if heard.records:
                digest, packed = self._spreader.read(heard.records)
                rows = [_read(row) for row in packed]
        except (msgspec.DecodeError, ValueError):
            self.unreadable += 1
            return
        if heard.summaries:
            self._others.absorb(heard.summaries, now)
        for record in rows:
            self._members.hear(record, now)
        if heard.records:
            self._spreader.compare(sender, digest)

    def _suspected(self, peer: identifiers.InstanceId) -> str:
        """Names the peer if it must hear of a report against itself.

        It can refute only what it hears.
        """
        record = self._members.record(peer)
        is_well = record is None or record.health is records.Health.ALIVE
        return "" if is_well else peer

    def _note(self, record: records.Record) -> None:
        """Takes a change as news, for this data centre's peers only."""
        mine = self._members.me.instance.data_centre
        name = record.instance.instance_id
        if record.instance.data_centre != mine:
            return
        if self._members.record(name) is None:
            self._spreader.remove(name)
            return
        size = len(self._members.staying()) + 1
        self._spreader.put(
            name,
            msgspec.msgpack.encode(records.pack(record)),
            tells=math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1)),
            counted=record.health is not records.Health.DEAD,
        )


def _read(row: bytes) -> records.Record:
    """Reads a record; raises ValueError for one that makes no sense."""
    return records.unpack(
        msgspec.msgpack.decode(row, type=records.PackedRecord)
    )
