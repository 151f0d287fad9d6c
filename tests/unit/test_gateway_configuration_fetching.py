"""Tests of fetching configurations from peers."""

import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import result
import trio.testing

from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.platform import wire_format
from cardamomfork._internal.standins import platform_site

OLD = fleet_state.StoredConfiguration(
    platform_site.make_configuration(1, (), (), {}), 10
)
NEW = fleet_state.StoredConfiguration(
    platform_site.make_configuration(2, (), (), {}), 20
)
TRANSFER_S = 0.043
"""Time in which an instance sends one configuration."""
DIGEST_S = 0.006
HEARTBEAT_S = 1.0
APPLY_LIMIT_S = 2.0


class Fleet:
    """Instances that are cut off from the store, joined by a network."""

    def __init__(self, count):
        self.states = []
        self.fetchers = []
        self.received_at = {}
        self.failures = 0
        self.fetched_versions = []
        self.applied = 0
        self._free_at = [0.0] * count
        self.dead = set()
        for number in range(count):
            state = fleet_state.FleetState(
                wire_format.WireFormat(),
                target_table.TargetTable(),
                anyio.current_time,
            )
            state.apply_configuration(OLD.value, OLD.revision, "store")
            state.store_lost("test")
            self.states.append(state)
            self.fetchers.append(
                configuration_fetching.ConfigurationFetcher(
                    state, self, random.Random(number), self.count_applied
                )
            )

    def count_applied(self):
        self.applied += 1

    async def fetch(self, peer):
        """Transfers a configuration; an instance sends one at a time."""
        started_at = anyio.current_time()
        sender = peer.port
        ends_at = max(self._free_at[sender], started_at) + TRANSFER_S
        limit = started_at + configuration_fetching.FETCH_TIMEOUT_S
        if sender in self.dead:
            ends_at = limit + 1.0
        else:
            self._free_at[sender] = ends_at
        await anyio.sleep(min(ends_at, limit) - started_at)
        if ends_at > limit:
            self.failures += 1
            return result.Err("time-out")
        self.fetched_versions.append(self.states[sender].version)
        return result.Ok(self.states[sender].stored)

    async def send_digests(self):
        """Sends a digest of each instance when it changes, and at times."""
        sent_at = {}
        while True:
            now = anyio.current_time()
            for number, state in enumerate(self.states):
                if state.revision < NEW.revision:
                    continue
                self.received_at.setdefault(number, now)
                if now - sent_at.get(number, -HEARTBEAT_S) >= HEARTBEAT_S:
                    sent_at[number] = now
                    self.notify_all(number)
            await anyio.sleep(DIGEST_S)

    def notify_all(self, number):
        """Delivers the digest of an instance to the others."""
        peer = digest_codec.Peer(str(number), "a", "127.0.0.1", number)
        for other, fetcher in enumerate(self.fetchers):
            if other != number:
                fetcher.note_peer(peer, self.states[number].version)


class FetchingTest(unittest.TestCase):
    def run_fleet(self, count, scenario):
        async def main():
            self.fleet = Fleet(count)
            async with anyio.create_task_group() as tasks:
                for fetcher in self.fleet.fetchers:
                    tasks.start_soon(fetcher.run)
                tasks.start_soon(self.fleet.send_digests)
                await scenario()
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_one_source_does_not_serve_all_instances(self):
        async def scenario():
            self.fleet.states[0].apply_configuration(
                NEW.value, NEW.revision, "store"
            )
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertEqual(
                len(self.fleet.received_at), len(self.fleet.states)
            )
            self.assertLess(self.fleet.failures, len(self.fleet.states) / 10)

        for count in (6, 86):
            with self.subTest(instances=count):
                self.run_fleet(count, scenario)

    def test_failed_fetch_is_repeated_at_another_peer(self):
        async def scenario():
            for number in (0, 1):
                self.fleet.states[number].apply_configuration(
                    NEW.value, NEW.revision, "store"
                )
            self.fleet.dead.add(1)
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertEqual(
                len(self.fleet.received_at), len(self.fleet.states)
            )

        self.run_fleet(6, scenario)

    def test_fetched_configuration_is_reported_as_applied(self):
        async def scenario():
            self.fleet.states[0].apply_configuration(
                NEW.value, NEW.revision, "store"
            )
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertEqual(self.fleet.applied, 5)

        self.run_fleet(6, scenario)

    def test_older_of_two_newer_versions_is_not_fetched(self):
        async def scenario():
            newest = platform_site.make_configuration(3, (), (), {})
            for state in self.fleet.states[1:5]:
                state.apply_configuration(NEW.value, NEW.revision, "store")
            self.fleet.states[0].apply_configuration(newest, 30, "store")
            await anyio.sleep(APPLY_LIMIT_S)
            self.assertEqual(self.fleet.states[5].version, 3)
            self.assertEqual(set(self.fleet.fetched_versions), {3})

        self.run_fleet(6, scenario)

    def test_store_has_a_head_start(self):
        async def scenario():
            for state in self.fleet.states:
                state.store_regained()
            self.fleet.states[0].apply_configuration(
                NEW.value, NEW.revision, "store"
            )
            await anyio.sleep(0.3)
            self.assertEqual(len(self.fleet.received_at), 1)
            for state in self.fleet.states:
                state.apply_configuration(NEW.value, NEW.revision, "store")
            self.fleet.fetch = None
            await anyio.sleep(1.0)

        self.run_fleet(6, scenario)


class LocalSourcesTest(unittest.TestCase):
    """Bytes between data centres are billed."""

    def run_fetch(self, sources, seconds):
        """Returns the peers fetched from.

        Args:
            sources: Time, id and data centre of each peer with a newer
                configuration.
            seconds: Length of the run.
        """
        fetched = []

        class Transport:
            async def fetch(self, peer):
                fetched.append(peer.instance_id)
                return result.Ok(NEW)

        async def main():
            state = fleet_state.FleetState(
                wire_format.WireFormat(),
                target_table.TargetTable(),
                anyio.current_time,
            )
            fetcher = configuration_fetching.ConfigurationFetcher(
                state,
                Transport(),
                random.Random(1),
                lambda: None,
                "a",
                lambda: True,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fetcher.run)
                for at, name, data_centre in sources:
                    await anyio.sleep(at - anyio.current_time())
                    fetcher.note_peer(
                        digest_codec.Peer(name, data_centre, "127.0.0.1", 1), 2
                    )
                await anyio.sleep(seconds)
                tasks.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return fetched

    def test_peer_of_the_own_data_centre_is_preferred(self):
        fetched = self.run_fetch([(0.1, "far", "b"), (0.3, "near", "a")], 1.0)
        self.assertEqual(fetched, ["near"])

    def test_far_peer_serves_where_no_near_one_has_the_configuration(self):
        fetched = self.run_fetch([(0.1, "far", "b")], 1.0)
        self.assertEqual(fetched, ["far"])


class CompressionTest(unittest.TestCase):
    BODY = digest_codec.encode_configuration(NEW) * 500

    def test_compressed_configuration_is_read_back(self):
        data = configuration_fetching.compress(self.BODY)
        self.assertLess(len(data), len(self.BODY) / 8)
        self.assertEqual(
            configuration_fetching.decompress(data).ok_value, self.BODY
        )

    def test_truncated_or_overlarge_answer_is_refused(self):
        data = configuration_fetching.compress(self.BODY)
        self.assertTrue(configuration_fetching.decompress(data[:-9]).is_err())
        huge = configuration_fetching.compress(
            bytes(configuration_fetching.MAX_CONFIGURATION_BYTES + 1)
        )
        self.assertTrue(configuration_fetching.decompress(huge).is_err())

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_answer_is_decompressed_or_refused(self, data):
        configuration_fetching.decompress(data)


if __name__ == "__main__":
    unittest.main()
