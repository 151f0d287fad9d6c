"""`cardamomfork dump`: shows the state tables of an instance."""

from __future__ import annotations

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.telemetry import dump

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    *tables: str,
    rows: int = dump.DEFAULT_ROWS,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Show the state tables of an instance with their sizes and bounds.

    Parameters
    ----------
    tables
        Names of tables; all tables by default.
    rows
        Maximum number of rows per table.
    connection
        How to reach an instance.
    """

    async def work(session: client.OperatorClient) -> dump.Dump:
        return await session.dump(tables, rows)

    state_dump = connection_module.run_session(connection, work)
    if connection.output is output_module.OutputFormat.JSON:
        print(state_dump.to_json().decode())
    else:
        print(state_dump.to_text(), end="")
    unknown = sorted(set(tables) - {table.name for table in state_dump.tables})
    if unknown:
        output_module.print_error(f"no table {', '.join(unknown)}")
        return exit_codes.ExitCode.NOT_FOUND
    return exit_codes.ExitCode.OK
