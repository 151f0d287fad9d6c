"""The operators' RPC server of one instance.

pycapnp runs on asyncio alone, so this link uses asyncio's streams; it needs a
running `capnp.kj_loop()`, which the daemon opens once for all its RPC.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
from typing import Any
from typing import TYPE_CHECKING

import anyio
import capnp
from loguru import logger
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.links import tls as tls_link
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.links.operators import messages
from cardamomfork._internal.links.operators import schema
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import settings

MAX_CONNECTIONS = 16
MAX_MESSAGE_WORDS = 1 << 20
"""Longest message from an operator, in words of 8 bytes."""
MAX_LOGINS = 5
LOGIN_S = 10.0
CONNECTION_S = 3600.0
MAX_WAIT_S = 60.0
STATUS_POLL_S = 0.25
MAX_CHANGES = 10_000

Handler = Callable[[Any, Any], Awaitable[None]]


def _guarded(handler: Handler) -> Handler:
    """Keeps the text of unforeseen errors from the other side."""

    @functools.wraps(handler)
    async def run(self: Any, context: Any) -> None:
        try:
            await handler(self, context)
        except exceptions.CardamomforkError as error:
            raise RuntimeError(str(error)) from None
        except Exception:  # noqa: BLE001
            logger.exception("operator's call failed")
            raise RuntimeError("internal fault; see the log") from None

    return run


class _Session(schema.SCHEMA.Session.Server):
    """What an operator with a right key can ask."""

    def __init__(
        self,
        parts: collaborators.Collaborators,
        clock: clock_contract.Clock,
        key: str,
    ) -> None:
        """Keeps the key, to check it again at each call."""
        self._parts = parts
        self._clock = clock
        self._key = key

    @_guarded
    async def apply_context(self, context: Any) -> None:
        """Checks and writes a change set."""
        operator = self._check_key()
        params = context.params
        if len(params.changes) > MAX_CHANGES:
            raise exceptions.CardamomforkError(
                f"{len(params.changes)} changes are too many.",
                f"Send at most {MAX_CHANGES} at once.",
            )
        changes = [messages.read_change(each) for each in params.changes]
        applied = await self._parts.editor.apply(
            changes, check_only=params.checkOnly
        )
        logger.bind(name=operator, count=len(applied.accepted)).info(
            "operator's changes accepted"
            if applied.done
            else "operator's changes refused"
        )
        messages.write_applied(context.results.init("answer"), applied)

    @_guarded
    async def get_context(self, context: Any) -> None:
        """Gives one object."""
        self._check_key()
        kind = configuration.ObjectKind(str(context.params.kind))
        held = self._parts.replica.get(kind, context.params.name)
        found = [held] if held is not None else []
        builders = context.results.init("found", len(found))
        messages.write_objects(builders, found)

    @_guarded
    async def list_context(self, context: Any) -> None:
        """Gives all objects of some kinds."""
        self._check_key()
        kinds = {
            configuration.ObjectKind(str(kind)) for kind in context.params.kinds
        }
        replica = self._parts.replica
        objects = [
            each
            for each in replica.objects()
            if not kinds or each.kind in kinds
        ]
        context.results.version = replica.revision
        builders = context.results.init("objects", len(objects))
        messages.write_objects(builders, objects)

    @_guarded
    async def status_context(self, context: Any) -> None:
        """Tells what all instances have applied, perhaps after a wait."""
        self._check_key()
        version = context.params.waitVersion
        patience = min(max(context.params.timeoutS, 0.0), MAX_WAIT_S)
        await self._parts.status.refresh(version)
        with anyio.move_on_after(patience):
            while not self._report(version).reached:
                await anyio.sleep(STATUS_POLL_S)
                await self._parts.status.refresh(version)
        report = self._report(version)
        messages.write_report(context.results.init("report"), report)

    @_guarded
    async def dump_context(self, context: Any) -> None:
        """Gives the state dump."""
        self._check_key()
        taken = self._parts.dump.take(
            self._clock.wall(),
            tuple(context.params.tables),
            context.params.maxRows,
        )
        context.results.json = taken.to_json()

    def _check_key(self) -> str:
        """Returns the operator's name if the key is still valid.

        Raises:
            CardamomforkError: The key has ended since the login.
        """
        checked = self._parts.verifier.verify(self._key, self._clock.wall())
        if isinstance(checked, result.Err):
            raise exceptions.CardamomforkError(
                "the operator's key is no longer valid.",
                "Log in with another.",
            )
        return checked.ok_value

    def _report(self, version: int) -> collaborators.StatusReport:
        """Returns what all instances have applied."""
        statuses = tuple(self._parts.status.statuses())
        reached = all(
            status.version >= version
            for status in statuses
            if status.state is not instances.InstanceState.DEAD
        )
        revision = self._parts.replica.revision
        return collaborators.StatusReport(revision, reached, statuses)


class _Entrance(schema.SCHEMA.Entrance.Server):
    """What anyone who connects can ask."""

    def __init__(
        self, parts: collaborators.Collaborators, clock: clock_contract.Clock
    ) -> None:
        """Starts without a login."""
        self._parts = parts
        self._clock = clock
        self._logins = 0
        self.entered = asyncio.Event()

    @_guarded
    async def login_context(self, context: Any) -> None:
        """Gives a session for a right key."""
        self._logins += 1
        answer = context.results.init("answer")
        if self._logins > MAX_LOGINS:
            answer.refused = "Too many logins on this connection."
            return
        key = context.params.key
        checked = self._parts.verifier.verify(key, self._clock.wall())
        if isinstance(checked, result.Err):
            refusal = checked.err_value
            logger.bind(reason=refusal.reason.value).warning(
                "operator's key refused"
            )
            answer.refused = refusal.detail
            return
        self.entered.set()
        answer.session = _Session(self._parts, self._clock, key)


class OperatorServer:
    """Listens for operators."""

    def __init__(
        self,
        operators: settings.OperatorSettings,
        parts: collaborators.Collaborators,
        clock: clock_contract.Clock,
    ) -> None:
        """Takes the settings and all that it works with; nothing runs yet."""
        self._operators = operators
        self._parts = parts
        self._clock = clock
        self._open: set[Any] = set()
        self._port = 0

    @property
    def port(self) -> int:
        """The TCP port that it listens on; 0 before the start."""
        return self._port

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._open)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the port once it listens."""
        tls = tls_link.make_server_tls(self._operators.tls)
        listener = await capnp.AsyncIoStream.create_server(
            self._serve,
            self._operators.host,
            self._operators.port,
            ssl=tls.context if tls else None,
        )
        self._port = listener.sockets[0].getsockname()[1]
        task_status.started(self._port)
        try:
            if tls:
                await tls.watch()
            await anyio.sleep_forever()
        finally:
            listener.close()
            for stream in tuple(self._open):
                stream.close()

    async def _serve(self, stream: Any) -> None:
        """Serves one connection."""
        if len(self._open) >= MAX_CONNECTIONS:
            stream.close()
            return
        self._open.add(stream)
        try:
            # pycapnp logs the cancellation of this task as a fault.
            with contextlib.suppress(asyncio.CancelledError):
                await self._serve_open(stream)
        finally:
            self._open.discard(stream)
            stream.close()

    async def _serve_open(self, stream: Any) -> None:
        """Serves a connection until it ends, or its time is over."""
        entrance = _Entrance(self._parts, self._clock)
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=entrance,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
        )
        gone = asyncio.ensure_future(server.on_disconnect())
        entered = asyncio.ensure_future(entrance.entered.wait())
        try:
            await asyncio.wait(
                (gone, entered),
                timeout=LOGIN_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if entrance.entered.is_set():
                await asyncio.wait((gone,), timeout=CONNECTION_S)
        finally:
            entered.cancel()
            gone.cancel()
