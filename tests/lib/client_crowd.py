"""Clients that keep to no limits, and the process that they connect to.

The crowds and the bounds are the same on every machine: what a client sends is
counted in bytes, and a crowd ends when all of them are sent, when the process
has closed the connections, or after a time.
"""

import asyncio
import contextlib
import pathlib
import re
import socket
import ssl
import struct
import time

import attrs

from tests.lib import isolated_fleet
from tests.lib import small_site

MEMORY_MB = 150
MAX_DESCRIPTORS = 400
PROCESS_LIMITS = {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
CALLER_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 1_048_576,
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 4000,
}
HOST = small_site.HOST
CROWD = 12
"""Connections of a crowd that sends without an end."""
IDLE_CROWD = 450
"""Connections of a crowd that sends next to nothing."""
BOUNDED_CROWD = 180
"""Connections of a crowd of which each is just under its own bound."""
MANY_DESCRIPTORS = 2000
LARGE_CROWD = 900
"""The same where a process may use many descriptors."""
CLIENT_BYTES = 16 * 2**20
"""What one connection of a crowd sends at the most."""
CROWD_TIME_S = 8.0
ANSWERED_WITHIN_S = 60.0
"""Gives up on a process that hangs."""
BLOCK_BYTES = 65_536
STREAM_ENGINES = 13
"""Engines with eight places each."""
EVENT_BYTES = 262_144
ANSWER_BYTES = 1_000_000
"""Size of an answer that is larger than what sockets buffer."""
ORDINARY_BODY_BYTES = 20_000
RECONNECT_PAUSE_S = 0.01
RETURNING_TIME_S = 3.0
"""Time before the ordinary request beside a crowd that comes back."""
SAMPLE_INTERVAL_S = 0.01
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

HEAD = b"POST /safe/1 HTTP/1.1\r\nHost: soak.example\r\nApi-Key: key-1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EMPTY = HEAD + b"Content-Length: 0\r\n"
STREAM = (
    EMPTY.replace(b"/safe/", b"/stream/")
    + b"X-Cardamomfork-Request-Id: stream\r\n"
    + b"X-Cardamomfork-Token-Usage: 1000,400\r\n\r\n"
)


@attrs.frozen
class Kind:
    """What one client of a crowd sends.

    Attributes:
        first: What it sends once.
        repeated: What it sends again and again after that.
        reads: Whether it reads the answers.
    """

    first: bytes
    repeated: bytes = b""
    reads: bool = False


HEADS = {
    "short header lines": Kind(HEAD, b"a:\r\n"),
    "long header lines": Kind(HEAD, b"a: " + b"x" * 8000 + b"\r\n"),
    "one header value": Kind(HEAD + b"a: ", b"x" * 1000),
    "one header name": Kind(HEAD, b"x" * 1000),
    "one target": Kind(b"GET /", b"x" * 1000),
}
TRAILERS = {
    "short trailer lines": Kind(CHUNKED + b"0\r\n", b"a:\r\n"),
    "long trailer lines": Kind(
        CHUNKED + b"0\r\n", b"a: " + b"x" * 8000 + b"\r\n"
    ),
    "one trailer value": Kind(CHUNKED + b"0\r\na: ", b"x" * 1000),
}
REQUESTS_AHEAD = {
    "bare requests": Kind(b"", b"GET / HTTP/1.1\r\n\r\n"),
    "bare requests, answers read": Kind(
        b"", b"GET / HTTP/1.1\r\n\r\n", reads=True
    ),
    "bare requests behind a stream": Kind(STREAM, b"GET / HTTP/1.1\r\n\r\n"),
    "routed requests": Kind(b"", EMPTY + b"\r\n"),
    "requests that expect 100": Kind(
        b"", EMPTY + b"Expect: 100-continue\r\n\r\n"
    ),
    "long targets": Kind(
        b"", b"GET /" + b"x" * 15_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "unrouted requests with bodies": Kind(
        b"",
        b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + b"x" * 9000,
    ),
    "requests of HTTP/1.0": Kind(b"", b"GET / HTTP/1.0\r\n\r\n"),
    "streams": Kind(b"", STREAM),
}
BODIES = {
    "a body over the limit": Kind(
        HEAD + b"Content-Length: 900000000\r\n\r\n", b"x" * 1000
    ),
    "a body of an unrouted request": Kind(
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n" + b"x" * 1000 + b"\r\n",
    ),
    "tiny chunks": Kind(CHUNKED, b"1\r\nx\r\n"),
    "zeros before a chunk size": Kind(CHUNKED, b"0" * 1000),
    "a chunk extension": Kind(CHUNKED + b"1;", b"x" * 1000),
}
OTHERS = {
    "empty lines": Kind(b"", b"\r\n"),
    "empty lines after an answer": Kind(EMPTY + b"\r\n", b"\r\n"),
    "a method": Kind(b"", b"X" * 1000),
    "garbage": Kind(b"", bytes(range(256))),
}
IDLE = {
    "nothing": Kind(b""),
    "half a head": Kind(HEAD),
    "half a body": Kind(HEAD + b"Content-Length: 1000\r\n\r\nx"),
    "an empty line now and then": Kind(b"\r\n"),
}

BOUNDED = {
    "heads of 15 KB": Kind(HEAD + b"a: " + b"x" * 15_000),
    "bodies of 1 MB": Kind(
        HEAD + b"Content-Length: 1048576\r\n\r\n" + b"x" * 1_000_000
    ),
    "heads ahead of 15 KB": Kind(
        STREAM + 4 * (EMPTY + b"a: " + b"x" * 15_000 + b"\r\n\r\n")
    ),
    "heads of 4,000 lines": Kind(HEAD + b"a:\r\n" * 4000),
}

UNREAD_STREAM = Kind(STREAM)
UNREAD_ANSWERS = Kind((EMPTY + b"\r\n") * 6)


def _read_status(pid, field):
    """Returns a field of the process's status in kilobytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"^{field}:\s+(\d+) kB", text, re.MULTILINE)[1])


class Watch:
    """Peak memory and descriptors of a process while the context is open."""

    def __init__(self, process):
        self._process = process
        self.descriptors = 0
        self.peak_mb = 0.0
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        if self._process.is_running:
            self._sample()

    @property
    def is_over(self):
        """Whether more memory was used than a machine has."""
        return self.peak_mb > MEMORY_MB

    async def _run(self):
        while self._process.is_running:
            self._sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self):
        pid = self._process.pid
        with contextlib.suppress(FileNotFoundError, TypeError):
            found = len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
            self.descriptors = max(self.descriptors, found)
            self.peak_mb = max(
                self.peak_mb, _read_status(pid, "VmHWM") * 1024 / 1e6
            )


class Client:
    """One connection of a crowd."""

    def __init__(self, kind):
        self._kind = kind
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def connect(self, port):
        """Connects; the process may refuse it."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._socket, (small_site.HOST, port))

    async def run(self):
        """Sends until all is sent or the connection is closed."""
        with contextlib.suppress(OSError):
            if not self._kind.reads:
                await self._send_all()
                return
            reader = asyncio.create_task(self._read())
            try:
                await self._send_all()
            finally:
                reader.cancel()

    async def _send_all(self):
        await self._send(self._kind.first)
        if not self._kind.repeated:
            return
        block = self._kind.repeated * (
            BLOCK_BYTES // len(self._kind.repeated) + 1
        )
        for _ in range(CLIENT_BYTES // len(block)):
            await self._send(block)

    async def _send(self, data):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, data)

    async def _read(self):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(self._socket, BLOCK_BYTES):
                pass

    def close(self):
        """Closes the connection."""
        self._socket.close()

    def reset(self):
        """Resets the connection."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
        )
        self._socket.close()


def make_tls_context():
    """Returns a context of clients that accept each certificate."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


class TlsClient(Client):
    """A client that sends over TLS."""

    def __init__(self, kind):
        super().__init__(kind)
        self._writer = None

    async def connect(self, port):
        """Connects; the process may refuse it."""
        await super().connect(port)
        with contextlib.suppress(OSError):
            _, self._writer = await asyncio.open_connection(
                sock=self._socket,
                ssl=make_tls_context(),
                server_hostname=HOST,
            )

    async def _send(self, data):
        if self._writer is None:
            raise ConnectionResetError
        self._writer.write(data)
        await self._writer.drain()

    def close(self):
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        super().close()


class Crowd:
    """Connections of one kind to one port."""

    def __init__(self, kind, size=CROWD, client=Client):
        self._clients = [client(kind) for _ in range(size)]

    async def run(self, port, watch):
        """Sends until the end of the crowd, or too much memory is used."""
        await self.connect(port)
        await self.send(watch)

    async def connect(self, port):
        """Opens the connections."""
        await asyncio.gather(*(one.connect(port) for one in self._clients))

    async def send(self, watch):
        """Sends on the connections, as `run` does."""
        tasks = [asyncio.create_task(one.run()) for one in self._clients]
        give_up_at = time.monotonic() + CROWD_TIME_S
        while not all(task.done() for task in tasks):
            if watch.is_over or time.monotonic() > give_up_at:
                break
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        """Closes all connections."""
        for one in self._clients:
            one.close()

    def reset(self):
        """Resets all connections."""
        for one in self._clients:
            one.reset()


class ReturningClient(Client):
    """A client that connects again whenever its connection is closed."""

    async def run_again(self, port):
        """Connects and sends until cancelled."""
        while True:
            await self.connect(port)
            await self.run()
            with contextlib.suppress(OSError):
                await self._read()
            await asyncio.sleep(RECONNECT_PAUSE_S)
            self.close()
            self._socket = socket.socket()
            self._socket.setblocking(False)


class ReturningCrowd:
    """Clients that come back for as long as the context is open."""

    def __init__(self, kind, port, size=CROWD):
        self._clients = [ReturningClient(kind) for _ in range(size)]
        self._port = port
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(one.run_again(self._port))
            for one in self._clients
        ]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for one in self._clients:
            one.close()


class CrowdedSite(small_site.Site):
    """An instance with little memory and few descriptors, and its targets."""

    process_limits = PROCESS_LIMITS
    caller_limits = CALLER_LIMITS

    def __init__(self, engines=1):
        super().__init__(targets=1, engines=engines)
        self.entry = self.entries["entry-0"]

    async def is_answered(self, port, path, method, status, body_bytes=0):
        """Waits for the answer of an ordinary client; False if none comes."""
        give_up_at = time.monotonic() + ANSWERED_WITHIN_S
        body = b"x" * body_bytes
        while self.entry.is_running and time.monotonic() < give_up_at:
            if (await small_site.get(port, path, method, body))[0] == status:
                return True
            await asyncio.sleep(0.05)
        return False


class ManyConnectionsSite(CrowdedSite):
    """A site whose instance accepts more connections."""

    process_limits = PROCESS_LIMITS | {"maxFds": MANY_DESCRIPTORS}


class LargeAnswersSite(CrowdedSite):
    """A site whose answers are larger than what sockets buffer."""

    def _make_target(self, name, service, port, advertised, *options):
        large = f"--padding-bytes={ANSWER_BYTES}"
        return super()._make_target(
            name, service, port, advertised, *options, large
        )


LARGE_EVENTS = (f"--padding-bytes={EVENT_BYTES}", "--event-s=0.001")


class LargeStreamsSite(CrowdedSite):
    """A site whose streams are larger than what sockets buffer."""

    def __init__(self, engines=STREAM_ENGINES):
        super().__init__(engines)

    def _make_target(self, name, service, port, advertised, *options):
        return super()._make_target(
            name, service, port, advertised, *options, *LARGE_EVENTS
        )


class IsolatedSite(isolated_fleet.IsolatedDeployment):
    """Two instances, of which one reaches targets over the other alone."""

    process_limits = PROCESS_LIMITS
    caller_limits = CALLER_LIMITS

    def __init__(self):
        options = isolated_fleet.Options(instances=2, engines=STREAM_ENGINES)
        super().__init__(1, options)
        self.isolated = self.entries["entry-0"]
        self.peer = self.entries["entry-1"]
        self.port = self.caller_ports["entry-0"]

    async def start(self):
        """Starts all; returns once requests are served over the peer."""
        await super().start()
        for port in self.caller_ports.values():
            await self.wait_until(lambda port=port: small_site.serves(port))
        self.cut_off("entry-0", isolated_fleet.RESET)
        await self.wait_until(lambda: small_site.serves(self.port))

    def _make_target(self, name, service, port, advertised, *options):
        return super()._make_target(
            name, service, port, advertised, *options, *LARGE_EVENTS
        )
