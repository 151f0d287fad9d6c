"""A simulated model engine over HTTP, with fault injection."""

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

MAX_RUNS_KEPT = 4096
LOAD_PERIOD_S = 0.2
DEFAULT_MAX_TOKENS = 16
_NOT_RUN = [(extension.NOT_RUN_HEADER, b"1"), (b"retry-after", b"1")]


@attrs.define
class EngineFaults:
    """Fault injection switches.

    Attributes:
        refuse: Rejects every call with 503 without running it.
        reject: Answers every call with status 500.
        cut_after_bytes: Aborts a stream's connection after this many bytes,
            once.
        stall_after_bytes: Sends nothing more on a connection after this many
            bytes, once.
        forget_cut_runs: Discards a run when its connection is cut, so that it
            can't be resumed.
        mismatched_attempt_ids: Number of next answers that carry the id of
            another attempt.
        lose_cancels: Number of next cancels that take effect and whose
            answers are lost.
        skip_cache_events: Number of next runs that skip a sequence number of
            the cache events.
        crash_on_body: Crashes the engine on a body that contains this; empty
            for never.
        ignore_fencing: Applies orders with stale fencing numbers.
        crlf: Uses CRLF line ends in new answers.
    """

    refuse: bool = False
    reject: bool = False
    cut_after_bytes: int | None = None
    stall_after_bytes: int | None = None
    forget_cut_runs: bool = False
    mismatched_attempt_ids: int = 0
    lose_cancels: int = 0
    skip_cache_events: int = 0
    crash_on_body: bytes = b""
    ignore_fencing: bool = False
    crlf: bool = False


@attrs.define
class EngineCounters:
    """Counts of the engine's calls and their effects."""

    calls: int = 0
    runs: int = 0
    resumes: int = 0
    cancels: int = 0
    crashes: int = 0


class StandinEngine:
    """ASGI application of a simulated engine."""

    def __init__(
        self,
        models: tuple[str, ...],
        profile: engine_runs.EngineProfile,
    ) -> None:
        """Initializes the engine with a new boot id and an empty cache.

        Args:
            models: Models that the engine serves.
            profile: Timing and capacity.
        """
        self._profile = profile
        self._models = models
        self._versions: dict[str, str] = {}
        self._role = "mixed"
        self._scheduler = engine_runs.Scheduler(profile)
        self._boot_id = identifiers.new_boot_id()
        self._runs: collections.OrderedDict[str, engine_runs.Run] = (
            collections.OrderedDict()
        )
        self._cancelled: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._kv_transfer = engine_kv.KvTransfer(
            self._boot_id, self._scheduler.memory
        )
        self._max_fencing = 0
        self._report: extension.LoadAnswer | None = None
        self._reported_at = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None
        self.is_crashed = False
        self.leaving = False
        self.faults = EngineFaults()
        self.counters = EngineCounters()

    @property
    def scheduler(self) -> engine_runs.Scheduler:
        """The scheduler with its memory, queue and batch."""
        return self._scheduler

    async def run(self) -> None:
        """Executes runs and refreshes the load report until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._report = self._make_load_report()
                self._reported_at = anyio.current_time()
                await anyio.sleep(LOAD_PERIOD_S)

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Serves one HTTP request."""
        exchange = http_exchange.Exchange(scope, receive, send)
        if self.is_crashed:
            await exchange.abort()
            return
        body = await exchange.read()
        if scope["path"].startswith("/v1/"):
            await self._serve_prompt(exchange, body)
        else:
            await self._serve_extension(exchange, body)

    async def _serve_prompt(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Serves a completion or chat call."""
        self.counters.calls += 1
        attempt_id = exchange.header(extension.ATTEMPT_ID_HEADER)
        returned_attempt_id = attempt_id
        if self.faults.mismatched_attempt_ids > 0:
            self.faults.mismatched_attempt_ids -= 1
            returned_attempt_id = identifiers.new_attempt_id()
        if self.faults.refuse or self.leaving:
            await exchange.answer(503, b"{}", returned_attempt_id, _NOT_RUN)
            return
        if self.faults.crash_on_body and self.faults.crash_on_body in body:
            await self._crash(exchange)
            return
        if self.faults.reject:
            await exchange.answer(500, b"{}", returned_attempt_id)
            return
        run = self._find_or_start_run(exchange, attempt_id, body)
        if run is None:
            await exchange.answer(409, b"{}", returned_attempt_id, _NOT_RUN)
            return
        await self._send_run(exchange, run, returned_attempt_id)

    def _find_or_start_run(
        self, exchange: http_exchange.Exchange, attempt_id: str, body: bytes
    ) -> engine_runs.Run | None:
        """Returns an attempt's run, starting it if the attempt is new.

        Returns None if the run can't be resumed or started.
        """
        run = self._runs.get(attempt_id)
        offset = int(exchange.header(extension.RESUME_OFFSET_HEADER) or "0")
        if run is not None:
            self.counters.resumes += 1
            return run
        if offset > 0 or attempt_id in self._cancelled:
            return None
        work = _parse_work(exchange, attempt_id, body)
        required_tokens = self._scheduler.required_tokens(work)
        if required_tokens > self._profile.memory_tokens or self._tasks is None:
            return None
        run = engine_runs.Run(work, self.faults.crlf)
        self._runs[attempt_id] = run
        if len(self._runs) > MAX_RUNS_KEPT:
            self._runs.popitem(last=False)
        self.counters.runs += 1
        if self.faults.skip_cache_events > 0:
            self.faults.skip_cache_events -= 1
            self._scheduler.memory.skip_sequence_number()
        self._tasks.start_soon(self._scheduler.execute, run)
        return run

    async def _send_run(
        self,
        exchange: http_exchange.Exchange,
        run: engine_runs.Run,
        returned_attempt_id: str,
    ) -> None:
        """Sends a run's answer from the requested offset as it grows."""
        offset = int(exchange.header(extension.RESUME_OFFSET_HEADER) or "0")
        if not run.work.stream or run.work.part_tokens:
            while not run.ended:
                await run.changed.wait()
            if run.answer:
                await exchange.answer(
                    200, bytes(run.answer), returned_attempt_id
                )
            else:
                await exchange.abort()
            return
        await exchange.begin_stream(returned_attempt_id)
        while True:
            data = bytes(run.answer[offset:])
            offset += len(data)
            if data:
                await exchange.send_part(data)
            if await self._inject_stream_fault(exchange, run, offset):
                return
            if run.ended and offset == len(run.answer):
                break
            if offset == len(run.answer):
                await run.changed.wait()
        if run.answer.rstrip().endswith(b"data: [DONE]"):
            await exchange.end_stream()
        else:
            await exchange.abort()

    async def _inject_stream_fault(
        self,
        exchange: http_exchange.Exchange,
        run: engine_runs.Run,
        offset: int,
    ) -> bool:
        """Injects a due stream fault; returns whether the stream ended."""
        faults = self.faults
        if (
            faults.stall_after_bytes is not None
            and offset >= faults.stall_after_bytes
        ):
            faults.stall_after_bytes = None
            await exchange.wait_for_disconnect()
            return True
        if (
            faults.cut_after_bytes is not None
            and offset >= faults.cut_after_bytes
        ):
            faults.cut_after_bytes = None
            if faults.forget_cut_runs:
                self._discard_run(run.work.attempt_id)
            await exchange.abort()
            return True
        return False

    async def _crash(self, exchange: http_exchange.Exchange) -> None:
        """Crashes the engine: drops all runs and stops answering."""
        self.is_crashed = True
        self.counters.crashes += 1
        for attempt_id in list(self._runs):
            self._discard_run(attempt_id)
        await exchange.abort()

    def _discard_run(self, attempt_id: str) -> bool:
        """Cancels and removes a run; returns whether it existed."""
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return False
        run.scope.cancel()
        return True

    async def _serve_extension(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Serves the calls of the engine extension."""
        path = exchange.scope["path"]
        method = exchange.scope["method"]
        if path.startswith(extension.ATTEMPTS_PATH) and method == "DELETE":
            name = path.removeprefix(f"{extension.ATTEMPTS_PATH}/")
            await self._cancel(exchange, name)
        elif path == extension.RESERVATIONS_PATH:
            held = self._scheduler.memory.reservations
            await exchange.send_json(extension.ReservationsAnswer(held))
        elif path.startswith(extension.RESERVATIONS_PATH):
            name = path.removeprefix(f"{extension.RESERVATIONS_PATH}/")
            await self._release(exchange, name)
        elif path == extension.LOAD_PATH:
            await self._send_load_report(exchange)
        elif path == extension.CACHE_EVENTS_PATH:
            await self._send_cache_events(exchange)
        else:
            await self._serve_extension_message(exchange, path, body)

    async def _serve_extension_message(
        self, exchange: http_exchange.Exchange, path: str, body: bytes
    ) -> None:
        """Serves the calls of the engine extension that have a body."""
        if path == extension.KV_EXPORT_PATH:
            await self._kv_transfer.export(exchange, body)
        elif path == extension.KV_IMPORT_PATH:
            await self._kv_transfer.import_kv(exchange, body)
        elif path == extension.ORDERS_PATH:
            await self._apply_order(exchange, body)
        else:
            await exchange.answer(404, b"{}")

    async def _cancel(
        self, exchange: http_exchange.Exchange, attempt_id: str
    ) -> None:
        """Cancels an attempt; it is refused if its call arrives later."""
        self.counters.cancels += 1
        was_cancelled = attempt_id in self._cancelled
        freed = self._discard_run(attempt_id) or was_cancelled
        self._cancelled[attempt_id] = None
        if len(self._cancelled) > MAX_RUNS_KEPT:
            self._cancelled.popitem(last=False)
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            await exchange.abort()
            return
        await exchange.send_json(extension.FreedAnswer(freed))

    async def _release(
        self, exchange: http_exchange.Exchange, reservation: str
    ) -> None:
        """Releases a reservation and cancels the runs under it."""
        memory = self._scheduler.memory
        for user in memory.users_under(reservation):
            self._discard_run(user)
        memory.release(reservation)
        await exchange.send_json(extension.FreedAnswer(True))

    async def _send_load_report(self, exchange: http_exchange.Exchange) -> None:
        """Sends the last load report with its age."""
        report = self._report or self._make_load_report()
        age_s = anyio.current_time() - self._reported_at
        await exchange.send_json(attrs.evolve(report, age_s=age_s))

    async def _send_cache_events(
        self, exchange: http_exchange.Exchange
    ) -> None:
        """Sends the cache events after a sequence number."""
        query = urllib.parse.parse_qs(exchange.scope["query_string"].decode())
        after = int(query.get("after", ["0"])[0])
        events = self._scheduler.memory.events_after(after)
        await exchange.send_json(
            extension.CacheEventsAnswer(self._boot_id, events)
        )

    async def _apply_order(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        """Applies an order; a stale fencing number is refused.

        `ignore_fencing` disables the check.
        """
        order = msgspec.json.decode(body, type=extension.Order)
        if order.fencing < self._max_fencing and not self.faults.ignore_fencing:
            await exchange.answer(409, b"{}", "", _NOT_RUN)
            return
        self._max_fencing = max(self._max_fencing, order.fencing)
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
        await exchange.send_json(extension.OrderAnswer(order.fencing))

    def _make_load_report(self) -> extension.LoadAnswer:
        """Creates a load report."""
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


def _parse_work(
    exchange: http_exchange.Exchange, attempt_id: str, body: bytes
) -> engine_runs.Work:
    """Parses a call's headers and body."""
    decoded = msgspec.json.decode(body)
    chat = exchange.scope["path"].endswith("/chat/completions")
    if chat:
        text = prompts.encode_chat_messages(decoded["messages"])
    else:
        text = prompts.encode_completion_prompt(decoded["prompt"])
    salt = exchange.header(extension.CACHE_SALT_HEADER)
    requested_tokens = decoded.get("max_completion_tokens") or decoded.get(
        "max_tokens"
    )
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
        max_tokens=requested_tokens or DEFAULT_MAX_TOKENS,
        part_tokens=int(exchange.header(extension.PART_TOKENS_HEADER) or "0"),
    )
