"""Tests of the store's client when the store is restored from a copy."""

import random
import unittest

import anyio
import trio.testing

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.links import store_eras
from cardamomfork._internal.models import settings
from cardamomfork._internal.platform import store_calls
from cardamomfork._internal.platform import store_client
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import store_server
from tests.lib import restored_fleet

KINDS = store_contract.StoreFaultKind


class EraTrackerTest(unittest.TestCase):
    def setUp(self):
        self.eras = store_eras.EraTracker()

    def test_delayed_answer_of_an_older_era_is_dropped(self):
        self.eras.record(4, 0)
        self.assertEqual(self.eras.record(5, 4), 5)
        self.assertIsNone(self.eras.record(4, 4))
        self.assertEqual(self.eras.current, 5)

    def test_answer_without_an_era_belongs_to_that_of_its_call(self):
        self.eras.record(4, 0)
        self.assertEqual(self.eras.record(None, 4), 4)
        self.eras.record(5, 4)
        self.assertIsNone(self.eras.record(None, 4))

    def test_era_that_jumps_or_falls_is_followed(self):
        for era in (3, 9, 2, 0, 7):
            with self.subTest(era=era):
                sent_era = self.eras.current
                self.assertEqual(self.eras.record(era, sent_era), era)
                self.assertEqual(self.eras.current, era)

    def test_malformed_eras_count_as_not_stated(self):
        for value in (None, b"", b"x", b"-1", b"1.5", b"9" * 40, "²".encode()):
            self.assertIsNone(store_calls.parse_era(value), value)


class RestoredClientTest(unittest.TestCase):
    def make_client(self):
        return store_client.PlatformStore(
            settings.StoreSettings(("store:1",), 1.5, prefix=""),
            restored_fleet.StandinTransport(
                self.app, random.Random(1), lambda method, path: None
            ),
        )

    def run_client(self, scenario):
        async def main():
            self.memory = store_standin.MemoryStore(clock.LoopClock())
            self.app = store_server.StoreApp(self.memory)
            await scenario(self.make_client())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_condition_does_not_hold_for_another_value_of_that_revision(self):
        async def scenario(client):
            copied = self.memory.copy()
            ours = (await client.put("k", b"ours", expected=0)).unwrap()
            self.memory.restore(copied)
            self.memory.write("k", b"theirs", 0, 0)
            await client.scan("k")
            lost = (
                await client.put("k", b"again", expected=ours.version)
            ).unwrap_err()
            self.assertEqual(lost.current.value, b"theirs")
            self.assertEqual(self.memory.read("k").value, b"theirs")

        self.run_client(scenario)

    def test_lease_of_another_owner_with_the_same_number_is_not_renewed(self):
        async def scenario(client):
            copied = self.memory.copy()
            ours = (await client.grant_lease(5.0)).unwrap()
            self.memory.restore(copied)
            self.memory.grant(5.0)
            await client.scan("k")
            renewed = await client.renew_lease(ours.lease_id)
            self.assertEqual(renewed.unwrap_err().kind, KINDS.LEASE_GONE)
            written = await client.put(
                "k", b"v", expected=0, lease=ours.lease_id
            )
            self.assertEqual(written.unwrap_err().kind, KINDS.LEASE_GONE)

        self.run_client(scenario)

    def test_lease_with_a_large_id_can_be_used_and_renewed(self):
        async def scenario(client):
            lease = (await client.grant_lease(5.0)).unwrap()
            self.assertGreater(lease.lease_id, store_contract.REVISIONS_PER_ERA)
            written = await client.put(
                "k", b"v", expected=0, lease=lease.lease_id
            )
            self.assertTrue(written.is_ok())
            renewed = await client.renew_lease(lease.lease_id)
            self.assertTrue(renewed.is_ok())

        self.run_client(scenario)

    def test_poll_ends_as_soon_as_another_call_shows_the_restoration(self):
        async def scenario(client):
            await client.put("k", b"v", expected=0)
            copied = self.memory.copy()
            revision = (await client.scan("k")).unwrap().revision
            self.memory.restore(copied)
            ends = []

            async def poll():
                ends.append(await client.changes("k", revision, 28.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(poll)
                await anyio.sleep(1.0)
                await client.scan("other")
                await anyio.sleep(0.1)
                self.assertEqual(ends[0].unwrap_err().kind, KINDS.COMPACTED)
                tasks.cancel_scope.cancel()

        self.run_client(scenario)

    def test_new_session_goes_on_with_the_versions_of_the_current_era(self):
        async def scenario(client):
            self.memory.restore(self.memory.copy())
            first = (await client.put("k", b"1", expected=0)).unwrap()
            second = self.make_client()
            await client.put("k", b"2", expected=first.version)
            changed = (await second.changes("k", first.version, 2.0)).unwrap()
            self.assertEqual([e.value for e in changed.entries], [b"2"])
            third = self.make_client()
            written = await third.put(
                "k", b"3", expected=changed.entries[0].version
            )
            self.assertTrue(written.is_ok())

        self.run_client(scenario)

    def test_new_session_does_not_write_on_a_condition_of_an_older_era(self):
        async def scenario(client):
            copied = self.memory.copy()
            ours = (await client.put("k", b"ours", expected=0)).unwrap()
            self.memory.restore(copied)
            self.memory.write("k", b"theirs", 0, 0)
            lost = await self.make_client().put(
                "k", b"again", expected=ours.version
            )
            self.assertEqual(lost.unwrap_err().current.value, b"theirs")
            self.assertEqual(self.memory.read("k").value, b"theirs")

        self.run_client(scenario)

    def test_versions_of_a_later_era_are_higher(self):
        async def scenario(client):
            for number in range(3):
                await client.put(f"k{number}", b"v", expected=0)
            before = (await client.scan("k")).unwrap()
            copied = store_standin.MemoryStore(clock.LoopClock()).copy()
            self.memory.restore(copied)
            written = (await client.put("k", b"v", expected=0)).unwrap()
            self.assertGreater(written.version, before.revision)
            self.assertEqual(store_contract.split_era(written.version), (1, 1))

        self.run_client(scenario)


if __name__ == "__main__":
    unittest.main()
