"""Fetches newer configurations from peers.

The store is the first source of a configuration. Peers are the second one, for
an instance whose reads of the store fail or are slow.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import httpcore
from loguru import logger
import result

from cardamomfork._internal.gateway import digest_codec

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway import fleet_state

FETCH_TIMEOUT_S = 1.0
CONFIGURATION_PATH = "/configuration"
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


class Transport(Protocol):
    """Fetches the configuration of a peer."""

    async def fetch(
        self, peer: digest_codec.Peer
    ) -> result.Result[fleet_state.StoredConfiguration, str]:
        """Returns the configuration, or the reason of the failure."""
        ...


class HttpTransport:
    """Fetches configurations over HTTP."""

    async def fetch(
        self, peer: digest_codec.Peer
    ) -> result.Result[fleet_state.StoredConfiguration, str]:
        """Returns the configuration, or the reason of the failure."""
        url = f"http://{peer.host}:{peer.port}{CONFIGURATION_PATH}"
        # Connections are not reused: an idle one may have been cut without
        # notice, and a new one is cheap.
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request("GET", url)
        except _TRANSPORT_ERRORS as error:
            return result.Err(repr(error))
        return digest_codec.decode_configuration(response.content)


class ConfigurationFetcher:
    """Fetches a configuration if peers have a newer one for some time."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        transport: Transport,
        rng: random.Random,
    ) -> None:
        """Initializes the fetcher.

        Args:
            state: Configuration of this instance.
            transport: Fetches from one peer.
            rng: Random generator for the choice of peers and for delays.
        """
        self._state = state
        self._transport = transport
        self._rng = rng
        self._newer_peer: digest_codec.Peer | None = None
        self._newer_peer_event = anyio.Event()

    def note_peer(self, peer: digest_codec.Peer, revision: int) -> None:
        """Records the configuration that a peer has in force.

        Args:
            peer: The peer.
            revision: Store revision of its configuration.
        """
        if revision > self._state.revision:
            self._newer_peer = peer
            self._newer_peer_event.set()

    async def run(self) -> None:
        """Fetches newer configurations from peers until cancelled."""
        while True:
            await self._newer_peer_event.wait()
            self._newer_peer_event = anyio.Event()
            peer, self._newer_peer = self._newer_peer, None
            if peer is not None:
                await self._fetch(peer)

    async def _fetch(self, peer: digest_codec.Peer) -> None:
        """Fetches the configuration of a peer and applies it if it is newer."""
        fetched = await self._transport.fetch(peer)
        if isinstance(fetched, result.Err):
            logger.info(
                "configuration not fetched",
                peer=peer.instance_id,
                reason=fetched.err_value,
            )
            return
        stored = fetched.ok_value
        self._state.apply_configuration(
            stored.value, stored.revision, f"peer {peer.instance_id}"
        )
