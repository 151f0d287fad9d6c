"""Faults of targets and callers on the whole path, over real sockets."""

import unittest

from tests.lib import serving

WORDS = "".join(f"word{index} " for index in range(20))
DONE = b"data: [DONE]\n\n"
CRLF_DONE = b"data: [DONE]\r\n\r\n"


class EngineFaultTest(unittest.TestCase):
    """A caller gets one whole answer, or the truth."""

    def test_stream_that_breaks_is_resumed_at_its_offset(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.cut_after_bytes = 500
                answer = await site.complete()
                self.assertEqual(answer.text, WORDS)
                self.assertTrue(answer.body.endswith(DONE))
                self.assertEqual(site.engines[0].counters.runs, 1)
                self.assertEqual(site.engines[0].counters.resumes, 1)

        serving.run(test)

    def test_stream_that_falls_silent_is_resumed(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.stall_after_bytes = 500
                answers = []

                async def call():
                    answers.append(await site.complete())

                async with serving.anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    faults = site.engines[0].faults
                    await serving.until(
                        lambda: faults.stall_after_bytes is None
                    )
                    while not answers:
                        site.daemon.idle_watch.expire_idle_streams()
                        await serving.anyio.sleep(0.02)
                self.assertEqual(answers[0].text, WORDS)
                self.assertEqual(site.engines[0].counters.runs, 1)

        serving.run(test)

    def test_stream_that_is_lost_ends_in_an_error_event(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.cut_after_bytes = 500
                site.engines[0].faults.forget_cut_runs = True
                answer = await site.complete()
                self.assertEqual(answer.status, 200)
                self.assertNotIn(DONE, answer.body)
                event = answer.body.decode().split("\n\n")[-2]
                self.assertTrue(event.startswith("event: error\ndata: {"))
                self.assertIn('"outcome":"unknown"', event)

        serving.run(test)

    def test_event_that_ends_in_crlf_is_passed_on_at_once(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.crlf = True
                site.engines[0].faults.stall_after_bytes = 500
                raw = await site.open_raw(20)
                got = b""
                with raw, serving.anyio.fail_after(20):
                    while not got.count(b"word0 "):
                        await serving.anyio.wait_readable(raw)
                        piece = raw.recv(65536)
                        self.assertTrue(piece, got)
                        got += piece

        serving.run(test)

    def test_stream_whose_lines_end_in_crlf_arrives_whole(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.crlf = True
                answer = await site.complete()
                self.assertTrue(answer.body.endswith(CRLF_DONE))
                answer.body = answer.body.replace(b"\r\n", b"\n")
                self.assertEqual(answer.text, WORDS)

        serving.run(test)

    def test_body_that_is_lost_is_run_again_elsewhere(self):
        async def test():
            async with serving.site(engines=2) as site:
                first = site.engines[0]
                first.faults.crash_on_body = b"cracked"
                while not first.counters.crashes:
                    answer = await site.complete(stream=False)
                    self.assertEqual(answer.status, 200)
                    text = answer.json["choices"][0]["text"]
                    self.assertEqual(text, WORDS)

        serving.run(test)

    def test_answer_to_another_attempt_is_dropped_and_counted(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.mismatched_attempt_ids = 1
                answer = await site.complete()
                self.assertEqual(answer.text, WORDS)
                self.assertEqual(site.daemon.links.counters.crossed, 1)

        serving.run(test)

    def test_refusal_moves_the_request_to_the_next_engine(self):
        async def test():
            async with serving.site(engines=2) as site:
                first = site.engines[0]
                first.faults.refuse = True
                while not first.counters.calls:
                    answer = await site.complete()
                    self.assertEqual(answer.text, WORDS)

        serving.run(test)

    def test_refusal_of_all_engines_is_not_run_with_advice(self):
        async def test():
            async with serving.site(engines=2) as site:
                for one in site.engines:
                    one.faults.refuse = True
                answer = await site.complete()
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.json["outcome"], "not_run")
                self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
                self.assertEqual(sum(e.counters.runs for e in site.engines), 0)

        serving.run(test)

    def test_error_of_an_engine_is_failed(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.reject = True
                answer = await site.complete()
                self.assertEqual(answer.json["outcome"], "failed")

        serving.run(test)

    def test_deadline_ends_a_silent_run_as_unknown(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.stall_after_bytes = 0
                answer = await site.complete(Request_Timeout="0.3")
                self.assertIn('"reason":"deadline_exceeded"', str(answer.body))
                self.assertIn('"outcome":"unknown"', str(answer.body))
                memory = site.engines[0].scheduler.memory
                await serving.until(lambda: memory.allocated_tokens == 0)

        serving.run(test)


class ServiceFaultTest(unittest.TestCase):
    """A call that must not repeat is never sent twice."""

    def check(self, outcome, status, **faults):
        async def test():
            async with serving.site() as site:
                for name, value in faults.items():
                    setattr(site.ledger.faults, name, value)
                answer = await site.post("/v1/services/ledger/calls", {})
                self.assertEqual(answer.json["outcome"], outcome)
                self.assertEqual(answer.status, status)
                expected = 0 if outcome == "not_run" else 1
                self.assertEqual(site.ledger.runs, expected)

        serving.run(test)

    def test_lost_answer_is_unknown(self):
        self.check("unknown", 502, lose_answers=1)

    def test_answer_cut_in_its_middle_is_unknown(self):
        self.check("unknown", 502, cut_answers=1)

    def test_error_after_a_run_is_failed(self):
        self.check("failed", 502, fail=True)

    def test_refusal_is_not_run(self):
        self.check("not_run", 503, refuse=True)


class CallerFaultTest(unittest.TestCase):
    """Callers that leave or read slowly."""

    def test_leaving_caller_has_its_work_cancelled_until_confirmed(self):
        async def test():
            async with serving.site() as site:
                one = site.engines[0]
                one.faults.lose_cancels = 2
                raw = await site.open_raw(100_000)
                await serving.anyio.wait_readable(raw)
                raw.close()
                memory = one.scheduler.memory
                await serving.until(lambda: memory.allocated_tokens == 0)
                canceller = site.daemon.canceller
                await serving.until(lambda: canceller.counters.confirmed == 1)
                self.assertEqual(one.counters.cancels, 3)
                self.assertEqual(site.daemon.record_table.open_count, 0)

        serving.run(test)

    def test_slow_reader_holds_its_stream_back(self):
        async def test():
            speed = serving.engine_runs.EngineProfile(decode_s=0.0)
            async with serving.site(speed=speed) as site:
                raw = await site.open_raw(30_000, receive_buffer=4096)
                await serving.until(
                    lambda: any(s._paused for s in site.streams)
                )
                received = b""
                while not received.endswith(b"0\r\n\r\n"):
                    await serving.anyio.wait_readable(raw)
                    received += raw.recv(1 << 20)
                raw.close()
                self.assertEqual(received.count(b"data: {"), 30_001)
                self.assertIn(b"data: [DONE]", received)

        serving.run(test)

    def test_idle_stream_carries_heartbeats(self):
        async def test():
            callers = serving.settings.CallerSettings(port=0, heartbeat_s=0.02)
            async with serving.site(callers=callers) as site:
                site.engines[0].faults.stall_after_bytes = 0
                answer = await site.complete(Request_Timeout="0.5")
                self.assertIn(b": heartbeat\n\n", answer.body)
                self.assertIn(b"event: error", answer.body)

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
