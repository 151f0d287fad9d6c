"""Clients that keep to no limits end no daemon and leave room for others."""

import asyncio
import unittest

from tests.lib import client_crowd
from tests.lib import daemons


class _Daemon:
    """Watches the process of a daemon as one of a site."""

    def __init__(self, process):
        self.pid = process.pid
        self._process = process

    @property
    def is_running(self):
        return self._process.poll() is None


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    client = client_crowd.Client

    def running(self):
        """Returns a context in which a daemon runs."""
        return daemons.running()

    def ask(self, daemon):
        """Returns the status of the answer to an ordinary request."""
        return daemon.request("GET", "/readyz")[0]

    async def check(self, kind, size=client_crowd.CROWD, client=None):
        with self.running() as daemon:
            process = _Daemon(daemon.process)
            crowd = client_crowd.Crowd(kind, size, client or self.client)
            self.addCleanup(crowd.close)
            async with client_crowd.Watch(process) as watch:
                await crowd.run(daemon.port, watch)
                self.assertTrue(process.is_running)
                self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
                for _ in range(2):
                    status = await asyncio.to_thread(self.ask, daemon)
                    self.assertEqual(status, 200)
                    crowd.close()
            self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
            self.assertLessEqual(
                watch.descriptors, client_crowd.MAX_DESCRIPTORS
            )

    async def test_short_header_lines(self):
        await self.check(client_crowd.HEADS["short header lines"])

    async def test_one_header_value(self):
        await self.check(client_crowd.HEADS["one header value"])

    async def test_trailers(self):
        await self.check(client_crowd.TRAILERS["short trailer lines"])

    async def test_bare_requests(self):
        await self.check(client_crowd.REQUESTS_AHEAD["bare requests"])

    async def test_chunked_body(self):
        await self.check(client_crowd.BODIES["a body of an unrouted request"])

    async def test_empty_lines(self):
        await self.check(client_crowd.OTHERS["empty lines"])


if __name__ == "__main__":
    unittest.main()
