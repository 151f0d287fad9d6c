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
        for answer in await asyncio.gather(*running):
            # They may have run, which only 502 leaves open.
            self.assertEqual((answer.status, answer.is_complete), (502, True))
        self.assertEqual(await self.entry.wait_for_exit(), 0)
        paths = self.entry.received_paths
        self.assertNotIn("/once/0.1/waits", paths)
        self.assertNotIn("/safe/0.1/waits", paths)

    async def test_requests_whose_body_ends_late_are_not_sent_and_cut(self):
        served = [
            self.call(f"/{kind}/1.2/served", body_at_s=0.5)
            for kind in ("once", "stream")
        ]
        late = [
            self.call(f"/{kind}/{work_s}/{body_at_s}", body_at_s=body_at_s)
            for kind in ("once", "safe", "stream")
            for work_s, body_at_s in ((1.2, 6.8), (4.0, 4.5), (4.0, 7.9))
        ]
        await asyncio.sleep(0.5)
        self.entry.send_stop_signal()
        for answer in await asyncio.gather(*served):
            self.assertEqual((answer.status, answer.is_complete), (200, True))
        for answer in await asyncio.gather(*late):
            self.assertTrue(answer.is_complete)
            self.assertEqual(answer.status, 503, answer)
        self.assertEqual(await self.entry.wait_for_exit(), 0)
        self.assertEqual(
            {path for path in self.entry.received_paths if "/4.0/" in path},
            set(),
        )

    async def test_requests_behind_a_running_one_are_answered(self):
        # Closing after the first answer would drop what was read behind it.
        soon = self.call("/once/1.0/a", pipelined=("/once/0.1/b", "/safe/0/c"))
        late = self.call("/once/4.0/a", pipelined=("/once/0.1/d", "/safe/0/e"))
        await asyncio.sleep(0.3)
        self.entry.send_stop_signal()
        for task, statuses in (
            (soon, [200, 200, 200]),
            (late, [200, 503, 503]),
        ):
            answers = await task
            self.assertEqual([one.status for one in answers], statuses)
            self.assertTrue(all(one.is_complete for one in answers))
        self.assertEqual(await self.entry.wait_for_exit(), 0)


if __name__ == "__main__":
    unittest.main()
