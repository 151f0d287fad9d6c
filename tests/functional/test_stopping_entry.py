"""Tests requests of a real entry process that is stopped as planned."""

import asyncio
import unittest

from tests.lib import stopping_entry

LONG_S = 9.0
"""Longer than the grace time."""


class StoppingEntryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.entry = stopping_entry.StoppingEntry()
        self.addAsyncCleanup(self.entry.stop)
        await self.entry.start()

    def call(self, path, **options):
        return asyncio.create_task(self.entry.call(path, **options))

    async def test_waiting_requests_are_refused_rather_than_cut(self):
        running = [self.call(f"/once/{LONG_S}/{number}") for number in range(2)]
        await asyncio.sleep(0.3)
        waiting = [self.call("/once/0.1/waits"), self.call("/safe/0.1/waits")]
        await asyncio.sleep(0.2)
        self.entry.send_stop_signal()
        for answer in await asyncio.gather(*waiting):
            self.assertEqual((answer.status, answer.is_complete), (503, True))
            self.assertLess(answer.received_s, 3.0)
        await asyncio.gather(*running)
        self.assertEqual(await self.entry.wait_for_exit(), 0)
        paths = self.entry.received_paths
        self.assertNotIn("/once/0.1/waits", paths)
        self.assertNotIn("/safe/0.1/waits", paths)


if __name__ == "__main__":
    unittest.main()
