"""Server of the operators' RPC.

pycapnp supports only asyncio, so this module uses asyncio's primitives. It
needs a running `capnp.kj_loop()`, which the daemon opens once for all its RPC.
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
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.links.operators import message_codec
from cardamomfork._internal.links.operators import schema
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import instances

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import settings

MAX_CONNECTIONS = 16
MAX_MESSAGE_WORDS = 1 << 20
"""Maximum size of an operator's message, in words of 8 bytes."""
MAX_LOGIN_ATTEMPTS = 5
LOGIN_TIMEOUT_S = 10.0
MAX_SESSION_S = 3600.0
MAX_STATUS_WAIT_S = 60.0
STATUS_POLL_INTERVAL_S = 0.25
MAX_CHANGES = 10_000

Handler = Callable[[Any, Any], Awaitable[None]]


def _hide_internal_errors(handler: Handler) -> Handler:
    """Wraps an RPC handler so that internal errors aren't sent to the client.

    Errors of this project are sent with their text. All others are logged and
    replaced by a generic text.
    """

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
    """RPC session of an operator who has logged in."""

    def __init__(
        self,
        dependencies: interfaces.ServerDependencies,
        clock: clock_contract.Clock,
        key: str,
    ) -> None:
        """Initializes the session.

        Args:
            dependencies: Objects that the calls work on.
            clock: Its wall time is used to verify keys.
            key: The operator's key, verified again at each call.
        """
        self._dependencies = dependencies
        self._clock = clock
        self._key = key

    @_hide_internal_errors
    async def apply_context(self, context: Any) -> None:
        """Checks and writes a change set."""
        operator = self._verify_key()
        params = context.params
        if len(params.changes) > MAX_CHANGES:
            raise exceptions.CardamomforkError(
                f"{len(params.changes)} changes are too many.",
                f"Send at most {MAX_CHANGES} at once.",
            )
        changes = [message_codec.read_change(each) for each in params.changes]
        apply_result = await self._dependencies.editor.apply(
            changes, check_only=params.checkOnly
        )
        logger.bind(name=operator, count=len(apply_result.accepted)).info(
            "operator's changes accepted"
            if apply_result.all_accepted
            else "operator's changes refused"
        )
        message_codec.write_apply_result(
            context.results.init("answer"), apply_result
        )

    @_hide_internal_errors
    async def get_context(self, context: Any) -> None:
        """Returns one object or its tombstone, if there is one."""
        self._verify_key()
        kind = configuration.ObjectKind(str(context.params.kind))
        current = self._dependencies.replica.get(kind, context.params.name)
        found = [current] if current is not None else []
        builders = context.results.init("found", len(found))
        message_codec.write_objects(builders, found)

    @_hide_internal_errors
    async def list_context(self, context: Any) -> None:
        """Returns the objects of the given kinds; of all kinds by default."""
        self._verify_key()
        kinds = {
            configuration.ObjectKind(str(kind)) for kind in context.params.kinds
        }
        replica = self._dependencies.replica
        objects = [
            each
            for each in replica.objects()
            if not kinds or each.kind in kinds
        ]
        context.results.version = replica.revision
        builders = context.results.init("objects", len(objects))
        message_codec.write_objects(builders, objects)

    @_hide_internal_errors
    async def status_context(self, context: Any) -> None:
        """Returns the status of all instances, optionally after a wait.

        Waits until all instances that are not dead have the requested version,
        for at most the requested time.
        """
        self._verify_key()
        version = context.params.waitVersion
        wait_s = min(max(context.params.timeoutS, 0.0), MAX_STATUS_WAIT_S)
        await self._dependencies.status.refresh(version)
        with anyio.move_on_after(wait_s):
            while not self._make_report(version).reached:
                await anyio.sleep(STATUS_POLL_INTERVAL_S)
                await self._dependencies.status.refresh(version)
        report = self._make_report(version)
        message_codec.write_status_report(
            context.results.init("report"), report
        )

    @_hide_internal_errors
    async def dump_context(self, context: Any) -> None:
        """Returns the state dump."""
        self._verify_key()
        state_dump = self._dependencies.dump.take(
            self._clock.wall(),
            tuple(context.params.tables),
            context.params.maxRows,
        )
        context.results.json = state_dump.to_json()

    def _verify_key(self) -> str:
        """Returns the operator's name if the key is still valid.

        Raises:
            CardamomforkError: The key has expired or was revoked since the
                login.
        """
        verified = self._dependencies.verifier.verify(
            self._key, self._clock.wall()
        )
        if isinstance(verified, result.Err):
            raise exceptions.CardamomforkError(
                "the operator's key is no longer valid.",
                "Log in with another.",
            )
        return verified.ok_value

    def _make_report(self, version: int) -> interfaces.StatusReport:
        """Returns the status of all instances.

        Args:
            version: Version that the operator waits for.
        """
        statuses = tuple(self._dependencies.status.statuses())
        reached = all(
            status.version >= version
            for status in statuses
            if status.state is not instances.InstanceState.DEAD
        )
        revision = self._dependencies.replica.revision
        return interfaces.StatusReport(revision, reached, statuses)


class _LoginService(schema.SCHEMA.Entrance.Server):
    """Bootstrap service of a connection: exchanges a key for a session."""

    def __init__(
        self,
        dependencies: interfaces.ServerDependencies,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes the service, with no login yet."""
        self._dependencies = dependencies
        self._clock = clock
        self._login_attempts = 0
        self.logged_in = asyncio.Event()

    @_hide_internal_errors
    async def login_context(self, context: Any) -> None:
        """Returns a session if the key is valid, or a refusal."""
        self._login_attempts += 1
        answer = context.results.init("answer")
        if self._login_attempts > MAX_LOGIN_ATTEMPTS:
            answer.refused = "Too many logins on this connection."
            return
        key = context.params.key
        verified = self._dependencies.verifier.verify(key, self._clock.wall())
        if isinstance(verified, result.Err):
            refusal = verified.err_value
            logger.bind(reason=refusal.reason.value).warning(
                "operator's key refused"
            )
            answer.refused = refusal.detail
            return
        self.logged_in.set()
        answer.session = _Session(self._dependencies, self._clock, key)


class OperatorServer:
    """Listens for connections of operators."""

    def __init__(
        self,
        operators: settings.OperatorSettings,
        dependencies: interfaces.ServerDependencies,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes the server; `run` starts listening."""
        self._operator_settings = operators
        self._dependencies = dependencies
        self._clock = clock
        self._open_streams: set[Any] = set()
        self._port = 0
        self._tls = tls_link.make_server_tls(operators.tls)

    @property
    def tls(self) -> tls_link.ServerTls | None:
        """TLS of incoming connections; None for plain TCP."""
        return self._tls

    @property
    def port(self) -> int:
        """The TCP port that the server listens on; 0 before it starts."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open_streams)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the port once it is listening.

        Raises:
            exceptions.CardamomforkError: The address can't be bound.
        """
        host = self._operator_settings.host
        port = self._port or self._operator_settings.port
        try:
            listener = await capnp.AsyncIoStream.create_server(
                self._accept,
                host,
                port,
                ssl=self._tls.context if self._tls else None,
            )
        except OSError as error:
            raise exceptions.CardamomforkError(
                f"cannot listen for operators on {host}:{port}.",
                "Set a free port or another address in the settings.",
            ) from error
        self._port = listener.sockets[0].getsockname()[1]
        logger.info(f"serving operators on port {self._port}")
        task_status.started(self._port)
        try:
            if self._tls:
                await self._tls.watch()
            await anyio.sleep_forever()
        finally:
            listener.close()
            for stream in tuple(self._open_streams):
                stream.close()

    async def _accept(self, stream: Any) -> None:
        """Serves one connection, or closes it if there are too many."""
        if len(self._open_streams) >= MAX_CONNECTIONS:
            stream.close()
            return
        self._open_streams.add(stream)
        try:
            # pycapnp would log the cancellation of this task as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await self._serve_connection(stream)
        finally:
            self._open_streams.discard(stream)
            stream.close()

    async def _serve_connection(self, stream: Any) -> None:
        """Serves a connection until it is closed or its time limit is reached.

        The limit is short until the client logs in.
        """
        login_service = _LoginService(self._dependencies, self._clock)
        server = capnp.TwoPartyServer(
            stream,
            bootstrap=login_service,
            traversal_limit_in_words=MAX_MESSAGE_WORDS,
        )
        disconnected = asyncio.ensure_future(server.on_disconnect())
        logged_in = asyncio.ensure_future(login_service.logged_in.wait())
        try:
            await asyncio.wait(
                (disconnected, logged_in),
                timeout=LOGIN_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if login_service.logged_in.is_set():
                await asyncio.wait((disconnected,), timeout=MAX_SESSION_S)
        finally:
            logged_in.cancel()
            disconnected.cancel()
