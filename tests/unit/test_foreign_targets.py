"""Tests of targets that another writer has registered."""

import asyncio
import unittest
from unittest import mock

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.connections import target_pool
from cardamomfork._internal.gateway.wiring import known_state
from cardamomfork._internal.gateway.wiring import target_side
from cardamomfork._internal.platform import wire_format
from tests.lib import gateway_parts

ADDRESSES = (
    ("node..localhost", 9),
    ("a" * 70 + ".example", 9),
    ("127.0.0.1", 70_000),
    ("127.0.0.1", -1),
    ("127.0.0.1\0", 9),
    ("", 0),
)
CONFIGURATION = (
    b'{"version":1,"services":[{"name":"engines"}],"routes":[],"tenants":[]}'
)


class OpenTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_that_cannot_be_opened_is_unreachable(self):
        failed = []
        pool = target_pool.TargetConnectionPool(
            wire_format.WireFormat(),
            on_failed=lambda record, _: failed.append(record.host),
        )
        for host, port in ADDRESSES:
            with self.subTest(host=host, port=port):
                record = gateway_parts.make_record(1, host=host, port=port)
                opened = await pool.acquire(record, runs_once=False)
                self.assertIs(
                    opened.err_value.failure, outcomes.Failure.UNREACHABLE
                )
                self.assertEqual(failed.pop(), host)


class ProbedTargetsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.known = known_state.create(
            gateway_parts.make_settings(),
            wire_format.WireFormat(),
            mock.create_autospec(store.PolledStore, instance=True),
        )
        self.access = target_side.create(self.known).access
        for number, service in enumerate(("engines", "foreign", "foreign")):
            self.known.target_table.put(
                gateway_parts.make_record(number, service)
            )

    async def probe(self):
        """Returns the ids of the targets that are probed after a failure."""
        probed = []

        async def open_idle(record):
            probed.append(record.target_id)

        with mock.patch.object(self.access.pool, "open_idle", open_idle):
            task = asyncio.create_task(self.access.reach.run())
            self.access.reach.record_failure()
            await asyncio.sleep(0.4)
            task.cancel()
        return set(probed)

    async def test_targets_of_services_without_configuration_are_not_probed(
        self,
    ):
        self.assertEqual(await self.probe(), set())
        self.known.fleet_state.apply_configuration(CONFIGURATION, 1, "store")
        self.assertEqual(await self.probe(), {"t0"})


if __name__ == "__main__":
    unittest.main()
