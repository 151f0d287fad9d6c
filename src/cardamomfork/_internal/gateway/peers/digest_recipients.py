"""Selects the recipients of digests.

In a small fleet, an instance sends each digest to every peer directly. In a
large fleet that would send one copy per remote peer between data centres and
congest the sender's link. There, a digest goes to one relay in each remote data
centre, which forwards it to the other instances of that data centre.

The relay is selected at random for each digest. This spreads the load, and a
relay that has just died loses only single digests. Each digest holds the full
state of its sender, so the next one replaces a lost one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.peers import peer_table

MAX_DIRECT_PEERS = 12
"""With more peers, digests to other data centres go through relays."""
MIN_PEERS_FOR_RELAY = 3
"""Peers of a data centre with fewer instances get digests directly."""
RELAY_MAX_SILENCE_S = 2.5
"""Maximum age of the last digest from a peer that may be selected as a relay.
Covers two heartbeats."""


@attrs.frozen
class Recipients:
    """Recipients of a digest.

    Attributes:
        direct: Peers that do not forward it.
        relays: Peers that forward it within their data centre.
    """

    direct: tuple[digest_codec.Peer, ...]
    relays: tuple[digest_codec.Peer, ...] = ()


class RecipientSelector:
    """Selects the recipients of the digests of one instance."""

    def __init__(
        self,
        data_centre: str,
        table: peer_table.PeerTable,
        rng: random.Random,
    ) -> None:
        """Initializes the selector.

        Args:
            data_centre: Data centre of this instance.
            table: Peers of this instance.
            rng: Random generator for the selection of relays.
        """
        self._data_centre = data_centre
        self._table = table
        self._rng = rng

    def select(self) -> Recipients:
        """Returns the recipients of the next digest of this instance."""
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
        """Returns the local peers to forward a sender's digest to."""
        return [
            peer
            for peer in self._table.peers
            if peer.data_centre == self._data_centre
            and peer.instance_id != sender.instance_id
        ]
