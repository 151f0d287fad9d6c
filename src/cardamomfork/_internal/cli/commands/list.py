"""`cardamomfork list`: lists objects in force."""

from __future__ import annotations

from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    *kinds: configuration.ObjectKind,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """List objects in force; the JSON output is in the format of `apply`.

    Parameters
    ----------
    kinds
        Kinds to list; all kinds by default.
    connection
        How to reach an instance.
    """

    async def work(session: client.OperatorClient) -> client.Listing:
        return await session.list_objects(kinds)

    listing = connection_module.run_session(connection, work)
    if connection.output is output_module.OutputFormat.JSON:
        changes = change_sets.to_changes(listing.objects)
        output_module.print_json(
            {"version": listing.version, "changes": changes}
        )
        return exit_codes.ExitCode.OK
    rows = tuple(
        (each.kind.value, each.name, each.version) for each in listing.objects
    )
    table = output_module.Table(("kind", "name", "version"), rows)
    output_module.print_table(table, connection.output)
    return exit_codes.ExitCode.OK
