"""One entry process in front of scripted targets, which is stopped."""

import asyncio
import contextlib
import re
import signal
import time

import attrs
import msgspec

from cardamomfork._internal.standins import platform_site
from tests.lib import scripted_target
from tests.soak import processes

NAME = "entry-0"
GRACE_S = processes.STOP_GRACE_S
TIMEOUT_MS = 20_000
LEDGER_SLOTS = 2
ENGINE_SLOTS = 8
EVENTS = 3


@attrs.define
class Answer:
    """What a caller has received.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer.
        is_complete: Whether the answer has arrived completely.
        body: Its body.
        received_s: Time from the stop signal to its end, in seconds.
    """

    status: int = 0
    is_complete: bool = False
    body: bytes = b""
    received_s: float = 0.0


class StoppingEntry(processes.Deployment):
    """An entry process; a target's work in seconds ends a request's path."""

    routes = (
        platform_site.Route("/stream/", "streaming", "engines", TIMEOUT_MS),
        platform_site.Route("/once/", "unsafe", "ledger", TIMEOUT_MS),
        platform_site.Route("/safe/", "safe", "ledger", TIMEOUT_MS),
    )

    def __init__(self):
        super().__init__(1, 1, 0, 0)
        self._targets = {
            service: scripted_target.ScriptedTarget(script)
            for service, script in (
                ("ledger", _answer_call),
                ("engines", _answer_stream),
            )
        }
        self._exits = contextlib.AsyncExitStack()
        self._is_stopped = asyncio.Event()
        self._stopped_at = 0.0

    async def start(self):
        await super().start()
        for service, target in self._targets.items():
            await self._exits.enter_async_context(target)
            slots = LEDGER_SLOTS if service == "ledger" else ENGINE_SLOTS
            entry = platform_site.make_entry(service, target.port, slots)
            value = msgspec.json.encode(entry | {"state": "ready"})
            key = f"servers/{service}"
            (await self._client.put(key, value, expected=0)).unwrap()

        async def is_served():
            answers = [
                await self.call(path) for path in ("/safe/0", "/stream/0")
            ]
            return [answer.status for answer in answers] == [200, 200]

        await self.wait_until(is_served)

    async def stop(self):
        await self._exits.aclose()
        await super().stop()

    @property
    def received_paths(self):
        """Paths of the requests that targets have received."""
        return {
            request.head.split(b" ")[1].decode()
            for target in self._targets.values()
            for request in target.requests
        }

    def send_stop_signal(self):
        self._stopped_at = time.monotonic()
        self._is_stopped.set()
        self.entries[NAME].signal(signal.SIGTERM)

    async def sleep_until(self, seconds):
        """Waits until a time after the stop signal."""
        await asyncio.sleep(self._stopped_at + seconds - time.monotonic())

    async def wait_for_exit(self):
        """Returns the exit status, which the grace time must not decide."""
        await asyncio.wait_for(self.entries[NAME].wait(), GRACE_S)
        return self.entries[NAME].returncode

    async def call(self, path, body_at_s=None, pipelined=()):
        """Sends a request and reads its answer.

        Args:
            path: Its path.
            body_at_s: Time after the stop signal at which its body is
                complete; None for at once.
            pipelined: Paths of requests sent on the connection right behind.

        Returns:
            The answer; a list of answers if other requests are pipelined.
        """
        answers = [Answer() for _ in (path, *pipelined)]
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            reader, writer = await asyncio.open_connection(
                processes.HOST, self.caller_ports[NAME]
            )
            requests = b"".join(_encode(one) for one in (path, *pipelined))
            writer.write(requests[:-1])
            body = asyncio.create_task(self._finish_body(writer, body_at_s))
            try:
                for answer in answers:
                    await _read_answer(reader, answer)
                    answer.received_s = time.monotonic() - self._stopped_at
            finally:
                body.cancel()
                writer.close()
        return answers if pipelined else answers[0]

    async def _finish_body(self, writer, body_at_s):
        """Sends the last byte of a request."""
        if body_at_s is not None:
            await self._is_stopped.wait()
            await self.sleep_until(body_at_s)
        writer.write(b"}")


def _encode(path):
    """Returns a request with a body of two bytes."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nApi-Key: key-1\r\n"
        f"X-Cardamomfork-Request-Id: {path}\r\n"
        f"X-Cardamomfork-Deadline-Ms: {TIMEOUT_MS}\r\n"
        f"X-Cardamomfork-Token-Usage: 1000,100\r\n"
        "Content-Length: 2\r\n\r\n{}"
    ).encode()


async def _read_answer(reader, answer):
    """Reads an answer; leaves `is_complete` unset if it breaks off."""
    head = await reader.readuntil(b"\r\n\r\n")
    answer.status = int(head.split()[1])
    size = re.search(rb"(?i)content-length: (\d+)", head)
    if size is not None:
        answer.body = await reader.readexactly(int(size[1]))
    else:
        while chunk_size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(chunk_size + 2))[:-2]
        await reader.readexactly(2)
    answer.is_complete = True


def _find_work_s(request):
    """Returns the time that a request takes at its target."""
    return float(request.head.split(b" ")[1].split(b"/")[2])


def _answer_call(request):
    """Returns the steps of a plain answer."""
    return (_find_work_s(request), scripted_target.answer(request))


def _answer_stream(request):
    """Returns the steps of a stream."""
    return (
        _find_work_s(request),
        scripted_target.stream(request, 1, EVENTS),
    )
