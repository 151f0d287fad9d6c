"""Callers of a soak, who check each answer that they get."""

import asyncio
import random
import time
import uuid

import attrs
import httpcore

from cardamomfork._internal.standins import platform_engine

TIMEOUT_S = {"stream": 8.0, "once": 3.0, "safe": 3.0}
LATENESS_TOLERANCE_S = 0.6
"""Time beyond its limit at which a request that has no end counts as held."""
FAULTS = (
    OSError,
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK = 200


@attrs.define
class Call:
    """One request and what came of it."""

    request_id: str
    kind: str
    entry: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    fault: str = ""
    target: str = ""


class LoadGenerator:
    """Sends requests until it is stopped."""

    def __init__(self, world, pause_s):
        self._world = world
        self._pause_s = pause_s
        self._source = random.Random(world.source.random())
        self._calls = set()
        self.done = []
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=500, max_keepalive_connections=100
        )

    async def run(self):
        """Starts a request at each pause, for as long as the task runs."""
        while True:
            self.send(self._source.choice(list(self._world.caller_ports)))
            await asyncio.sleep(self._pause_s * 2 * self._source.random())

    def send(self, entry, kind=None, key="key-1"):
        """Starts a request; returns its task."""
        kind = kind or self._source.choice(("stream", "stream", "once", "safe"))
        call = Call(uuid.uuid4().hex, kind, entry, key, time.monotonic())
        task = asyncio.create_task(self._send(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    async def finish(self):
        """Waits until all requests have ended."""
        while self._calls:
            await asyncio.wait(list(self._calls))
        await self._pool.aclose()

    async def _send(self, call):
        port = self._world.caller_ports[call.entry]
        call.target = f"/{call.kind}/{call.request_id[:6]}"
        limit = TIMEOUT_S[call.kind]
        headers = {
            "Host": "soak.example",
            "X-Cardamomfork-Request-Id": call.request_id,
            "X-Cardamomfork-Deadline-Ms": str(int(limit * 1000)),
            "Api-Key": call.key,
        }
        if call.kind == "stream":
            tokens = self._source.choice((500, 2000, 20_000, 150_000))
            headers["X-Cardamomfork-Token-Usage"] = f"{tokens},400"
        try:
            async with asyncio.timeout(limit + 2 * LATENESS_TOLERANCE_S):
                async with self._pool.stream(
                    "GET" if call.kind == "safe" else "POST",
                    f"http://127.0.0.1:{port}{call.target}",
                    headers=headers,
                ) as response:
                    call.status = response.status
                    async for part in response.aiter_stream():
                        call.body += part
                    call.is_complete = True
        except FAULTS as error:
            call.fault = repr(error)
        call.ended_at = time.monotonic()
        self.done.append(call)
        return call


def check_answer(call):
    """Returns what is wrong with an answer, or None."""
    if call.status != OK:
        return None
    if call.kind == "stream":
        last = platform_engine.count_events(call.target)
        whole = b"".join(
            platform_engine.make_event(call.target, number)
            for number in range(1, last + 1)
        )
    else:
        whole = platform_engine.make_body(call.target)
    if call.is_complete and call.body != whole:
        return "an answer that looks whole is not the target's"
    if not whole.startswith(call.body):
        return "a part of an answer is not the target's"
    return None
