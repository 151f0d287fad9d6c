"""Tests of crashes and cuts that leave no target within reach."""

import asyncio
import time
import unittest
from unittest import mock

import attrs

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.requests import request_log
from cardamomfork._internal.gateway.wiring import known_state
from cardamomfork._internal.gateway.wiring import target_side
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

HOST = "127.0.0.1"
CONFIGURATION = (
    b'{"version":1,"services":[{"name":"engines"}],"routes":[],"tenants":[]}'
)
FINGERPRINT = 7
PART_FINGERPRINT = 9
TIMEOUT_S = 3.0
SETTLE_S = 0.1


class AllTargetsTest(unittest.IsolatedAsyncioTestCase):
    """The target side of an instance, in front of two targets."""

    async def asyncSetUp(self):
        self.known = known_state.create(
            gateway_parts.make_settings(),
            wire_format.WireFormat(),
            mock.create_autospec(store.PolledStore, instance=True),
        )
        self.known.fleet_state.apply_configuration(CONFIGURATION, 1, "store")
        self.side = target_side.create(self.known)
        self.servers = {}
        self.records = {}
        for number in range(2):
            await self.start(number)
        tasks = [
            asyncio.create_task(self.side.access.reach.run()),
            asyncio.create_task(self.side.crash_detector.run()),
        ]
        for task in tasks:
            self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
            self.addCleanup(task.cancel)
        self.addAsyncCleanup(self.close_all)

    async def close_all(self):
        self.side.access.close()
        for server in self.servers.values():
            server.close()

    async def start(self, number):
        """Starts a target, or starts it again under its id."""
        port = self.records[number].port if number in self.records else 0
        server = await asyncio.start_server(
            lambda reader, writer: None, HOST, port
        )
        self.servers[number] = server
        previous = self.records.get(number)
        self.records[number] = gateway_parts.make_record(
            number,
            host=HOST,
            port=server.sockets[0].getsockname()[1],
            started_at_ms=previous.started_at_ms + 1 if previous else 1,
        )
        self.known.target_table.put(self.records[number])

    async def stop(self, number):
        """Ends a target, so that its address refuses connections."""
        self.servers.pop(number).close()
        self.side.access.pool.close_target(self.records[number])
        await asyncio.sleep(0)

    def lose(self, number):
        """Loses an attempt at a target."""
        exchange = mock.Mock(
            fingerprint=FINGERPRINT,
            parts={"a": PART_FINGERPRINT},
            log=request_log.RequestLog("r1"),
        )
        self.side.crash_detector.attempt_lost(
            exchange, self.records[number], "broken"
        )

    async def wait_until_isolated(self, *, is_isolated=True):
        """Waits until the instance counts as isolated, or as not isolated."""
        self.side.access.reach.probe_soon()
        give_up_at = time.monotonic() + TIMEOUT_S
        while self.side.access.reach.is_isolated != is_isolated:
            self.assertLess(time.monotonic(), give_up_at)
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)

    def count_crashes(self, fingerprint=FINGERPRINT):
        return self.known.poison_guard.crash_count(fingerprint)

    async def test_crash_of_the_last_target_counts(self):
        # Guards against a request that is never blocked, as its crashes of
        # the last target that is up are taken for a cut of the own links.
        await self.stop(0)
        for crashes in range(1, 4):
            await self.stop(1)
            self.lose(1)
            await self.wait_until_isolated()
            self.assertEqual(self.count_crashes(), crashes)
            self.assertEqual(self.count_crashes(PART_FINGERPRINT), crashes)
            await self.start(1)
            await self.wait_until_isolated(is_isolated=False)
        self.assertTrue(
            self.known.poison_guard.is_blocked(FINGERPRINT, self.known.clock())
        )

    async def test_silence_of_all_targets_accuses_no_request(self):
        # Guards against requests that are blocked after a cut of the links.
        loop = asyncio.get_running_loop()

        async def hang(*_, **__):
            await asyncio.Event().wait()

        with mock.patch.object(loop, "create_connection", hang):
            for number in range(2):
                self.lose(number)
            self.side.access.reach.record_failure()
            await self.wait_until_isolated()
            await asyncio.sleep(target_pool.CONNECT_TIMEOUT_S + SETTLE_S)
        await self.wait_until_isolated(is_isolated=False)
        # A target that ends later was not ended by what the cut has lost.
        self.known.target_table.put(
            attrs.evolve(self.records[0], started_at_ms=9)
        )
        self.assertEqual(self.count_crashes(), 0)


if __name__ == "__main__":
    unittest.main()
