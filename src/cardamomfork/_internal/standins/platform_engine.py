"""A simulated target of the users' platform: an engine or a plain service.

Run it with `python -m cardamomfork._internal.standins.platform_engine`. It
registers itself in the store, serves requests and memory orders, and prints a
line of JSON for each run, so that a harness can count them. An answer depends
on the request alone, so any target can resume a stream of another target.
"""

from __future__ import annotations

import math
import os
import random
import signal
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import cyclopts
import msgspec
import xxhash

from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import http_server
from cardamomfork._internal.links.callers import protocol
from cardamomfork._internal.platform import orders
from cardamomfork._internal.platform import target_entries
from cardamomfork._internal.standins import platform_site

if TYPE_CHECKING:
    from collections.abc import Callable

MEMORY_TOKENS = 100_000
MIN_EVENTS = 5
EVENT_CHOICES = 20
HEARTBEAT_S = 1.0
LEASE_S = 3.0
SERVICE_TIME_S = 0.02
DRAIN_S = 3.0
"""Time for which a target still serves after SIGTERM."""

OK = 200
CONFLICT = 409
MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503
INTERNAL_SERVER_ERROR = 500

_program = cyclopts.App(name="platform-engine")


@attrs.define
class Faults:
    """Fractions of answers with a fault, each between 0 and 1.

    Attributes:
        reset: The connection is reset during the answer.
        mute: No answer is sent.
        failed: The answer has status 500.
        extra: A second, unsolicited answer follows.
        unframed: The answer has no length and ends when the connection
            closes.
        crash_word: A body that contains it crashes the target; if empty, none
            does.
        crash_part: Part of a prompt, not the last, that crashes the target when
            it begins to write an answer; if empty, none does.
        crash_events: Number of events that it writes before.
        crash_from: Monotonic time from which on the part does so.
        rate_limit_per_s: Limit on the rate of requests that answers name, or
            None.
        rest_s: Time for which answers that turn a request away ask for rest;
            each request is turned away. None if none is.
        says_leaving_from: Monotonic time from which on each answer states that
            the target leaves, while its entry remains as it was.
        cold_until: Monotonic time until which it is cold; each answer states
            the remaining time. None if no answer states any.
    """

    reset: float = 0.0
    mute: float = 0.0
    failed: float = 0.0
    extra: float = 0.0
    unframed: float = 0.0
    crash_word: bytes = b""
    crash_part: str = ""
    crash_events: int = 0
    crash_from: float = 0.0
    rate_limit_per_s: float | None = None
    rest_s: float | None = None
    says_leaving_from: float = math.inf
    cold_until: float | None = None


def count_events(target: str) -> int:
    """Returns the number of events in the stream for a request target."""
    return (
        MIN_EVENTS + xxhash.xxh3_64_intdigest(target.encode()) % EVENT_CHOICES
    )


def make_event(target: str, number: int, padding_bytes: int = 0) -> bytes:
    """Returns one event of the stream for a request target."""
    data = xxhash.xxh3_64_hexdigest(f"{target} {number}".encode())
    return f"id: {number}\ndata: {data}{'x' * padding_bytes}\n\n".encode()


def make_body(target: str, padding_bytes: int = 0) -> bytes:
    """Returns a plain service's answer to a request target."""
    body = xxhash.xxh3_128_hexdigest(target.encode()).encode() * 16
    return body + b"x" * padding_bytes


class PlatformEngine:
    """ASGI application of one target."""

    def __init__(
        self,
        target_id: str,
        slots: int,
        event_s: float,
        report: Callable[[dict[str, Any]], None],
        seed: int = 0,
        crash: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes an idle target.

        Args:
            target_id: Id of the target.
            slots: Maximum number of concurrent requests.
            event_s: Time between two events, in seconds.
            report: Called with a record at the start and end of each run.
            seed: Seed of the generator that selects faulty answers.
            crash: Ends the process at once.
        """
        self.faults = Faults()
        self.padding_bytes = 0
        self.is_leaving = False
        self.reservations: dict[str, tuple[int, float]] = {}
        self._target_id = target_id
        self._slots = slots
        self._event_s = event_s
        self._report = report
        self._rng = random.Random(seed)
        self._crash = crash
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return self._running

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serves one request or order."""
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        answer = _Response(send, scope, self._target_id)
        if self.faults.rate_limit_per_s is not None:
            answer.extra.append(
                (b"server-limit", b"%g" % self.faults.rate_limit_per_s)
            )
        if time.monotonic() >= self.faults.says_leaving_from:
            answer.extra.append((b"server-leaving", b"1"))
        if self.faults.cold_until is not None:
            left_s = max(self.faults.cold_until - time.monotonic(), 0.0)
            answer.extra.append(
                (b"x-cardamomfork-cold-ms", b"%d" % (left_s * 1000))
            )
        requested_target_id = answer.header(b"x-cardamomfork-target-instance")
        if requested_target_id and requested_target_id != self._target_id:
            await answer.send_whole(MISDIRECTED, b"")
        elif scope["path"].encode() == orders.PATH:
            await self._serve_order(answer, msgspec.json.decode(body))
        elif scope["path"] == "/healthz":
            await answer.send_whole(
                SERVICE_UNAVAILABLE if self.is_leaving else OK, b""
            )
        elif self._running >= self._slots or self.faults.rest_s is not None:
            self._report(
                {
                    "refused": answer.header(b"x-cardamomfork-request-id"),
                    "at": time.monotonic(),
                }
            )
            answer.extra.append((b"x-cardamomfork-not-executed", b"1"))
            if self.faults.rest_s is not None:
                answer.extra.append(
                    (b"retry-after", b"%g" % self.faults.rest_s)
                )
            await answer.send_whole(SERVICE_UNAVAILABLE, b"")
        else:
            await self._run(answer, receive, body)

    async def _serve_order(
        self, answer: _Response, order: dict[str, Any]
    ) -> None:
        """Reserves or releases memory."""
        now = time.monotonic()
        self.free_expired(now)
        reservation_id = order["id"]
        if order["operation"] == "release":
            self.reservations.pop(reservation_id, None)
            await answer.send_whole(OK, b"{}")
            return
        reserved_tokens = sum(
            tokens
            for other, (tokens, _) in self.reservations.items()
            if other != reservation_id
        )
        if reserved_tokens + order["tokens"] > MEMORY_TOKENS:
            await answer.send_whole(CONFLICT, b"{}")
            return
        expires_at = now + order["holdMs"] / 1000
        self.reservations[reservation_id] = (order["tokens"], expires_at)
        await answer.send_whole(OK, b"{}")

    def free_expired(self, now: float) -> None:
        """Frees expired reservations."""
        for reservation_id, (_, expires_at) in list(self.reservations.items()):
            if expires_at <= now:
                del self.reservations[reservation_id]

    async def _run(self, answer: _Response, receive: Any, body: bytes) -> None:
        """Runs a request until it ends or its client disconnects."""
        request_id = answer.header(b"x-cardamomfork-request-id")
        self._running += 1
        self._report(
            {
                "run": request_id,
                "account": answer.header(b"x-cardamomfork-tenant"),
                "at": time.monotonic(),
            }
        )
        if self.faults.crash_word and self.faults.crash_word in body:
            self._report({"crash": request_id, "at": time.monotonic()})
            self._crash()
        try:
            async with anyio.create_task_group() as tasks:

                async def cancel_on_disconnect() -> None:
                    await protocol.wait_for_disconnect(receive)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(cancel_on_disconnect)
                time_limit_ms = float(
                    answer.header(b"x-cardamomfork-deadline-ms")
                )
                with anyio.move_on_after(time_limit_ms / 1000):
                    await self._answer(answer)
                tasks.cancel_scope.cancel()
        finally:
            self._running -= 1
            self._report({"end": request_id, "at": time.monotonic()})

    async def _answer(self, answer: _Response) -> None:
        """Sends an answer, with a fault if one is drawn."""
        faults = self.faults
        draw = self._rng.random()
        if draw < faults.mute:
            await anyio.sleep(math.inf)
        draw -= faults.mute
        if draw < faults.failed:
            await answer.send_whole(INTERNAL_SERVER_ERROR, b"failed")
            return
        draw -= faults.failed
        resets_connection = draw < faults.reset
        draw -= faults.reset
        if answer.header(b"x-cardamomfork-token-usage"):
            await self._stream(answer, resets_connection=resets_connection)
            return
        await anyio.sleep(SERVICE_TIME_S)
        if resets_connection:
            answer.connection.transport.abort()
            return
        body = make_body(answer.target, self.padding_bytes)
        if draw < faults.unframed:
            answer.send_unframed(body)
            return
        await answer.send_whole(OK, body)
        if draw - faults.unframed < faults.extra:
            answer.connection.transport.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
            )

    async def _stream(
        self, answer: _Response, *, resets_connection: bool
    ) -> None:
        """Sends the events after the caller's last event id."""
        faults = self.faults
        last = count_events(answer.target)
        first = int(answer.header(b"last-event-id") or 0) + 1
        reset_at_event = (
            self._rng.randint(first, last + 1)
            if resets_connection
            else last + 1
        )
        await answer.start(OK, [])
        parts = answer.header(b"x-cardamomfork-prefix-hash").split(",")
        shared_parts = [part.partition(":")[0] for part in parts[:-1]]
        for number in range(first, last + 1):
            await anyio.sleep(self._event_s)
            if (
                faults.crash_part in shared_parts
                and number - first >= faults.crash_events
                and time.monotonic() >= faults.crash_from
            ):
                request_id = answer.header(b"x-cardamomfork-request-id")
                self._report({"crash": request_id, "at": time.monotonic()})
                self._crash()
            event = make_event(answer.target, number, self.padding_bytes)
            if number == reset_at_event:
                answer.connection.write_chunk(event[: len(event) // 2])
                answer.connection.transport.abort()
                return
            await answer.send(event, more=True)
        await answer.send(b"", more=False)


class _Response:
    """One HTTP response with the headers that a target sets."""

    def __init__(
        self, send: Any, scope: dict[str, Any], target_id: str
    ) -> None:
        """Initializes the response from the request's ASGI scope."""
        self._send = send
        self._headers = dict(scope["headers"])
        self.connection = scope["extensions"][protocol.SCOPE_KEY]
        self.target = scope["extensions"][caller_protocol.RAW_TARGET].decode()
        self.extra = [
            (
                b"x-cardamomfork-request-id",
                self._headers.get(b"x-cardamomfork-request-id", b""),
            ),
            (b"x-cardamomfork-instance-id", target_id.encode()),
        ]
        self._target_id = target_id

    def header(self, name: bytes) -> str:
        """Returns a header of the request; empty if it has none."""
        return str(self._headers.get(name, b"").decode())

    async def start(
        self, status: int, fields: list[tuple[bytes, bytes]]
    ) -> None:
        """Sends the head."""
        signed = (b"x-cardamomfork-server-signature", self._target_id.encode())
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*self.extra, *fields, signed],
            }
        )

    async def send(self, data: bytes, *, more: bool) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def send_whole(self, status: int, body: bytes) -> None:
        """Sends a complete answer."""
        await self.start(status, [(b"content-length", b"%d" % len(body))])
        await self.send(body, more=False)

    def send_unframed(self, body: bytes) -> None:
        """Sends an answer without a length and closes the connection."""
        fields = b"".join(b"%b: %b\r\n" % pair for pair in self.extra)
        self.connection.transport.write(
            b"HTTP/1.1 200 OK\r\n"
            + fields
            + b"x-cardamomfork-server-signature: s\r\n\r\n"
            + body
        )
        self.connection.transport.close()


async def register(
    is_leaving: Callable[[], bool],
    store: store_contract.PolledStore,
    entry: dict[str, Any],
    target_id: str,
) -> None:
    """Maintains a target's entry in the store until cancelled."""
    lease = None
    written = None
    while True:
        if lease is not None:
            renewed = await store.renew_lease(lease.lease_id)
            if renewed.is_err():
                lease = written = None
        if lease is None:
            lease = (await store.grant_lease(LEASE_S)).ok()
        entry["state"] = "draining" if is_leaving() else "ready"
        value = msgspec.json.encode(entry)
        if lease is not None and written != value:
            written = await _write(
                store, target_entries.PREFIX + target_id, value, lease.lease_id
            )
        await anyio.sleep(HEARTBEAT_S / 4 if is_leaving() else HEARTBEAT_S)


async def _write(
    store: store_contract.PolledStore, key: str, value: bytes, lease: int
) -> bytes | None:
    """Overwrites a key; returns the value, or None if that failed."""
    expected = store_contract.ABSENT
    for _ in range(2):
        put = await store.put(key, value, expected=expected, lease=lease)
        if put.is_ok():
            return value
        error = put.unwrap_err()
        if isinstance(error, store_contract.StoreFault):
            return None
        expected = error.current.version if error.current else expected
    return None


@_program.default
def run(
    *,
    target_id: str,
    service: str,
    host: str,
    port: int,
    advertised_port: int,
    store: str,
    slots: int = 8,
    event_s: float = 0.02,
    crash_word: str = "",
    crash_part: str = "",
    crash_events: int = 0,
    crash_from: float = 0.0,
    rate_limit_per_s: float | None = None,
    rest_s: float | None = None,
    says_leaving_from: float = math.inf,
    data_centre: str = platform_site.DATA_CENTRE,
    cold_s: float | None = None,
    padding_bytes: int = 0,
) -> None:
    """Serves until SIGTERM, and then for a little longer.

    Args:
        target_id: Its id.
        service: The service that it belongs to.
        host: IP number that it listens on.
        port: TCP port that it listens on.
        advertised_port: TCP port that its entry names.
        store: `host:port` of the store.
        slots: Requests that it runs at once.
        event_s: Seconds between two events.
        crash_word: A body that contains it crashes the target.
        crash_part: Part of a prompt that crashes the target.
        crash_events: Number of events that it writes before.
        crash_from: Monotonic time from which on the part does so.
        rate_limit_per_s: Limit on the rate of requests that its answers name.
        rest_s: Seconds of rest that it asks for as it turns each request away.
        says_leaving_from: Monotonic time from which on answers say it leaves.
        data_centre: Data centre that its entry names.
        cold_s: Seconds for which it is cold after its start, as its entry and
            its answers state. If None, its answers don't, and it is warm.
        padding_bytes: Bytes added to each plain answer and to each event.
    """

    def report(line: dict[str, Any]) -> None:
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()

    engine = PlatformEngine(
        target_id, slots, event_s, report, crash=lambda: os._exit(1)
    )
    engine.padding_bytes = padding_bytes
    engine.faults.crash_word = crash_word.encode()
    engine.faults.crash_part = crash_part
    engine.faults.crash_events = crash_events
    engine.faults.crash_from = crash_from
    engine.faults.rate_limit_per_s = rate_limit_per_s
    engine.faults.rest_s = rest_s
    engine.faults.says_leaving_from = says_leaving_from
    entry = platform_site.make_entry(
        service, advertised_port, slots, data_centre
    )
    if cold_s is not None:
        engine.faults.cold_until = time.monotonic() + cold_s
        entry["coldRemainingMs"] = int(cold_s * 1000)
    client = platform_site.make_client(store)

    async def serve() -> None:
        server = http_server.HttpServer(
            engine,
            http_server.open_listener(host, port),
            caller_protocol.GatewayProtocol,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            tasks.start_soon(
                register, lambda: engine.is_leaving, client, entry, target_id
            )
            report({"started": target_id})
            with anyio.open_signal_receiver(signal.SIGTERM) as signals:
                async for _ in signals:
                    engine.is_leaving = True
                    await anyio.sleep(DRAIN_S)
                    break
            tasks.cancel_scope.cancel()

    anyio.run(serve, backend_options=event_loop.BACKEND_OPTIONS)


if __name__ == "__main__":
    _program()
