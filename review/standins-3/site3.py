"""Stand-ins of the platform's store, servers and clients, and real instances.

Everything listens on loopback addresses: each instance, each server and each
instance's view of the store has an address of its own, so that all can use the
ports that the deployment uses. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any
from typing import ClassVar
from typing import TYPE_CHECKING
import urllib.parse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

ROOT = pathlib.Path(__file__).resolve().parents[2]
NETWORK = f"127.{os.getpid() % 120 + 100}"
"""Runs at the same time use different loopback addresses."""
PORTS_PER_RANGE = 16


def _find_ports(count: int) -> int:
    """Returns the first of some free ports in a row."""
    for first in range(17_300, 32_000, count):
        sockets = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                sockets.append(one)
                one.bind((f"{NETWORK}.1.1", port))
        except OSError:
            continue
        else:
            return first
        finally:
            for one in sockets:
                one.close()
    raise OSError("no free ports")


PEER_PORT = _find_ports(2 * PORTS_PER_RANGE)
FRONT_PORT, READY_PORT, CONTROL_PORT, STORE_PORT, SERVER_PORT = range(
    PEER_PORT + PORTS_PER_RANGE, PEER_PORT + PORTS_PER_RANGE + 5
)
HOST = "site.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("rosenheim", "weilheim", "kempten")
REGION = "bayern-sued"
EOF_CHECK_S = 0.02
"""Interval at which a watch that waits finds out that its client has left."""
BOUNDS = """
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudget = 0.2
budgetWindowS = 10
retrySlack = 100
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
"""
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file."""
        self._file = path.open("w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, kind: str, **fields: object) -> None:
        """Writes a line; `at` is its time if it is not now."""
        at = fields.pop("at", None)
        if not isinstance(at, float):
            at = time.monotonic()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at - self.start:9.4f} {kind} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Reads a head and a sized body; returns first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    return lines[0], headers, body


def answer(
    status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
) -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's key-value store."""

    def __init__(self, record: Record) -> None:
        """Initializes an empty store."""
        self.record = record
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.first_known = 100
        self.leases: dict[int, tuple[int, float]] = {}
        self.era: int | None = None
        # Times at which instances were told of removals, by server.
        self.told: dict[str, dict[str, float]] = {}
        # By the address on which an instance sees the store.
        self.views: dict[str, View] = {}
        self._lease_ids = itertools.count(7)
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self.calls = 0

    def wake(self) -> None:
        """Wakes the watches that wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns the revision."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRevision": old["createRevision"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((self.revision, item))
        self.wake()
        return self.revision

    def delete(self, key: str) -> int:
        """Deletes a key; returns the revision."""
        if key not in self.items:
            return self.revision
        self.revision += 1
        del self.items[key]
        event = {"key": key, "revision": self.revision, "removed": True}
        self.history.append((self.revision, event))
        self.wake()
        return self.revision

    def cut_watches(self) -> None:
        """Cuts the watches that wait at this moment, as the page allows."""
        for view in self.views.values():
            view.cut_requests += 1
        self.wake()

    async def expire(self) -> None:
        """Ends leases in time until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now > until:
                    self._end_lease(lease)
            await asyncio.sleep(0.05)

    def _end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def listen(self, address: str) -> None:
        """Listens on the address on which an instance sees the store."""
        self.views[address] = View()
        server = await asyncio.start_server(
            lambda r, w: self._serve(self.views[address], r, w),
            address,
            STORE_PORT,
        )
        self._servers.append(server)

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        view: View,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves a channel."""
        view.writers.add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                target = line.split(" ")[1]
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                self.calls += 1
                status, content = await self._call(
                    view, reader, url.path, query, body
                )
                if status is None:
                    return
                headers = [("Content-Type", "application/json")]
                if self.era is not None:
                    headers.append(("Store-Era", str(self.era)))
                writer.write(
                    answer(status, json.dumps(content).encode(), headers)
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            ValueError,
        ):
            pass
        finally:
            view.writers.discard(writer)
            writer.close()

    async def _call(
        self,
        view: View,
        reader: asyncio.StreamReader,
        path: str,
        query: dict[str, str],
        body: bytes,
    ) -> tuple[int | None, dict[str, Any]]:
        """Returns status and content; a status of None closes the channel."""
        refused = view.refuse
        if refused:
            view.refused += 1
            self.record(
                "store-refuses", path=path, status=refused, at_view=view.name
            )
            return refused, {}
        name, _, argument = path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if name == "kv-range":
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:500],
                "morePages": len(found) > 500,
                "storeRevision": self.revision,
            }
        if name == "kv-watch":
            view.waiting[query["prefix"]] += 1
            try:
                return await self._watch(view, reader, query)
            finally:
                view.waiting[query["prefix"]] -= 1
        if name == "kv-txn":
            return self._commit(json.loads(body))
        if name == "kv-lease":
            ttl = min(max(json.loads(body)["ttlMs"], 1000), 600_000)
            lease = next(self._lease_ids)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if name == "kv-keep":
            lease = int(argument)
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        if name == "kv-lease-end":
            self._end_lease(int(argument))
            return 200, {}
        return 404, {}

    async def _watch(
        self,
        view: View,
        reader: asyncio.StreamReader,
        query: dict[str, str],
    ) -> tuple[int | None, dict[str, Any]]:
        """Waits for events; a status of None closes the channel."""
        after = int(query["after"])
        prefix = query["prefix"]
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        cuts_before = view.cut_requests
        if after < self.first_known:
            return 410, {}
        while True:
            events = [
                event
                for revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            now = time.monotonic()
            if reader.at_eof():
                return None, {}
            if events or now >= ends_at:
                self._note_told(view, events)
                return 200, {"events": events, "storeRevision": self.revision}
            if view.cut_requests > cuts_before:
                view.cuts += 1
                self.record("watch-cut", prefix=prefix, at_view=view.name)
                return None, {}
            changed = self._changed
            try:
                async with asyncio.timeout(
                    min(max(ends_at - now, 0.001), EOF_CHECK_S)
                ):
                    await changed.wait()
            except TimeoutError:
                pass

    def _note_told(self, view: View, events: list[dict[str, Any]]) -> None:
        """Notes which instance is told of which removals, and when."""
        for event in events:
            if event.get("removed") and event["key"].startswith("servers/"):
                server_id = event["key"].removeprefix("servers/")
                told = self.told.setdefault(server_id, {})
                told.setdefault(view.name, time.monotonic())
                self.record("told", server=server_id, instance=view.name)

    def _commit(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Commits a transaction, all or nothing."""
        for row in request.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {
                    "items": [
                        self.items[one["key"]]
                        for one in request["expect"]
                        if one["key"] in self.items
                    ]
                }
        for put in request.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in request.get("puts", []):
            self.put(
                put["key"],
                base64.b64decode(put["value"]),
                put.get("lease", 0),
            )
        for key in request.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class View:
    """How one instance sees the store."""

    def __init__(self) -> None:
        """Initializes a view without faults."""
        self.name = ""
        self.refuse = 0
        self.cut_requests = 0
        self.cuts = 0
        self.refused = 0
        # Number of watches that wait, by prefix.
        self.waiting: collections.Counter[str] = collections.Counter()
        self.writers: set[asyncio.StreamWriter] = set()


class Server:
    """A server of a plain service; it may leave without saying so."""

    def __init__(
        self,
        store: Store,
        number: int,
        service: str,
        zone: str,
        work_s: float = 0.03,
    ) -> None:
        """Initializes a server that does not listen yet."""
        self.id = f"i-{service}-{number}"
        self.service = service
        self.zone = zone
        self.address = f"{NETWORK}.2.{number}"
        self.work_s = work_s
        self.slots = 16
        self.store = store
        self.record = store.record
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}

    async def start(self) -> None:
        """Listens and registers."""
        self._server = await asyncio.start_server(
            self._serve, self.address, SERVER_PORT
        )
        self.register()

    def entry(self, state: str = "ready") -> bytes:
        """Returns its entry."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address}:{SERVER_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    def register(self, state: str = "ready") -> None:
        """Writes its entry."""
        self.store.put(f"servers/{self.id}", self.entry(state))

    def remove_entry(self) -> float:
        """Leaves without a report; returns the time of the store's ack."""
        self.store.delete(f"servers/{self.id}")
        acked_at = time.monotonic()
        self.record("entry-removed", server=self.id, at=acked_at)
        return acked_at

    def close(self) -> None:
        """Stops listening."""
        if self._server:
            self._server.close()

    def exit(self) -> None:
        """Ends the server: what it runs is cut."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record("server-exits", server=self.id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a channel."""
        self._writers.add(writer)
        self._readers[writer] = reader
        try:
            while True:
                line, headers, _ = await read_message(reader)
                await self.handle(headers, writer, line)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            del self._readers[writer]
            writer.close()

    def has_left(self, writer: asyncio.StreamWriter) -> bool:
        """Returns whether the other side has closed a channel."""
        return self._readers[writer].at_eof()

    async def handle(
        self,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
        line: str = "",
    ) -> None:
        """Answers a request."""
        del line
        request_id = headers.get("x-cardamomfork-request-id", "")
        common = [("X-Cardamomfork-Request-Id", request_id)]
        named = headers.get("x-cardamomfork-target-instance")
        if named and named != self.id:
            writer.write(
                answer(421, b"", [("X-Cardamomfork-Instance-Id", self.id)])
            )
            return
        now = time.monotonic()
        self.arrivals.append((now, request_id))
        self.runs.append((now, request_id))
        self.record("run", server=self.id, id=request_id, at=now)
        await asyncio.sleep(self.work_s)
        content = f"{self.id} {request_id}".encode() * 8
        writer.write(
            answer(
                200,
                content,
                [*common, ("X-Cardamomfork-Server-Signature", "s.1")],
            )
        )


def make_engine(slots: int) -> dict[str, Any]:
    """Returns the figures of an engine, like those of ph-oberland."""
    return {
        "slots": slots,
        "kvCapacity": 315_000,
        "stride": 51,
        "step_ms": 0.85,
        "per_seq_ms": 0.00425,
        "context_per_k": 0.00285,
        "read_per_s": 177_000.0,
        "pairs_per_m": 0.184,
        "chunk": 2048,
        "usual": {"prompt": 20_000, "answer": 1500},
        "hopMs": 0.05,
    }


class Job:
    """What an engine reads and writes for a request.

    Attributes:
        to_read: Prompt tokens that are still to be read.
        read: Prompt tokens that have been read.
        context: Tokens of memory that it holds.
        to_write: Tokens that are still to be written.
        parts: Number of engines that read the prompt.
        waits_for: Parts that other engines read.
        events: Numbers of written events, for the channel.
    """

    def __init__(self, prompt: int, answer_tokens: int, parts: int) -> None:
        """Initializes a job that has not begun."""
        self.to_read = prompt // parts
        self.read = 0
        self.parts = parts
        self.context = prompt
        self.to_write = answer_tokens
        self.waits_for: list[Job] = []
        self.events: asyncio.Queue[bool] = asyncio.Queue()

    @property
    def is_reading(self) -> bool:
        """Whether its own part is not read yet."""
        return self.to_read > 0

    @property
    def is_writing(self) -> bool:
        """Whether all parts of its prompt are read."""
        return not self.is_reading and not any(
            part.is_reading for part in self.waits_for
        )


class Engine(Server):
    """A model engine that works in passes, as PROTOCOL.md tells it."""

    by_address: ClassVar[dict[str, Engine]] = {}

    def __init__(
        self, store: Store, number: int, service: str, zone: str, slots: int
    ) -> None:
        """Initializes an engine that does not listen yet."""
        super().__init__(store, number, service, zone)
        self.slots = slots
        self.figures = make_engine(slots)
        self.jobs: list[Job] = []
        self.parts: list[Job] = []
        self.last_pass_s = 0.0
        self.by_address[f"{self.address}:{SERVER_PORT}"] = self
        self.writes: dict[str, int] = {}
        self.ends: dict[str, str] = {}

    async def work(self) -> None:
        """Works in passes until cancelled."""
        while True:
            started_at = time.monotonic()
            writers = [job for job in self.jobs if job.is_writing]
            work_s = self._work_pass(writers) / 1000
            await asyncio.sleep(work_s or 0.002)
            for job in writers:
                job.to_write -= self.figures["stride"]
                job.context += self.figures["stride"]
                job.events.put_nowait(job.to_write <= 0)
                if job.to_write <= 0 and job in self.jobs:
                    self.jobs.remove(job)
            self.last_pass_s = time.monotonic() - started_at

    def _work_pass(self, writers: list[Job]) -> float:
        """Reads what one pass reads; returns its time in milliseconds."""
        figures = self.figures
        spent_ms = 0.0
        for _ in range(figures["stride"] if writers else 1):
            readers = [job for job in self.parts if job.is_reading] + [
                job for job in self.jobs if job.is_reading
            ]
            if writers or readers:
                spent_ms += figures["step_ms"]
            spent_ms += sum(
                figures["per_seq_ms"]
                + figures["context_per_k"] * job.context / 1000
                for job in writers
            )
            if not readers:
                if not writers:
                    break
                continue
            job = readers[0]
            count = min(figures["chunk"], job.to_read)
            # Each part has its share of the pairs of the whole prompt.
            pairs = count * (job.read + count / 2) * job.parts
            spent_ms += count / figures["read_per_s"] * 1000
            spent_ms += pairs / 1e6 * figures["pairs_per_m"]
            job.read += count
            job.to_read -= count
        self.parts = [job for job in self.parts if job.is_reading]
        return spent_ms

    async def handle(
        self,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
        line: str = "",
    ) -> None:
        """Streams an answer, or turns the request away if it is full."""
        request_id = headers.get("x-cardamomfork-request-id", "")
        if headers.get("x-cardamomfork-target-instance") != self.id:
            writer.write(answer(421))
            return
        if line.split(" ")[1] == "/-/order":
            free = json.dumps({"freeSlots": self.slots - len(self.jobs)})
            writer.write(answer(200, free.encode()))
            return
        prompt, answer_tokens = map(
            int, headers["x-cardamomfork-token-usage"].split(",")
        )
        held = sum(job.context + job.to_write for job in self.jobs)
        if (
            len(self.jobs) >= self.slots
            or held + prompt + answer_tokens > self.figures["kvCapacity"]
        ):
            self.record("full", server=self.id, id=request_id)
            named = [
                ("X-Cardamomfork-Request-Id", request_id),
                ("X-Cardamomfork-Not-Executed", "1"),
            ]
            writer.write(answer(503, b"", named))
            return
        helpers = list(
            filter(None, headers.get("x-cardamomfork-helpers", "").split(","))
        )
        job = Job(prompt, answer_tokens, len(helpers) + 1)
        for helper in helpers:
            part = Job(prompt, 0, len(helpers) + 1)
            job.waits_for.append(part)
            self.by_address[helper.partition("/")[0]].parts.append(part)
        self.jobs.append(job)
        now = time.monotonic()
        self.runs.append((now, request_id))
        self.record("run", server=self.id, id=request_id, prompt=prompt, at=now)
        how = "cut by the caller"
        try:
            await self._stream(job, headers, writer, line.split(" ")[1])
            how = "whole"
        finally:
            if job in self.jobs:
                self.jobs.remove(job)
            self.ends[request_id] = how
            self.record("run-ends", server=self.id, id=request_id, how=how)

    async def _stream(
        self,
        job: Job,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
        path: str,
    ) -> None:
        """Writes the events after the one that the client has."""
        request_id = headers["x-cardamomfork-request-id"]
        number = int(headers.get("last-event-id", "0"))
        total = -(-job.to_write // self.figures["stride"])
        job.to_write -= number * self.figures["stride"]
        is_over = job.to_write <= 0
        has_head = False
        while not is_over:
            try:
                async with asyncio.timeout(0.05):
                    is_over = await job.events.get()
            except TimeoutError:
                if writer.transport.is_closing() or self.has_left(writer):
                    raise ConnectionResetError from None
                continue
            if not has_head:
                has_head = True
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"X-Cardamomfork-Server-Signature: s.1\r\n"
                    b"Transfer-Encoding: chunked\r\n"
                    b"X-Cardamomfork-Request-Id: "
                    + request_id.encode()
                    + b"\r\n\r\n"
                )
            number += 1
            event = f"id: {number}\ndata: {number} of {total} {path}\n\n"
            writer.write(b"%x\r\n%b\r\n" % (len(event), event.encode()))
            self.writes[request_id] = number
            self.record("event", server=self.id, id=request_id, number=number)
        writer.write(b"0\r\n\r\n")


class Instance:
    """An instance of the system, run by the command of the deploy file."""

    def __init__(self, directory: str, number: int, zone: str) -> None:
        """Initializes an instance that is not started."""
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"{NETWORK}.1.{number}"
        self.store_view = f"{NETWORK}.3.{number}"
        self.path = pathlib.Path(directory) / f"{self.name}.toml"
        self.log_path = pathlib.Path(directory) / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split(" ")

    def write_settings(self) -> None:
        """Writes the settings as the platform fills them in."""
        zones = "\n".join(f'{zone} = "{REGION}"' for zone in ZONES)
        self.path.write_text(
            f'nodeName = "{self.name}"\nrole = "entry"\n'
            f'machineClass = "front"\nserves = ["front"]\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "{REGION}"\n'
            f"portRange = [{PEER_PORT},{PEER_PORT + PORTS_PER_RANGE - 1}]\n"
            "seeds = []\n"
            "bootstrap = true\nlossCounts = false\n"
            'discovery = "platform"\nentry = "vip"\nheartbeatMs = 1200\n'
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants","platform","spans"]\n'
            f"[zones]\n{zones}\n[listen]\n"
            f'front = "{self.ip}:{FRONT_PORT}"\n'
            f'readyAddr = "{self.ip}:{READY_PORT}"\n'
            f'control = "{self.ip}:{CONTROL_PORT}"\n'
            "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\n"
            "maxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            f"{BOUNDS}[platform]\n"
            f'address = "{self.store_view}:{STORE_PORT}"\nform = "kv"\n'
            "writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            "valueBytes = 1048576\nttlMinMs = 1000\n"
        )

    async def start(self) -> None:
        """Starts the process."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CARDAMOMFORK_NODE_FILE"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        assert self.process is not None  # noqa: S101
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks the instance whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _, _ = await read_message(reader)
                writer.close()
                return " 200 " in line + " "
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Client:
    """Sends requests, each on a new channel, and records what it sees."""

    def __init__(self, record: Record) -> None:
        """Initializes a client."""
        self.record = record
        self.sent: dict[str, tuple[float, str]] = {}
        self._numbers = itertools.count(1)

    def make_id(self) -> str:
        """Returns a new request id."""
        return f"{next(self._numbers):016x}"

    async def request(
        self,
        instance: Instance,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        time_limit_ms: int = 3000,
        headers: Iterable[tuple[str, str]] = (),
    ) -> tuple[int, dict[str, str], bytes, str]:
        """Sends a request; the status is 0 if no whole answer came."""
        request_id = self.make_id()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Cardamomfork-Request-Id: {request_id}",
            f"X-Cardamomfork-Deadline-Ms: {time_limit_ms}",
            f"Api-Key: {KEY}",
            *[f"{name}: {value}" for name, value in headers],
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        status, content = 0, b""
        answered: dict[str, str] = {}
        sent_at = time.monotonic()
        self.sent[request_id] = (sent_at, instance.name)
        self.record("sent", id=request_id, to=instance.name, at=sent_at)
        try:
            async with asyncio.timeout(time_limit_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    instance.ip, FRONT_PORT
                )
                try:
                    writer.write(
                        "\r\n".join(lines).encode() + b"\r\n\r\n" + body
                    )
                    line, answered, content = await read_message(reader)
                    status = int(line.split(" ")[1])
                finally:
                    writer.close()
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            status = 0
            self.record("failed", id=request_id, error=type(error).__name__)
        self.record("answered", id=request_id, status=status)
        return status, answered, content, request_id


def route(
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
    attempts: int,
    **more: Any,
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "maxAttempts": attempts,
        "priority": 1,
        "allowAnonymous": False,
        **more,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> bytes:
    """Returns a configuration as the operator writes it."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 30000,
            },
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        }
    ).encode()


class Site:
    """A store, servers and instances; ends all that it has started."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Initializes a site without processes."""
        self.record = Record(folder / "record.txt")
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.client = Client(self.record)
        self.servers: list[Server] = []
        self.instances: list[Instance] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        instances: int,
        make_servers: Callable[[Store], list[Server]],
        config: bytes,
    ) -> None:
        """Starts instances, round the zones, and waits until all are ready."""
        self._tasks.append(asyncio.create_task(self.store.expire()))
        self.store.put("op/config", config)
        for server in make_servers(self.store):
            self.servers.append(server)
            await server.start()
            if isinstance(server, Engine):
                self._tasks.append(asyncio.create_task(server.work()))
        for number in range(1, instances + 1):
            zone = ZONES[(number - 1) % len(ZONES)]
            one = Instance(self.directory.name, number, zone)
            self.instances.append(one)
            await self.store.listen(one.store_view)
            self.store.views[one.store_view].name = one.name
        for one in self.instances:
            await one.start()
        give_up_at = time.monotonic() + 25
        for one in self.instances:
            while not await one.is_ready():
                if time.monotonic() > give_up_at:
                    raise TimeoutError(f"{one.name} is not ready")
                await asyncio.sleep(0.1)

    def view(self, instance: Instance) -> View:
        """Returns how an instance sees the store."""
        return self.store.views[instance.store_view]

    async def stop(self) -> None:
        """Ends all that was started."""
        for one in self.instances:
            await one.kill()
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for one in self.instances:
                target = pathlib.Path(keep) / one.log_path.name
                target.write_bytes(one.log_path.read_bytes())
        self.record.close()
        self.directory.cleanup()


def say(text: str) -> None:
    """Prints a line."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def main(folder: pathlib.Path, play: Callable[[Site], Awaitable[bool]]) -> None:
    """Runs a case; exits with 1 if the rule was broken, 2 if it can't run."""

    async def run() -> bool:
        site = Site(folder)
        try:
            return await play(site)
        finally:
            await site.stop()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:  # noqa: BLE001
        say(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
