"""Which way digests go: straight to few peers, through one per data centre.

Among many instances, a digest that went to each peer by itself would cross
between data centres as often as there are peers there, and hold up the
sender's link. It goes to one peer of each other data centre instead, another
one each time, which passes it on there. No peer carries more than its share,
and one that has just died costs its data centre single digests, which the next
ones make good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway import digest_codec
    from cardamomfork._internal.gateway import peer_table

MAX_STRAIGHT_PEERS = 12
"""Up to so many peers, each is sent its own."""
MIN_PEERS_THERE = 3
"""A data centre with fewer gets each its own."""
FRESH_S = 2.5
"""Time in which a peer that passes digests on must have been heard: two of its
heartbeats."""


@attrs.frozen
class Ways:
    """Receivers of a digest.

    Attributes:
        straight: Peers that keep it to themselves.
        relays: Peers that pass it on in their data centre.
    """

    straight: tuple[digest_codec.Peer, ...]
    relays: tuple[digest_codec.Peer, ...] = ()


class DigestRoutes:
    """Chooses the ways of one instance's digests."""

    def __init__(
        self,
        data_centre: str,
        table: peer_table.PeerTable,
        source: random.Random,
    ) -> None:
        """Takes where this instance runs, its peers, and randomness."""
        self._data_centre = data_centre
        self._table = table
        self._source = source

    def choose(self) -> Ways:
        """Returns the receivers of the next digest."""
        peers = self._table.peers
        if len(peers) <= MAX_STRAIGHT_PEERS:
            return Ways(tuple(peers))
        straight: list[digest_codec.Peer] = []
        relays: list[digest_codec.Peer] = []
        elsewhere: dict[str, list[digest_codec.Peer]] = {}
        for peer in peers:
            if peer.data_centre == self._data_centre:
                straight.append(peer)
            else:
                elsewhere.setdefault(peer.data_centre, []).append(peer)
        heard = self._table.heard_within(FRESH_S)
        for there in elsewhere.values():
            fit = [peer for peer in there if peer.instance_id in heard]
            if len(there) < MIN_PEERS_THERE or not fit:
                straight += there
            else:
                relays.append(self._source.choice(fit))
        return Ways(tuple(straight), tuple(relays))

    def pass_on(self, sender: digest_codec.Peer) -> list[digest_codec.Peer]:
        """Returns the peers to whom a sender's digest is passed on."""
        return [
            peer
            for peer in self._table.peers
            if peer.data_centre == self._data_centre
            and peer.instance_id != sender.instance_id
        ]
