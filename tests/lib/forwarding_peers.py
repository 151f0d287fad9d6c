"""An instance that is cut off from targets, and a peer, in one process."""

import contextlib
import random
import time

import anyio
import attrs

from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.paths import target_paths
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import fleet_secret
from cardamomfork._internal.gateway.peers import peer_forwarding_client
from cardamomfork._internal.gateway.peers import peer_forwarding_server
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.links import http_server
from cardamomfork._internal.platform import wire_format

HOST = "127.0.0.1"
SECRET = "the secret of the fleet"
MEMORY_BYTES = 10_000_000


class Reach:
    """Replaces the decision whether targets can be reached."""

    def __init__(self, *, is_isolated=False):
        self.is_isolated = is_isolated


class Peer:
    """An instance that passes requests on to targets."""

    def __init__(self, name, records, data_centre="a"):
        self.name = name
        self.data_centre = data_centre
        self.evacuations = evacuations.Evacuations(is_enabled=True)
        self.evacuations.apply_scan((), 1)
        self.table = target_table.TargetTable(excluded=self.evacuations)
        for record in records:
            self.table.put(record)
        self.reach = Reach()
        self.secret = fleet_secret.FleetSecret()
        self.secret.add(SECRET)
        self.stop = stopping.StopState()
        self.limits = rate_limits.RateLimits(self.table, time.monotonic)
        self.pool = target_pool.TargetConnectionPool(wire_format.WireFormat())
        self.application = peer_forwarding_server.PeerForwardingApplication(
            self.pool,
            self.table,
            self.reach,
            self.secret,
            self.limits,
            target_statements.TargetStatements(self.table, time.monotonic),
            self.stop,
            time.monotonic,
            MEMORY_BYTES,
        )
        self.listener = http_server.open_listener(HOST, 0)
        self.server = None

    def evacuate(self, data_centre):
        """Applies an order to evacuate a data centre."""
        self.evacuations.apply_changes([evacuations.Change(data_centre, 2)], 2)

    @property
    def address(self):
        """Identity and address, as other instances know it."""
        return digest_codec.Peer(
            self.name, self.data_centre, HOST, self.listener.getsockname()[1]
        )

    @contextlib.asynccontextmanager
    async def running(self):
        """Serves while the context is open."""
        state = fleet_state.FleetState(
            wire_format.WireFormat(), self.table, time.monotonic
        )
        self.server = http_server.HttpServer(
            application.PeerApplication(state, self.application), self.listener
        )
        async with self.server.running():
            yield self


class IsolatedInstance:
    """The paths of an instance that is cut off from all targets."""

    def __init__(self, seed=1):
        self.reach = Reach(is_isolated=True)
        self.secret = fleet_secret.FleetSecret()
        self.secret.add(SECRET)
        self.table = peer_table.PeerTable(
            digest_codec.Peer("isolated", "a", HOST, 1), time.monotonic
        )
        wire = wire_format.WireFormat()
        self.client = peer_forwarding_client.PeerForwardingClient(
            "isolated",
            "a",
            self.table,
            self.secret,
            wire,
            time.monotonic,
            random.Random(seed),
        )
        self.paths = target_paths.TargetPaths(
            target_pool.TargetConnectionPool(wire), self.reach, self.client
        )
        self._sequence = 0

    def hear(self, address, **fields):
        """Receives a digest of a peer that reaches targets."""
        self._sequence += 1
        digest = digest_codec.Digest(
            address, 5, self._sequence, 1, 1, 1, False, (), ()
        )
        changes = {"reaches_targets": True} | fields
        self.table.record_digest(attrs.evolve(digest, **changes))


@contextlib.asynccontextmanager
async def running(records, names=("peer",)):
    """Runs peers that an isolated instance knows."""
    isolated = IsolatedInstance()
    async with contextlib.AsyncExitStack() as stack:
        peers = []
        for name in names:
            peer = Peer(name, records)
            await stack.enter_async_context(peer.running())
            isolated.hear(peer.address)
            peers.append(peer)
        yield isolated, peers
        isolated.client.close()
        for peer in peers:
            peer.pool.close()


async def wait_until(check, timeout_s=2.0):
    """Polls a condition; returns whether it became true in time."""
    with anyio.move_on_after(timeout_s):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.01)
    return check()
