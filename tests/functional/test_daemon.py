"""The daemon program with its embedded components, over real sockets."""

import json
import threading
import unittest

import httpcore

from tests.lib import daemons

PROMPT = {"model": "demo-model", "prompt": "Hello", "max_tokens": 3}


class DaemonTest(unittest.TestCase):
    """A daemon serves prompts and calls."""

    @classmethod
    def setUpClass(cls):
        cls.daemon = cls.enterClassContext(daemons.running())

    def test_completion_returns_the_full_text(self):
        status, headers, body = self.daemon.request(
            "POST", "/v1/completions", PROMPT
        )
        self.assertEqual(status, 200)
        text = json.loads(body)["choices"][0]["text"]
        self.assertEqual(text, "word0 word1 word2 ")
        self.assertIn(b"x-request-id", headers)
        self.assertEqual(headers[b"x-data-centre"], b"local")

    def test_stream_ends_in_done(self):
        body = {
            "model": "demo-model",
            "messages": [{"role": "user", "content": "Hello"}],
            "max_tokens": 3,
            "stream": True,
        }
        status, headers, answer = self.daemon.request(
            "POST", "/v1/chat/completions", body
        )
        self.assertEqual(status, 200)
        self.assertTrue(headers[b"content-type"].startswith(b"text/event-"))
        self.assertEqual(answer.count(b"data: "), 5)
        self.assertTrue(answer.endswith(b"data: [DONE]\n\n"))

    def test_ledger_call_runs_once_per_request(self):
        path = "/v1/services/demo-ledger/calls"
        runs = [
            json.loads(self.daemon.request("POST", path, {})[2])["run"]
            for _ in range(2)
        ]
        self.assertEqual(runs[1], runs[0] + 1)

    def test_account_can_query_its_finished_request(self):
        _, headers, _ = self.daemon.request("POST", "/v1/completions", PROMPT)
        request_id = headers[b"x-request-id"].decode()
        status, _, body = self.daemon.request(
            "GET", f"/v1/requests/{request_id}"
        )
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(body)["outcome"], "done")

    def test_unknown_key_is_rejected_as_not_run(self):
        status, _, body = self.daemon.request(
            "POST", "/v1/completions", PROMPT, key="wrong"
        )
        self.assertEqual(status, 401)
        self.assertEqual(json.loads(body)["outcome"], "not_run")


class DrainTest(unittest.TestCase):
    """SIGTERM drains the daemon without interrupting a request."""

    def test_open_stream_completes_and_exit_status_is_0(self):
        with daemons.running() as daemon:
            body = {**PROMPT, "max_tokens": 300, "stream": True}
            stream_started = threading.Event()
            received_parts = []

            def read_stream():
                headers = [("Authorization", f"Bearer {daemons.KEY}")]
                with httpcore.stream(
                    "POST",
                    daemon.url("/v1/completions"),
                    headers=headers,
                    content=json.dumps(body).encode(),
                ) as response:
                    for part in response.iter_stream():
                        received_parts.append(part)
                        stream_started.set()

            reader = threading.Thread(target=read_stream)
            reader.start()
            self.assertTrue(stream_started.wait(daemons.START_TIMEOUT_S))
            daemon.process.terminate()
            daemons.read_until(daemon.process, "draining")
            self.assertEqual(daemon.request("GET", "/readyz")[0], 503)
            refused = daemon.request("POST", "/v1/completions", PROMPT)
            self.assertEqual(refused[0], 503)
            self.assertEqual(json.loads(refused[2])["outcome"], "not_run")
            reader.join(daemons.STOP_TIMEOUT_S)
            whole = b"".join(received_parts)
            self.assertTrue(whole.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(whole.count(b"data: "), 302)
            self.assertEqual(daemon.process.wait(daemons.STOP_TIMEOUT_S), 0)
