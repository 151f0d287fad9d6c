"""Membership of the entry instances, as seen by this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
from loguru import logger
import result
import xxhash

from cardamomfork._internal import addresses
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.contracts import store

PEER_TIMEOUT_S = 4.0
"""Time since a peer's last digest after which the peer counts as gone."""
FORGET_PEER_AFTER_S = 90.0
"""Time for which a peer that is gone still gets heartbeats, since it may be
behind a network partition that ends."""
MAX_PEERS = 2048
"""Bound of the table; peers that are not heard are forgotten after a time."""
FIRST_DIGEST_TIMEOUT_S = 20.0
"""Time that a peer known only from its store entry has to send a digest."""
MIN_FLEET_WITH_RELAYED_CHANGES = 13
"""In a smaller fleet every instance polls the store."""
POLLERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that poll the store and send its changes to the
others."""
POLLER_MAX_SILENCE_S = 2.2
"""Time since its last digest in which a peer counts as one that polls. Covers
two heartbeats, and leaves time to learn of a leaving target when all pollers of
a data centre fail."""
SMALL_FLEET_DELEGATE_MAX_SILENCE_S = 1.2
"""Time since its last digest in which a peer counts as the delegate in a small
fleet. Covers two heartbeats. Its successor must notice a silent connection and
apply a configuration within 2 s."""


@attrs.frozen
class ForwardingPeer:
    """A peer that can pass requests on to targets.

    Attributes:
        peer: The peer.
        open_requests: Number of requests that it had in progress.
    """

    peer: digest_codec.Peer
    open_requests: int


@attrs.define
class _PeerRecord:
    """State of one peer.

    Attributes:
        peer: Identity and address.
        gone_at: Monotonic time at which the peer counts as gone, unless
            another digest arrives before.
        incarnation: Incarnation in its last digest; 0 before the first digest.
        previous_incarnation: Incarnation before the current one; delayed
            digests of it are dropped.
        is_leaving: Whether it is about to stop.
        sequence: Sequence number of its last digest.
        reaches_targets: Whether it can pass requests on to targets.
        open_requests: Number of requests that it had in progress.
        exchanges_changes: Whether it exchanges changes in the store with peers.
        reaches_store: Whether the store answers it.
        added_at: Time at which it became known.
        leaving_at: Time at which it said that it is about to stop, or None.
        returned_at: Time of the first digest after it had been silent.
        rank: Its rank among the instances.
    """

    peer: digest_codec.Peer
    gone_at: float
    added_at: float
    incarnation: int = 0
    previous_incarnation: int = 0
    is_leaving: bool = False
    sequence: int = -1
    reaches_targets: bool = False
    open_requests: int = 0
    exchanges_changes: bool = False
    reaches_store: bool = False
    leaving_at: float | None = None
    returned_at: float = -math.inf
    rank: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Computes the rank once."""
        self.rank = _rank(self.peer.instance_id)

    @property
    def silent_at(self) -> float:
        """Time from which on it is silent, unless a digest arrives before."""
        if self.incarnation:
            return self.gone_at
        return self.added_at + PEER_TIMEOUT_S


class PeerTable:
    """Table of the known peers."""

    def __init__(
        self, local_peer: digest_codec.Peer, clock: Callable[[], float]
    ) -> None:
        """Initializes an empty table.

        Args:
            local_peer: This instance.
            clock: Monotonic time.
        """
        self._local_peer = local_peer
        self._clock = clock
        self._local_rank = _rank(local_peer.instance_id)
        self._records: dict[str, _PeerRecord] = {}
        self._ip_version = addresses.ip_version(local_peer.host)
        self._faults = entry_faults.EntryFaults("malformed peer entry")

    @property
    def peers(self) -> list[digest_codec.Peer]:
        """Peers that are not gone."""
        now = self._clock()
        return [
            record.peer
            for record in self._records.values()
            if now <= record.gone_at
        ]

    @property
    def dropped_entries(self) -> int:
        """Number of peers' entries dropped so far, with those of scans."""
        return self._faults.dropped

    @property
    def silent_peers(self) -> list[digest_codec.Peer]:
        """Peers that count as gone but have not been forgotten."""
        now = self._clock()
        return [
            record.peer
            for record in self._records.values()
            if now > record.gone_at
        ]

    def active_within(self, seconds: float) -> frozenset[str]:
        """Returns the ids of peers that sent a digest within some seconds."""
        since = self._clock() + PEER_TIMEOUT_S - seconds
        return frozenset(
            instance_id
            for instance_id, record in self._records.items()
            if record.incarnation and record.gone_at >= since
        )

    def forwarding_peers(self, max_age_s: float) -> list[ForwardingPeer]:
        """Returns the peers that can pass requests on to targets.

        Args:
            max_age_s: Greatest age of a peer's last digest, in seconds.
        """
        since = self._clock() + PEER_TIMEOUT_S - max_age_s
        return [
            ForwardingPeer(record.peer, record.open_requests)
            for record in self._records.values()
            if record.incarnation
            and record.reaches_targets
            and not record.is_leaving
            and record.gone_at >= since
        ]

    @property
    def count(self) -> int:
        """Number of instances, including this one."""
        return len(self.peers) + 1

    @property
    def known_count(self) -> int:
        """Number of instances, including this one and silent peers.

        A silent peer may serve callers behind a network partition.
        """
        return len(self._records) + 1

    def is_delegate(self, *, reaches_store: bool) -> bool:
        """Returns whether this instance is the delegate of its data centre.

        The delegate is the instance with the lowest rank of those that the
        store answers and that stay. It polls the store more often than the
        others. If the store answers none, the lowest rank alone decides.

        Args:
            reaches_store: Whether the store answers this instance.
        """
        max_silence_s = (
            SMALL_FLEET_DELEGATE_MAX_SILENCE_S
            if self.count < MIN_FLEET_WITH_RELAYED_CHANGES
            else POLLER_MAX_SILENCE_S
        )
        since = self._clock() + PEER_TIMEOUT_S - max_silence_s
        return not any(
            record.rank < self._local_rank
            and record.incarnation
            and record.gone_at >= since
            and not record.is_leaving
            and record.peer.data_centre == self._local_peer.data_centre
            # An earlier build doesn't say whether the store answers it.
            and (
                record.reaches_store
                or not reaches_store
                or not record.exchanges_changes
            )
            for record in self._records.values()
        )

    def must_poll(self, *, reaches_store: bool) -> bool:
        """Returns whether this instance has to poll the store.

        Others rely on the pollers of their data centre: those of the lowest
        rank that the store answers. The instances of the lowest rank also poll
        while it doesn't answer them, to notice its return.

        Args:
            reaches_store: Whether the store answers this instance.
        """
        if self.count < MIN_FLEET_WITH_RELAYED_CHANGES:
            return True
        before = [
            record
            for record in self._local_exchanging(POLLER_MAX_SILENCE_S)
            if record.rank < self._local_rank
        ]
        if reaches_store:
            before = [record for record in before if record.reaches_store]
        return len(before) < POLLERS_PER_DATA_CENTRE

    def change_recipients(self) -> list[digest_codec.Peer]:
        """Returns the peers to send changes in the store to."""
        return [
            record.peer for record in self._local_exchanging(PEER_TIMEOUT_S)
        ]

    def _local_exchanging(self, max_silence_s: float) -> list[_PeerRecord]:
        """Returns the peers of this data centre that exchange changes.

        Args:
            max_silence_s: Greatest age of a peer's last digest, in seconds.
        """
        since = self._clock() + PEER_TIMEOUT_S - max_silence_s
        return [
            record
            for record in self._records.values()
            if record.exchanges_changes
            and record.gone_at >= since
            and not record.is_leaving
            and record.peer.data_centre == self._local_peer.data_centre
        ]

    def find_owner(
        self, key: str, *, among_peers: bool = False
    ) -> digest_codec.Peer | None:
        """Returns the live instance that owns a key; None for this one.

        All instances choose the same owner by rendezvous hashing, and most
        keys keep theirs when an instance joins or leaves.

        Args:
            key: The key.
            among_peers: Whether this instance is left out. The result is None
                if there is no other.
        """
        now = self._clock()
        owner: digest_codec.Peer | None = None
        best = (
            -1
            if among_peers
            else _rank(f"{self._local_peer.instance_id} {key}")
        )
        for record in self._records.values():
            if (
                not record.incarnation
                or now > record.gone_at
                or record.is_leaving
            ):
                continue
            rank = _rank(f"{record.peer.instance_id} {key}")
            if rank > best:
                owner, best = record.peer, rank
        return owner

    def owned_from(self, key: str) -> float:
        """Returns the time since or from which this instance owns a key.

        It is that at which the last peer before it in the order of owners
        stopped to count: it became silent, or said that it is about to stop.
        It is in the future while such a peer counts, and minus infinity if
        there is none. A peer that has never been heard counts until it is
        silent.
        """
        local = _rank(f"{self._local_peer.instance_id} {key}")
        ends = [-math.inf]
        for record in self._records.values():
            if _rank(f"{record.peer.instance_id} {key}") > local:
                ends.append(
                    record.silent_at
                    if record.leaving_at is None
                    else min(record.leaving_at, record.silent_at)
                )
        return max(ends)

    def has_silence_since(self, since: float) -> bool:
        """Returns whether a peer has been silent at any time since then.

        Peers that said that they are about to stop don't count.

        Args:
            since: Monotonic time.
        """
        now = self._clock()
        return any(
            not record.is_leaving
            and (now > record.silent_at or record.returned_at >= since)
            for record in self._records.values()
        )

    def add_entries(self, entries: Iterable[store.Entry]) -> None:
        """Adds the peers registered in the store."""
        for entry in entries:
            with self._faults.contained(entry.key, entry.version):
                decoded = digest_codec.decode_peer(entry.value)
                if isinstance(decoded, result.Err):
                    self._faults.record(
                        entry.key, entry.version, decoded.err_value
                    )
                elif not self._may_record(decoded.ok_value):
                    self._faults.record(
                        entry.key,
                        entry.version,
                        "other address family, or too many peers",
                    )
                elif (
                    decoded.ok_value.instance_id != self._local_peer.instance_id
                ):
                    self.upsert(decoded.ok_value)
        self._faults.summarize()

    def _may_record(self, peer: digest_codec.Peer) -> bool:
        """Returns whether a peer's address can be sent to, and it has room."""
        return self._ip_version in (
            None,
            addresses.ip_version(peer.host),
        ) and (
            peer.instance_id in self._records or len(self._records) < MAX_PEERS
        )

    def record_digest(self, digest: digest_codec.Digest) -> bool:
        """Records a digest.

        Returns:
            Whether the digest is newer than all earlier ones of its sender.
        """
        if not self._may_record(digest.sender):
            return False
        record = self.upsert(digest.sender)
        now = self._clock()
        was_silent = now > record.silent_at
        if digest.incarnation == record.incarnation:
            if digest.sequence <= record.sequence:
                return False
        elif digest.incarnation == record.previous_incarnation:
            return False
        else:
            record.previous_incarnation = record.incarnation
            record.incarnation = digest.incarnation
        record.sequence = digest.sequence
        if was_silent:
            record.returned_at = now
        if not digest.is_leaving:
            record.leaving_at = None
        elif record.leaving_at is None:
            record.leaving_at = now
        record.is_leaving = digest.is_leaving
        record.reaches_targets = digest.reaches_targets
        record.open_requests = digest.open_requests
        record.exchanges_changes = digest.exchanges_changes
        record.reaches_store = digest.reaches_store
        record.gone_at = now + PEER_TIMEOUT_S
        return True

    def upsert(self, peer: digest_codec.Peer) -> _PeerRecord:
        """Returns the record of a peer; a changed peer gets a new record."""
        record = self._records.get(peer.instance_id)
        if record is None or record.peer != peer:
            now = self._clock()
            record = _PeerRecord(peer, now + FIRST_DIGEST_TIMEOUT_S, now)
            self._records[peer.instance_id] = record
            logger.info("peer known", peer=peer.instance_id)
        return record

    def expire(self) -> None:
        """Forgets peers that have been gone for `FORGET_PEER_AFTER_S`."""
        now = self._clock()
        for instance_id, record in list(self._records.items()):
            if now > record.gone_at + FORGET_PEER_AFTER_S:
                del self._records[instance_id]
                logger.info("peer forgotten", peer=instance_id)


def _rank(text: str) -> int:
    """Returns a hash of a text, which ranks instances."""
    return xxhash.xxh3_64_intdigest(text.encode())
