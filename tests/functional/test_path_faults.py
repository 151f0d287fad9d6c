"""Tests faults of targets and callers with a whole site on real sockets."""

import unittest

from tests.lib import serving

EXPECTED_TEXT = "".join(f"word{index} " for index in range(20))
DONE_EVENT = b"data: [DONE]\n\n"
CRLF_DONE_EVENT = b"data: [DONE]\r\n\r\n"


class EngineFaultTest(unittest.TestCase):
    """Engine faults: a caller gets a complete response or a correct outcome."""

    def test_broken_stream_is_resumed_at_its_offset(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.cut_after_bytes = 500
                response = await site.complete()
                self.assertEqual(response.text, EXPECTED_TEXT)
                self.assertTrue(response.body.endswith(DONE_EVENT))
                self.assertEqual(site.engines[0].counters.runs, 1)
                self.assertEqual(site.engines[0].counters.resumes, 1)

        serving.run(test)

    def test_silent_stream_is_resumed(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.stall_after_bytes = 500
                responses = []

                async def call():
                    responses.append(await site.complete())

                async with serving.anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    faults = site.engines[0].faults
                    await serving.until(
                        lambda: faults.stall_after_bytes is None
                    )
                    while not responses:
                        site.daemon.idle_watch.expire_idle_streams()
                        await serving.anyio.sleep(0.02)
                self.assertEqual(responses[0].text, EXPECTED_TEXT)
                self.assertEqual(site.engines[0].counters.runs, 1)

        serving.run(test)

    def test_lost_stream_ends_with_an_error_event(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.cut_after_bytes = 500
                site.engines[0].faults.forget_cut_runs = True
                response = await site.complete()
                self.assertEqual(response.status, 200)
                self.assertNotIn(DONE_EVENT, response.body)
                event = response.body.decode().split("\n\n")[-2]
                self.assertTrue(event.startswith("event: error\ndata: {"))
                self.assertIn('"outcome":"unknown"', event)

        serving.run(test)

    def test_crlf_event_is_forwarded_immediately(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.crlf = True
                site.engines[0].faults.stall_after_bytes = 500
                raw = await site.open_raw(20)
                received = b""
                with raw, serving.anyio.fail_after(20):
                    while not received.count(b"word0 "):
                        await serving.anyio.wait_readable(raw)
                        chunk = raw.recv(65536)
                        self.assertTrue(chunk, received)
                        received += chunk

        serving.run(test)

    def test_crlf_stream_is_forwarded_completely(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.crlf = True
                response = await site.complete()
                self.assertTrue(response.body.endswith(CRLF_DONE_EVENT))
                response.body = response.body.replace(b"\r\n", b"\n")
                self.assertEqual(response.text, EXPECTED_TEXT)

        serving.run(test)

    def test_lost_response_is_retried_on_another_engine(self):
        async def test():
            async with serving.site(engines=2) as site:
                first = site.engines[0]
                first.faults.crash_on_body = b"cracked"
                while not first.counters.crashes:
                    response = await site.complete(stream=False)
                    self.assertEqual(response.status, 200)
                    text = response.json["choices"][0]["text"]
                    self.assertEqual(text, EXPECTED_TEXT)

        serving.run(test)

    def test_response_to_another_attempt_is_dropped_and_counted(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.mismatched_attempt_ids = 1
                response = await site.complete()
                self.assertEqual(response.text, EXPECTED_TEXT)
                self.assertEqual(site.daemon.links.counters.crossed, 1)

        serving.run(test)

    def test_refused_request_is_sent_to_another_engine(self):
        async def test():
            async with serving.site(engines=2) as site:
                first = site.engines[0]
                first.faults.refuse = True
                while not first.counters.calls:
                    response = await site.complete()
                    self.assertEqual(response.text, EXPECTED_TEXT)

        serving.run(test)

    def test_refusal_by_all_engines_is_not_run_with_retry_after(self):
        async def test():
            async with serving.site(engines=2) as site:
                for engine in site.engines:
                    engine.faults.refuse = True
                response = await site.complete()
                self.assertEqual(response.status, 503)
                self.assertEqual(response.json["outcome"], "not_run")
                self.assertGreaterEqual(int(response.headers["retry-after"]), 1)
                self.assertEqual(
                    sum(each.counters.runs for each in site.engines), 0
                )

        serving.run(test)

    def test_engine_error_has_outcome_failed(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.reject = True
                response = await site.complete()
                self.assertEqual(response.json["outcome"], "failed")

        serving.run(test)

    def test_deadline_of_a_silent_run_has_outcome_unknown(self):
        async def test():
            async with serving.site() as site:
                site.engines[0].faults.stall_after_bytes = 0
                response = await site.complete(Request_Timeout="0.3")
                self.assertIn(
                    '"reason":"deadline_exceeded"', str(response.body)
                )
                self.assertIn('"outcome":"unknown"', str(response.body))
                memory = site.engines[0].scheduler.memory
                await serving.until(lambda: memory.allocated_tokens == 0)

        serving.run(test)


class ServiceFaultTest(unittest.TestCase):
    """Service faults: a call that is not idempotent is never sent twice."""

    def check(self, outcome, status, **faults):
        async def test():
            async with serving.site() as site:
                for name, value in faults.items():
                    setattr(site.ledger.faults, name, value)
                response = await site.post("/v1/services/ledger/calls", {})
                self.assertEqual(response.json["outcome"], outcome)
                self.assertEqual(response.status, status)
                expected = 0 if outcome == "not_run" else 1
                self.assertEqual(site.ledger.runs, expected)

        serving.run(test)

    def test_lost_response_has_outcome_unknown(self):
        self.check("unknown", 502, lose_answers=1)

    def test_truncated_response_has_outcome_unknown(self):
        self.check("unknown", 502, cut_answers=1)

    def test_error_after_a_run_has_outcome_failed(self):
        self.check("failed", 502, fail=True)

    def test_refusal_has_outcome_not_run(self):
        self.check("not_run", 503, refuse=True)


class CallerFaultTest(unittest.TestCase):
    """Caller faults: disconnects, slow reads and idle streams."""

    def test_disconnect_cancels_the_run_until_confirmed(self):
        async def test():
            async with serving.site() as site:
                engine = site.engines[0]
                engine.faults.lose_cancels = 2
                raw = await site.open_raw(100_000)
                await serving.anyio.wait_readable(raw)
                raw.close()
                memory = engine.scheduler.memory
                await serving.until(lambda: memory.allocated_tokens == 0)
                canceller = site.daemon.canceller
                await serving.until(lambda: canceller.counters.confirmed == 1)
                self.assertEqual(engine.counters.cancels, 3)
                self.assertEqual(site.daemon.record_table.open_count, 0)

        serving.run(test)

    def test_slow_reader_pauses_its_stream(self):
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

    def test_idle_stream_sends_heartbeats(self):
        async def test():
            callers = serving.settings.CallerSettings(port=0, heartbeat_s=0.02)
            async with serving.site(callers=callers) as site:
                site.engines[0].faults.stall_after_bytes = 0
                response = await site.complete(Request_Timeout="0.5")
                self.assertIn(b": heartbeat\n\n", response.body)
                self.assertIn(b"event: error", response.body)

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
