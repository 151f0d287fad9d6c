"""Tests of answers to a daemon that resumes a stream that broke off."""

import unittest
from unittest import mock

from cardamomfork._internal.requests import running
from tests.lib import scripted_target
from tests.lib import serving

FOREIGN = b"FOREIGN"
EVENTS = b'data: {"choices":[{"text":"a"}]}\n\n' * 3
REST = b'data: {"choices":[{"text":"b"}]}\n\ndata: [DONE]\n\n'
CHUNKED = b"transfer-encoding: chunked"
EVENT_STREAM = b"text/event-stream"


def make_answer(
    request, body, *, status=200, kind=EVENT_STREAM, framing=None, end=True
):
    """Returns an answer, in one chunk unless its framing says otherwise."""
    head = b"HTTP/1.1 %d X\r\nx-attempt-id: %b\r\ncontent-type: %b\r\n" % (
        status,
        request.header("x-attempt-id").encode(),
        kind,
    )
    if framing is not None:
        return head + framing + b"\r\n\r\n" + body
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return head + CHUNKED + b"\r\n\r\n" + chunk + (b"0\r\n\r\n" if end else b"")


def with_length(body):
    """Returns the framing of a body with a length."""
    return b"content-length: %d" % len(body)


ERROR = FOREIGN + b" error\n\n"
FAULTY = {
    "500": lambda r: make_answer(
        r, ERROR, status=500, kind=b"text/plain", framing=with_length(ERROR)
    ),
    "500 until the close": lambda r: make_answer(
        r, ERROR, status=500, kind=b"text/plain", framing=b"x-a: b"
    ),
    "404": lambda r: make_answer(r, ERROR, status=404, kind=b"text/plain"),
    "302": lambda r: make_answer(
        r, ERROR, status=302, kind=b"text/html", framing=with_length(ERROR)
    ),
    "206": lambda r: make_answer(r, ERROR, status=206),
    "200 with another type": lambda r: make_answer(
        r, ERROR, kind=b"text/plain", framing=with_length(ERROR)
    ),
    "200 with another type until the close": lambda r: make_answer(
        r, ERROR, kind=b"text/plain", framing=b"x-a: b"
    ),
    "empty 200": lambda r: make_answer(r, b""),
    "head alone": lambda r: make_answer(r, b"", end=False),
}


async def complete(answer_resume):
    """Completes a prompt whose engine breaks off and answers the resume."""
    resumes = 0

    def script(request):
        nonlocal resumes
        if not request.head.startswith(b"POST /v1/"):
            body = b'{"reservations":[],"freed":true}'
            return [
                make_answer(
                    request,
                    body,
                    kind=b"application/json",
                    framing=with_length(body),
                )
            ]
        if request.header("x-resume-offset") == "0":
            return [
                make_answer(request, EVENTS, end=False),
                0.02,
                scripted_target.Action.RESET,
            ]
        resumes += 1
        return [answer_resume(request), scripted_target.Action.CLOSE]

    async with (
        scripted_target.ScriptedTarget(script) as engine,
        serving.site() as site,
    ):
        site.daemon.apply_service(serving._engines([engine.port], serving.FAST))
        answer = await site.complete()
    return answer, resumes


@mock.patch.object(running, "MAX_RESUME_DELAY_S", 0.02)
class ResumedStreamTest(unittest.TestCase):
    def test_sound_rest_completes_the_stream(self):
        async def test():
            answer, resumes = await complete(lambda r: make_answer(r, REST))
            self.assertEqual(answer.body, EVENTS + REST)
            self.assertEqual(resumes, 1)

        serving.run(test)

    def test_no_byte_of_a_failed_answer_follows_in_the_stream(self):
        async def test():
            for name, answer_resume in FAULTY.items():
                with self.subTest(name):
                    answer, resumes = await complete(answer_resume)
                    self.assertEqual(answer.status, 200)
                    self.assertGreaterEqual(resumes, 1)
                    self.assertNotIn(FOREIGN, answer.body)
                    self.assertTrue(
                        answer.body.startswith(EVENTS + b"event: error\n")
                    )
                    self.assertNotIn(b"[DONE]", answer.body)

        serving.run(test)


if __name__ == "__main__":
    unittest.main()
