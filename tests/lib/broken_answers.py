"""Answers that break off, and what a caller receives on a real connection.

`Entry` serves callers in this process with scripted targets, directly or over
a peer. `find_faults` checks the bytes that a caller has received.
"""

import asyncio
import contextlib
import json
import random
import re
import secrets
import time

import attrs
from opentelemetry import metrics as api

from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.serving import traffic_metrics
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.links import http_server
from cardamomfork._internal.models import fleet
from cardamomfork._internal.platform import wire_format
from tests.functional import test_gateway_forwarding
from tests.lib import forwarding_peers
from tests.lib import gateway_parts
from tests.lib import scripted_target

Act = scripted_target.Action
TOTAL = 6
"""Id of the last event of each stream."""
FOREIGN = b"FOREIGN"
"""Part of all bytes that must not reach a caller whose answer has begun."""
LONG = 1_200_000
"""Length of a body that is not buffered."""
TIMEOUT_MS = 2500
_EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")
_KINDS = {
    fleet.RepeatPolicy.STREAM: "streaming",
    fleet.RepeatPolicy.SAFE: "safe",
    fleet.RepeatPolicy.ONCE: "unsafe",
}


@attrs.frozen
class Case:
    """A request whose first target breaks off.

    Attributes:
        breaks: Name of the break, a key of `BREAKS`.
        follows: Name of the next target's answer, a key of `ANSWERS`.
        is_over_peer: Whether the targets are reached over a peer.
        may_resume: Whether the route allows a stream to be resumed.
        last_event_id: `Last-Event-Id` of the caller; 0 for none.
        version: HTTP version of the caller.
        rule: What the route allows.
    """

    breaks: str
    follows: str
    is_over_peer: bool = False
    may_resume: bool = True
    last_event_id: int = 0
    version: str = "1.1"
    rule: fleet.RepeatPolicy = fleet.RepeatPolicy.STREAM


@attrs.define
class Received:
    """What a caller has received until the end of its connection.

    Attributes:
        raw: All bytes.
        is_reset: Whether the connection was reset.
        requests: Number of requests that targets got.
    """

    raw: bytes = b""
    is_reset: bool = False
    requests: int = 0


class Entry:
    """An entry instance that serves callers on a real socket."""

    def __init__(self, forwarder, rule, *, may_resume=True, max_attempts=2):
        wire = wire_format.WireFormat()
        state = fleet_state.FleetState(
            wire, target_table.TargetTable(), time.monotonic
        )
        service = "engines" if rule is fleet.RepeatPolicy.STREAM else "plain"
        route = {
            "name": "r",
            "host": "callers.example",
            "prefix": "/a/",
            "kind": _KINDS[rule],
            "service": service,
            "timeoutMs": TIMEOUT_MS,
            "maxAttempts": max_attempts,
            "streamResume": may_resume,
        }
        configuration = {
            "version": 1,
            "routes": [route],
            "services": [{"name": service}],
        }
        state.apply_configuration(
            json.dumps(configuration).encode(), 5, "store"
        )
        self.application = application.CallerApplication(
            wire,
            state,
            forwarder,
            stopping.StopState(),
            traffic_metrics.TrafficMetrics(api.NoOpMeter("t"), {}),
            time.monotonic,
            random.Random(1),
        )
        self.errors = []
        self.server = http_server.HttpServer(
            self,
            http_server.open_listener("127.0.0.1", 0),
            caller_protocol.GatewayProtocol,
        )

    async def __call__(self, scope, receive, send):
        try:
            await self.application(scope, receive, send)
        except Exception as error:
            self.errors.append(error)
            raise


def make_event(event_id, data):
    """Returns an event; its data names the run that it is from."""
    return b"id: %d\ndata: %b\n\n" % (event_id, data)


def chunk(data):
    """Returns one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def start(request, framing=b"transfer-encoding: chunked", **options):
    """Returns the head of an answer."""
    return scripted_target.answer(request, b"", **options).replace(
        b"content-length: 0", framing
    )


def events(first, last, data=b"a"):
    """Returns events in chunks."""
    return b"".join(
        chunk(make_event(number, data)) for number in range(first, last + 1)
    )


def first_id(request):
    """Returns the id of the first event that a request asks for."""
    return int(request.header("last-event-id") or 0) + 1


def _begin(request, count=3, framing=b"transfer-encoding: chunked"):
    """Returns the start of a stream up to an event."""
    first = first_id(request)
    if framing.startswith(b"transfer"):
        return start(request, framing) + events(first, first + count - 1)
    body = b"".join(make_event(first + one, b"a") for one in range(count))
    return start(request, framing) + body


def _to_last(request):
    """Returns a stream up to its last event, without its end."""
    return _begin(request, TOTAL + 1 - first_id(request))


BREAKS = {
    "reset between events": lambda r: [_begin(r), 0.02, Act.RESET],
    "close between events": lambda r: [_begin(r), Act.CLOSE],
    "reset in an event": lambda r: [
        _begin(r) + b"20\r\nid: 4\nda",
        0.02,
        Act.RESET,
    ],
    "event torn over two chunks": lambda r: [
        _begin(r) + chunk(b"id: 4\n") + chunk(b"data: a"),
        Act.CLOSE,
    ],
    "close in the head of a chunk": lambda r: [_begin(r) + b"1", Act.CLOSE],
    "no chunk": lambda r: [_begin(r) + b"HTTP/1.1 500 FOREIGN\r\n\r\nFOREIGN"],
    "end in an event": lambda r: [
        _begin(r) + chunk(b"id: 4\nda") + b"0\r\n\r\n"
    ],
    "length beyond the events": lambda r: [
        _begin(r, framing=b"content-length: 900"),
        Act.CLOSE,
    ],
    "reset without a length": lambda r: [
        _begin(r, framing=b"x-a: b"),
        0.02,
        Act.RESET,
    ],
    "close in an event without a length": lambda r: [
        _begin(r, framing=b"x-a: b") + b"id: 4\nda",
        Act.CLOSE,
    ],
    "missing event": lambda r: [
        _begin(r) + events(first_id(r) + 4, TOTAL + 1, FOREIGN) + b"0\r\n\r\n"
    ],
    "silence": lambda r: [_begin(r), Act.HANG],
    "reset after the last event": lambda r: [_to_last(r), 0.02, Act.RESET],
    "close in the last chunk": lambda r: [_to_last(r) + b"0\r\n", Act.CLOSE],
    "close in the trailer": lambda r: [
        _to_last(r) + b"0\r\nx-a: 1\r\n",
        Act.CLOSE,
    ],
}
"""How the stream of the first target ends, by name."""


BEGUN = object()
"""Step of a target that waits until the caller has bytes of an answer."""


def _break_long(framing, body, *end, status=200):
    """Returns a long answer that breaks off after its head was passed on."""
    return lambda r: [start(r, framing, status=status) + body, BEGUN, 0.1, *end]


_LONG_CHUNK = chunk(b"a" * LONG)
LONG_BREAKS = {
    "reset before the length": _break_long(
        b"content-length: %d" % (LONG + 9), b"a" * LONG, Act.RESET
    ),
    "close before the length": _break_long(
        b"content-length: %d" % (LONG + 9), b"a" * LONG, Act.CLOSE
    ),
    "close between chunks": _break_long(
        b"transfer-encoding: chunked", _LONG_CHUNK, Act.CLOSE
    ),
    "reset in a chunk": _break_long(
        b"transfer-encoding: chunked", _LONG_CHUNK + b"9\r\naa", Act.RESET
    ),
    "reset without a length": _break_long(b"x-a: b", b"a" * LONG, Act.RESET),
    "500 that breaks off": _break_long(
        b"transfer-encoding: chunked", _LONG_CHUNK, Act.CLOSE, status=500
    ),
    "206 that breaks off": _break_long(
        b"transfer-encoding: chunked", _LONG_CHUNK, Act.CLOSE, status=206
    ),
    "206 that pauses and breaks off": _break_long(
        b"transfer-encoding: chunked", _LONG_CHUNK, 0.8, Act.CLOSE, status=206
    ),
}
"""How a long answer of the first target ends, by name."""

_NOT_RUN = b"x-cardamomfork-not-executed: 1\r\n"


def _error(status, **options):
    """Returns a complete error answer."""
    return lambda r: [
        scripted_target.answer(r, b"FOREIGN error\n\n", status, **options)
    ]


def _stream_of(data, framing=b"transfer-encoding: chunked", **options):
    """Returns a signed and complete answer with a body in one chunk."""

    def make(request):
        if framing.startswith(b"transfer"):
            return [
                start(request, framing, **options)
                + (chunk(data) if data else b"")
                + b"0\r\n\r\n"
            ]
        length = b"content-length: %d" % len(data)
        return [start(request, length, **options) + data]

    return make


def _resumed(request):
    """Returns the rest of a stream, as asked for."""
    return events(first_id(request), TOTAL, b"b")


def _resumed_body(request):
    """Returns the rest of a stream without chunks."""
    return b"".join(
        make_event(number, b"b")
        for number in range(first_id(request), TOTAL + 1)
    )


SOUND = {
    "the rest": lambda r: [start(r) + _resumed(r) + b"0\r\n\r\n"],
    "the rest with a trailer": lambda r: [
        start(r) + _resumed(r) + b"0\r\nx-a: 1\r\n\r\n"
    ],
    "the rest with a length": lambda r: [
        start(r, b"content-length: %d" % len(_resumed_body(r)))
        + _resumed_body(r)
    ],
    "the rest until the close": lambda r: [
        start(r, b"x-a: b") + _resumed_body(r),
        Act.CLOSE,
    ],
    "the rest after 100": lambda r: [
        b"HTTP/1.1 100 Continue\r\n\r\n" + start(r) + _resumed(r) + b"0\r\n\r\n"
    ],
    "the rest after a comment": lambda r: [
        start(r) + chunk(b": kept\n\n") + _resumed(r) + b"0\r\n\r\n"
    ],
}
"""Answers of the next target that complete a stream."""

FAULTY = {
    "500": _error(500),
    "500 without signature": _error(500, signed=False),
    "404": _error(404),
    "429": _error(429, extra=_NOT_RUN, signed=False),
    "503 not run": _error(503, extra=_NOT_RUN, signed=False),
    "503": _error(503),
    "421": _error(421, extra=_NOT_RUN, signed=False),
    "late 500": lambda r: [
        start(r, b"content-length: 7", status=500),
        0.1,
        FOREIGN,
    ],
    "500 until the close": lambda r: [
        start(r, b"x-a: b", status=500) + FOREIGN,
        0.05,
        FOREIGN,
        Act.CLOSE,
    ],
    "500 that breaks off": lambda r: [
        start(r, status=500) + chunk(FOREIGN) + b"9\r\nFOR",
        Act.CLOSE,
    ],
    "long 500": lambda r: [
        start(r, b"content-length: %d" % LONG, status=500)
        + FOREIGN
        + b"x" * (LONG - len(FOREIGN))
    ],
    "long 500 that breaks off": lambda r: [
        start(r, status=500) + chunk(FOREIGN + b"x" * LONG),
        0.02,
        Act.RESET,
    ],
    "200 without signature": lambda r: [
        start(r, signed=False)
        + events(first_id(r), TOTAL, FOREIGN)
        + b"0\r\n\r\n"
    ],
    "200 with an error text": _stream_of(b"FOREIGN error\n", b"length"),
    "200 with an error text and blank line": _stream_of(b"FOREIGN error\n\n"),
    "200 with an error event": _stream_of(b"event: error\ndata: FOREIGN\n\n"),
    "200 with another type": _stream_of(
        b"", extra=b"content-type: text/html\r\n"
    ),
    "200 from the start": _stream_of(
        b"".join(make_event(one, FOREIGN) for one in range(1, TOTAL + 1))
    ),
    "200 with the last event again": lambda r: [
        start(r) + events(first_id(r) - 1, TOTAL, FOREIGN) + b"0\r\n\r\n"
    ],
    "200 after a gap": lambda r: [
        start(r) + events(first_id(r) + 1, TOTAL + 2, FOREIGN) + b"0\r\n\r\n"
    ],
    "201": _stream_of(FOREIGN, status=201),
    "204": lambda r: [start(r, b"x-a: b", status=204)],
    "206": _stream_of(make_event(4, FOREIGN), status=206),
    "long 206": _stream_of(FOREIGN + b"x" * LONG, status=206),
    "304": lambda r: [start(r, b"x-a: b", status=304)],
    "302": _error(302, extra=b"location: /FOREIGN\r\n"),
    "101": lambda r: [
        b"HTTP/1.1 101 X\r\nupgrade: FOREIGN\r\nconnection: upgrade\r\n\r\n"
    ],
    "500 after 103": lambda r: [
        b"HTTP/1.1 103 Early Hints\r\nlink: FOREIGN\r\n\r\n",
        0.02,
        *_error(500)(r),
    ],
    "close": lambda r: [Act.CLOSE],
    "reset in the head": lambda r: [start(r)[:40], 0.02, Act.RESET],
    "no answer in the protocol": lambda r: [b"FOREIGN\r\n\r\n"],
    "answer to another request": lambda r: [
        scripted_target.answer(r, FOREIGN).replace(b"r1", b"r9"),
        0.05,
        Act.CLOSE,
    ],
    "close before the first event": lambda r: [start(r), Act.CLOSE],
    "close before the first event without a length": lambda r: [
        start(r, b"x-a: b"),
        Act.CLOSE,
    ],
}
"""Answers of the next target that can't complete a stream."""

ANSWERS = SOUND | FAULTY


HEAD_FRAMINGS = {
    "length": b"content-length: 12",
    "chunks": b"transfer-encoding: chunked",
    "trailer": b"transfer-encoding: chunked\r\ntrailer: x-sum",
    "close": b"connection: close",
    "upgrade": b"connection: upgrade\r\nupgrade: h2c\r\ncontent-length: 12",
    "empty": b"content-length: 0",
    "folded": b"x-a: 1\r\n 2\r\ncontent-length: 12",
}
"""How a head that breaks off states the length of its body, by name."""
INTERIM_HEADS = (
    b"",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
)


def cut_head(request, framing, interim, fraction, *end):
    """Returns the steps of an answer that ends within its head.

    Args:
        request: The request.
        framing: A key of `HEAD_FRAMINGS`.
        interim: Bytes before the head.
        fraction: Part of the head that is sent; less than 1.
        *end: Last steps.
    """
    head = start(request, HEAD_FRAMINGS[framing])
    size = max(int(fraction * len(head)), 1)
    # The head arrives in two segments.
    return [interim + head[: size // 2], 0.005, head[size // 2 : size], *end]


class CuttingProxy:
    """Passes the first bytes of an answer on, then ends the connection."""

    def __init__(self, port, size):
        """Initializes the proxy.

        Args:
            port: Port that it forwards to.
            size: Number of bytes of the answer that it passes on.
        """
        self.port = 0
        self.has_cut = False
        self._target_port = port
        self._size = size

    @contextlib.asynccontextmanager
    async def running(self):
        """Serves on a free port while the context is open."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )

        async def pass_request_on():
            while data := await reader.read(65_536):
                target_writer.write(data)

        request = asyncio.create_task(pass_request_on())
        left = self._size
        while left and (data := await target_reader.read(65_536)):
            self.has_cut = len(data) > left
            writer.write(data[:left])
            left -= len(data[:left])
        request.cancel()
        writer.close()
        target_writer.transport.abort()


async def read_answer(
    port,
    *,
    version="1.1",
    last_event_id=0,
    timeout_s=8.0,
    read_after_s=0.0,
    request_id="r1",
    on_data=lambda: None,
):
    """Sends a request and reads until the connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        f"POST /a/x HTTP/{version}",
        "Host: callers.example",
        f"X-Cardamomfork-Request-Id: {request_id}",
        "Connection: close",
        f"Content-Length: {len(request_id)}",
    ]
    if last_event_id:
        lines.append(f"Last-Event-Id: {last_event_id}")
    writer.write("\r\n".join([*lines, "", request_id]).encode())
    received = Received()
    if read_after_s:
        writer.transport.pause_reading()
        await asyncio.sleep(read_after_s)
        writer.transport.resume_reading()
    try:
        async with asyncio.timeout(timeout_s):
            while data := await reader.read(65_536):
                received.raw += data
                on_data()
    except ConnectionError:
        received.is_reset = True
    finally:
        writer.transport.abort()
    return received


def decode_answer(received):
    """Decodes a received answer strictly.

    Returns:
        Its status, its headers, its body as received, and whether it is
        complete.

    Raises:
        ValueError: The bytes are not one answer.
    """
    head, separator, rest = received.raw.partition(b"\r\n\r\n")
    if not separator:
        raise ValueError("no head")
    status_line, *lines = head.split(b"\r\n")
    headers = dict(line.lower().split(b": ", 1) for line in lines)
    status = int(status_line.split(b" ")[1])
    if b"transfer-encoding" in headers:
        body, is_complete = _decode_chunks(rest)
    elif b"content-length" in headers:
        length = int(headers[b"content-length"])
        if len(rest) > length:
            raise ValueError("bytes after the answer")
        body, is_complete = rest, len(rest) == length
    else:
        body, is_complete = rest, not received.is_reset
    return status, headers, body, is_complete


def _decode_chunks(data):
    """Returns the content of chunks, and whether the last one has come."""
    body = b""
    while data:
        head, _, rest = data.partition(b"\r\n")
        size = int(head, 16)
        if not size:
            if rest != b"\r\n":
                raise ValueError(f"bytes after the last chunk: {rest[:50]!r}")
            return body, True
        body += rest[:size]
        if len(rest) >= size + 2 and rest[size : size + 2] != b"\r\n":
            raise ValueError("a chunk that does not end")
        data = rest[size + 2 :]
    return body, False


def find_faults(received, case):
    """Returns what is wrong with the bytes of a stream that has begun."""
    try:
        status, headers, body, is_complete = decode_answer(received)
    except ValueError as error:
        return [f"not one answer: {error}: {received.raw[:300]!r}"]
    faults = []
    if status != 200 or received.raw.count(b"HTTP/1.") != 1:
        faults.append(f"head after {received.requests}: {received.raw[:400]!r}")
    if case.version == "1.0" and b"transfer-encoding" in headers:
        faults.append("chunks for an HTTP/1.0 client")
    if FOREIGN in received.raw:
        faults.append("bytes of another answer")
    seen = [int(one[1]) for one in _EVENT.finditer(body)]
    if _EVENT.sub(b"", body).replace(b": kept\n\n", b""):
        faults.append("bytes that are no whole event")
    first = case.last_event_id + 1
    if seen != list(range(first, first + len(seen))):
        faults.append(f"events {seen}")
    last = seen[-1] if seen else 0
    if is_complete and last != TOTAL:
        faults.append(f"complete after event {last}")
    if case.follows in SOUND and case.may_resume and not is_complete:
        faults.append(f"not resumed after event {last}")
    if not case.may_resume and received.requests != 1:
        faults.append(f"{received.requests} runs")
    return faults


def find_long_faults(received, case):
    """Returns what is wrong with the bytes of a long answer that broke off."""
    try:
        _, headers, body, is_complete = decode_answer(received)
    except ValueError as error:
        return [f"not one answer: {error}: {received.raw[-300:]!r}"]
    faults = []
    if received.raw.count(b"HTTP/1.") != 1:
        faults.append("not exactly one head")
    if case.version == "1.0" and b"transfer-encoding" in headers:
        faults.append("chunks for an HTTP/1.0 client")
    if body.strip(b"a"):
        faults.append(f"bytes of another answer: {body.strip(b'a')[:100]!r}")
    if is_complete:
        faults.append("complete")
    if received.requests != 1:
        faults.append(f"{received.requests} runs")
    return faults


@contextlib.asynccontextmanager
async def serving(scripts, case, peer_answer_bytes=None):
    """Runs an entry instance with scripted targets.

    Args:
        scripts: Scripts of the targets.
        case: Which path and route it uses.
        peer_answer_bytes: Number of bytes after which the answer of the peer
            is cut; None for never.

    Yields:
        The instance, and the proxy that cuts the answer or None.
    """
    async with contextlib.AsyncExitStack() as stack:
        targets = [
            await stack.enter_async_context(
                scripted_target.ScriptedTarget(script)
            )
            for script in scripts
        ]
        links = proxy = None
        if case.is_over_peer:
            service = (
                "engines" if case.rule is fleet.RepeatPolicy.STREAM else "plain"
            )
            records = [
                gateway_parts.make_record(number, service, port=target.port)
                for number, target in enumerate(targets)
            ]
            isolated, peers = await stack.enter_async_context(
                forwarding_peers.running(records)
            )
            links = isolated.paths
            if peer_answer_bytes is not None:
                address = peers[0].address
                proxy = await stack.enter_async_context(
                    CuttingProxy(address.port, peer_answer_bytes).running()
                )
                isolated.hear(attrs.evolve(address, port=proxy.port))
        fixture = test_gateway_forwarding.ForwarderFixture(
            targets, case.rule, links
        )
        entry = Entry(fixture.forwarder, case.rule, may_resume=case.may_resume)
        await stack.enter_async_context(entry.server.running())
        try:
            yield entry, proxy
        finally:
            fixture.pool.close()


async def play(case, breaks=BREAKS, *, read_after_s=0.0):
    """Sends the request of a case.

    Args:
        case: The case.
        breaks: The answers of the first target by name.
        read_after_s: Time after which its caller begins to read.

    Returns:
        What its caller received, and the exceptions of the instance.
    """
    steps = [breaks[case.breaks], ANSWERS[case.follows]]
    request_id = f"r1{secrets.token_hex(8)}"
    count = 0
    begun = asyncio.Event()

    def script(request):
        nonlocal count
        if request.header("x-cardamomfork-request-id") != request_id:
            # Another process on this host still knows an earlier user of the
            # port.
            return [Act.CLOSE]
        count += 1
        return [
            begun if step is BEGUN else step
            for step in steps[min(count, len(steps)) - 1](request)
        ]

    async with serving([script, script], case) as (entry, _):
        received = await read_answer(
            entry.server.port,
            version=case.version,
            last_event_id=case.last_event_id,
            read_after_s=read_after_s,
            request_id=request_id,
            on_data=begun.set,
        )
        received.requests = count
    return received, entry.errors
