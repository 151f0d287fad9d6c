"""Tells peers of configuration changes and hears of theirs.

Each payload carries the sender's revision. An answer adds the changes that the
asker has just shown to lack, as far as they fit; the rest follows in later
payloads. New changes are also told a few times unasked. One that can't be
caught up that way is `behind` and loads a snapshot.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import gossip

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers

MAX_PEERS = 1024
BEHIND_AFTER_S = 2.0
PAGE_BYTES = 65_536
HOT_TELLS = 2
LARGE_BYTES = 1800


class _Payload(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """What one instance tells another.

    `is_large` says that the next change fits no envelope and must be fetched.
    """

    revision: int
    since: int = 0
    upto: int = 0
    changes: bytes = b""
    is_large: bool = False


class _PageRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for the objects from a place on, in order of kind and name.

    With `since` above 0 it asks for the changes after a revision instead,
    where the peer still knows them all.
    """

    kind: str = ""
    name: str = ""
    since: int = 0


class _Page(msgspec.Struct, array_like=True, frozen=True):
    """A part of a snapshot; an empty `kind` ends it.

    With `since` above 0 it holds the changes from there up to `revision`.
    """

    revision: int
    changes: bytes
    kind: str = ""
    name: str = ""
    since: int = 0


@attrs.frozen
class Range:
    """Changes after one revision up to another.

    Attributes:
        changes: The changes.
        since: Revision that they begin after.
        upto: Revision that they bring a reader to.
    """

    changes: tuple[configuration.Versioned, ...]
    since: int
    upto: int


@attrs.define
class DistributionCounters:
    """Payloads that came in.

    Attributes:
        unreadable: Payloads dropped because they could not be read.
        told: Changes told to peers.
    """

    unreadable: int = 0
    told: int = 0


class ConfigurationGossip:
    """The configuration's part in the peers' talk."""

    def __init__(
        self,
        held: replica.ConfigurationReplica,
        catch_up: Callable[[], None] = lambda: None,
    ) -> None:
        """Takes this instance's copy.

        Args:
            held: The copy.
            catch_up: Called while a peer is known to hold more changes.
        """
        self._replica = held
        self._catch_up = catch_up
        self._revisions: collections.OrderedDict[
            identifiers.InstanceId, int
        ] = collections.OrderedDict()
        self._heard: collections.OrderedDict[
            identifiers.InstanceId, tuple[int, float]
        ] = collections.OrderedDict()
        self._asked: tuple[identifiers.InstanceId, float] | None = None
        self._hot_revision = 0
        self._hot_tells = 0
        self._behind_since: float | None = None
        self._behind_at = 0
        self._ahead: identifiers.InstanceId | None = None
        self.counters = DistributionCounters()

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.CONFIGURATION

    @property
    def peer_ahead(self) -> identifiers.InstanceId | None:
        """The peer that showed the newest revision while we lag, if any."""
        return self._ahead

    def heard_from(
        self, peer: identifiers.InstanceId
    ) -> tuple[int, float] | None:
        """Returns the revision that a peer said it holds, and when."""
        return self._heard.get(peer)

    def is_behind(self, now: float) -> bool:
        """Tells whether a peer has been ahead for long without progress."""
        return (
            self._behind_since is not None
            and now - self._behind_since >= BEHIND_AFTER_S
        )

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns this instance's revision and what the peer lacks."""
        del scope
        revision = self._replica.revision
        digest = msgspec.msgpack.encode(_Payload(revision))
        known = self._revisions.get(peer)
        asked = self._asked == (peer, now)
        if not asked and self._replica.revision > self._hot_revision:
            self._hot_revision = self._replica.revision
            self._hot_tells = HOT_TELLS
        if not asked and self._hot_tells <= 0:
            # What it lacks follows once its answer has shown its revision.
            known = None
        if known is None or known >= revision or len(digest) > budget_bytes:
            return digest if len(digest) <= budget_bytes else b""
        changes = self._replica.changes_after(known)
        if changes is None:
            return digest
        room = budget_bytes - _PAYLOAD_HEAD_BYTES
        packed = codec.pack(changes, revision, room)
        if packed.upto <= known and not packed.count:
            return self._point_to_large(digest, budget_bytes, packed)
        self.counters.told += packed.count
        self._hot_tells -= not asked
        self._note(peer, packed.upto)
        return msgspec.msgpack.encode(
            _Payload(revision, known, packed.upto, packed.data)
        )

    def _point_to_large(
        self, digest: bytes, budget_bytes: int, packed: codec.PackedChanges
    ) -> bytes:
        """Tells a peer to fetch a change that fits no envelope."""
        pointer = msgspec.msgpack.encode(
            _Payload(self._replica.revision, is_large=True)
        )
        is_small = packed.next_bytes <= LARGE_BYTES
        if is_small or len(pointer) > budget_bytes:
            return digest
        return pointer

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Takes a peer's payload."""
        try:
            heard = msgspec.msgpack.decode(payload, type=_Payload)
        except msgspec.DecodeError:
            self.counters.unreadable += 1
            return
        changes = codec.unpack(heard.changes)
        if changes.is_err():
            self.counters.unreadable += 1
            return
        self._note(sender, heard.revision)
        bounded_tables.put_newest(
            self._heard, sender, (heard.revision, now), MAX_PEERS
        )
        self._asked = (sender, now)
        if heard.upto > 0:
            self._replica.apply_range(changes.unwrap(), heard.since, heard.upto)
        self._watch_lag(sender, heard.revision, now)
        if heard.is_large and heard.revision > self._replica.revision:
            self._behind_since = now - BEHIND_AFTER_S
        if heard.upto and heard.revision > self._replica.revision:
            self._catch_up()

    def answer_page(self, request: bytes) -> bytes:
        """Answers a newcomer's request for a part of the snapshot."""
        try:
            asked = msgspec.msgpack.decode(request, type=_PageRequest)
        except msgspec.DecodeError:
            self.counters.unreadable += 1
            return b""
        if asked.since > 0:
            changes = self._replica.changes_after(asked.since)
            if changes is not None:
                return self._answer_range(asked.since, changes)
        snapshot = self._replica.snapshot()
        rest = [
            entry
            for entry in snapshot.entries
            if (entry.kind.value, entry.name) >= (asked.kind, asked.name)
        ]
        packed = codec.pack(rest, 0, PAGE_BYTES)
        if not packed.count and rest:
            packed = codec.pack(rest[:1], 0, codec.MAX_OBJECT_BYTES * 2)
        next_ = rest[packed.count] if packed.count < len(rest) else None
        return msgspec.msgpack.encode(
            _Page(
                snapshot.revision,
                packed.data,
                next_.kind.value if next_ else "",
                next_.name if next_ else "",
            )
        )

    def _answer_range(
        self, since: int, changes: tuple[configuration.Versioned, ...]
    ) -> bytes:
        """Returns a page of changes, at least one if there is one."""
        revision = self._replica.revision
        packed = codec.pack(changes, revision, PAGE_BYTES)
        if not packed.count and changes:
            packed = codec.pack(changes, revision, packed.next_bytes + 8)
        return msgspec.msgpack.encode(
            _Page(packed.upto, packed.data, since=since)
        )

    def _note(self, peer: identifiers.InstanceId, revision: int) -> None:
        """Keeps what a peer holds; forgets the peers heard longest ago."""
        bounded_tables.put_newest(self._revisions, peer, revision, MAX_PEERS)

    def _watch_lag(
        self, sender: identifiers.InstanceId, revision: int, now: float
    ) -> None:
        """Notes since when this copy lags without catching up."""
        mine = self._replica.revision
        if revision <= mine:
            if self._ahead == sender or mine > self._behind_at:
                self._behind_since = self._ahead = None
            return
        self._ahead = sender
        if self._behind_since is None or mine > self._behind_at:
            self._behind_since = now
            self._behind_at = mine


class SnapshotReader:
    """Puts the pages of a peer's snapshot together.

    A page of another revision than the first means that the peer has moved
    on: objects may be missing, so the reading starts again.
    """

    def __init__(self, since: int = 0) -> None:
        """Begins at the first page.

        Args:
            since: Revision already held; the peer then answers with the
                changes after it, if it knows them all.
        """
        self._next = _PageRequest(since=since)
        self._revision = 0
        self._entries: list[configuration.Versioned] = []

    def next_request(self) -> bytes:
        """Returns the request for the next page."""
        return msgspec.msgpack.encode(self._next)

    def take(self, answer: bytes) -> replica.Snapshot | Range | bool | None:
        """Takes a page.

        Returns:
            The whole snapshot after the last page, a range of changes, None
            if more pages are to come, False if the page can't be read.
        """
        try:
            page = msgspec.msgpack.decode(answer, type=_Page)
        except msgspec.DecodeError:
            return False
        entries = codec.unpack(page.changes)
        if entries.is_err():
            return False
        if page.since > 0:
            return Range(entries.unwrap(), page.since, page.revision)
        if self._entries and self._revision != page.revision:
            self._next = _PageRequest()
            self._entries.clear()
            return None
        self._revision = page.revision
        self._entries += entries.unwrap()
        if page.kind:
            self._next = _PageRequest(page.kind, page.name)
            return None
        return replica.Snapshot(page.revision, tuple(self._entries))


_PAYLOAD_HEAD_BYTES = 40
