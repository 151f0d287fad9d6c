"""Load reports and cache events reach the dispatcher over HTTP."""

import unittest

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.targets import engine_observer
from tests.lib import serving


class _Dispatcher:
    """Notes what it is told, and asks for a resync after a gap."""

    def __init__(self):
        self.reports = []
        self.events = []
        self.sequence = 0

    def observe_load(self, report, now):
        self.reports.append((report, now))

    def observe_cache(self, event):
        self.events.append(event)
        whole = event.reset or event.sequence == self.sequence + 1
        self.sequence = event.sequence
        return whole


class EngineObserverTest(unittest.TestCase):
    """Reports are as old as they say; a gap brings the whole cache."""

    def test_gap_is_followed_by_the_whole_cache(self):
        async def test():
            async with serving.site() as site:
                told = _Dispatcher()
                observer = engine_observer.EngineObserver(
                    site.daemon.links, told, clock.LoopClock()
                )
                body = serving.prompt(1, stream=False)
                await observer.poll_all()
                self.assertEqual(told.events, [])
                for skipped, letter in enumerate("ab"):
                    site.engines[0].faults.skip_cache_events = skipped
                    body["prompt"] = letter * 2048
                    await site.post("/v1/completions", body)
                    await observer.poll_all()
                first, gapped, whole = told.events
                self.assertEqual(len(first.stored), 2)
                self.assertEqual(gapped.sequence, first.sequence + 2)
                self.assertTrue(whole.reset)
                self.assertEqual(
                    set(whole.stored), {*first.stored, *gapped.stored}
                )
                report, now = told.reports[-1]
                self.assertLessEqual(report.measured_at, now)
                self.assertEqual(report.models, (serving.MODEL,))

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
