"""Tests that each fetch of a configuration uses a new connection."""

import asyncio
import contextlib
import random
import unittest

from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.store import key_set
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.standins import platform_site
from tests.lib import gateway_parts

HOST = "127.0.0.1"
MEGABYTE = 1_000_000
FETCH_WAIT_S = configuration_fetching.FETCH_TIMEOUT_S / 2


class PeerSilentAfterFirstAnswer:
    """A peer whose connections send nothing after their first answer."""

    def __init__(self):
        self.revision = 0
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        value = platform_site.make_configuration(self.revision, (), (), {})
        stored = fleet_state.StoredConfiguration(value, self.revision)
        body = digest_codec.encode_configuration(stored)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        await reader.read()
        writer.close()


class FakeFollower:
    """Replaces the follower of the targets' entries."""

    last_change_revision = 0
    known_keys = key_set.KnownKeys()

    def note_peer_revision(self, revision):
        del revision

    def note_peer_keys(self, known):
        del known


def make_links(state, fetcher, clock):
    """Returns the peer links of an instance with an empty peer table."""
    local_peer = digest_codec.Peer("one", "a", HOST, 1)
    table = peer_table.PeerTable(local_peer, clock)
    targets = target_table.TargetTable()
    limits = rate_limits.RateLimits(targets, clock)
    return peer_links.PeerLinks(
        local_peer,
        table,
        digest_recipients.RecipientSelector("a", table, random.Random(1)),
        load_view.LoadView(),
        state,
        fetcher,
        poison_guard.PoisonGuard(),
        limits,
        gateway_parts.make_permits(limits, clock),
        cold_targets.ColdTargets(targets, clock),
        FakeFollower(),
        FakeFollower(),
        clock,
        lambda: None,
    )


class FetchTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_connection_does_not_delay_the_next_fetch(self):
        clock = gateway_parts.Clock()
        state = fleet_state.FleetState(
            wire_format.WireFormat(), target_table.TargetTable(), clock
        )
        state.store_lost("there is none")
        fetcher = configuration_fetching.ConfigurationFetcher(
            state,
            configuration_fetching.HttpTransport(),
            random.Random(1),
            lambda: None,
        )
        links = make_links(state, fetcher, clock)
        peer = PeerSilentAfterFirstAnswer()
        server = await asyncio.start_server(peer.serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        fetching = asyncio.create_task(fetcher.run())
        for revision in (1, 2, 3):
            peer.revision = revision
            sender = digest_codec.Peer("two", "b", HOST, port)
            digest = digest_codec.Digest(
                sender, 5, revision, revision, revision, 0, False, (), ()
            )
            data = peer_links.NO_RELAY + digest_codec.encode(digest, clock())
            links.datagram_received(data, (HOST, port))
            await asyncio.sleep(FETCH_WAIT_S)
            self.assertEqual(state.revision, revision)
        fetching.cancel()
        await asyncio.gather(fetching, return_exceptions=True)
        server.close()

    async def test_endless_answer_of_a_peer_does_not_fill_the_memory(self):
        sent = 0

        async def serve(reader, writer):
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n"
            )
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(bytes(MEGABYTE))
                    await writer.drain()
                    sent += MEGABYTE
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        fetched = await configuration_fetching.HttpTransport().fetch(
            digest_codec.Peer("two", "b", HOST, port)
        )
        self.assertTrue(fetched.is_err())
        limit = configuration_fetching.MAX_CONFIGURATION_BYTES
        self.assertLess(sent, limit + 16 * MEGABYTE)
        server.close()


if __name__ == "__main__":
    unittest.main()
