"""Client of the operators' RPC, used by the command-line tool."""

from __future__ import annotations

import contextlib
import ssl
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import capnp

from cardamomfork._internal import exceptions
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.links.operators import message_codec
from cardamomfork._internal.links.operators import schema
from cardamomfork._internal.telemetry import dump

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Sequence

    from cardamomfork._internal.models import configuration

CONNECT_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 30.0
APPLY_TIMEOUT_S = 120.0


class UnreachableError(exceptions.CardamomforkError):
    """The instance did not answer."""


class KeyRefusedError(exceptions.CardamomforkError):
    """The instance rejected the operator's key."""


@attrs.frozen
class Listing:
    """Objects in force on an instance.

    Attributes:
        objects: The objects.
        version: Store revision up to which the objects include all changes.
    """

    objects: tuple[configuration.Versioned, ...]
    version: int


class OperatorClient:
    """An authenticated session with one instance; `connect` opens it."""

    def __init__(self, session: Any) -> None:
        """Initializes the client.

        Args:
            session: Capability of the RPC `Session`.
        """
        self._session = session

    async def apply(
        self,
        changes: Sequence[interfaces.Change],
        *,
        check_only: bool = False,
    ) -> interfaces.ApplyResult:
        """Sends a change set, to be checked and then written.

        Args:
            changes: The change set.
            check_only: Whether to check the changes without writing them.

        Raises:
            UnreachableError: No answer arrived; the changes may have been
                written.
        """
        request = self._session.apply_request()
        builders = request.init("changes", len(changes))
        for builder, change in zip(builders, changes, strict=True):
            message_codec.write_change(builder, change)
        request.checkOnly = check_only
        answer = await _call(
            request.send(),
            APPLY_TIMEOUT_S,
            "The changes may have been written; compare with `cardamomfork"
            " diff`.",
        )
        return message_codec.read_apply_result(answer.answer)

    async def get(
        self, kind: configuration.ObjectKind, name: str
    ) -> configuration.Versioned | None:
        """Returns an object or its tombstone; None if there is neither."""
        request = self._session.get_request()
        request.kind = kind.value
        request.name = name
        answer = await _call(request.send())
        found = [message_codec.read_object(each) for each in answer.found]
        return found[0] if found else None

    async def list_objects(
        self, kinds: Sequence[configuration.ObjectKind] = ()
    ) -> Listing:
        """Returns the objects of the given kinds; of all kinds by default."""
        names = [kind.value for kind in kinds]
        answer = await _call(self._session.list(kinds=names))
        objects = tuple(
            message_codec.read_object(each) for each in answer.objects
        )
        return Listing(objects, answer.version)

    async def status(
        self, wait_version: int = 0, timeout_s: float = 0.0
    ) -> interfaces.StatusReport:
        """Returns the configuration version of each instance.

        Args:
            wait_version: Version to wait for on all instances; 0 for none.
            timeout_s: Longest time to wait for the version.
        """
        answer = await _call(
            self._session.status(waitVersion=wait_version, timeoutS=timeout_s),
            CALL_TIMEOUT_S + timeout_s,
        )
        return message_codec.read_status_report(answer.report)

    async def dump(
        self, tables: Sequence[str] = (), max_rows: int = dump.DEFAULT_ROWS
    ) -> dump.Dump:
        """Returns the state dump of the instance."""
        answer = await _call(
            self._session.dump(tables=list(tables), maxRows=max_rows)
        )
        return dump.from_json(bytes(answer.json))


@contextlib.asynccontextmanager
async def connect(
    host: str, port: int, key: str, tls: ssl.SSLContext | None = None
) -> AsyncIterator[OperatorClient]:
    """Opens a session; needs a running `capnp.kj_loop()`.

    Args:
        host: IP address of the instance.
        port: The instance's port for operators.
        key: The operator's key.
        tls: TLS context, or None for plain TCP.

    Raises:
        UnreachableError: The connection could not be opened, or it broke.
        KeyRefusedError: The instance rejected the key.
    """
    stream = await _open_stream(host, port, tls)
    try:
        rpc_client = capnp.TwoPartyClient(stream)
        login_service = rpc_client.bootstrap().cast_as(schema.SCHEMA.Entrance)
        answer = (await _call(login_service.login(key=key))).answer
        if answer.which() == "refused":
            raise KeyRefusedError(
                f"{host}:{port} refused the operator's key: {answer.refused}"
            )
        yield OperatorClient(answer.session)
    finally:
        stream.close()


async def _open_stream(host: str, port: int, tls: ssl.SSLContext | None) -> Any:
    """Opens the connection.

    Raises:
        UnreachableError: The connection could not be opened in time.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await capnp.AsyncIoStream.create_connection(
                host, port, ssl=tls
            )
    except (OSError, TimeoutError) as error:
        detail = (
            "certificate refused" if _is_tls_failure(error) else "no connection"
        )
        raise UnreachableError(
            f"{host}:{port} can't be reached ({detail}).",
            "Check the address, TLS files, and that the daemon runs.",
        ) from error


def _is_tls_failure(error: Exception) -> bool:
    """Returns whether a connection failed in its TLS handshake."""
    return isinstance(error, ssl.SSLError)


async def _call(
    pending: Awaitable[Any], timeout_s: float = CALL_TIMEOUT_S, advice: str = ""
) -> Any:
    """Waits for an RPC answer with a time limit.

    Args:
        pending: The call that was sent.
        timeout_s: Time limit.
        advice: Advice to the operator if no answer arrives.

    Raises:
        UnreachableError: No answer arrived in time, or the call failed.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await pending
    except TimeoutError as error:
        raise UnreachableError("the instance did not answer.", advice) from (
            error
        )
    except capnp.KjException as error:
        raise UnreachableError(
            f"the instance's answer was lost: {error.description}.", advice
        ) from error
