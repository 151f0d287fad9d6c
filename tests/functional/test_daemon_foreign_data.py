"""Odd objects in the store end no daemon, and hide no other object."""

import asyncio
import contextlib
import pathlib
import tempfile
import time
import unittest

import msgspec

from cardamomfork._internal.configuration import codec
from cardamomfork._internal.contracts import clock
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.models import configuration
from cardamomfork._internal.standins import store
from cardamomfork._internal.standins import store_server
from tests.lib import daemons
from tests.lib import odd_bytes

PROMPT = {"model": "demo-model", "prompt": "Hello", "max_tokens": 3}
KIND = configuration.ObjectKind
NESTED = odd_bytes.ODD_JSON[1]
APPLIED_WITHIN_S = 8.0


def odd_objects():
    """Yields kinds, names and values of objects that can't be used."""
    for kind in KIND:
        for number, odd in enumerate(odd_bytes.ODD_BYTES):
            if len(odd) < 200_000:
                yield kind, f"odd{number}", odd
    text = msgspec.json.encode(
        {
            "name": "odd",
            "kind": "plain",
            "targets": [
                {
                    "target_id": "odd",
                    "kind": "engine",
                    "host": "a" * 70 + ".example",
                    "port": 70_000,
                    "data_centre": "local",
                }
            ],
        }
    )
    yield KIND.SERVICE, "odd", text[:-1] + b',"x":' + NESTED + b"}"


def write_settings(directory, endpoint):
    path = pathlib.Path(directory, "settings.ini")
    path.write_text(f"[store]\nendpoints = {endpoint}\n")
    return path


class OddStoreTest(unittest.IsolatedAsyncioTestCase):
    async def write(self, objects):
        for kind, name, value in objects:
            await self.session.put(
                self.prefix + codec.key_of(kind, name, ""),
                value,
                expected=store_contract.ABSENT,
            )

    def serves(self, daemon):
        self.assertIsNone(daemon.process.poll())
        return daemon.request("POST", "/v1/completions", PROMPT)[0] == 200

    def is_ready(self, daemon):
        return daemon.request("GET", "/readyz")[0] == 200

    async def check_drain_is_applied(self, daemon):
        """Checks that an object written after odd ones is applied."""
        drain = configuration.Drain("instance-1", "after odd objects")
        await self.write([(KIND.DRAIN, drain.name, codec.encode(drain))])
        give_up_at = time.monotonic() + APPLIED_WITHIN_S
        while await asyncio.to_thread(self.is_ready, daemon):
            self.assertLess(time.monotonic(), give_up_at)
            await asyncio.sleep(0.1)

    async def test_odd_objects_in_the_store_end_no_daemon(self):
        self.memory = store.MemoryStore(clock.LoopClock())
        self.session = store.StoreSession(self.memory)
        app = store_server.StoreApp(self.memory)
        directory = self.enterContext(tempfile.TemporaryDirectory())
        async with store_server.serve(app) as endpoint:
            path = write_settings(directory, endpoint)
            run = contextlib.ExitStack()
            self.addCleanup(run.close)
            arguments = ("--settings", str(path))
            daemon = await asyncio.to_thread(
                run.enter_context, daemons.running(*arguments)
            )
            self.assertTrue(await asyncio.to_thread(self.serves, daemon))
            await self.find_prefix()
            await self.write(odd_objects())
            await asyncio.sleep(2.0)
            self.assertTrue(await asyncio.to_thread(self.serves, daemon))
            await self.check_drain_is_applied(daemon)
            self.assertEqual(await asyncio.to_thread(daemon.terminate), 0)
            daemon = await asyncio.to_thread(
                run.enter_context, daemons.running(*arguments)
            )
            self.assertFalse(await asyncio.to_thread(self.is_ready, daemon))
            self.assertEqual(await asyncio.to_thread(daemon.terminate), 0)

    async def find_prefix(self):
        """Finds the prefix under which the daemon writes its objects."""
        entries = (await self.session.scan("")).unwrap().entries
        suffix = codec.key_of(KIND.SERVICE, "demo", "")
        (key,) = [e.key for e in entries if e.key.endswith(suffix)]
        self.prefix = key.removesuffix(suffix)


if __name__ == "__main__":
    unittest.main()
