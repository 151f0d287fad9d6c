"""Which other entry instances there are."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger
import msgspec
import xxhash

from cardamomfork._internal.gateway import digest_codec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.contracts import store

SILENT_PEER_S = 4.0
"""A peer that has been silent for so long counts as gone."""
FORGET_PEER_S = 90.0
"""Time for which heartbeats still go to a peer that is gone, since a partition
may end."""
FIRST_WORD_S = 20.0
"""Time that a peer known only from its entry has for its first digest."""


@attrs.define
class _Known:
    """A peer, and when it was last heard.

    Attributes:
        peer: Where it is reached.
        silent_at: Monotonic time at which it counts as gone.
        incarnation: Of its last digest.
        former: Incarnation before that; its late digests are dropped.
        sequence: Of its last digest.
    """

    peer: digest_codec.Peer
    silent_at: float
    incarnation: int = 0
    former: int = 0
    sequence: int = -1


class PeerTable:
    """Which peers there are."""

    def __init__(
        self, own: digest_codec.Peer, clock: Callable[[], float]
    ) -> None:
        """Starts alone."""
        self._own = own
        self._clock = clock
        self._known: dict[str, _Known] = {}

    @property
    def peers(self) -> list[digest_codec.Peer]:
        """Peers that have been heard of lately."""
        now = self._clock()
        return [
            known.peer
            for known in self._known.values()
            if now <= known.silent_at
        ]

    @property
    def silent_peers(self) -> list[digest_codec.Peer]:
        """Peers that count as gone, and may come back."""
        now = self._clock()
        return [
            known.peer
            for known in self._known.values()
            if now > known.silent_at
        ]

    def heard_within(self, seconds: float) -> frozenset[str]:
        """Returns the ids of peers whose last digest is at most so old."""
        since = self._clock() + SILENT_PEER_S - seconds
        return frozenset(
            instance_id
            for instance_id, known in self._known.items()
            if known.incarnation and known.silent_at >= since
        )

    @property
    def count(self) -> int:
        """Instances, this one included."""
        return len(self.peers) + 1

    def is_delegate(self) -> bool:
        """Whether this instance asks the store for its data centre."""
        own = _rank(self._own.instance_id)
        now = self._clock()
        return not any(
            known.incarnation
            and now <= known.silent_at
            and known.peer.data_centre == self._own.data_centre
            and _rank(known.peer.instance_id) < own
            for known in self._known.values()
        )

    def read(self, entries: Iterable[store.Entry]) -> None:
        """Takes the entries of the store."""
        for entry in entries:
            try:
                peer = msgspec.json.decode(entry.value, type=digest_codec.Peer)
            except msgspec.DecodeError as error:
                logger.warning(
                    "entry names no peer", name=entry.key, reason=str(error)
                )
                continue
            if peer.instance_id != self._own.instance_id:
                self.learn(peer)

    def hear(self, digest: digest_codec.Digest) -> bool:
        """Takes a digest's sender; returns whether the digest is news."""
        known = self.learn(digest.sender)
        if digest.incarnation == known.incarnation:
            if digest.sequence <= known.sequence:
                return False
        elif digest.incarnation == known.former:
            return False
        else:
            known.former = known.incarnation
            known.incarnation = digest.incarnation
        known.sequence = digest.sequence
        known.silent_at = self._clock() + SILENT_PEER_S
        return True

    def learn(self, peer: digest_codec.Peer) -> _Known:
        """Returns what is known of a peer, as it is reached now."""
        known = self._known.get(peer.instance_id)
        if known is None or known.peer != peer:
            known = _Known(peer, self._clock() + FIRST_WORD_S)
            self._known[peer.instance_id] = known
            logger.info("peer known", peer=peer.instance_id)
        return known

    def expire(self) -> None:
        """Forgets peers that have been gone for long."""
        now = self._clock()
        for instance_id, known in list(self._known.items()):
            if now > known.silent_at + FORGET_PEER_S:
                del self._known[instance_id]
                logger.info("peer forgotten", peer=instance_id)


def _rank(instance_id: str) -> int:
    """Returns a fixed pseudo-random rank of an instance."""
    return xxhash.xxh3_64_intdigest(instance_id.encode())
