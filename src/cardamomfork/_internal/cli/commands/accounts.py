"""`cardamomfork accounts`: lists client accounts and their limits."""

from __future__ import annotations

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()

COLUMNS = (
    "account",
    "keys",
    "requests/s",
    "prompt tokens/s",
    "concurrent",
    "queued",
    "urgency",
    "worth",
    "services",
)


def run(
    *, connection: connection_module.Connection = DEFAULT_CONNECTION
) -> exit_codes.ExitCode:
    """List client accounts with their limits and number of keys.

    Parameters
    ----------
    connection
        How to reach an instance.
    """

    async def work(session: client.OperatorClient) -> client.Listing:
        return await session.list_objects([configuration.ObjectKind.ACCOUNT])

    listing = connection_module.run_session(connection, work)
    rows = tuple(
        _format_row(each.value)
        for each in listing.objects
        if isinstance(each.value, configuration.ClientAccount)
    )
    output_module.print_table(
        output_module.Table(COLUMNS, rows), connection.output
    )
    return exit_codes.ExitCode.OK


def _format_row(account: configuration.ClientAccount) -> tuple[object, ...]:
    """Returns the table row of an account."""
    return (
        account.name,
        len(account.keys),
        account.requests_per_s,
        account.prompt_tokens_per_s,
        account.max_concurrent,
        account.max_queued,
        account.urgency,
        account.worth,
        " ".join(account.services) or "all",
    )
