"""Edits of single objects: read, modify, write if the version is unchanged."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cardamomfork._internal.cli import apply_results
from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.configuration import codec
from cardamomfork._internal.links.operators import interfaces
from cardamomfork._internal.models import configuration

if TYPE_CHECKING:
    from cardamomfork._internal.links.operators import client

AccountChange = Callable[
    [configuration.ClientAccount], configuration.ClientAccount | None
]


def write_object(
    connection: connection_module.Connection,
    value: configuration.ConfigurationObject,
) -> exit_codes.ExitCode:
    """Writes an object, replacing the version in force."""
    kind = codec.kind_of(value)

    async def work(session: client.OperatorClient) -> interfaces.ApplyResult:
        current = await session.get(kind, value.name)
        based_on = (
            current.version if current and current.value is not None else 0
        )
        return await session.apply([change_sets.make_change(value, based_on)])

    apply_result = connection_module.run_session(connection, work)
    return apply_results.print_apply_result(apply_result, connection.output)


def delete_object(
    connection: connection_module.Connection,
    kind: configuration.ObjectKind,
    name: str,
) -> exit_codes.ExitCode:
    """Deletes the version of an object that is in force."""

    async def work(
        session: client.OperatorClient,
    ) -> interfaces.ApplyResult | None:
        current = await session.get(kind, name)
        if current is None or current.value is None:
            return None
        change = interfaces.Change(kind, name, current.version, None)
        return await session.apply([change])

    apply_result = connection_module.run_session(connection, work)
    if apply_result is None:
        return report_missing(kind, name)
    return apply_results.print_apply_result(apply_result, connection.output)


def fetch_object(
    connection: connection_module.Connection,
    kind: configuration.ObjectKind,
    name: str,
) -> configuration.Versioned | None:
    """Returns an object or its tombstone; None if there is neither."""

    async def work(
        session: client.OperatorClient,
    ) -> configuration.Versioned | None:
        return await session.get(kind, name)

    return connection_module.run_session(connection, work)


def change_account(
    connection: connection_module.Connection, name: str, change: AccountChange
) -> interfaces.ApplyResult | None:
    """Changes an account with a function.

    Args:
        connection: How to reach an instance.
        name: Name of the account.
        change: Returns the changed account, or None to leave it as it is.

    Returns:
        The result, or None if the account does not exist or is not changed.
    """
    kind = configuration.ObjectKind.ACCOUNT

    async def work(
        session: client.OperatorClient,
    ) -> interfaces.ApplyResult | None:
        current = await session.get(kind, name)
        if current is None or not isinstance(
            current.value, configuration.ClientAccount
        ):
            return None
        changed = change(current.value)
        if changed is None:
            return None
        return await session.apply(
            [change_sets.make_change(changed, current.version)]
        )

    return connection_module.run_session(connection, work)


def report_missing(
    kind: configuration.ObjectKind, name: str
) -> exit_codes.ExitCode:
    """Prints that an object does not exist and returns the exit code."""
    output_module.print_error(f"there is no {kind.value} {name!r}")
    return exit_codes.ExitCode.NOT_FOUND
