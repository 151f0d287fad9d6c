"""Fetches newer configurations from peers.

The store is the first source of a configuration. Peers are the second one, for
an instance whose reads of the store fail or are slow.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING
import zlib

import anyio
import attrs
import httpcore
from loguru import logger
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.gateway.peers import digest_codec

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway.state import fleet_state

STORE_HEAD_START_S = 0.6
"""Time after the report of a newer configuration in which this instance reads
it from the store. Covers the pause after the previous change, in which
followers do not poll."""
FETCH_SPREAD_S = 0.4
"""Random delay before a fetch, in which more peers receive the configuration.
Without it, all instances would fetch from the first peer that has it."""
FETCH_TIMEOUT_S = 1.0
LOCAL_SOURCE_WAIT_S = 0.5
"""Time for which an instance waits for a peer of its data centre to have the
configuration, since bytes between data centres are billed."""
MAX_CONFIGURATION_BYTES = 32_000_000
"""Bound of an answer, as received and decompressed; the store's values have at
most 1 MiB."""
COMPRESSION = b"deflate"
COMPRESSION_LEVEL = 1
"""A configuration of 2,000 routes becomes an eighth of its size in some
milliseconds. Uncompressed, the fetches of a data centre would fill the link of
an instance that polls the store for seconds."""
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
                async with (
                    httpcore.AsyncConnectionPool() as pool,
                    pool.stream(
                        "GET", url, headers=[(b"accept-encoding", COMPRESSION)]
                    ) as response,
                ):
                    content = bytearray()
                    async for part in response.aiter_stream():
                        content += part
                        if len(content) > MAX_CONFIGURATION_BYTES:
                            return result.Err("answer too large")
        except _TRANSPORT_ERRORS as error:
            return result.Err(repr(error))
        body = bytes(content)
        headers = {name.lower(): value for name, value in response.headers}
        if headers.get(b"content-encoding") != COMPRESSION:
            # An earlier build does not compress.
            return digest_codec.decode_configuration(body)
        return decompress(body).and_then(digest_codec.decode_configuration)


def compress(body: bytes) -> bytes:
    """Compresses an answer with a configuration."""
    return zlib.compress(body, COMPRESSION_LEVEL)


@decoding.decoder("compression")
def decompress(data: bytes) -> result.Result[bytes, str]:
    """Decompresses an answer, unless it is malformed or too large."""
    return decoding.decompress(data, MAX_CONFIGURATION_BYTES)


@attrs.frozen
class _Source:
    """A peer with a newer configuration.

    Attributes:
        peer: The peer.
        version: Version of its configuration.
    """

    peer: digest_codec.Peer
    version: int


class ConfigurationFetcher:
    """Fetches a configuration if peers have a newer one for some time."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        transport: Transport,
        rng: random.Random,
        on_applied: Callable[[], None],
        data_centre: str = "",
        relies_on_peers: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the fetcher.

        Args:
            state: Configuration of this instance.
            transport: Fetches from one peer.
            rng: Random generator for the choice of peers and for delays.
            on_applied: Called after a new configuration is in force.
            data_centre: The data centre of this instance, whose peers are
                preferred.
            relies_on_peers: Returns whether this instance does not poll the
                store for configurations.
        """
        self._data_centre = data_centre
        self._relies_on_peers = relies_on_peers
        self._state = state
        self._transport = transport
        self._rng = rng
        self._on_applied = on_applied
        self._sources: dict[str, _Source] = {}
        self._has_sources = anyio.Event()

    def note_peer(self, peer: digest_codec.Peer, version: int) -> None:
        """Records the configuration that a peer has in force.

        Args:
            peer: The peer.
            version: Version of its configuration.
        """
        if version > self._state.version:
            self._sources[peer.instance_id] = _Source(peer, version)
            self._has_sources.set()

    async def run(self) -> None:
        """Fetches newer configurations from peers until cancelled."""
        if self._sources:
            self._has_sources.set()
        while True:
            await self._has_sources.wait()
            if self._relies_on_peers():
                await self._wait_for_local_source()
            elif not self._state.is_store_lost:
                await anyio.sleep(STORE_HEAD_START_S)
            while self._has_newer_source():
                await anyio.sleep(FETCH_SPREAD_S * self._rng.random())
                if self._has_newer_source():
                    await self._fetch(self._take_source())
            self._has_sources = anyio.Event()

    async def _wait_for_local_source(self) -> None:
        """Waits until a peer of this data centre has the configuration."""
        with anyio.move_on_after(LOCAL_SOURCE_WAIT_S):
            while not self._local(list(self._sources.values())):
                self._has_sources = anyio.Event()
                await self._has_sources.wait()

    def _local(self, sources: list[_Source]) -> list[_Source]:
        """Returns the sources in the data centre of this instance."""
        return [
            source
            for source in sources
            if source.peer.data_centre == self._data_centre
        ]

    def _has_newer_source(self) -> bool:
        """Drops sources that are not newer; returns whether any is left."""
        self._sources = {
            instance_id: source
            for instance_id, source in self._sources.items()
            if source.version > self._state.version
        }
        return bool(self._sources)

    def _take_source(self) -> digest_codec.Peer:
        """Removes a random source of the newest version and returns it.

        A source that fails is used again only after its next digest.
        """
        newest_version = max(one.version for one in self._sources.values())
        newest = [
            source
            for source in self._sources.values()
            if source.version == newest_version
        ]
        source = self._rng.choice(self._local(newest) or newest)
        return self._sources.pop(source.peer.instance_id).peer

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
        if self._state.apply_fetched(fetched.ok_value, peer.instance_id):
            self._on_applied()
