"""Single edits: read the object, change it, write it on that version."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cardamomfork._internal.cli import answers
from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import collaborators
from cardamomfork._internal.models import configuration

if TYPE_CHECKING:
    from cardamomfork._internal.links.operators import client

AccountChange = Callable[
    [configuration.ClientAccount], configuration.ClientAccount | None
]


def write(
    connection: connection_module.Connection,
    value: configuration.ConfigurationObject,
) -> exit_codes.ExitCode:
    """Writes an object over the version in force."""
    kind = codec.kind_of(value)

    async def work(session: client.OperatorClient) -> collaborators.Applied:
        held = await session.get(kind, value.name)
        based_on = held.version if held and held.value is not None else 0
        return await session.apply([change_sets.change_of(value, based_on)])

    applied = connection_module.run_session(connection, work)
    return answers.print_applied(applied, connection.output)


def delete(
    connection: connection_module.Connection,
    kind: configuration.ObjectKind,
    name: str,
) -> exit_codes.ExitCode:
    """Deletes an object at the version in force."""

    async def work(
        session: client.OperatorClient,
    ) -> collaborators.Applied | None:
        held = await session.get(kind, name)
        if held is None or held.value is None:
            return None
        change = collaborators.Change(kind, name, held.version, None)
        return await session.apply([change])

    applied = connection_module.run_session(connection, work)
    if applied is None:
        return missing(kind, name)
    return answers.print_applied(applied, connection.output)


def read(
    connection: connection_module.Connection,
    kind: configuration.ObjectKind,
    name: str,
) -> configuration.Versioned | None:
    """Reads an object in force."""

    async def work(
        session: client.OperatorClient,
    ) -> configuration.Versioned | None:
        return await session.get(kind, name)

    return connection_module.run_session(connection, work)


def change_account(
    connection: connection_module.Connection, name: str, change: AccountChange
) -> collaborators.Applied | None:
    """Changes an account; None if there is none, or nothing to change."""
    kind = configuration.ObjectKind.ACCOUNT

    async def work(
        session: client.OperatorClient,
    ) -> collaborators.Applied | None:
        held = await session.get(kind, name)
        if held is None or not isinstance(
            held.value, configuration.ClientAccount
        ):
            return None
        changed = change(held.value)
        if changed is None:
            return None
        return await session.apply(
            [change_sets.change_of(changed, held.version)]
        )

    return connection_module.run_session(connection, work)


def missing(kind: configuration.ObjectKind, name: str) -> exit_codes.ExitCode:
    """Says that an object does not exist."""
    output_module.print_error(f"there is no {kind.value} {name!r}")
    return exit_codes.ExitCode.NOT_FOUND
