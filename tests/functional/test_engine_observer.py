"""The observer polls load reports and cache events over HTTP."""

import unittest

from cardamomfork._internal.contracts import clock
from cardamomfork._internal.links.targets import engine_observer
from tests.lib import serving


class _RecordingListener:
    """Records reports and events; requests a resync after a gap."""

    def __init__(self):
        self.reports = []
        self.events = []
        self.sequence = 0

    def observe_load(self, report, now):
        self.reports.append((report, now))

    def observe_cache(self, event):
        self.events.append(event)
        in_sync = event.reset or event.sequence == self.sequence + 1
        self.sequence = event.sequence
        return in_sync


class EngineObserverTest(unittest.TestCase):
    """Reports carry their measuring time; a gap leads to a resync."""

    def test_gap_triggers_resync_of_whole_cache(self):
        async def test():
            async with serving.site() as site:
                listener = _RecordingListener()
                observer = engine_observer.EngineObserver(
                    site.daemon.links, listener, clock.LoopClock()
                )
                body = serving.prompt(1, stream=False)
                await observer.poll_all()
                self.assertEqual(listener.events, [])
                for skipped, letter in enumerate("ab"):
                    site.engines[0].faults.skip_cache_events = skipped
                    body["prompt"] = letter * 2048
                    await site.post("/v1/completions", body)
                    await observer.poll_all()
                first, gapped, resync = listener.events
                self.assertEqual(len(first.stored), 2)
                self.assertEqual(gapped.sequence, first.sequence + 2)
                self.assertTrue(resync.reset)
                self.assertEqual(
                    set(resync.stored), {*first.stored, *gapped.stored}
                )
                report, now = listener.reports[-1]
                self.assertLessEqual(report.measured_at, now)
                self.assertEqual(report.models, (serving.MODEL,))

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
