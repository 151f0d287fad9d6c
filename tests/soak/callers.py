"""Load generator of the soak, and the check of the responses it gets."""

import asyncio
import random
import time
import uuid

import attrs
import httpcore

from cardamomfork._internal.standins import platform_engine

TIMEOUT_S = {"stream": 8.0, "once": 3.0, "safe": 3.0}
LATENESS_TOLERANCE_S = 0.6
"""Time after its timeout at which an unanswered request counts as overdue."""
CONNECTION_ERRORS = (
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
    """One request and its result.

    Attributes:
        request_id: Id sent in the request header.
        kind: "stream", "once" (must not run twice) or "safe" (idempotent).
        entry: Name of the instance that the request is sent to.
        key: API key sent with the request.
        sent_at: Monotonic time in seconds.
        ended_at: Monotonic time in seconds.
        status: HTTP status; 0 if no response head arrived.
        body: Body bytes received.
        is_complete: Whether the HTTP response ended without an error.
        error: Representation of the connection error or time-out, if any.
        target: Path of the request.
    """

    request_id: str
    kind: str
    entry: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    target: str = ""


class LoadGenerator:
    """Sends requests to random instances until its task is cancelled."""

    def __init__(self, deployment, pause_s, timeout_s=None):
        self._deployment = deployment
        self._pause_s = pause_s
        self._timeout_s = timeout_s
        self._rng = random.Random(deployment.rng.random())
        self._pending = set()
        self.finished = []
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=500, max_keepalive_connections=100
        )

    async def run(self):
        """Sends requests with random pauses until the task is cancelled."""
        while True:
            self.send(self._rng.choice(list(self._deployment.caller_ports)))
            await asyncio.sleep(self._pause_s * 2 * self._rng.random())

    def send(self, entry, kind=None, key="key-1"):
        """Sends a request in a task.

        Args:
            entry: Name of the instance to send to.
            kind: Kind of request; random if None.
            key: API key.

        Returns:
            The task, which returns the finished call.
        """
        kind = kind or self._rng.choice(("stream", "stream", "once", "safe"))
        call = Call(uuid.uuid4().hex, kind, entry, key, time.monotonic())
        task = asyncio.create_task(self._send(call))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return task

    async def finish(self):
        """Waits for all pending requests and closes the connections."""
        while self._pending:
            await asyncio.wait(list(self._pending))
        await self._pool.aclose()

    async def _send(self, call):
        port = self._deployment.caller_ports[call.entry]
        call.target = f"/{call.kind}/{call.request_id[:6]}"
        timeout_s = self._timeout_s or TIMEOUT_S[call.kind]
        headers = {
            "Host": "soak.example",
            "X-Cardamomfork-Request-Id": call.request_id,
            "X-Cardamomfork-Deadline-Ms": str(int(timeout_s * 1000)),
            "Api-Key": call.key,
        }
        if call.kind == "stream":
            tokens = self._rng.choice((500, 2000, 20_000, 150_000))
            headers["X-Cardamomfork-Token-Usage"] = f"{tokens},400"
        try:
            async with asyncio.timeout(timeout_s + 2 * LATENESS_TOLERANCE_S):
                async with self._pool.stream(
                    "GET" if call.kind == "safe" else "POST",
                    f"http://127.0.0.1:{port}{call.target}",
                    headers=headers,
                ) as response:
                    call.status = response.status
                    async for chunk in response.aiter_stream():
                        call.body += chunk
                    call.is_complete = True
        except CONNECTION_ERRORS as error:
            call.error = repr(error)
        call.ended_at = time.monotonic()
        self.finished.append(call)
        return call


def check_answer(call):
    """Returns how a response differs from the target's, or None."""
    if call.status != OK:
        return None
    if call.kind == "stream":
        event_count = platform_engine.count_events(call.target)
        expected = b"".join(
            platform_engine.make_event(call.target, number)
            for number in range(1, event_count + 1)
        )
    else:
        expected = platform_engine.make_body(call.target)
    if call.is_complete and call.body != expected:
        return "an answer that looks whole is not the target's"
    if not expected.startswith(call.body):
        return "a part of an answer is not the target's"
    return None
