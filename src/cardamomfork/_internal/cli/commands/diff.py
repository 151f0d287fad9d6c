"""`cardamomfork diff`: compares a change set with the objects in force."""

from __future__ import annotations

import pathlib

import attrs

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.cli.commands import apply
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    file: pathlib.Path,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Show what a change set would change; exit code 8 if there are changes.

    Parameters
    ----------
    file
        JSON file in the format of `apply`.
    connection
        How to reach an instance.
    """
    parsed = change_sets.parse(apply.read_file(file), str(file))
    if parsed.is_err():
        output_module.print_findings(parsed.unwrap_err(), connection.output)
        return exit_codes.ExitCode.FINDINGS
    changes = parsed.unwrap()

    async def work(
        session: client.OperatorClient,
    ) -> list[configuration.Versioned | None]:
        return [await session.get(each.kind, each.name) for each in changes]

    objects = connection_module.run_session(connection, work)
    rows = tuple(
        attrs.astuple(difference)
        for change, current in zip(changes, objects, strict=True)
        for difference in change_sets.compare(change, current)
    )
    columns = ("kind", "name", "path", "now", "then")
    output_module.print_table(
        output_module.Table(columns, rows), connection.output
    )
    if rows:
        return exit_codes.ExitCode.DIFFERENT
    return exit_codes.ExitCode.OK
