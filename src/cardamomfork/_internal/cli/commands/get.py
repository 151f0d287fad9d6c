"""`cardamomfork get`: shows one object."""

from __future__ import annotations

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    kind: configuration.ObjectKind,
    name: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Show one object; its JSON output is in the format of `apply`.

    Parameters
    ----------
    kind
        Kind of the object.
    name
        Name of the object.
    connection
        How to reach an instance.
    """

    async def work(
        session: client.OperatorClient,
    ) -> configuration.Versioned | None:
        return await session.get(kind, name)

    current = connection_module.run_session(connection, work)
    if current is None or current.value is None:
        output_module.print_error(f"there is no {kind.value} {name!r}")
        return exit_codes.ExitCode.NOT_FOUND
    (change,) = change_sets.to_changes([current])
    if connection.output is output_module.OutputFormat.JSON:
        output_module.print_json(change)
        return exit_codes.ExitCode.OK
    rows = (
        ("version", current.version),
        *((key, value) for key, value in change["value"].items()),
    )
    table = output_module.Table(("field", "value"), tuple(rows))
    output_module.print_table(table, connection.output)
    return exit_codes.ExitCode.OK
