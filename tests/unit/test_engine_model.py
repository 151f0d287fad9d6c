"""Tests that the engine model's timing matches its parameters."""

import unittest

from cardamomfork._internal.standins import engine_model

PARAMETERS = engine_model.EngineParameters()


def _make_job(name, end, generate=1, urgency=3, **more):
    return engine_model.Job(
        name, more.pop("start", 0), end, generate, urgency, **more
    )


class EngineModelTest(unittest.TestCase):
    def setUp(self):
        self.engine = engine_model.EngineModel(PARAMETERS, "boot")

    def _run_until_idle(self):
        events = []
        while (at := self.engine.next_event()) is not None:
            events += self.engine.advance(at)
        return [(e.kind.value, e.request_id, e.at) for e in events]

    def test_prefill_time_matches_steps_and_tokens(self):
        self.engine.submit(_make_job("a", 10_240), 0.0)
        held = PARAMETERS.step_per_held_token_s * 10_241
        expected = 10 * (PARAMETERS.step_s + held) + 0.1024 * 1.00512
        self.assertAlmostEqual(self._run_until_idle()[0][2], expected, places=9)
        self.assertEqual(self.engine.allocated_tokens, 0)

    def test_prefill_slows_decode(self):
        self.engine.submit(_make_job("a", 1024, generate=101), 0.0)
        alone = self._run_until_idle()[-1][2]
        start = self.engine.next_event() or alone
        self.engine.submit(_make_job("a", 1024, generate=101), start)
        self.engine.submit(_make_job("b", 200_000), start)
        events = self._run_until_idle()
        self.assertEqual(events[1][:2], ("done", "a"))
        self.assertGreater(events[1][2] - start, 1.7 * alone)

    def test_prefill_is_not_preempted_and_urgent_job_starts_next(self):
        self.engine.submit(_make_job("long", 100_000), 0.0)
        self.engine.submit(_make_job("late", 1024, urgency=6), 0.0)
        self.engine.submit(_make_job("soon", 1024, urgency=1), 0.0)
        order = [e[1] for e in self._run_until_idle() if e[0] == "prefilled"]
        self.assertEqual(order, ["long", "soon", "late"])

    def test_job_waits_until_memory_is_free(self):
        self.engine.submit(_make_job("a", 300_000, generate=1000), 0.0)
        self.engine.submit(_make_job("b", 300_000), 0.0)
        order = [e[:2] for e in self._run_until_idle()]
        self.assertEqual(
            order,
            [
                ("prefilled", "a"),
                ("done", "a"),
                ("prefilled", "b"),
                ("done", "b"),
            ],
        )

    def test_part_holds_memory_until_released(self):
        self.engine.submit(_make_job("a", 300_000, generate=0), 0.0)
        self.assertEqual(len(self._run_until_idle()), 1)
        self.assertEqual(self.engine.allocated_tokens, 300_000)
        self.engine.release("a")
        self.assertEqual(self.engine.allocated_tokens, 0)

    def test_cached_prefix_shortens_prefill_and_is_evicted_under_pressure(self):
        blocks = tuple(range(1, 11))
        self.engine.submit(_make_job("a", 10_240, hashes=blocks), 0.0)
        first = self._run_until_idle()[0][2]
        event = self.engine.pop_cache_event("e0")
        self.assertEqual(event.stored, blocks)
        start = self.engine.advance(first + 1) or first + 1
        self.engine.submit(_make_job("b", 11_264, hashes=(*blocks, 11)), start)
        self.assertLess(self._run_until_idle()[0][2] - start, first / 5)
        self.engine.submit(_make_job("c", 499_999), start + 100)
        self.assertEqual(len(self.engine.pop_cache_event("e0").evicted), 11)

    def test_half_speed_doubles_the_duration(self):
        self.engine.submit(_make_job("a", 1024, generate=101), 0.0)
        alone = self._run_until_idle()[-1][2]
        self.engine.set_speed(0.5)
        self.engine.submit(_make_job("b", 1024, generate=101), alone)
        self.assertAlmostEqual(
            self._run_until_idle()[-1][2], 3 * alone, places=6
        )
