"""Targets that send bytes without end leave memory for other requests."""

import asyncio
import contextlib
import unittest

import msgspec

from cardamomfork._internal.standins import platform_site
from tests.lib import client_crowd
from tests.lib import scripted_target
from tests.lib import small_site
from tests.soak import processes

CALLERS = 150
FAULTY_TARGETS = 2
FAULTY_SLOTS = 100
HOLD_S = 5.0
PERIOD_S = 0.5
FAULTY_HEAD = (
    b"POST /faulty/1 HTTP/1.1\r\nHost: soak.example\r\nApi-Key: key-1\r\n"
    b"X-Cardamomfork-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
)
SHORT_LINES = b"x-a: b\r\n" * 4000


def start_chunked(request):
    """Returns the head of a chunked answer."""
    return scripted_target.answer(request, b"").replace(
        b"content-length: 0", b"transfer-encoding: chunked"
    )


def start_long(request):
    """Returns the head of an answer that has a length."""
    return scripted_target.answer(request, b"").replace(
        b"content-length: 0", b"content-length: 90000000000"
    )


CASES = {
    "head_of_short_lines": (lambda _: b"HTTP/1.1 200 X\r\n", SHORT_LINES),
    "trailers_of_short_lines": (
        lambda request: start_chunked(request) + b"2\r\nab\r\n0\r\n",
        SHORT_LINES,
    ),
    "trailer_of_one_value": (
        lambda request: start_chunked(request) + b"2\r\nab\r\n0\r\nx-a: ",
        b"b" * 32_768,
    ),
    "chunks_of_a_byte": (start_chunked, b"1\r\na\r\n" * 5000),
    "long_body": (start_long, b"a" * 32_768),
}


class FaultySite(client_crowd.CrowdedSite):
    """An instance with little memory, and a service that a test answers for."""

    services = (
        *processes.SERVICES,
        {"name": "faulty", "maxConnections": FAULTY_SLOTS},
    )
    routes = (
        *processes.ROUTES,
        platform_site.Route("/faulty/", "safe", "faulty", 8000),
    )


class EndlessTargetAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = FaultySite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.port = self.site.ports["entry-0"].callers
        await self.site.wait_until(lambda: small_site.serves(self.port))
        self.client = platform_site.make_client(
            f"{processes.HOST}:{self.site.store_port}"
        )
        self.addAsyncCleanup(self.client.close)
        self.exits = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.exits.aclose)

    async def add_faulty_targets(self, start, block):
        """Adds targets that repeat a block after the start of an answer."""

        def answer(request):
            yield start(request)
            while True:
                yield block

        for number in range(FAULTY_TARGETS):
            target = await self.exits.enter_async_context(
                scripted_target.ScriptedTarget(answer)
            )
            entry = platform_site.make_entry(
                "faulty", target.port, FAULTY_SLOTS
            ) | {"state": "ready"}
            written = await self.client.put(
                f"servers/faulty-{number}",
                msgspec.json.encode(entry),
                expected=0,
            )
            written.unwrap()
        await self.site.wait_until(self.knows_faulty_targets)

    async def knows_faulty_targets(self):
        """Returns whether the instance knows the faulty targets."""
        metrics = self.site.ports["entry-0"].metrics
        _, text = await small_site.get(metrics, "/dump")
        return text.count('"faulty-') >= FAULTY_TARGETS

    async def call(self, *, reads):
        """Sends requests to the faulty targets until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    processes.HOST, self.port, limit=4096
                )
                writer.write(FAULTY_HEAD)
                if not reads:
                    await asyncio.sleep(HOLD_S)
                while await reader.read(65_536):
                    pass
                writer.close()
            except OSError:
                await asyncio.sleep(PERIOD_S)

    async def check(self, name):
        """Checks the instance beside callers of the faulty targets."""
        await self.add_faulty_targets(*CASES[name])
        entry = self.site.entry
        async with client_crowd.Watch(entry) as watch:
            calls = [
                asyncio.create_task(self.call(reads=number % 2 == 0))
                for number in range(CALLERS)
            ]
            served = 0
            for _ in range(round(HOLD_S / PERIOD_S)):
                await asyncio.sleep(PERIOD_S)
                served += await small_site.serves(self.port)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        output = [line for _, line in entry.lines[-3:]]
        self.assertTrue(entry.is_running, output)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
        self.assertGreaterEqual(served, round(HOLD_S / PERIOD_S) - 1)


def _make_test(name):
    """Returns the test of one case."""

    async def test(self):
        # Guards against a process that runs out of memory by what a target
        # sends.
        await self.check(name)

    return test


for _name in CASES:
    setattr(EndlessTargetAnswersTest, f"test_{_name}", _make_test(_name))


if __name__ == "__main__":
    unittest.main()
