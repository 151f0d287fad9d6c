"""Tests that one entry does not keep the others from being applied."""

import asyncio
import random
import time
import unittest
from unittest import mock

import anyio
from loguru import logger
import trio.testing

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import store_handlers
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.store import entry_faults
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts
from tests.unit import test_gateway_data_centre_wiring
from tests.unit import test_gateway_fleet_state
from tests.unit import test_gateway_following

MANY = 20_000
make_entry = test_gateway_fleet_state.make_entry


class FailingWire(wire_format.WireFormat):
    """Decodes entries; fails unexpectedly for one of them."""

    def decode_target(self, key, value):
        if key == "servers/t2":
            raise RuntimeError("unexpected")
        return super().decode_target(key, value)


class BatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = gateway_parts.Clock()
        self.table = target_table.TargetTable()
        self.lines = []
        sink = logger.add(self.lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)

    def make_handler(self, wire):
        self.state = fleet_state.FleetState(wire, self.table, self.clock)
        return store_handlers.TargetsHandler(self.state, lambda: None)

    def known(self):
        return sorted(one.record.target_id for one in self.table.list_all())

    def test_entry_with_an_unexpected_error_leaves_the_others(self):
        entries = tuple(make_entry(number) for number in (1, 2, 3))
        handler = self.make_handler(FailingWire())
        handler.apply_snapshot(store.Scan(entries, 9))
        self.assertEqual(self.known(), ["t1", "t3"])
        handler.apply_changes(
            store.WatchBatch((make_entry(2), make_entry(4)), 10)
        )
        self.assertEqual(self.known(), ["t1", "t3", "t4"])
        self.assertEqual(self.state.dropped_entries, 2)

    def test_target_that_cannot_be_recorded_leaves_the_others(self):
        handler = self.make_handler(wire_format.WireFormat())
        put = self.table.put

        def fail(record):
            if record.target_id == "t2":
                raise RuntimeError("unexpected")
            put(record)

        with mock.patch.object(self.table, "put", fail):
            entries = tuple(make_entry(number) for number in (1, 2, 3))
            handler.apply_snapshot(store.Scan(entries, 9))
        self.assertEqual(self.known(), ["t1", "t3"])

    def test_peer_that_cannot_be_used_leaves_the_others(self):
        local = digest_codec.Peer("one", "a", "127.0.0.1", 7000)
        peers = peer_table.PeerTable(local, self.clock)
        text = '{"instance_id":"%s","data_centre":"a","host":"%s","port":%s}'
        rows = (
            *(("h", "node..localhost", 7000), ("v6", "::1", 7000)),
            *(("p", "127.0.0.1", 70_000), ("z", "127.0.0.1", 0)),
            *(("n", "127.0.0.1", "[" * 2000), ("ok", "127.0.0.1", 7001)),
        )
        peers.add_entries(
            store.Entry(f"instances/{row[0]}", (text % row).encode(), 5)
            for row in rows
        )
        self.assertEqual([one.instance_id for one in peers.peers], ["ok"])

    def test_very_many_registrations_leave_the_table_of_peers_bounded(self):
        local = digest_codec.Peer("one", "a", "127.0.0.1", 7000)
        peers = peer_table.PeerTable(local, self.clock)
        text = (
            b'{"instance_id":"%d","data_centre":"a",'
            b'"host":"127.0.0.1","port":9}'
        )
        peers.add_entries(
            store.Entry(f"instances/{number}", text % number, 5)
            for number in range(5000)
        )
        self.assertEqual(len(peers.peers), peer_table.MAX_PEERS)

    def test_very_many_malformed_entries_log_few_lines(self):
        handler = self.make_handler(wire_format.WireFormat())
        entries = tuple(
            store.Entry(f"servers/odd-{number}", b"{}", 5)
            for number in range(MANY)
        )
        scan = store.Scan((*entries, make_entry(1)), 9)
        started_at = time.process_time()
        for _ in range(3):
            handler.apply_snapshot(scan)
        self.assertLess(time.process_time() - started_at, 3.0)
        self.assertEqual(self.known(), ["t1"])
        self.assertLess(len(self.lines), entry_faults.MAX_LOGGED_ENTRIES + 8)
        handler.apply_changes(store.WatchBatch(entries, 10))
        self.assertLess(len(self.lines), entry_faults.MAX_LOGGED_ENTRIES + 10)

    def test_malformed_entry_is_logged_once_for_each_version(self):
        handler = self.make_handler(wire_format.WireFormat())
        for version in (5, 5, 6, 6):
            entry = store.Entry("servers/odd", b"{}", version)
            handler.apply_snapshot(store.Scan((entry,), 9))
        found = [line for line in self.lines if "malformed" in line]
        self.assertEqual(len(found), 2)


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    async def test_digest_with_an_address_that_cannot_be_sent_to_is_dropped(
        self,
    ):
        process = test_gateway_data_centre_wiring.Process(["b"])
        for host in ("node..localhost", "", "::1", "a" * 300, "1.2.3.4%x"):
            process.receive(digest_codec.Peer("odd", "b", host, 7000))
        process.receive(digest_codec.Peer("odd", "b", "127.0.0.1", 0))
        self.assertEqual(process.known.peer_table.count, 2)
        process.receive(digest_codec.Peer("ok", "b", "127.0.0.1", 7000))
        self.assertEqual(process.known.peer_table.count, 3)

    async def test_address_that_cannot_be_sent_to_leaves_the_other_peers(self):
        process = test_gateway_data_centre_wiring.Process(["b", "b", "b"])
        transport = mock.create_autospec(
            asyncio.DatagramTransport, instance=True
        )
        transport.is_closing.return_value = False
        transport.sendto.side_effect = (UnicodeError("label too long"), 0, 0)
        links = process.requests.peers.links
        links.connection_made(transport)
        links.send()
        self.assertEqual(transport.sendto.call_count, 3)

    async def test_unexpected_error_leaves_later_datagrams(self):
        process = test_gateway_data_centre_wiring.Process(["b"])
        with mock.patch.object(
            process.known.peer_table, "record_digest", side_effect=RuntimeError
        ):
            process.receive(process.peers[0])
        process.receive(process.peers[0])
        self.assertEqual(len(process.known.peer_table.active_within(1.0)), 1)


class FailingHandler(test_gateway_following.RecordingHandler):
    """Fails with one key."""

    def apply_change(self, entry):
        super().apply_change(entry)
        if entry.key == "p/odd":
            raise RuntimeError("unexpected")


class FollowingTest(unittest.TestCase):
    def test_entry_with_an_unexpected_error_does_not_end_following(self):
        async def main():
            source = test_gateway_following.FakeStore()
            source.write("p/odd")
            handler = FailingHandler()
            followed = follower.Follower(
                source,
                follower.Subscription("p/", 0.2, 0.3),
                handler,
                handler.on_answer,
                lambda: True,
                random.Random(1),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(followed.run)
                await anyio.sleep(0.5)
                source.write("p/odd")
                await anyio.sleep(0.5)
                source.write("p/later")
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            self.assertIn("p/later", handler.keys)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
