"""Invalid, oversized, slow and unauthorized input to the caller API."""

import json
import unittest

import anyio

from cardamomfork._internal.models import configuration
from tests.lib import serving

COMPLETIONS = "/v1/completions"


async def exchange_raw(site, data):
    """Sends raw bytes and reads until the server closes the connection."""
    stream = await anyio.connect_tcp(serving.HOST, site.port)
    received = b""
    async with stream:
        await stream.send(data)
        try:
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


class BadInputTest(unittest.TestCase):
    """Invalid input gets a 4xx problem with outcome `not_run`, not a 500."""

    def check(self, body, status, *paths, path=COMPLETIONS, **headers):
        async def test():
            async with serving.site() as site:
                answer = await site.post(path, body, **headers)
                self.assertEqual(answer.status, status, answer.body)
                problem = answer.json
                self.assertEqual(problem["outcome"], "not_run")
                self.assertEqual(
                    problem["request_id"], answer.headers["x-request-id"]
                )
                self.assertEqual(problem["data_centre"], "local")
                found = [one["path"] for one in problem.get("findings", ())]
                self.assertEqual(found, list(paths))
                self.assertEqual(site.engines[0].counters.calls, 0)

        serving.run(test)

    def test_malformed_json(self):
        self.check(b'{"model": ', 400, "$")

    def test_deeply_nested_json(self):
        self.check(b"[" * 100_000, 400, "$")

    def test_not_an_object(self):
        self.check(b"[1]", 400, "$")

    def test_invalid_utf8(self):
        self.check(b'{"model": "\xff"}', 400, "$")

    def test_all_findings_of_headers_and_body_are_reported(self):
        self.check(
            {"model": "", "prompt": 1, "stream": "yes", "max_tokens": 0},
            400,
            "Request-Timeout",
            "Priority",
            "$.model",
            "$.stream",
            "$.max_tokens",
            "$.prompt",
            Request_Timeout="soon",
            Priority="u=9",
        )

    def test_messages_of_wrong_types(self):
        body = {
            "model": serving.MODEL,
            "messages": [{"role": "pirate"}, 7, {"role": "user"}],
        }
        self.check(
            body,
            400,
            "$.messages[0].role",
            "$.messages[0].content",
            "$.messages[1]",
            "$.messages[2].content",
            path="/v1/chat/completions",
        )

    def test_message_with_unhashable_role(self):
        body = {"model": "m", "messages": [{"role": [], "content": "x"}]}
        self.check(body, 400, "$.messages[0].role", path="/v1/chat/completions")

    def test_tokens_of_wrong_types(self):
        body = {"model": serving.MODEL, "prompt": [1, "two"]}
        self.check(body, 400, "$.prompt[1]")

    def test_unknown_model(self):
        self.check({"model": "nothing", "prompt": "x"}, 404)

    def test_unknown_service(self):
        self.check({}, 404, path="/v1/services/nothing/calls")

    def test_unknown_path(self):
        self.check({}, 404, path="/v2/anything")

    def test_invalid_timeouts(self):
        body = serving.prompt()
        self.check(body, 400, Request_Timeout="1e300")
        for text in ("-1", "0", "nan", "inf"):
            with self.subTest(text):
                self.check(body, 400, "Request-Timeout", Request_Timeout=text)

    def test_account_over_its_limit(self):
        async def test():
            account = configuration.ClientAccount("", max_concurrent=0)
            async with serving.site(account=account) as site:
                answer = await site.complete()
                self.assertEqual(answer.status, 429)
                self.assertEqual(answer.json["outcome"], "not_run")
                self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)

        serving.run(test)


class BodyLimitsTest(unittest.TestCase):
    """The size and the read time of bodies are limited."""

    def test_prompt_of_several_megabytes(self):
        async def test():
            async with serving.site() as site:
                body = serving.prompt(2, stream=False)
                body["prompt"] = "board " * 330_000
                answer = await site.post(COMPLETIONS, body)
                self.assertEqual(answer.status, 200)
                used = answer.json["usage"]["prompt_tokens"]
                self.assertEqual(used, 495_000)

        serving.run(test)

    def test_body_over_the_size_limit(self):
        async def test():
            callers = serving.settings.CallerSettings(
                port=0, max_body_bytes=1000
            )
            async with serving.site(callers=callers) as site:
                body = {"model": serving.MODEL, "prompt": "x" * 1000}
                answer = await site.post(COMPLETIONS, body)
                self.assertEqual(answer.status, 413)
                chunked = await exchange_raw(
                    site,
                    self._head(site, "transfer-encoding: chunked")
                    + b"400\r\n%b\r\n" % (b"x" * 1024),
                )
                self.assertTrue(chunked.startswith(b"HTTP/1.1 413 "))

        serving.run(test)

    def test_incomplete_body_times_out(self):
        async def test():
            callers = serving.settings.CallerSettings(
                port=0, body_timeout_s=0.05
            )
            async with serving.site(callers=callers) as site:
                data = self._head(site, "content-length: 100") + b'{"mod'
                answer = await exchange_raw(site, data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 408 "))
                problem = json.loads(answer.split(b"\r\n\r\n", 1)[1])
                self.assertEqual(problem["outcome"], "not_run")

        serving.run(test)

    def test_disconnect_during_body_leaves_no_open_request(self):
        async def test():
            async with serving.site() as site:
                stream = await anyio.connect_tcp(serving.HOST, site.port)
                await stream.send(
                    self._head(site, "content-length: 100") + b'{"mod'
                )
                await stream.aclose()
                answer = await site.complete()
                self.assertEqual(answer.status, 200)
                self.assertEqual(site.daemon.record_table.open_count, 0)

        serving.run(test)

    def _head(self, site, *headers):
        lines = [
            "POST /v1/completions HTTP/1.1",
            "host: x",
            f"authorization: Bearer {site.keys['first']}",
            *headers,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class AccountIsolationTest(unittest.TestCase):
    """Accounts see only their own requests and share no cached blocks."""

    def test_request_is_hidden_from_other_accounts(self):
        async def test():
            async with serving.site() as site:
                answer = await site.complete()
                path = f"/v1/requests/{answer.headers['x-request-id']}"
                own = await site.get(path)
                other = await site.get(path, account="second")
                self.assertEqual(own.json["outcome"], "done")
                self.assertEqual(other.status, 404)
                unknown = await site.get("/v1/requests/nothing")
                self.assertEqual(other.json["detail"], unknown.json["detail"])

        serving.run(test)

    def test_accounts_never_share_cached_blocks(self):
        async def test():
            async with serving.site() as site:
                body = serving.prompt(1, stream=False)
                body["prompt"] = "x" * 4096
                memory = site.engines[0].scheduler.memory
                counts = []
                for account in ("first", "first", "second"):
                    await site.post(COMPLETIONS, body, account=account)
                    counts.append(len(memory._cache))
                self.assertEqual(counts, [4, 4, 8])

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
