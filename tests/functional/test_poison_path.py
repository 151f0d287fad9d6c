"""Tests of a request body that crashes each engine that runs it.

Requests go over real sockets.
"""

import unittest

import anyio

from tests.lib import serving

ENGINES = 5
POISON_WORD = "splintered"


def poison_request():
    return {
        **serving.prompt(5, stream=False),
        "prompt": f"A {POISON_WORD} board",
    }


def crashed_engines(site):
    return [engine for engine in site.engines if engine.is_crashed]


class PoisonTest(unittest.TestCase):
    def test_repeated_poison_request_crashes_two_engines_at_most(self):
        async def test():
            async with serving.site(engines=ENGINES) as site:
                for engine in site.engines:
                    engine.faults.crash_on_body = POISON_WORD.encode()
                first = await site.post("/v1/completions", poison_request())
                self.assertNotEqual(first.status, 200)
                self.assertEqual(first.json["outcome"], "unknown")
                for _ in range(4):
                    again = await site.post("/v1/completions", poison_request())
                    self.assertEqual(again.json["reason"], "quarantined")
                    self.assertEqual(again.json["outcome"], "not_run")
                    self.assertIn("retry-after", again.headers)
                self.assertEqual(len(crashed_engines(site)), 2)

        serving.run(test)

    def test_concurrent_requests_finish(self):
        async def test():
            async with serving.site(engines=ENGINES) as site:
                answers = []

                async def send_request():
                    answers.append(await site.complete(400, stream=False))

                async with anyio.create_task_group() as tasks:
                    for _ in range(4 * ENGINES):
                        tasks.start_soon(send_request)
                    await serving.until(
                        lambda: all(e.counters.runs for e in site.engines)
                    )
                    for engine in site.engines:
                        engine.faults.crash_on_body = POISON_WORD.encode()
                    await site.post("/v1/completions", poison_request())
                self.assertEqual({a.status for a in answers}, {200})
                # The poison request shares the retry budget with the others,
                # so it may run out of retries after one crash.
                self.assertIn(len(crashed_engines(site)), (1, 2))

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
