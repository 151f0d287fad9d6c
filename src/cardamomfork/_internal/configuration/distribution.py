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
LAG_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 65_536
UNSOLICITED_SEND_COUNT = 2
MAX_INLINE_CHANGE_BYTES = 1800


class _Payload(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """What one instance tells another.

    `must_fetch` says that the next change fits no envelope and must be fetched.
    """

    revision: int
    since: int = 0
    upto: int = 0
    changes: bytes = b""
    must_fetch: bool = False


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
class ChangeRange:
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
    changes_sent: int = 0


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
        self._assumed_revisions: collections.OrderedDict[
            identifiers.InstanceId, int
        ] = collections.OrderedDict()
        self._reported_revisions: collections.OrderedDict[
            identifiers.InstanceId, tuple[int, float]
        ] = collections.OrderedDict()
        self._last_received: tuple[identifiers.InstanceId, float] | None = None
        self._announced_revision = 0
        self._unsolicited_sends_left = 0
        self._lagging_since: float | None = None
        self._lagging_revision = 0
        self._peer_ahead: identifiers.InstanceId | None = None
        self.counters = DistributionCounters()

    @property
    def topic(self) -> gossip.Topic:
        """The topic of its payloads."""
        return gossip.Topic.CONFIGURATION

    @property
    def peer_ahead(self) -> identifiers.InstanceId | None:
        """The peer that showed the newest revision while we lag, if any."""
        return self._peer_ahead

    def heard_from(
        self, peer: identifiers.InstanceId
    ) -> tuple[int, float] | None:
        """Returns the revision that a peer said it holds, and when."""
        return self._reported_revisions.get(peer)

    def is_behind(self, now: float) -> bool:
        """Tells whether a peer has been ahead for long without progress."""
        return (
            self._lagging_since is not None
            and now - self._lagging_since >= LAG_TIMEOUT_S
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
        revision_payload = msgspec.msgpack.encode(_Payload(revision))
        known_revision = self._assumed_revisions.get(peer)
        is_reply = self._last_received == (peer, now)
        if not is_reply and self._replica.revision > self._announced_revision:
            self._announced_revision = self._replica.revision
            self._unsolicited_sends_left = UNSOLICITED_SEND_COUNT
        if not is_reply and self._unsolicited_sends_left <= 0:
            # What it lacks follows once its answer has shown its revision.
            known_revision = None
        if (
            known_revision is None
            or known_revision >= revision
            or len(revision_payload) > budget_bytes
        ):
            return (
                revision_payload
                if len(revision_payload) <= budget_bytes
                else b""
            )
        changes = self._replica.changes_after(known_revision)
        if changes is None:
            return revision_payload
        available_bytes = budget_bytes - _PAYLOAD_OVERHEAD_BYTES
        packed = codec.pack(changes, revision, available_bytes)
        if packed.upto <= known_revision and not packed.count:
            return self._encode_fetch_hint(
                revision_payload, budget_bytes, packed
            )
        self.counters.changes_sent += packed.count
        self._unsolicited_sends_left -= not is_reply
        self._record_revision(peer, packed.upto)
        return msgspec.msgpack.encode(
            _Payload(revision, known_revision, packed.upto, packed.data)
        )

    def _encode_fetch_hint(
        self,
        revision_payload: bytes,
        budget_bytes: int,
        packed: codec.PackedChanges,
    ) -> bytes:
        """Tells a peer to fetch a change that fits no envelope."""
        fetch_hint = msgspec.msgpack.encode(
            _Payload(self._replica.revision, must_fetch=True)
        )
        fits_envelope = packed.next_bytes <= MAX_INLINE_CHANGE_BYTES
        if fits_envelope or len(fetch_hint) > budget_bytes:
            return revision_payload
        return fetch_hint

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Takes a peer's payload."""
        try:
            received = msgspec.msgpack.decode(payload, type=_Payload)
        except msgspec.DecodeError:
            self.counters.unreadable += 1
            return
        changes = codec.unpack(received.changes)
        if changes.is_err():
            self.counters.unreadable += 1
            return
        self._record_revision(sender, received.revision)
        bounded_tables.put_newest(
            self._reported_revisions,
            sender,
            (received.revision, now),
            MAX_PEERS,
        )
        self._last_received = (sender, now)
        if received.upto > 0:
            self._replica.apply_range(
                changes.unwrap(), received.since, received.upto
            )
        self._update_lag(sender, received.revision, now)
        if received.must_fetch and received.revision > self._replica.revision:
            self._lagging_since = now - LAG_TIMEOUT_S
        if received.upto and received.revision > self._replica.revision:
            self._catch_up()

    def answer_page(self, request: bytes) -> bytes:
        """Answers a newcomer's request for a part of the snapshot."""
        try:
            page_request = msgspec.msgpack.decode(request, type=_PageRequest)
        except msgspec.DecodeError:
            self.counters.unreadable += 1
            return b""
        if page_request.since > 0:
            changes = self._replica.changes_after(page_request.since)
            if changes is not None:
                return self._encode_range(page_request.since, changes)
        snapshot = self._replica.snapshot()
        remaining = [
            entry
            for entry in snapshot.entries
            if (entry.kind.value, entry.name)
            >= (page_request.kind, page_request.name)
        ]
        packed = codec.pack(remaining, 0, MAX_PAGE_BYTES)
        if not packed.count and remaining:
            packed = codec.pack(remaining[:1], 0, codec.MAX_OBJECT_BYTES * 2)
        next_entry = (
            remaining[packed.count] if packed.count < len(remaining) else None
        )
        return msgspec.msgpack.encode(
            _Page(
                snapshot.revision,
                packed.data,
                next_entry.kind.value if next_entry else "",
                next_entry.name if next_entry else "",
            )
        )

    def _encode_range(
        self, since: int, changes: tuple[configuration.Versioned, ...]
    ) -> bytes:
        """Returns a page of changes, at least one if there is one."""
        revision = self._replica.revision
        packed = codec.pack(changes, revision, MAX_PAGE_BYTES)
        if not packed.count and changes:
            packed = codec.pack(changes, revision, packed.next_bytes + 8)
        return msgspec.msgpack.encode(
            _Page(packed.upto, packed.data, since=since)
        )

    def _record_revision(
        self, peer: identifiers.InstanceId, revision: int
    ) -> None:
        """Keeps what a peer holds; forgets the peers heard longest ago."""
        bounded_tables.put_newest(
            self._assumed_revisions, peer, revision, MAX_PEERS
        )

    def _update_lag(
        self, sender: identifiers.InstanceId, revision: int, now: float
    ) -> None:
        """Notes since when this copy lags without catching up."""
        local_revision = self._replica.revision
        if revision <= local_revision:
            if (
                self._peer_ahead == sender
                or local_revision > self._lagging_revision
            ):
                self._lagging_since = self._peer_ahead = None
            return
        self._peer_ahead = sender
        if (
            self._lagging_since is None
            or local_revision > self._lagging_revision
        ):
            self._lagging_since = now
            self._lagging_revision = local_revision


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
        self._next_page = _PageRequest(since=since)
        self._revision = 0
        self._entries: list[configuration.Versioned] = []

    def next_request(self) -> bytes:
        """Returns the request for the next page."""
        return msgspec.msgpack.encode(self._next_page)

    def take(
        self, response: bytes
    ) -> replica.Snapshot | ChangeRange | bool | None:
        """Takes a page.

        Returns:
            The whole snapshot after the last page, a range of changes, None
            if more pages are to come, False if the page can't be read.
        """
        try:
            page = msgspec.msgpack.decode(response, type=_Page)
        except msgspec.DecodeError:
            return False
        entries = codec.unpack(page.changes)
        if entries.is_err():
            return False
        if page.since > 0:
            return ChangeRange(entries.unwrap(), page.since, page.revision)
        if self._entries and self._revision != page.revision:
            self._next_page = _PageRequest()
            self._entries.clear()
            return None
        self._revision = page.revision
        self._entries += entries.unwrap()
        if page.kind:
            self._next_page = _PageRequest(page.kind, page.name)
            return None
        return replica.Snapshot(page.revision, tuple(self._entries))


_PAYLOAD_OVERHEAD_BYTES = 40
