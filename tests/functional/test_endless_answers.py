"""Tests of targets that send bytes without end instead of an answer."""

import itertools
import time
import unittest

import anyio
import result

from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.links.targets import http_client
from cardamomfork._internal.models import fleet
from cardamomfork._internal.models import targets as target_models
from tests.functional import test_gateway_forwarding
from tests.lib import scripted_target

BLOCK = b"x" * 65_536
MAX_SENT_BYTES = 16 * 1024 * 1024
"""Includes what the buffers of two sockets hold."""
MAX_S = 4.0
MAX_CONTROL_S = http_client.CONTROL_TIMEOUT_S + 1.0
OTHER_CALLS = 20


class EndlessTarget:
    """Repeats a block after the start of an answer, and counts the bytes."""

    def __init__(self, start, block):
        self._start = start
        self._block = block
        self.sent = 0

    def script(self, request):
        yield self._start(request)
        for _ in itertools.count():
            self.sent += len(self._block)
            yield self._block


def start_of_answer(request, length=b"transfer-encoding: chunked"):
    """Returns an unsigned head of a body without end."""
    return scripted_target.answer(request, b"", signed=False).replace(
        b"content-length: 0", length
    )


def chunk(data):
    """Returns one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CASES = {
    "noise": (lambda request: b"", BLOCK),
    "header value": (lambda request: b"HTTP/1.1 200 X\r\na: ", BLOCK),
    "headers": (lambda request: b"HTTP/1.1 200 X\r\n", b"a: b\r\n" * 9000),
    "informational heads": (
        lambda request: b"",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2500,
    ),
    "unsigned body": (start_of_answer, chunk(BLOCK)),
    "body until the end of the connection": (
        lambda request: start_of_answer(request, b"x: y"),
        BLOCK,
    ),
    "chunk extension": (
        lambda request: (
            scripted_target.stream(request, 1, 1, ends=False) + b"1;a="
        ),
        BLOCK,
    ),
    "event": (
        lambda request: scripted_target.stream(request, 1, 1, ends=False),
        chunk(BLOCK),
    ),
    "repeated events": (
        lambda request: scripted_target.stream(request, 1, 2, ends=False),
        chunk(b"id: 1\ndata: e1\n\n" * 4000),
    ),
    "answer to another request": (
        lambda request: start_of_answer(request).replace(b"r1", b"r2"),
        chunk(BLOCK),
    ),
}


class GatewayTest(unittest.TestCase):
    def test_bytes_without_end_are_cut_and_the_request_goes_elsewhere(self):
        def whole(request):
            last = int(request.header("last-event-id") or 0)
            return [scripted_target.stream(request, last + 1, 3)]

        for name, (start, block) in CASES.items():
            with self.subTest(name):
                endless = EndlessTarget(start, block)

                async def scenario(fixture, targets):
                    fixture.parts.table.find("t1").paused_until = (
                        time.monotonic() + 0.01
                    )
                    started_at = time.monotonic()
                    sink, final = await fixture.send()
                    seconds = time.monotonic() - started_at
                    with anyio.fail_after(MAX_S):
                        await targets[0].client_disconnected.wait()
                    return sink, final, seconds

                sink, final, seconds = test_gateway_forwarding.run_scenario(
                    scenario, endless.script, whole
                )
                self.assertIsNone(final)
                self.assertEqual(sink.status, 200)
                self.assertLess(seconds, MAX_S)
                self.assertLess(endless.sent, MAX_SENT_BYTES)

    def test_other_requests_are_served_meanwhile(self):
        start, block = CASES["unsigned body"]
        endless = EndlessTarget(start, block)

        async def scenario(fixture, targets):
            del targets
            fixture.parts.table.find("t1").paused_until = (
                time.monotonic() + 0.01
            )
            slowest_s = 0.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fixture.send)
                await anyio.sleep(0.02)
                for number in range(OTHER_CALLS):
                    started_at = time.monotonic()
                    await fixture.send(request_id=f"q{number}")
                    slowest_s = max(slowest_s, time.monotonic() - started_at)
            return slowest_s

        slowest_s = test_gateway_forwarding.run_scenario(
            scenario,
            endless.script,
            lambda request: [scripted_target.answer(request)],
            rule=fleet.RepeatPolicy.SAFE,
        )
        self.assertLess(slowest_s, 1.0)


class ProductTest(unittest.TestCase):
    def test_status_answer_without_end_is_cut(self):
        cases = {**CASES, "spaces": (start_of_answer, chunk(b" " * 65_536))}
        for name, (start, block) in cases.items():
            with self.subTest(name):
                endless = EndlessTarget(start, block)
                answer, seconds = anyio.run(request_status, endless)
                self.assertIsInstance(answer, result.Err)
                self.assertLess(seconds, MAX_CONTROL_S)
                self.assertLess(endless.sent, MAX_SENT_BYTES)


async def request_status(endless):
    """Asks a target for its status; returns the answer and its seconds."""
    async with scripted_target.ScriptedTarget(endless.script) as target:
        client = http_client.TargetHttpClient(make_target(target.port))
        started_at = time.monotonic()
        answer = await client.request_json(
            extension.ReservationsAnswer, "GET", "/load"
        )
        seconds = time.monotonic() - started_at
        with anyio.fail_after(MAX_S):
            await target.client_disconnected.wait()
        await client.close()
        return answer, seconds


def make_target(port):
    """Returns the configuration of a target on this host."""
    return target_models.Target(
        target_id="t0",
        kind=target_models.TargetKind.ENGINE,
        host="127.0.0.1",
        port=port,
        data_centre="a",
    )


if __name__ == "__main__":
    unittest.main()
