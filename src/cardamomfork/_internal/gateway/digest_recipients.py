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

MAX_DIRECT_PEERS = 12
"""Up to so many peers, each is sent its own."""
MIN_PEERS_FOR_RELAY = 3
"""A data centre with fewer gets each its own."""
RELAY_MAX_SILENCE_S = 2.5
"""Time in which a peer that passes digests on must have been heard: two of its
heartbeats."""


@attrs.frozen
class Recipients:
    """Receivers of a digest.

    Attributes:
        straight: Peers that keep it to themselves.
        relays: Peers that pass it on in their data centre.
    """

    direct: tuple[digest_codec.Peer, ...]
    relays: tuple[digest_codec.Peer, ...] = ()


class RecipientSelector:
    """Chooses the ways of one instance's digests."""

    def __init__(
        self,
        data_centre: str,
        table: peer_table.PeerTable,
        rng: random.Random,
    ) -> None:
        """Takes where this instance runs, its peers, and randomness."""
        self._data_centre = data_centre
        self._table = table
        self._rng = rng

    def select(self) -> Recipients:
        """Returns the receivers of the next digest."""
        peers = self._table.peers
        if len(peers) <= MAX_DIRECT_PEERS:
            return Recipients(tuple(peers))
        direct: list[digest_codec.Peer] = []
        relays: list[digest_codec.Peer] = []
        by_data_centre: dict[str, list[digest_codec.Peer]] = {}
        for peer in peers:
            if peer.data_centre == self._data_centre:
                direct.append(peer)
            else:
                by_data_centre.setdefault(peer.data_centre, []).append(peer)
        active_ids = self._table.active_within(RELAY_MAX_SILENCE_S)
        for remote_peers in by_data_centre.values():
            candidates = [
                peer for peer in remote_peers if peer.instance_id in active_ids
            ]
            if len(remote_peers) < MIN_PEERS_FOR_RELAY or not candidates:
                direct += remote_peers
            else:
                relays.append(self._rng.choice(candidates))
        return Recipients(tuple(direct), tuple(relays))

    def select_local(
        self, sender: digest_codec.Peer
    ) -> list[digest_codec.Peer]:
        """Returns the peers to whom a sender's digest is passed on."""
        return [
            peer
            for peer in self._table.peers
            if peer.data_centre == self._data_centre
            and peer.instance_id != sender.instance_id
        ]
