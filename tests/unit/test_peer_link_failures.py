"""Failures of the links to peers don't silence an instance."""

import random
import socket
import unittest
import unittest.mock

import anyio
import loguru

from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.peers import change_codec
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.store import key_set
from tests.lib import gateway_parts

HOST = "127.0.0.1"


class PeerLinkFailuresTest(unittest.TestCase):
    def setUp(self):
        self.receiver = socket.socket(type=socket.SOCK_DGRAM)
        self.addCleanup(self.receiver.close)
        self.receiver.bind((HOST, 0))
        self.receiver.setblocking(False)
        self.clock = gateway_parts.Clock()
        self.loop_failures = []

    def receive(self):
        """Returns incarnation and sequence of the digests received."""
        digests = []
        while True:
            try:
                data = self.receiver.recv(65536)
            except BlockingIOError:
                return [(one.incarnation, one.sequence) for one in digests]
            digests.append(digest_codec.decode(data[1:], 0.0).ok_value)

    def run_links(self, scenario, *peers):
        """Runs a scenario beside the links of an instance."""

        async def main():
            local = digest_codec.Peer("one", "a", HOST, 0)
            table = peer_table.PeerTable(local, self.clock)
            port = self.receiver.getsockname()[1]
            for peer in (*peers, digest_codec.Peer("two", "a", HOST, port)):
                table.upsert(peer)
            unused = unittest.mock.Mock()
            unused.reports.return_value = ()
            unused.recent_crashes.return_value = ()
            unused.revision = unused.version = unused.last_change_revision = 0
            unused.known_keys = key_set.KnownKeys()
            self.links = peer_links.PeerLinks(
                local,
                table,
                digest_recipients.RecipientSelector(
                    "a", table, random.Random(1)
                ),
                load_view.LoadView(),
                *[unused] * 7,
                unused,
                self.clock,
                lambda: None,
            )
            supervisor = supervision.Supervisor()
            async with anyio.create_task_group() as tasks:
                supervisor.start(tasks, "peer links", self.links.run)
                await self.sleep(0.1)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def sleep(self, seconds):
        await anyio.sleep(seconds)
        self.clock.now += seconds

    async def receive_soon(self):
        """Waits for digests; returns none if there are none in time."""
        for _ in range(50):
            await self.sleep(0.1)
            if digests := self.receive():
                return digests
        return []

    def test_peer_with_an_odd_address_keeps_no_digest_from_others(self):
        async def scenario():
            for _ in range(2):
                self.assertGreaterEqual(len(await self.receive_soon()), 1)

        # A registration of another writer may hold any address.
        odd = digest_codec.Peer("odd", "a", HOST, None)
        self.run_links(scenario, odd)

    def test_malformed_datagrams_do_not_flood_the_log(self):
        lines = []
        sink = loguru.logger.add(lines.append, format="{message}")
        self.addCleanup(loguru.logger.remove, sink)

        async def scenario():
            for first in (b"\0", change_codec.UPDATE):
                for _ in range(1000):
                    self.links.datagram_received(first + b"odd", (HOST, 9))

        self.run_links(scenario)
        self.assertIn("datagram dropped\n", lines)
        self.assertLess(len(lines), 40)

    def test_failing_digest_timer_leaves_the_heartbeat(self):
        fails = False
        encode = digest_codec.encode

        def encode_or_fail(*arguments):
            if fails:
                raise KeyError
            return encode(*arguments)

        async def scenario():
            nonlocal fails
            self.receive()
            for _ in range(25):
                fails = True
                self.links.notify()
                await self.sleep(0.02)
                fails = False
                await self.sleep(0.06)

        with unittest.mock.patch.object(digest_codec, "encode", encode_or_fail):
            self.run_links(scenario)
        self.assertGreaterEqual(len(self.receive()), 1)

    def test_closed_socket_is_opened_again_with_the_same_incarnation(self):
        async def scenario():
            before = await self.receive_soon()
            # The event loop closes a socket after such an error.
            self.links.send_datagram(b"x", (HOST, 70_000))
            after = await self.receive_soon()
            self.assertGreaterEqual(len(after), 1)
            self.assertEqual({one for one, _ in before + after}, {before[0][0]})
            self.assertGreater(after[0][1], before[-1][1])

        self.run_links(scenario)


if __name__ == "__main__":
    unittest.main()
