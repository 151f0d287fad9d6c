"""`cardamomfork apply`: checks and writes a change set."""

from __future__ import annotations

import pathlib

from cardamomfork._internal.cli import apply_results
from cardamomfork._internal.cli import change_sets
from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.links.operators import client
from cardamomfork._internal.links.operators import interfaces

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    file: pathlib.Path,
    /,
    *,
    check: bool = False,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Check a change set as a whole and, if there are no findings, write it.

    Parameters
    ----------
    file
        JSON: a list of changes with kind, name, based_on and value.
    check
        Only check the change set; write nothing.
    connection
        How to reach an instance.
    """
    contents = read_file(file)
    parsed = change_sets.parse(contents, str(file))
    if parsed.is_err():
        output_module.print_findings(parsed.unwrap_err(), connection.output)
        return exit_codes.ExitCode.FINDINGS

    async def work(session: client.OperatorClient) -> interfaces.ApplyResult:
        return await session.apply(parsed.unwrap(), check_only=check)

    apply_result = connection_module.run_session(connection, work)
    return apply_results.print_apply_result(
        apply_result, connection.output, checked_only=check
    )


def read_file(file: pathlib.Path) -> bytes:
    """Reads the file of a change set.

    Raises:
        UsageError: The file can't be read.
    """
    try:
        return file.read_bytes()
    except OSError as error:
        raise connection_module.UsageError(
            f"file {str(file)!r} can't be read ({error.strerror})."
        ) from error
