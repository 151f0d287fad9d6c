"""`cardamomfork status`: shows the configuration version of each instance."""

from __future__ import annotations

import attrs

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.links.operators import interfaces

DEFAULT_CONNECTION = connection_module.Connection()
DEFAULT_TIMEOUT_S = 30.0


def run(
    *,
    wait: int = 0,
    timeout: float = DEFAULT_TIMEOUT_S,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Show all instances and the configuration version in force on each.

    Parameters
    ----------
    wait
        Version to wait for on all instances; exit code 6 if not reached.
    timeout
        Time limit of the wait in seconds; at most 60.
    connection
        How to reach an instance.
    """

    async def work(
        session: client.OperatorClient,
    ) -> interfaces.StatusReport:
        return await session.status(wait, timeout if wait else 0.0)

    report = connection_module.run_session(connection, work)
    if connection.output is output_module.OutputFormat.JSON:
        output_module.print_json(attrs.asdict(report))
    else:
        print(f"version {report.version}")
        output_module.print_table(_make_table(report), connection.output)
    if wait and not report.reached:
        return exit_codes.ExitCode.TIMEOUT
    return exit_codes.ExitCode.OK


def _make_table(report: interfaces.StatusReport) -> output_module.Table:
    """Returns a table with one row per instance."""
    columns = ("instance", "data centre", "state", "version", "age s")
    rows = tuple(
        (
            each.instance_id,
            each.data_centre,
            each.state.value,
            each.version,
            round(each.age_s, 1),
        )
        for each in report.instances
    )
    return output_module.Table(columns, rows)
