"""Prompts that exceed one engine's memory are computed on several."""

import unittest

from tests.lib import serving

SPEED = serving.engine_runs.EngineProfile(
    prefill_tokens_per_s=1e6, decode_s=0.0002, memory_tokens=4096
)


def long_prompt(tokens):
    body = serving.prompt(20)
    body["prompt"] = "x" * (4 * tokens)
    return body


def allocated_tokens(site):
    return [engine.scheduler.memory.allocated_tokens for engine in site.engines]


def open_reservations(site):
    return [engine.scheduler.memory.reservations for engine in site.engines]


class LongPromptTest(unittest.TestCase):
    """Parts are held while the request runs and are freed afterwards."""

    def test_prompt_over_one_engine_is_answered_and_memory_freed(self):
        async def test():
            async with serving.site(engines=3, speed=SPEED) as site:
                answer = await site.post("/v1/completions", long_prompt(6000))
                self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
                self.assertEqual(answer.body.count(b"data: {"), 21)
                runs = [engine.counters.runs for engine in site.engines]
                self.assertEqual(sum(runs), 2)
                await serving.until(lambda: allocated_tokens(site) == [0, 0, 0])
                await serving.until(lambda: open_reservations(site) == [()] * 3)

        serving.run(test)

    def test_failed_part_leaves_no_memory_held(self):
        async def test():
            async with serving.site(engines=2, speed=SPEED) as site:
                for engine in site.engines:
                    engine.faults.reject = True
                answer = await site.post("/v1/completions", long_prompt(6000))
                self.assertEqual(answer.json["outcome"], "not_run")
                await serving.until(lambda: allocated_tokens(site) == [0, 0])
                await serving.until(lambda: open_reservations(site) == [()] * 2)

        serving.run(test)

    def test_prompt_over_total_memory_is_refused_immediately(self):
        async def test():
            async with serving.site(engines=2, speed=SPEED) as site:
                answer = await site.post("/v1/completions", long_prompt(9000))
                self.assertEqual(answer.json["reason"], "prompt_too_large")
                self.assertEqual(answer.json["outcome"], "not_run")
                calls = [engine.counters.calls for engine in site.engines]
                self.assertEqual(calls, [0, 0])

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
