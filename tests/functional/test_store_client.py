"""Tests the store client over sockets, including lost answers."""

import contextlib
import socket
import unittest
import unittest.mock

import anyio

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.models import settings
from cardamomfork._internal.platform import store_client
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import store_server

KINDS = store_contract.StoreFaultKind


def free_endpoint():
    """Returns a loopback `host:port` on which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


class StoreClientTest(unittest.TestCase):
    def run_with_server(self, scenario, timeout_s=5.0, first=()):
        async def main():
            self.memory = store.MemoryStore(clock.LoopClock())
            self.app = store_server.StoreApp(self.memory)
            async with store_server.serve(self.app) as endpoint:
                client = store_client.PlatformStore(
                    settings.StoreSettings((*first, endpoint), timeout_s)
                )
                async with contextlib.aclosing(_AsyncClosable(client)):
                    return await scenario(client)

        return anyio.run(main)

    def test_compare_and_swap_read_scan_delete(self):
        async def scenario(client):
            first = (await client.put("p/a", b"\0\xff", expected=0)).unwrap()
            lost = (await client.put("p/a", b"2", expected=0)).unwrap_err()
            await client.put("q", b"3", expected=0)
            read = (await client.get("p/a")).unwrap()
            scan = (await client.scan("p/")).unwrap()
            gone = await client.delete("p/a", expected=first.version)
            absent = (await client.get("p/a")).unwrap()
            return first, lost, read, scan, gone, absent

        first, lost, read, scan, gone, absent = self.run_with_server(scenario)
        self.assertEqual(lost, store_contract.CompareFailed("p/a", first))
        self.assertEqual(read, first)
        self.assertEqual(scan, store_contract.Scan((first,), 2))
        self.assertTrue(gone.is_ok())
        self.assertIsNone(absent)

    def test_lost_answer_of_a_write_is_indeterminate(self):
        async def scenario(client):
            self.app.faults.lose_answers = 1
            lost = (await client.put("a", b"1", expected=0)).unwrap_err()
            return lost, (await client.get("a")).unwrap()

        lost, entry = self.run_with_server(scenario)
        self.assertEqual(lost.kind, KINDS.INDETERMINATE)
        self.assertEqual(entry.value, b"1")

    def test_slow_write_is_indeterminate_and_slow_read_unavailable(self):
        async def scenario(client):
            self.app.faults.delay_s = 30.0
            written = (await client.put("a", b"1", expected=0)).unwrap_err()
            read = (await client.get("a")).unwrap_err()
            return written.kind, read.kind

        kinds = self.run_with_server(scenario, timeout_s=0.3)
        self.assertEqual(kinds, (KINDS.INDETERMINATE, KINDS.UNAVAILABLE))

    def test_write_without_reachable_server_is_unavailable(self):
        async def scenario(client):
            served = await client.put("a", b"1", expected=0)
            alone = store_client.PlatformStore(
                settings.StoreSettings((free_endpoint(),), 1.0)
            )
            async with contextlib.aclosing(_AsyncClosable(alone)):
                refused = await alone.put("a", b"1", expected=0)
            return served, refused.unwrap_err().kind

        served, kind = self.run_with_server(scenario, first=(free_endpoint(),))
        self.assertTrue(served.is_ok())
        self.assertEqual(kind, KINDS.UNAVAILABLE)

    def test_value_over_the_size_limit_is_not_sent(self):
        async def scenario(client):
            return (await client.put("a", b"x" * 1_048_577, expected=0)).err()

        self.assertEqual(self.run_with_server(scenario).kind, KINDS.UNAVAILABLE)
        self.assertEqual(self.memory.counters.writes, 0)

    def test_leases(self):
        async def scenario(client):
            lease = (await client.grant_lease(5.0)).unwrap()
            await client.put("a", b"", expected=0, lease=lease.lease_id)
            renewed = (await client.renew_lease(lease.lease_id)).unwrap()
            await client.revoke_lease(lease.lease_id)
            gone = (await client.renew_lease(lease.lease_id)).unwrap_err()
            put = await client.put("b", b"", expected=0, lease=lease.lease_id)
            entry = (await client.get("a")).unwrap()
            return lease, renewed, gone.kind, put.unwrap_err().kind, entry

        lease, renewed, gone, put, entry = self.run_with_server(scenario)
        self.assertEqual(renewed, lease)
        self.assertEqual((gone, put), (KINDS.LEASE_GONE, KINDS.LEASE_GONE))
        self.assertIsNone(entry)

    def test_watch_yields_changes_deletions_and_final_fault(self):
        async def scenario(client):
            seen = []
            entry = (await client.put("p/a", b"1", expected=0)).unwrap()
            async with client.watch("p/", 0) as batches:
                seen += (await anext(batches)).unwrap().entries
                await client.delete("p/a", expected=entry.version)
                while len(seen) < 2:
                    seen += (await anext(batches)).unwrap().entries
                self.app.faults.down = True
                async for batch in batches:
                    if batch.is_err():
                        return seen, batch.unwrap_err().kind
            return None

        seen, kind = self.run_with_server(scenario)
        self.assertEqual([e.version for e in seen], [1, 0])
        self.assertEqual([e.key for e in seen], ["p/a", "p/a"])
        self.assertEqual(kind, KINDS.UNAVAILABLE)

    def test_answer_too_large_for_the_memory_limit_is_a_fault(self):
        async def scenario(client):
            for number in range(15):
                await client.put(f"p/{number}", bytes(900_000), expected=0)
            return await client.changes("p/", 1, 1.0)

        fault = self.run_with_server(scenario).unwrap_err()
        self.assertEqual(fault.kind, KINDS.UNAVAILABLE)
        self.assertIn("too large", fault.detail)

    def test_silent_watch_ends_with_a_fault(self):
        async def scenario(client):
            self.app.faults.silent_watches = True
            async with client.watch("p/", 0) as batches:
                return (await anext(batches)).unwrap_err().kind

        with (
            unittest.mock.patch.object(store_client, "WATCH_WAIT_S", 30.0),
            unittest.mock.patch.object(store_client, "WATCH_MARGIN_S", -29.8),
        ):
            kind = self.run_with_server(scenario)
        self.assertEqual(kind, KINDS.SILENT)


class _AsyncClosable:
    """Adapts a store client to `contextlib.aclosing`."""

    def __init__(self, client):
        self._client = client

    async def aclose(self):
        await self._client.close()
