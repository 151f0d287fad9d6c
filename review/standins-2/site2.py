# ruff: noqa
"""Stand-ins of the platform's store, of engines and of clients, and entry processes.

Python's standard library only. Everything listens on loopback addresses and
free ports. The entry processes run the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
_used_ports = set()


class CannotRun(Exception):
    """The case could not be run."""


def free_port():
    """Returns a free port below the ephemeral range; not given out twice."""
    start = 21_000 + (os.getpid() * 37) % 9_000
    for port in range(start, start + 2_000):
        if port in _used_ports:
            continue
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    break
        else:
            _used_ports.add(port)
            return port
    raise CannotRun("no port is free")


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


# --- HTTP/1.1, as little of it as is needed ---------------------------------


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = data[:-4].split(b"\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(b":")
        headers.setdefault(
            name.strip().lower().decode(), value.strip().decode("latin-1")
        )
    return first.decode("latin-1"), headers


async def read_chunks(reader, on_data=lambda data: None):
    """Reads a chunked body; raises IncompleteReadError if it breaks off."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body
        on_data(data)
        body += data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", 0)))


# --- The platform's store ------------------------------------------------------


class Store:
    """The store of PROTOCOL.md: items, watches, transactions and leases."""

    def __init__(self, record):
        self._record = record
        self._items = {}  # key -> dict
        self._revision = 100
        self._events = []  # (revision, event)
        self._leases = {}  # id -> [ttl, ends_at]
        self._next_lease = 500
        self._changed = asyncio.Event()
        self._servers = []
        self._channels = {}  # writer -> [owner, is_silent]
        self.polls = {}  # owner -> [waitMs]
        self._sweeper = None

    async def start(self):
        self._sweeper = asyncio.create_task(self._sweep())

    async def listen(self, owner):
        """Opens an address of the store for one machine; returns the port."""
        port = free_port()
        self._servers.append(
            await asyncio.start_server(
                lambda r, w: self._serve(owner, r, w), HOST, port, limit=2**22
            )
        )
        return port

    def silence(self, owner):
        """Makes a machine's open channels silent for good; new ones work."""
        channels = [c for c in self._channels.values() if c[0] == owner]
        for channel in channels:
            channel[1] = True
        self._record(f"store: {len(channels)} channels of {owner} go silent")

    def close(self):
        if self._sweeper:
            self._sweeper.cancel()
        for server in self._servers:
            server.close()

    # what the operator and the engines write
    def put(self, key, value, lease=0):
        self._revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createRevision": old["createRevision"] if old else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._emit(item)
        return self._revision

    def delete(self, key):
        if self._items.pop(key, None):
            self._revision += 1
            self._emit(
                {"key": key, "revision": self._revision, "removed": True}
            )

    def _emit(self, event):
        self._events.append((self._revision, event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _sweep(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def _serve(self, owner, reader, writer):
        channel = self._channels[writer] = [owner, False]
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                if channel[1]:
                    await asyncio.sleep(3600)
                method, target, _ = first.split(" ")
                status, answer = await self._call(owner, method, target, body)
                if channel[1]:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._channels.pop(writer, None)
            writer.close()

    async def _call(self, owner, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        name = path.removeprefix("/-/")
        if name == "kv-key":
            item = self._items.get(query["key"])
            return (
                (200, {**item, "storeRevision": self._revision})
                if item
                else (404, {})
            )
        if name == "kv-range":
            keys = sorted(
                k
                for k in self._items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "morePages": len(keys) > 500,
                "storeRevision": self._revision,
            }
        if name == "kv-watch":
            return await self._watch(owner, query)
        if name == "kv-txn":
            return self._commit(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self._next_lease += 1
            self._leases[self._next_lease] = [
                ttl,
                time.monotonic() + ttl / 1000,
            ]
            return 200, {"lease": self._next_lease, "ttlMs": ttl}
        if name.startswith("kv-keep/"):
            lease = self._leases.get(int(name.rpartition("/")[2]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"ttlMs": lease[0]}
        if name.startswith("kv-lease-end/"):
            self._end_lease(int(name.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, owner, query):
        prefix, after = query["prefix"], int(query["after"])
        wait_ms = int(query["waitMs"])
        self.polls.setdefault((owner, prefix), []).append(wait_ms)
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                e
                for revision, e in self._events
                if revision > after and e["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _commit(self, call):
        for row in call.get("expect", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [
                    self._items[r["key"]]
                    for r in call["expect"]
                    if r["key"] in self._items
                ]
                return 412, {"items": found}
        writes = [w["key"] for w in call.get("puts", [])] + call.get(
            "deletes", []
        )
        if any(k.startswith(("op/", "servers/")) for k in writes):
            return 403, {}
        for row in call.get("puts", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in call.get("puts", []):
            self.put(
                row["key"], base64.b64decode(row["value"]), row.get("lease", 0)
            )
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self._revision}


# --- Engines -------------------------------------------------------------------


class Engine:
    """A sound engine or plain service. Subclasses change what a request does."""

    def __init__(
        self, store, record, service, slots=6, zone="a", port=None, name=None
    ):
        self.id = name or f"i-{uuid.uuid4().hex[:8]}"
        self.service, self.slots, self.zone = service, slots, zone
        self.port = port or free_port()
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.arrivals = []  # (time, request id, path, headers)
        self._store, self.record = store, record
        self._server = None
        self._writers = set()
        self.running = 0
        self._sequence = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**22
        )
        self.register()

    def register(self):
        self._sequence += 1
        self._store.put(
            f"servers/{self.id}",
            json.dumps(
                {
                    "service": self.service,
                    "address": f"{HOST}:{self.port}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": self.state,
                    "coldRemainingMs": 0,
                    "sequence": self._sequence,
                    "born": self.born,
                }
            ).encode(),
        )

    def stop(self):
        """Ends at once, as a crash does: all channels are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                if "expect" in headers:
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                method, path, _ = first.split(" ")
                body = await self.read(reader, headers)
                if not await self.handle(method, path, headers, body, writer):
                    return
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read(self, reader, headers):
        return await read_body(reader, headers)

    async def handle(self, method, path, headers, body, writer):
        """Serves one request; returns whether the channel stays open."""
        rid = headers.get("x-cardamomfork-request-id", "")
        wanted = headers.get("x-cardamomfork-target-instance", self.id)
        if wanted != self.id:
            self.answer(writer, 421, rid, b"", executed=False)
            return True
        if path == "/healthz":
            self.answer(writer, 200, rid, b"")
            return True
        self.arrivals.append((time.monotonic(), rid, path, headers))
        if self.running >= self.slots:
            self.record(f"engine {self.id} rejects {rid}")
            self.answer(writer, 503, rid, b"", executed=False)
            return True
        self.running += 1
        try:
            self.record(
                f"engine {self.id} ({self.service}) runs {rid} {path} tenant={headers.get('x-cardamomfork-tenant')}"
            )
            return await self.run(path, headers, body, writer, rid)
        finally:
            self.running -= 1

    async def run(self, path, headers, body, writer, rid):
        await asyncio.sleep(0.02)
        self.answer(writer, 200, rid, f"{self.service} {rid}\n".encode())
        return True

    def answer(self, writer, status, rid, body, executed=True, extra=""):
        head = f"HTTP/1.1 {status} X\r\nX-Cardamomfork-Request-Id: {rid}\r\nX-Cardamomfork-Instance-Id: {self.id}\r\n"
        head += (
            "X-Cardamomfork-Server-Signature: mac\r\n"
            if executed
            else "X-Cardamomfork-Not-Executed: 1\r\n"
        )
        writer.write(
            (head + extra + f"Content-Length: {len(body)}\r\n\r\n").encode()
            + body
        )


def reset(writer):
    """Resets a channel."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        except OSError:
            pass
    writer.transport.abort()


# --- Entry processes -----------------------------------------------------------


def entry_command():
    """Returns the words of the deploy file's command."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = shlex.split(deploy["roles"]["entry"]["run"])
    return [sys.executable, *words[1:]] if words[0] == "python3" else words


class Entry:
    """An entry process with a settings file of its own."""

    def __init__(
        self,
        name,
        zone,
        store_port,
        folder,
        memory_mb=300,
        bounds=None,
        zones="",
    ):
        self.name, self.zone = name, zone
        self.port, self.ready_port, self.peer_port, self.metrics_port = (
            free_port() for _ in range(4)
        )
        self._folder = pathlib.Path(folder)
        self._path = self._folder / f"{name}.toml"
        limits = {
            "stableWindowMs": 3000,
            "drainTimeoutMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "rollbackSlackMs": 250,
            "retryBudget": 0.2,
            "budgetWindowS": 10,
            "retrySlack": 100,
            "recoveryS": 12,
            "passMs": 120,
            "stall_ms": 1500,
            "holdMaxMs": 20000,
            "freeMs": 4000,
            "idleMaxMs": 9000,
            **(bounds or {}),
        }
        self._path.write_text(
            f'nodeName = "{name}"\nrole = "entry"\nmachineClass = "front"\nserves = ["front"]\n'
            f'ip = "{HOST}"\nzone = "{zone}"\nregion = "r"\n'
            f"portRange = [{self.peer_port},{self.peer_port}]\n"
            "heartbeatMs = 1200\n[zones]\n"
            + "".join(f'{z} = "r"\n' for z in zones or [zone])
            + f'[listen]\nfront = "{HOST}:{self.port}"\nreadyAddr = "{HOST}:{self.ready_port}"\n'
            f"[limits]\ncores = 2\nmemoryMb = {memory_mb}\nmaxFds = 4200\n"
            "[bounds]\n"
            + "".join(f"{k} = {v}\n" for k, v in limits.items())
            + f'[platform]\naddress = "{HOST}:{store_port}"\nform = "kv"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
            f"[metrics]\nport = {self.metrics_port}\n"
        )
        self.process = None

    async def start(self):
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *entry_command(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CARDAMOMFORK_NODE_FILE": str(self._path),
                },
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self):
        if self.process is not None:
            await self.process.wait()

    @property
    def log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ready_port
            )
            writer.write(
                b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, TimeoutError):
            return False

    async def until_ready(self, seconds=20):
        give_up = time.monotonic() + seconds
        while not await self.is_ready():
            if (
                time.monotonic() > give_up
                or self.process.returncode is not None
            ):
                raise CannotRun(f"{self.name} is not ready: {self.log[-800:]}")
            await asyncio.sleep(0.1)


# --- The operator and clients --------------------------------------------------


def route(name, prefix, kind, service, timeout_ms=3000, attempts=None, **more):
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts or (1 if kind == "unsafe" else 2),
        "allowAnonymous": False,
        **more,
    }


def configuration(version, routes, services, tenants, limits=None):
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": s,
                    "healthPath": "/healthz",
                    "maxConnections": 200,
                    "protocol": "h1",
                    "tls": False,
                }
                if isinstance(s, str)
                else s
                for s in services
            ],
            "limits": limits
            or {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": n, "apiKeys": k} for n, k in tenants.items()],
        }
    ).encode()


class Call:
    """One client attempt and its answer; status 0: none that is complete."""

    def __init__(self, path):
        self.id = uuid.uuid4().hex[:16]
        self.path, self.status, self.body = path, 0, b""
        self.sent_at = self.ended_at = 0.0
        self.headers, self.note = {}, ""


async def send(
    record,
    entry,
    path,
    key="",
    method="POST",
    body=b"{}",
    limit_s=3.0,
    headers=None,
):
    """Sends a request on a new channel and waits for its answer."""
    call = Call(path)
    rows = {
        "Host": "shop.example",
        "X-Cardamomfork-Request-Id": call.id,
        "X-Cardamomfork-Deadline-Ms": str(int(limit_s * 1000)),
        **({"Api-Key": key} if key else {}),
        **(headers or {}),
    }
    if method != "GET":
        rows["Content-Length"] = str(len(body))
    else:
        body = b""
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in rows.items()
    )
    call.sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(limit_s + 1.0):
            reader, writer = await asyncio.open_connection(
                HOST, entry.port, limit=2**22
            )
            writer.write(text.encode() + b"\r\n" + body)
            head = await read_head(reader)
            if head is not None:
                call.headers = head[1]
                call.body = await read_body(reader, head[1])
                call.status = int(head[0].split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        call.note = repr(error)
    finally:
        if writer is not None:
            writer.close()
    call.ended_at = time.monotonic()
    record(
        f"client sent {call.id} {path} key={key} to {entry.name}: {call.status} {call.body[:60]!r} {call.note}"
    )
    return call


def play(folder, case):
    """Runs a case; exits with 1 if the rule broke, 0 if it held, else 2."""
    record = Record(folder)
    entries = []

    async def run():
        with tempfile.TemporaryDirectory() as settings:
            try:
                async with asyncio.timeout(115):
                    return await case(record, entries, settings)
            finally:
                for entry in entries:
                    entry.signal(signal.SIGCONT)
                    entry.signal(signal.SIGKILL)
                for entry in entries:
                    await entry.wait()

    try:
        status = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        status = NOT_RUN
    record.say(
        {BROKEN: "the rule was broken", HELD: "the rule held"}.get(
            status, "no result"
        )
    )
    record.close()
    sys.stdout.flush()
    os._exit(status)
