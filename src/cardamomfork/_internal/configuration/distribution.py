"""Exchanges configuration changes with peers by gossip.

Each payload carries the sender's revision. A reply also carries the changes
that the peer's payload showed to be missing, as far as they fit; later payloads
carry the others. A new revision is also sent in a few payloads that are no
replies. An instance that does not catch up this way counts as behind; it loads
the missing changes or a snapshot by pages.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal import bounded_tables
from cardamomfork._internal import decoding
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import gossip

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers

MAX_PEERS = 1024
LAG_TIMEOUT_S = 2.0
"""Time without progress after which an instance counts as behind."""
MAX_PAGE_BYTES = 65_536
UNSOLICITED_SEND_COUNT = 2
"""Payloads, other than replies, that carry the changes of a new revision."""
MAX_INLINE_CHANGE_BYTES = 1800
"""Largest packed change that fits an envelope; larger ones are fetched."""


class _Payload(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """The gossip payload that one instance sends to another.

    With `must_fetch` set, the next change does not fit an envelope and the
    recipient has to fetch it.
    """

    revision: int
    since: int = 0
    upto: int = 0
    changes: bytes = b""
    must_fetch: bool = False


class _PageRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests the objects from a kind and name on, sorted by both.

    With `since` above 0 it requests the changes after that revision instead;
    the peer sends them only if it still has all of them.
    """

    kind: str = ""
    name: str = ""
    since: int = 0


class _Page(msgspec.Struct, array_like=True, frozen=True):
    """A page of a snapshot.

    `kind` and `name` are where the next page starts; an empty `kind` marks the
    last page. With `since` above 0 the page holds the changes after that
    revision up to `revision`.
    """

    revision: int
    changes: bytes
    kind: str = ""
    name: str = ""
    since: int = 0


@attrs.frozen
class ChangeRange:
    """All changes after one revision, up to and including another.

    Attributes:
        changes: The changes.
        since: Revision after which the range begins.
        upto: Revision with which the range ends.
    """

    changes: tuple[configuration.Versioned, ...]
    since: int
    upto: int


@attrs.define
class DistributionCounters:
    """Counters of received payloads and sent changes.

    Attributes:
        unreadable: Payloads and page requests that could not be decoded.
        changes_sent: Changes sent to peers.
    """

    unreadable: int = 0
    changes_sent: int = 0


_decode_payload = decoding.msgpack_decoder("configuration update", _Payload)
_decode_page_request = decoding.msgpack_decoder(
    "request of a configuration page", _PageRequest
)
_decode_page = decoding.msgpack_decoder("configuration page", _Page)


class ConfigurationGossip:
    """Gossip participant that distributes the configuration."""

    def __init__(
        self,
        held: replica.ConfigurationReplica,
        catch_up: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the participant.

        Args:
            held: This instance's replica of the configuration.
            catch_up: Called after a payload with changes while its sender has
                further ones.
        """
        self._replica = held
        self._catch_up = catch_up
        # Revisions that peers have reported or have been sent.
        self._assumed_revisions: collections.OrderedDict[
            identifiers.InstanceId, int
        ] = collections.OrderedDict()
        # Revisions that peers have reported, with the time of receipt.
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
        """The gossip topic of the payloads."""
        return gossip.Topic.CONFIGURATION

    @property
    def peer_ahead(self) -> identifiers.InstanceId | None:
        """The last peer that reported a newer revision; None without lag."""
        return self._peer_ahead

    def heard_from(
        self, peer: identifiers.InstanceId
    ) -> tuple[int, float] | None:
        """Returns the revision that a peer last reported, and when."""
        return self._reported_revisions.get(peer)

    def is_behind(self, now: float) -> bool:
        """Returns whether this replica has lagged too long without progress."""
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
        """Returns the local revision and the changes that the peer lacks."""
        del scope
        revision = self._replica.revision
        revision_payload = msgspec.msgpack.encode(_Payload(revision))
        known_revision = self._assumed_revisions.get(peer)
        is_reply = self._last_received == (peer, now)
        if not is_reply and self._replica.revision > self._announced_revision:
            self._announced_revision = self._replica.revision
            self._unsolicited_sends_left = UNSOLICITED_SEND_COUNT
        if not is_reply and self._unsolicited_sends_left <= 0:
            # Changes are sent once the peer's reply has shown its revision.
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
        """Returns a payload that has the peer fetch an oversized change.

        Returns `revision_payload` if the change fits an envelope with more free
        space, or if the budget is too small.
        """
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
        """Applies a peer's payload."""
        decoded = _decode_payload(payload)
        if isinstance(decoded, result.Err):
            self.counters.unreadable += 1
            return
        received = decoded.ok_value
        unpacked = codec.unpack(received.changes)
        if isinstance(unpacked, result.Err):
            self.counters.unreadable += 1
            return
        changes = unpacked.ok_value
        self.counters.unreadable += len(changes.unreadable)
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
                changes.changes, received.since, received.upto
            )
        self._update_lag(sender, received.revision, now)
        if received.must_fetch and received.revision > self._replica.revision:
            self._lagging_since = now - LAG_TIMEOUT_S
        if received.upto and received.revision > self._replica.revision:
            self._catch_up()

    def answer_page(self, request: bytes) -> bytes:
        """Returns the page of changes or of the snapshot that a peer requests.

        An empty answer means that the request could not be decoded.
        """
        decoded = _decode_page_request(request)
        if isinstance(decoded, result.Err):
            self.counters.unreadable += 1
            return b""
        page_request = decoded.ok_value
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
        """Returns a page of changes; holds at least one if there are any."""
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
        """Records a peer's revision; evicts the least recently updated."""
        bounded_tables.put_newest(
            self._assumed_revisions, peer, revision, MAX_PEERS
        )

    def _update_lag(
        self, sender: identifiers.InstanceId, revision: int, now: float
    ) -> None:
        """Updates since when this replica lags without progress."""
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
    """Assembles a snapshot from a peer's pages.

    A page with another revision than the one before shows that the peer has
    applied changes meanwhile. Objects may then be missing, so reading starts
    over.
    """

    def __init__(self, since: int = 0) -> None:
        """Starts at the first page.

        Args:
            since: Revision that the local replica has reached. If it is above
                0 and the peer has all changes after it, the peer sends those
                instead of a snapshot.
        """
        self._next_page = _PageRequest(since=since)
        self._revision = 0
        self._entries: list[configuration.Versioned] = []
        self._unreadable: set[tuple[configuration.ObjectKind, str]] = set()

    def next_request(self) -> bytes:
        """Returns the request for the next page."""
        return msgspec.msgpack.encode(self._next_page)

    def take(
        self, response: bytes
    ) -> replica.Snapshot | ChangeRange | bool | None:
        """Adds a page.

        Returns:
            The snapshot after its last page, a range of changes, None if more
            pages follow, or False if the page can't be decoded.
        """
        decoded = _decode_page(response)
        if isinstance(decoded, result.Err):
            return False
        page = decoded.ok_value
        unpacked = codec.unpack(page.changes)
        if isinstance(unpacked, result.Err):
            return False
        entries = unpacked.ok_value
        if page.since > 0:
            return ChangeRange(entries.changes, page.since, page.revision)
        if self._entries and self._revision != page.revision:
            self._next_page = _PageRequest()
            self._entries.clear()
            self._unreadable.clear()
            return None
        self._revision = page.revision
        self._entries += entries.changes
        self._unreadable |= entries.unreadable
        if page.kind:
            self._next_page = _PageRequest(page.kind, page.name)
            return None
        return replica.Snapshot(
            page.revision, tuple(self._entries), frozenset(self._unreadable)
        )


_PAYLOAD_OVERHEAD_BYTES = 40
