"""Tests of engines that write answers to control calls once more."""

import asyncio
import re
import unittest

from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import link
from cardamomfork._internal.models import targets

HOST = "127.0.0.1"
FREED = b'{"freed":true}'
HELD = b'{"freed":false}'


def respond(status, body, headers=b""):
    return (
        b"HTTP/1.1 %d X\r\n" % status
        + headers
        + b"content-length: %d\r\n\r\n" % len(body)
        + body
    )


class Engine:
    """Answers requests in turn; writes the first answer once more.

    Args:
        answer: Returns the answer to a request, given its head and number.
        is_late: Whether the first answer comes again after the next request
            of its connection, rather than at once.
    """

    def __init__(self, answer, *, is_late):
        self._answer = answer
        self._is_late = is_late
        self._server = None
        self._writers = []
        self.requests = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        return targets.Target("t", targets.TargetKind.ENGINE, HOST, port, "a")

    async def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        late = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                writer.write(late)
                late = b""
                answer = self._answer(head, self.requests)
                if not self.requests:
                    late = answer
                    if not self._is_late:
                        answer += answer
                self.requests += 1
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def run(answer, scenario, *, is_late):
    """Runs a scenario with a link to an engine."""

    async def main():
        engine = Engine(answer, is_late=is_late)
        counters = link.LinkCounters()
        target_link_ = link.HttpTargetLink(
            await engine.start(), idle.IdleMonitor(5.0), counters
        )
        try:
            return await scenario(target_link_), counters
        finally:
            await target_link_.close()
            await engine.close()

    return asyncio.run(main())


class RepeatedControlAnswerTest(unittest.TestCase):
    def test_repeated_answer_does_not_confirm_another_command(self):
        async def scenario(engine_link):
            commands = (
                engine_link.release("first"),
                engine_link.release("second"),
                engine_link.cancel("third"),
            )
            return [(await command).ok() for command in commands]

        for is_late in (False, True):
            found, _ = run(
                lambda _, number: respond(200, HELD if number else FREED),
                scenario,
                is_late=is_late,
            )
            self.assertEqual(found, [True, False, False], is_late)

    def test_repeated_refusal_is_not_that_of_another_attempt(self):
        async def scenario(engine_link):
            faults = []
            for attempt_id in ("a1", "a2", "a3"):
                call = target_link.TargetCall(
                    attempt_id=attempt_id,
                    path="/v1/chat/completions",
                    body=b"{}",
                    urgency=3,
                    timeout_s=1.0,
                )
                answer = await engine_link.call(call)
                faults.append(answer.err() and answer.err().kind)
            return faults

        def answer(head, number):
            attempt_id = re.search(rb"(?i)x-attempt-id: (.*?\r\n)", head)[1]
            echo = b"x-attempt-id: " + attempt_id
            if number:
                return respond(200, b"{}", echo)
            return respond(503, b"", echo + b"x-not-run: 1\r\n")

        kinds = targets.FaultKind
        faults, _ = run(answer, scenario, is_late=False)
        self.assertEqual(faults, [kinds.REFUSED, None, None])
        faults, counters = run(answer, scenario, is_late=True)
        self.assertEqual(faults, [kinds.REFUSED, kinds.GARBLED, None])
        self.assertEqual(counters.crossed, 1)


if __name__ == "__main__":
    unittest.main()
