"""Tests that the in-memory store implements the store contract."""

import unittest

import anyio

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.standins import store


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.store = store.MemoryStore(self.clock)
        self.session = store.StoreSession(self.store)

    def test_put_compares_versions(self):
        async def scenario():
            first = await self.session.put("a", b"1", expected=0)
            again = await self.session.put("a", b"2", expected=0)
            return first.unwrap(), again.unwrap_err()

        first, conflict = anyio.run(scenario)
        self.assertEqual(conflict, store_contract.CompareFailed("a", first))

    def test_write_with_lost_answer_takes_effect(self):
        async def scenario():
            self.session.faults.lose_answers = 1
            lost = await self.session.put("a", b"1", expected=0)
            return lost.unwrap_err(), (await self.session.get("a")).unwrap()

        fault, entry = anyio.run(scenario)
        self.assertEqual(
            fault.kind, store_contract.StoreFaultKind.INDETERMINATE
        )
        self.assertEqual(entry.value, b"1")

    def test_expired_lease_deletes_its_keys(self):
        async def scenario():
            lease = (await self.session.grant_lease(5.0)).unwrap()
            await self.session.put("a", b"", expected=0, lease=lease.lease_id)
            self.clock.advance(5.0)
            renewed = await self.session.renew_lease(lease.lease_id)
            return (await self.session.get("a")).unwrap(), renewed.is_err()

        self.assertEqual(anyio.run(scenario), (None, True))

    def test_watch_yields_changes_in_order(self):
        async def scenario():
            await self.session.put("p/a", b"1", expected=0)
            await self.session.put("q", b"1", expected=0)
            async with self.session.watch("p/", 0) as batches:
                first = (await anext(batches)).unwrap()
                await self.session.put("p/b", b"2", expected=0)
                second = (await anext(batches)).unwrap()
            return [e.key for e in (*first.entries, *second.entries)]

        self.assertEqual(anyio.run(scenario), ["p/a", "p/b"])
