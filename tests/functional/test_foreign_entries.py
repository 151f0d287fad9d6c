"""Tests entry instances beside entries that another party has written."""

import asyncio
import re
import unittest

import msgspec

from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.standins import platform_site
from tests.lib import small_site
from tests.soak import callers
from tests.soak import processes

SEED = 11
CRASHES = 2
FOREIGN_ENTRIES = 6
PROBE_ROUND_S = 0.6
"""Time in which an instance probes all targets after a failure."""
OK = 200
DEEP = b"[" * 2000 + b"]" * 2000
KEYS = ("servers/odd", "instances/odd", "crashes/odd")
ENTRY = platform_site.make_entry("ledger", 9, 6) | {"state": "ready"}
PEER = {
    "instance_id": "odd",
    "data_centre": "a",
    "host": "127.0.0.1",
    "port": 9,
}


def with_deep_field(fields):
    """Returns a JSON object with one more field, which is deeply nested."""
    return msgspec.json.encode(fields)[:-1] + b',"unknown":' + DEEP + b"}"


class ForeignEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = processes.Deployment(SEED, 2, 1, 1)
        self.callers = callers.LoadGenerator(self.fleet, 0.03)

    async def asyncTearDown(self):
        await self.callers.finish()
        await self.fleet.stop()

    async def write(self, client):
        """Writes an entry under each prefix that instances read."""
        values = (
            with_deep_field(ENTRY),
            with_deep_field(PEER),
            b'[{"crash":' + DEEP + b"}]",
        )
        for key, value in zip(KEYS, values, strict=True):
            (await client.put(key, value, expected=0)).unwrap()

    async def write_configuration(self, client):
        """Writes a newer configuration with a deeply nested field."""
        found = (await client.get(configuration_format.KEY)).unwrap()
        fields = msgspec.json.decode(found.value)
        self.version = fields["version"] = fields["version"] + 1
        await platform_site.publish(client, with_deep_field(fields))

    async def until_served(self):
        for name in self.fleet.entries:

            async def is_served(name=name):
                return (await self.callers.send(name, "safe")).status == OK

            await self.fleet.wait_until(is_served)

    async def until_applied(self):
        async def is_applied():
            lines = self.fleet.entry_lines('"configuration applied"')
            text = re.compile(rf'"version": ?{self.version}\b')
            return sum(bool(text.search(line)) for line in lines) == 2

        await self.fleet.wait_until(is_applied)

    def check_running(self):
        for entry in self.fleet.entries.values():
            self.assertTrue(entry.is_running, entry.returncode)
            self.assertEqual(entry.starts, 1)

    async def test_nested_entries_end_no_process_that_serves(self):
        await self.fleet.start()
        await self.until_served()
        client = platform_site.make_client(
            f"{processes.HOST}:{self.fleet.store_port}"
        )
        await self.write(client)
        await self.write_configuration(client)
        await self.until_applied()
        await self.until_served()
        self.check_running()
        await client.close()

    async def test_nested_entries_keep_no_process_from_starting(self):
        entries, self.fleet.entries = self.fleet.entries, {}
        await self.fleet.start()
        client = platform_site.make_client(
            f"{processes.HOST}:{self.fleet.store_port}"
        )
        await self.write(client)
        await self.write_configuration(client)
        self.fleet.entries = entries
        for entry in entries.values():
            await entry.start()
        await self.until_served()
        await self.until_applied()
        self.check_running()
        await client.close()


class HostNamesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = small_site.Site(instances=2, targets=2)
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()

    async def until_served(self):
        for ports in self.site.ports.values():

            async def is_served(port=ports.callers):
                return await small_site.serves(port)

            await self.site.wait_until(is_served)

    async def write_entries(self):
        """Writes entries with host names, of a service without a route."""
        client = platform_site.make_client(
            f"{processes.HOST}:{self.site.store_port}"
        )
        for number in range(FOREIGN_ENTRIES):
            entry = platform_site.make_entry("metrics", 9, 1) | {
                "address": f"node-{number}..localhost:9100",
                "state": "ready",
            }
            value = msgspec.json.encode(entry)
            (
                await client.put(f"servers/x-{number}", value, expected=0)
            ).unwrap()
        await client.close()

        async def is_read():
            lines = self.site.entry_lines('"malformed target entry"')
            return len(lines) == FOREIGN_ENTRIES * len(self.site.entries)

        await self.site.wait_until(is_read)

    async def test_host_names_fail_no_task_when_all_targets_crash(self):
        await self.until_served()
        await self.write_entries()
        for _ in range(CRASHES):
            for name, target in self.site.targets.items():
                await target.kill()
                # Otherwise the proxy still accepts connections.
                self.site.proxies[name].close()
            for ports in self.site.ports.values():
                self.assertFalse(await small_site.serves(ports.callers))
            await asyncio.sleep(PROBE_ROUND_S)
            for name, target in self.site.targets.items():
                await self.site.proxies[name].start()
                await target.start()
            await self.until_served()
        for entry in self.site.entries.values():
            self.assertTrue(entry.is_running, entry.returncode)
        for ports in self.site.ports.values():
            failures = await small_site.count_failures(ports.metrics)
            self.assertEqual(set(failures.values()), {0}, failures)


if __name__ == "__main__":
    unittest.main()
