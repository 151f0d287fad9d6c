"""Answers that nobody reads end no process and leave room for others."""

import asyncio
import unittest

from tests.lib import client_crowd
from tests.lib import crowd_case
from tests.lib import small_site

HOLD_S = 6.0


class UnreadAnswersTest(crowd_case.CrowdTestCase):
    make_site = client_crowd.LargeAnswersSite
    hold_s = HOLD_S

    async def test_answers_that_nobody_reads(self):
        await self.check(
            client_crowd.UNREAD_ANSWERS, client_crowd.BOUNDED_CROWD
        )

    async def test_stop(self):
        await self.check_end(
            client_crowd.UNREAD_ANSWERS, client_crowd.BOUNDED_CROWD
        )


class UnreadStreamsTest(crowd_case.CrowdTestCase):
    make_site = client_crowd.LargeStreamsSite
    hold_s = HOLD_S

    async def test_streams_that_stay_unread(self):
        await self.check(client_crowd.UNREAD_STREAM, client_crowd.BOUNDED_CROWD)


class UnreadOverPeerTest(unittest.IsolatedAsyncioTestCase):
    """Neither the instance nor the peer holds too much."""

    async def test_streams_that_nobody_reads(self):
        site = client_crowd.IsolatedSite()
        self.addAsyncCleanup(site.stop)
        await site.start()
        crowd = client_crowd.Crowd(
            client_crowd.UNREAD_STREAM, client_crowd.BOUNDED_CROWD
        )
        self.addCleanup(crowd.close)
        async with (
            client_crowd.Watch(site.isolated) as watch,
            client_crowd.Watch(site.peer) as peer_watch,
        ):
            await crowd.run(site.port, watch)
            await asyncio.sleep(HOLD_S)
            await site.wait_until(lambda: small_site.serves(site.port))
            crowd.close()
            await site.wait_until(lambda: small_site.serves(site.port))
        for process, one in ((site.isolated, watch), (site.peer, peer_watch)):
            self.assertTrue(process.is_running)
            self.assertLessEqual(one.peak_mb, client_crowd.MEMORY_MB)
            self.assertLessEqual(one.descriptors, client_crowd.MAX_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
