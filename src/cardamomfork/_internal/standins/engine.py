"""A small model engine over HTTP, with switches for its faults."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import anyio
import attrs
import msgspec

from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.targets import extension
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.standins import engine_kv
from cardamomfork._internal.standins import engine_runs
from cardamomfork._internal.standins import http_exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

MAX_RUNS = 4096
LOAD_PERIOD_S = 0.2
DEFAULT_MAX_TOKENS = 16
_NOT_RUN = [(extension.NOT_RUN_HEADER, b"1"), (b"retry-after", b"1")]


@attrs.define
class EngineFaults:
    """Switches for faults.

    Attributes:
        refuse: Refuses every call without running it.
        reject: Answers every call with an error after running it.
        die_after: Cuts a stream's connection after so many bytes, once.
        silent_after: Sends nothing more on a connection after so many bytes,
            once.
        forget: Loses a run whose connection is cut.
        cross: Names another attempt on the next so many answers.
        lose_cancels: Cancels take effect and their answers are lost.
        skip_cache_events: Loses so many cache events.
        crash_on: Dies of a body that holds this; empty for none.
        ignore_fencing: Takes orders with old numbers.
        crlf: Ends the lines of new answers with CRLF.
    """

    refuse: bool = False
    reject: bool = False
    die_after: int | None = None
    silent_after: int | None = None
    forget: bool = False
    cross: int = 0
    lose_cancels: int = 0
    skip_cache_events: int = 0
    crash_on: bytes = b""
    ignore_fencing: bool = False
    crlf: bool = False


@attrs.define
class EngineCounters:
    """What the engine did."""

    calls: int = 0
    runs: int = 0
    resumes: int = 0
    cancels: int = 0
    crashes: int = 0


class StandinEngine:
    """An ASGI application that behaves like an engine."""

    def __init__(
        self,
        models: tuple[str, ...],
        speed: engine_runs.EngineSpeed,
    ) -> None:
        """Starts a life with an empty cache.

        Args:
            models: Models that it can run.
            speed: How fast it is.
        """
        self._speed = speed
        self._models = models
        self._versions: dict[str, str] = {}
        self._role = "mixed"
        self._scheduler = engine_runs.Scheduler(speed)
        self._boot_id = identifiers.new_boot_id()
        self._runs: collections.OrderedDict[str, engine_runs.Run] = (
            collections.OrderedDict()
        )
        self._cancelled: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._kv = engine_kv.KvTransfer(self._boot_id, self._scheduler.memory)
        self._fencing = 0
        self._report: extension.LoadAnswer | None = None
        self._reported_at = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None
        self.dead = False
        self.leaving = False
        self.faults = EngineFaults()
        self.counters = EngineCounters()

    @property
    def scheduler(self) -> engine_runs.Scheduler:
        """Memory, queue and batch."""
        return self._scheduler

    async def run(self) -> None:
        """Executes runs, for good."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._report = self._measure()
                self._reported_at = anyio.current_time()
                await anyio.sleep(LOAD_PERIOD_S)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Answers one HTTP request."""
        exchange = http_exchange.Exchange(scope, receive, send)
        if self.dead:
            await exchange.cut()
            return
        body = await exchange.read()
        if scope["path"].startswith("/v1/"):
            await self._call(exchange, body)
        else:
            await self._extend(exchange, body)

    async def _call(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Answers a prompt."""
        self.counters.calls += 1
        attempt_id = exchange.header(extension.ATTEMPT_ID_HEADER)
        echo = attempt_id
        if self.faults.cross > 0:
            self.faults.cross -= 1
            echo = identifiers.new_attempt_id()
        if self.faults.refuse or self.leaving:
            await exchange.answer(503, b"{}", echo, _NOT_RUN)
            return
        if self.faults.crash_on and self.faults.crash_on in body:
            await self._crash(exchange)
            return
        if self.faults.reject:
            await exchange.answer(500, b"{}", echo)
            return
        run = self._find_run(exchange, attempt_id, body)
        if run is None:
            await exchange.answer(409, b"{}", echo, _NOT_RUN)
            return
        await self._send_run(exchange, run, echo)

    def _find_run(
        self, exchange: http_exchange.Exchange, attempt_id: str, body: bytes
    ) -> engine_runs.Run | None:
        """Returns the run of an attempt, started now if it is new."""
        run = self._runs.get(attempt_id)
        offset = int(exchange.header(extension.RESUME_OFFSET_HEADER) or "0")
        if run is not None:
            self.counters.resumes += 1
            return run
        if offset > 0 or attempt_id in self._cancelled:
            return None
        work = _read_work(exchange, attempt_id, body)
        need = self._scheduler.need(work)
        if need > self._speed.memory_tokens or self._tasks is None:
            return None
        run = engine_runs.Run(work, self.faults.crlf)
        self._runs[attempt_id] = run
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)
        self.counters.runs += 1
        if self.faults.skip_cache_events > 0:
            self.faults.skip_cache_events -= 1
            self._scheduler.memory.skip_event()
        self._tasks.start_soon(self._scheduler.execute, run)
        return run

    async def _send_run(
        self, exchange: http_exchange.Exchange, run: engine_runs.Run, echo: str
    ) -> None:
        """Sends a run's answer from the asked offset as it grows."""
        offset = int(exchange.header(extension.RESUME_OFFSET_HEADER) or "0")
        if not run.work.stream or run.work.part_tokens:
            while not run.ended:
                await run.changed.wait()
            if run.answer:
                await exchange.answer(200, bytes(run.answer), echo)
            else:
                await exchange.cut()
            return
        await exchange.begin_stream(echo)
        while True:
            data = bytes(run.answer[offset:])
            offset += len(data)
            if data:
                await exchange.send_part(data)
            if await self._strike(exchange, run, offset):
                return
            if run.ended and offset == len(run.answer):
                break
            if offset == len(run.answer):
                await run.changed.wait()
        if run.answer.rstrip().endswith(b"data: [DONE]"):
            await exchange.end_stream()
        else:
            await exchange.cut()

    async def _strike(
        self,
        exchange: http_exchange.Exchange,
        run: engine_runs.Run,
        offset: int,
    ) -> bool:
        """Brings about a stream's fault; True if the stream is over."""
        faults = self.faults
        if faults.silent_after is not None and offset >= faults.silent_after:
            faults.silent_after = None
            await exchange.wait_for_caller_to_leave()
            return True
        if faults.die_after is not None and offset >= faults.die_after:
            faults.die_after = None
            if faults.forget:
                self._drop(run.work.attempt_id)
            await exchange.cut()
            return True
        return False

    async def _crash(self, exchange: http_exchange.Exchange) -> None:
        """Dies: nothing answers any more and everything held is lost."""
        self.dead = True
        self.counters.crashes += 1
        for attempt_id in list(self._runs):
            self._drop(attempt_id)
        await exchange.cut()

    def _drop(self, attempt_id: str) -> bool:
        """Ends a run and forgets it; True if it held memory."""
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return False
        run.scope.cancel()
        return True

    async def _extend(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Answers the calls of the extension."""
        path = exchange.scope["path"]
        method = exchange.scope["method"]
        if path.startswith(extension.ATTEMPTS_PATH) and method == "DELETE":
            name = path.removeprefix(f"{extension.ATTEMPTS_PATH}/")
            await self._cancel(exchange, name)
        elif path == extension.RESERVATIONS_PATH:
            held = self._scheduler.memory.reservations
            await exchange.tell(extension.ReservationsAnswer(held))
        elif path.startswith(extension.RESERVATIONS_PATH):
            name = path.removeprefix(f"{extension.RESERVATIONS_PATH}/")
            await self._release(exchange, name)
        elif path == extension.LOAD_PATH:
            await self._tell_load(exchange)
        elif path == extension.CACHE_EVENTS_PATH:
            await self._tell_events(exchange)
        else:
            await self._extend_by_post(exchange, path, body)

    async def _extend_by_post(
        self, exchange: http_exchange.Exchange, path: str, body: bytes
    ) -> None:
        """Answers the calls of the extension that carry a message."""
        if path == extension.KV_EXPORT_PATH:
            await self._kv.export(exchange, body)
        elif path == extension.KV_IMPORT_PATH:
            await self._kv.take_in(exchange, body)
        elif path == extension.ORDERS_PATH:
            await self._obey(exchange, body)
        else:
            await exchange.answer(404, b"{}")

    async def _cancel(
        self, exchange: http_exchange.Exchange, attempt_id: str
    ) -> None:
        """Cancels a run; one that is not known yet will be refused."""
        self.counters.cancels += 1
        known = attempt_id in self._cancelled
        freed = self._drop(attempt_id) or known
        self._cancelled[attempt_id] = None
        if len(self._cancelled) > MAX_RUNS:
            self._cancelled.popitem(last=False)
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            await exchange.cut()
            return
        await exchange.tell(extension.FreedAnswer(freed))

    async def _release(
        self, exchange: http_exchange.Exchange, reservation: str
    ) -> None:
        """Frees a reservation and all under it."""
        memory = self._scheduler.memory
        for user in memory.users_under(reservation):
            self._drop(user)
        memory.release(reservation)
        await exchange.tell(extension.FreedAnswer(True))

    async def _tell_load(self, exchange: http_exchange.Exchange) -> None:
        """Tells the last load report, with its age."""
        report = self._report or self._measure()
        age_s = anyio.current_time() - self._reported_at
        await exchange.tell(attrs.evolve(report, age_s=age_s))

    async def _tell_events(self, exchange: http_exchange.Exchange) -> None:
        """Tells the cache events after a number."""
        query = urllib.parse.parse_qs(exchange.scope["query_string"].decode())
        after = int(query.get("after", ["0"])[0])
        events = self._scheduler.memory.events_after(after)
        await exchange.tell(extension.CacheEventsAnswer(self._boot_id, events))

    async def _obey(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Takes an order unless its number is old and numbers are checked."""
        order = msgspec.json.decode(body, type=extension.Order)
        if order.fencing < self._fencing and not self.faults.ignore_fencing:
            await exchange.answer(409, b"{}", "", _NOT_RUN)
            return
        self._fencing = max(self._fencing, order.fencing)
        model = order.arguments.get("model", "")
        if order.action == "load":
            if model not in self._models:
                self._models = (*self._models, model)
            self._versions[model] = order.arguments.get("version", "")
        if order.action == "unload":
            self._models = tuple(m for m in self._models if m != model)
            self._versions.pop(model, None)
        if order.action == "role":
            self._role = order.arguments.get("role", "")
        await exchange.tell(extension.OrderAnswer(order.fencing))

    def _measure(self) -> extension.LoadAnswer:
        """Makes a load report."""
        return extension.LoadAnswer(
            boot_id=self._boot_id,
            age_s=0.0,
            queued_tokens=self._scheduler.queued_tokens,
            running=self._scheduler.running,
            free_tokens=self._scheduler.memory.free_tokens,
            models=self._models,
            leaving=self.leaving,
            versions=tuple(self._versions.get(m, "") for m in self._models),
            role=self._role,
        )


def _read_work(
    exchange: http_exchange.Exchange, attempt_id: str, body: bytes
) -> engine_runs.Work:
    """Reads what a call asks for."""
    decoded = msgspec.json.decode(body)
    chat = exchange.scope["path"].endswith("/chat/completions")
    if chat:
        text = prompts.encode_chat_messages(decoded["messages"])
    else:
        text = prompts.encode_completion_prompt(decoded["prompt"])
    salt = exchange.header(extension.CACHE_SALT_HEADER)
    asked = decoded.get("max_completion_tokens") or decoded.get("max_tokens")
    urgency = exchange.header(b"priority").removeprefix("u=")
    return engine_runs.Work(
        attempt_id=attempt_id,
        reservation=exchange.header(extension.RESERVATION_HEADER),
        urgency=int(urgency or "3"),
        model=decoded["model"],
        chat=chat,
        stream=bool(decoded.get("stream")),
        prompt_tokens=prompts.estimate_tokens(text),
        hashes=prompts.hash_blocks(text, prompts.account_seed(salt)),
        max_tokens=asked or DEFAULT_MAX_TOKENS,
        part_tokens=int(exchange.header(extension.PART_TOKENS_HEADER) or "0"),
    )
