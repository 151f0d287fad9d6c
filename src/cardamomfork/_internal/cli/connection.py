"""Connection options of commands, and sessions with an instance."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import attrs
import cyclopts

from cardamomfork._internal import exceptions
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links import tls
from cardamomfork._internal.settings import fields

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import ssl

    from cardamomfork._internal.links.operators import client

Result = TypeVar("Result")

KEY_VARIABLE = "CARDAMOMFORK_KEY"
DEFAULT_ADDRESS = "127.0.0.1:8482"


class UsageError(exceptions.CardamomforkError):
    """The command line or its environment is incomplete or invalid."""


@cyclopts.Parameter(name="*")
@attrs.frozen
class Connection:
    """Options of all commands that connect to an instance."""

    address: Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMFORK_ADDRESS",
            help="IP address and operators' port of any instance.",
        ),
    ] = DEFAULT_ADDRESS
    key_file: Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMFORK_KEY_FILE",
            help="File with the operator's key; by default, the key is read"
            f" from ${KEY_VARIABLE}. It can't be passed as an option, where"
            " other users could see it.",
        ),
    ] = ""
    authority: Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMFORK_AUTHORITY",
            help="PEM file of the instance's certificate authority; without"
            " it, plain TCP is used.",
        ),
    ] = ""
    certificate: Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMFORK_CERTIFICATE",
            help="PEM file with the client certificate and its key.",
        ),
    ] = ""
    output: Annotated[
        output_module.OutputFormat,
        cyclopts.Parameter(help="Output format: a text table or JSON."),
    ] = output_module.OutputFormat.TABLE

    def read_key(self) -> str:
        """Returns the operator's key.

        Raises:
            UsageError: The key is missing or its file can't be read.
        """
        try:
            if self.key_file:
                text = pathlib.Path(self.key_file).read_text(encoding="ascii")
                return text.strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(
                f"key file {self.key_file!r} can't be read.",
                "Check its path and permissions.",
            ) from error
        key = os.environ.get(KEY_VARIABLE, "").strip()
        if not key:
            raise UsageError(
                "no operator's key was given.",
                f"Pass --key-file, or set {KEY_VARIABLE}.",
            )
        return key

    def read_address(self) -> tuple[str, int]:
        """Returns the host and port of the address.

        Raises:
            UsageError: The address is not an IP address and port.
        """
        parsed = fields.parse_endpoint(self.address)
        if parsed.is_err():
            raise UsageError(f"--address: {parsed.unwrap_err()}")
        host, _, port = self.address.rpartition(":")
        return host.removeprefix("[").removesuffix("]"), int(port)

    def make_tls_context(self) -> ssl.SSLContext | None:
        """Returns the TLS context, or None for plain TCP.

        Raises:
            UsageError: A TLS file can't be loaded.
        """
        if not self.authority:
            return None
        try:
            return tls.make_client_context(self.authority, self.certificate)
        except OSError as error:
            raise UsageError(
                "the TLS files can't be used.",
                "Check --authority and --certificate.",
            ) from error


def run_session(
    connection: Connection,
    work: Callable[[client.OperatorClient], Awaitable[Result]],
) -> Result:
    """Opens a session, runs a function with it and returns its result."""
    host, port = connection.read_address()
    key = connection.read_key()
    tls_context = connection.make_tls_context()

    async def run() -> Result:
        import capnp

        from cardamomfork._internal.links.operators import client

        async with (
            capnp.kj_loop(),
            client.connect(host, port, key, tls_context) as session,
        ):
            return await work(session)

    return anyio.run(run)
