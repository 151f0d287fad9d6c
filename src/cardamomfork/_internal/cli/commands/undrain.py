"""`cardamomfork undrain`: resumes new work for a target or instance."""

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
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Resume sending new work to a drained target or instance.

    Parameters
    ----------
    name
        Target id or instance id.
    connection
        How to reach an instance.
    """
    return object_edits.delete_object(
        connection, configuration.ObjectKind.DRAIN, name
    )
