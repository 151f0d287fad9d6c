"""Bodies that wait in the system's buffers are bounded when they are read."""

import signal
import unittest

from tests.lib import client_crowd
from tests.lib import crowd_case


class BodiesAtOneMomentTest(crowd_case.CrowdTestCase):
    make_site = client_crowd.ManyConnectionsSite

    async def test_many_bodies_wait_to_be_read(self):
        crowd = client_crowd.Crowd(
            client_crowd.BOUNDED["bodies of 1 MB"], client_crowd.LARGE_CROWD
        )
        self.addCleanup(crowd.close)
        async with client_crowd.Watch(self.site.entry) as watch:
            await crowd.connect(self.port)
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request)
            )
            self.site.entry.signal(signal.SIGSTOP)
            try:
                await crowd.send(watch)
            finally:
                self.site.entry.signal(signal.SIGCONT)
            self.assertTrue(
                await self.site.is_answered(self.port, *self.request)
            )
        self.assertTrue(self.site.entry.is_running)
        self.assertLessEqual(watch.peak_mb, client_crowd.MEMORY_MB)
        self.assertLessEqual(watch.descriptors, client_crowd.MANY_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
