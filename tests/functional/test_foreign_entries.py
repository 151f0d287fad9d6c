"""Tests entry instances beside entries that another party has written."""

import re
import unittest

import msgspec

from cardamomfork._internal.platform import configuration_format
from cardamomfork._internal.standins import platform_site
from tests.soak import callers
from tests.soak import processes

SEED = 11
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


if __name__ == "__main__":
    unittest.main()
