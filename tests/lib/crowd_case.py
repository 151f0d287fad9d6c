"""Checks of a process while a crowd of clients connects to it."""

import asyncio
import signal
import unittest

from tests.lib import client_crowd
from tests.lib import small_site


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """A site of one instance, which may use little memory."""

    port_name = "callers"
    request = ("/safe/1", "POST", 200)
    """Path, method and status of an ordinary request at the port."""

    make_site = client_crowd.CrowdedSite
    hold_s = 0.0
    """How long a crowd stays when it has sent all, in seconds."""

    async def asyncSetUp(self):
        self.site = self.make_site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start()
        self.port = getattr(self.site.ports["entry-0"], self.port_name)
        path, method, status = self.request
        self.assertTrue(
            await self.site.is_answered(self.port, path, method, status)
        )
        callers = self.site.ports["entry-0"].callers
        await self.site.wait_until(lambda: small_site.serves(callers))

    async def check(self, kind, size=client_crowd.CROWD):
        """Checks the process beside a crowd and after it."""
        crowd = client_crowd.Crowd(kind, size)
        self.addCleanup(crowd.close)
        entry = self.site.entry
        async with client_crowd.Watch(entry) as watch:
            await crowd.run(self.port, watch)
            await asyncio.sleep(self.hold_s)
            self.check_bounds(watch)
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request),
                "an ordinary request beside the crowd",
            )
            crowd.close()
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request),
                "an ordinary request after the crowd",
            )
        self.check_bounds(watch)

    def check_bounds(self, watch):
        output = [line for _, line in self.site.entry.lines[-3:]]
        self.assertTrue(self.site.entry.is_running, output)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
        self.assertLessEqual(watch.descriptors, client_crowd.MAX_DESCRIPTORS)

    async def check_returning(self, kind, size=client_crowd.CROWD):
        """Checks the process beside a crowd that comes back."""
        async with client_crowd.Watch(self.site.entry) as watch:
            async with client_crowd.ReturningCrowd(kind, self.port, size):
                await asyncio.sleep(client_crowd.RETURNING_TIME_S)
                self.check_bounds(watch)
                self.assertTrue(
                    await self.site.is_answered(
                        self.port,
                        *self.request,
                        client_crowd.ORDINARY_BODY_BYTES,
                    )
                )
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request)
            )
        self.check_bounds(watch)

    async def check_end(self, kind, size=client_crowd.CROWD):
        """Checks that a stop of the process ends it beside a crowd."""
        crowd = client_crowd.Crowd(kind, size)
        self.addCleanup(crowd.close)
        entry = self.site.entry
        async with client_crowd.Watch(entry) as watch:
            sending = asyncio.create_task(crowd.run(self.port, watch))
            await asyncio.sleep(1.0)
            entry.signal(signal.SIGTERM)
            async with asyncio.timeout(client_crowd.ANSWERED_WITHIN_S):
                await entry.wait()
                await sending
        self.assertEqual(entry.returncode, 0)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
