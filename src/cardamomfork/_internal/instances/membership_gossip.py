"""Tells the peers of a data centre who lives, in packed deltas.

News is repeated to as many peers as it takes to reach all with high
probability. A hash of the whole table goes along; where it differs, a slice of
the table is added, a further one each time, until the hashes agree.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import membership
from cardamomfork._internal.instances import records

if TYPE_CHECKING:
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.models import identifiers

RETRANSMIT_FACTOR = 3.0
MAX_DIFFERING = 256
_HEAD_BYTES = 24
_SUMMARY_BYTES = 500


class _Payload(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Hash of the sender's table, some of its records, and summaries."""

    digest: int = 0
    news: list[records.PackedRecord] = []
    summaries: bytes = b""


@attrs.define
class _News:
    """A record to be told a few more times."""

    data: bytes
    told: int = 0


class MembershipGossip:
    """Membership's part in the peers' talk within a data centre."""

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> None:
        """Follows a membership table and the other data centres' summaries."""
        self._members = members
        self._others = others
        self._news: dict[identifiers.InstanceId, _News] = {}
        self._differing: set[identifiers.InstanceId] = set()
        self._cursor = 0
        self.unreadable = 0
        members.subscribe(self._note)
        self._note(members.me)

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
        """Returns the hash, the news, and a slice where the hashes differ."""
        left = budget_bytes - _HEAD_BYTES
        if left < 0:
            return b""
        about = self._others.collect(min(left // 3, _SUMMARY_BYTES), now)
        if scope is gossip.Scope.FLEET:
            return msgspec.msgpack.encode((0, [], about))
        left -= len(about)
        chosen: dict[identifiers.InstanceId, bytes] = {}
        about_peer = self._members.record(peer)
        if about_peer and about_peer.health is not records.Health.ALIVE:
            # It can refute only what it hears.
            data = msgspec.msgpack.encode(records.pack(about_peer))
            if len(data) <= left:
                chosen[peer] = data
                left -= len(data)
        left = self._add_news(chosen, left)
        if peer in self._differing:
            self._add_slice(chosen, left)
        return msgspec.msgpack.encode(
            (
                self._digest(),
                [msgspec.Raw(data) for data in chosen.values()],
                about,
            )
        )

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Merges a peer's records."""
        try:
            heard = msgspec.msgpack.decode(payload, type=_Payload)
            news = [records.unpack(packed) for packed in heard.news]
        except (msgspec.DecodeError, ValueError):
            self.unreadable += 1
            return
        for record in news:
            self._members.hear(record, now)
        if heard.summaries:
            self._others.absorb(heard.summaries, now)
        about_sender = self._members.record(sender)
        home = self._members.me.instance.data_centre
        if about_sender and about_sender.instance.data_centre != home:
            return
        if heard.digest == self._digest():
            self._differing.discard(sender)
        elif len(self._differing) < MAX_DIFFERING:
            self._differing.add(sender)

    def _digest(self) -> int:
        """Returns the hash of this data centre's records."""
        return self._members.digest(self._members.me.instance.data_centre)

    def _note(self, record: records.Record) -> None:
        """Takes a change as news, for this data centre's peers only."""
        mine = self._members.me.instance.data_centre
        if record.instance.data_centre == mine:
            self._news[record.instance.instance_id] = _News(
                msgspec.msgpack.encode(records.pack(record))
            )

    def _add_news(
        self, chosen: dict[identifiers.InstanceId, bytes], left: int
    ) -> int:
        """Adds the news told the fewest times; returns the bytes left."""
        size = len(self._members.staying()) + 1
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1))
        for name, news in sorted(self._news.items(), key=lambda i: i[1].told):
            if len(news.data) > left:
                break
            if name not in chosen:
                chosen[name] = news.data
                left -= len(news.data)
            news.told += 1
            if news.told >= limit:
                del self._news[name]
        return left

    def _add_slice(
        self, chosen: dict[identifiers.InstanceId, bytes], left: int
    ) -> None:
        """Adds records from where the last slice ended."""
        mine = self._members.me.instance.data_centre
        table = sorted(
            self._members.known(mine), key=lambda r: r.instance.instance_id
        )
        for step in range(len(table)):
            record = table[(self._cursor + step) % len(table)]
            data = msgspec.msgpack.encode(records.pack(record))
            if len(data) > left:
                self._cursor += step
                return
            if record.instance.instance_id not in chosen:
                chosen[record.instance.instance_id] = data
                left -= len(data)
