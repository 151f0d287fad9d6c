"""Stand-ins of the platform's store, engines and clients, for the cases here.

All of them run on one event loop in the process of a case. The entry
processes are started as the deploy file says, with settings as in `DEPLOY.md`.
Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import socket
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING
import urllib.parse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    import signal

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONE = "rosenheim"
REGION = "bayern-sued"
ROUTE_HOST = "desk.example"
MIN_LEASE_MS = 1000
PAGE_ITEMS = 500
PORTS = (12_000, 30_000)
TOKENS_PER_EVENT = 51
MAX_WATCH_S = 30.0
START_TIMEOUT_S = 30.0
MAX_RUN_S = 115.0


def now() -> float:
    """Returns the steady clock in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Starts an empty record in a folder."""
        self._file = (directory / "record.txt").open("w")
        self._start = now()

    def __call__(self, text: str) -> None:
        """Writes a line with the time since the start."""
        line = f"{now() - self._start:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


# HTTP


@contextlib.contextmanager
def closing(writer: asyncio.StreamWriter) -> Iterator[None]:
    """Closes a channel at the end of the context."""
    try:
        yield
    finally:
        writer.close()


@dataclasses.dataclass
class Message:
    """Head and body of a request or an answer."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads one chunk; an empty one is the last.

    Raises:
        EOFError: The channel has ended before the chunk.
    """
    try:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of a message that has a length or is in chunks.

    Raises:
        EOFError: The channel has ended before the end of the body.
    """
    if "chunked" in message.headers.get("transfer-encoding", ""):
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    size = int(message.headers.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes a whole answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# The platform's store


@dataclasses.dataclass
class Item:
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's store, as `PROTOCOL.md` describes it."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._items: dict[str, Item] = {}
        self._log: list[tuple[int, str, Item | None]] = []
        self._revision = 100
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._first_sound_channel = 0
        self._channels = 0
        self.address = ""

    def silence_channels(self) -> None:
        """Answers nothing more on the channels that are open now."""
        self._first_sound_channel = self._channels

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Writes a key; `value` is JSON data or bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        item = Item(
            data,
            self._revision,
            known.created if known else self._revision,
            lease,
        )
        self._items[key] = item
        self._log.append((self._revision, key, item))
        self._wake()
        return self._revision

    def read(self, key: str) -> bytes:
        """Returns the value of a key."""
        return self._items[key].value

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._log.append((self._revision, key, None))
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        for lease, (_, ends_at) in list(self._leases.items()):
            if ends_at <= now():
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._channels
        self._channels += 1
        with contextlib.suppress(ConnectionError, EOFError), closing(writer):
            while (call := await read_head(reader)) is not None:
                await read_body(reader, call)
                self._expire()
                status, answer = await self._answer(call)
                if number < self._first_sound_channel:
                    # The call was done, but nothing is heard of it.
                    await reader.read()
                    return
                body = json.dumps(answer).encode()
                head = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, head, body))
                await writer.drain()

    async def _answer(self, call: Message) -> tuple[int, dict]:
        path, _, text = call.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        name = path.removeprefix("/-/")
        if name == "kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self._revision}
            return 200, self._encode(query["key"], item) | {
                "storeRevision": self._revision
            }
        if name == "kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if name == "kv-watch":
            return await self._watch(
                query["prefix"],
                int(query["after"]),
                min(int(query["waitMs"]) / 1000, MAX_WATCH_S),
            )
        if name == "kv-txn":
            return self._commit(json.loads(call.body))
        if name == "kv-lease":
            ttl_ms = max(json.loads(call.body)["ttlMs"], MIN_LEASE_MS)
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = (ttl_ms / 1000, now() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        if name.startswith("kv-keep/"):
            lease = int(name.partition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"lease": lease, "ttlMs": round(ttl_s * 1000)}
        if name.startswith("kv-lease-end/"):
            self._end_lease(int(name.partition("/")[2]))
            return 200, {}
        return 404, {}

    def _encode(self, key: str, item: Item) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createRevision": item.created,
            "lease": item.lease,
        }

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [
                self._encode(key, self._items[key]) for key in keys[:PAGE_ITEMS]
            ],
            "morePages": len(keys) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict]:
        until = now() + wait_s
        while True:
            events = [
                {"key": key, "revision": revision, "removed": True}
                if item is None
                else self._encode(key, item)
                for revision, key, item in self._log
                if revision > after and key.startswith(prefix)
            ]
            left_s = until - now()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "storeRevision": self._revision,
                }
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))
            self._expire()

    def _commit(self, call: dict) -> tuple[int, dict]:
        rows = call.get("expect", [])
        known = [(row["key"], self._items.get(row["key"])) for row in rows]
        if any(
            (item.revision if item else 0) != row["revision"]
            for row, (_, item) in zip(rows, known, strict=True)
        ):
            return 412, {
                "items": [
                    self._encode(key, item)
                    for key, item in known
                    if item is not None
                ],
                "storeRevision": self._revision,
            }
        if any(
            put.get("lease") and put["lease"] not in self._leases
            for put in call.get("puts", [])
        ):
            return 404, {}
        for put in call.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self._revision}


# Configuration


def make_route(
    prefix: str, kind: str, service: str, timeout_ms: int, **more: object
) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": prefix.strip("/"),
        "host": ROUTE_HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "allowAnonymous": True,
    } | more


def make_service(name: str, **more: object) -> dict:
    """Returns a service of the configuration."""
    return {
        "name": name,
        "maxConnections": 354,
        "healthPath": "/healthz",
    } | more


def make_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        },
        "tenants": [],
    }


# Engines


def make_entry(service: str, address: str, slots: int) -> dict:
    """Returns the entry with which an engine registers."""
    return {
        "service": service,
        "address": address,
        "zone": ZONE,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 0,
        "born": time.time_ns() // 1_000_000,
    }


class Engine:
    """A plain engine: runs requests and answers them whole.

    A channel carries one request at a time. A run ends when its channel
    closes.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        slots: int,
        work_s: float,
        record: Record,
    ) -> None:
        """Creates an engine that doesn't listen yet.

        Args:
            engine_id: Its id.
            service: Its service.
            slots: Requests that it runs at once.
            work_s: Time of a request, in seconds.
            record: Where its runs are written.
        """
        self.engine_id = engine_id
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.record = record
        self.runs: list[str] = []
        self.running: set[str] = set()
        self._port = 0
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Its address."""
        return f"{HOST}:{self._port}"

    async def start(self, store: Store) -> None:
        """Listens on a free port, or the same again, and registers."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        store.put(
            f"servers/{self.engine_id}",
            make_entry(self.service, self.address, self.slots),
        )

    def report_draining(self, store: Store) -> None:
        """Reports that it leaves; it goes on serving."""
        entry = json.loads(store.read(f"servers/{self.engine_id}"))
        store.put(f"servers/{self.engine_id}", entry | {"state": "draining"})

    def crash(self) -> None:
        """Ends as if its process had been killed; its entry stays."""
        self.record(f"{self.engine_id} crashes")
        if self._server is not None:
            self._server.close()
        for writer in self._channels:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        with contextlib.suppress(ConnectionError, EOFError), closing(writer):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not await self.answer(request, reader, writer):
                    break
        self._channels.discard(writer)

    async def answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the channel stays open."""
        request_id = request.headers.get("x-cardamomfork-request-id", "")
        wanted = request.headers.get("x-cardamomfork-target-instance")
        head = {
            "X-Cardamomfork-Request-Id": request_id,
            "X-Cardamomfork-Instance-Id": self.engine_id,
        }
        if wanted not in (None, self.engine_id):
            writer.write(encode_answer(421, head, b""))
            return True
        if request.target == "/healthz":
            writer.write(encode_answer(200, head, b""))
            return True
        if len(self.running) >= self.slots:
            head["X-Cardamomfork-Not-Executed"] = "1"
            self.record(f"{self.engine_id} rejects {request_id}: full")
            writer.write(encode_answer(503, head, b""))
            return True
        self.record(f"{self.engine_id} runs {request_id}")
        self.runs.append(request_id)
        self.running.add(request_id)
        head["X-Cardamomfork-Server-Signature"] = (
            f"{self.engine_id}.{request_id}"
        )
        gone = asyncio.ensure_future(_wait_for_close(reader))
        work = asyncio.ensure_future(self.work(request, head, writer))
        try:
            await asyncio.wait(
                (gone, work), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.running.discard(request_id)
        if gone.done() and not work.done():
            work.cancel()
            self.record(f"{self.engine_id} drops {request_id}: channel closed")
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        self.record(f"{self.engine_id} has answered {request_id}")
        await work
        return True

    async def work(
        self,
        request: Message,
        head: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request and sends its answer."""
        del request
        await asyncio.sleep(self.work_s)
        body = b"done " + head["X-Cardamomfork-Request-Id"].encode()
        writer.write(encode_answer(200, head, body))
        await writer.drain()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Returns when the other side has closed the channel."""
    with contextlib.suppress(ConnectionError):
        await reader.read(1)


class StreamEngine(Engine):
    """A model engine: sends an event for each 51 tokens that it writes.

    `work_s` is the time of an event.
    """

    async def wait_for_event(self) -> None:
        """Waits until the next event of a stream is written."""
        await asyncio.sleep(self.work_s)

    async def work(
        self,
        request: Message,
        head: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Writes the events of a stream, after the client's last one."""
        tokens = int(
            request.headers["x-cardamomfork-token-usage"].partition(",")[2]
        )
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, max(tokens // TOKENS_PER_EVENT, 1) + 1):
            await self.wait_for_event()
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Clients


@dataclasses.dataclass
class Outcome:
    """What a client has seen of one request.

    Attributes:
        sent_at: Time at which its last byte was sent.
        ended_at: Time of the end of the answer or of the channel.
        status: Status of the answer; 0 if none has come.
        is_complete: Whether a whole answer has come.
    """

    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def text(self) -> str:
        """Describes the outcome for the record."""
        lasted = self.ended_at - self.sent_at
        if not self.is_complete:
            return f"channel closed without a whole answer after {lasted:.2f} s"
        return f"status {self.status} after {lasted:.2f} s"


async def call(
    address: tuple[str, int],
    request_id: str,
    path: str,
    time_limit_ms: int,
    record: Record,
    body: bytes = b"{}",
    headers: dict[str, str] | None = None,
) -> Outcome:
    """Sends one request on a new channel and waits for its answer."""
    outcome = Outcome()
    reader, writer = await asyncio.open_connection(*address)
    with closing(writer):
        await _exchange(
            reader,
            writer,
            outcome,
            request_id,
            path,
            time_limit_ms,
            record,
            body,
            headers or {},
        )
    return outcome


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    outcome: Outcome,
    request_id: str,
    path: str,
    time_limit_ms: int,
    record: Record,
    body: bytes,
    headers: dict[str, str],
) -> None:
    """Sends a request and reads its answer."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        f"X-Cardamomfork-Request-Id: {request_id}\r\n"
        f"X-Cardamomfork-Deadline-Ms: {time_limit_ms}\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    writer.write(head.encode() + b"\r\n" + body)
    await writer.drain()
    outcome.sent_at = now()
    record(f"client sends {request_id}")
    try:
        async with asyncio.timeout(time_limit_ms / 1000):
            answer = await read_head(reader)
            if answer is not None:
                outcome.status = answer.status
                outcome.headers = answer.headers
                await read_body(reader, answer)
                outcome.body = answer.body
                outcome.is_complete = True
    except EOFError:
        pass
    except TimeoutError:
        record(f"client gives {request_id} up at its time limit")
    outcome.ended_at = now()
    record(f"client: {request_id}: {outcome.text}")


# Entry processes


_taken_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that nothing listens on, below the ephemeral ones."""
    while True:
        port = random.randrange(*PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, name: str, store: Store, record: Record) -> None:
        """Writes the settings of a process that isn't started yet."""
        self.name = name
        self.record = record
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._settings = self._directory / "node.toml"
        self.front = (HOST, free_port())
        self.ready = (HOST, free_port())
        self._peer_port = free_port()
        self._store = store
        self.process: asyncio.subprocess.Process | None = None
        self._write_settings()

    def _write_settings(self) -> None:
        self._settings.write_text(
            f"""nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{HOST}"
zone = "{ZONE}"
region = "{REGION}"
portRange = [{self._peer_port},{self._peer_port}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",
  "stream","tenants","platform","spans"]
[zones]
{ZONE} = "{REGION}"
[listen]
front = "{self.front[0]}:{self.front[1]}"
readyAddr = "{self.ready[0]}:{self.ready[1]}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 3000
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudget = 0.2
budgetWindowS = 10
retrySlack = 100
recoveryS = 12
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[metrics]
port = {free_port()}
[platform]
address = "{self._store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        )

    async def start(self) -> None:
        """Starts the process and waits until it says that it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CARDAMOMFORK_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self._directory / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record(f"{self.name} started")
        until = now() + START_TIMEOUT_S
        while now() < until:
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} does not become ready")

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.record(f"{self.name} gets {number.name}")
        if self.process is not None:
            self.process.send_signal(number)

    @property
    def log(self) -> str:
        """What the processes have logged."""
        return (self._directory / "log.txt").read_text(errors="replace")

    async def stop(self) -> None:
        """Ends the process and removes its files."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self._directory, ignore_errors=True)


# Cases


def main(
    run: Callable[[Record], Awaitable[int]], directory: pathlib.Path
) -> int:
    """Runs a case; returns its exit status.

    The status is 1 if the rule was broken, 0 if it held, and 2 if the case
    couldn't run.
    """
    record = Record(directory)

    async def run_in_time() -> int:
        try:
            return await asyncio.wait_for(run(record), MAX_RUN_S)
        except Exception as error:  # noqa: BLE001 - any failure is status 2.
            record(f"could not run: {error!r}")
            return 2
        finally:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0.05)

    status = asyncio.run(run_in_time())
    record(f"exit status {status}")
    record.close()
    return status
