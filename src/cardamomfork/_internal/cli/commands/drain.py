"""`cardamomfork drain`: stops new work for a target or instance."""

from __future__ import annotations

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import object_edits
from cardamomfork._internal.models import configuration

DEFAULT_CONNECTION = connection_module.Connection()


def run(
    name: str,
    /,
    *,
    reason: str = "",
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Stop sending new work to a target or instance; running work finishes.

    Parameters
    ----------
    name
        Target id or instance id.
    reason
        Reason, shown to other operators.
    connection
        How to reach an instance.
    """
    drain = configuration.Drain(name, reason)
    return object_edits.write_object(connection, drain)
