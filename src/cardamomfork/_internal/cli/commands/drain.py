"""`cardamomfork drain`: a target or instance takes no new work."""

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
    """Let a target or instance take no new work; what runs there finishes.

    Parameters
    ----------
    name
        Target id or instance id.
    reason
        Why, for the other operators.
    connection
        How to reach an instance.
    """
    drain = configuration.Drain(name, reason)
    return object_edits.write_object(connection, drain)
