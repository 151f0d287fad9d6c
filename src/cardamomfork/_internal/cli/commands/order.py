"""`cardamomfork order`: orders an engine to change its models or role."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import object_edits
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

DEFAULT_CONNECTION = connection_module.Connection()

Action = configuration.OrderAction

app = cyclopts.App(name="order")


@app.command
def load(
    target: str,
    model: str,
    /,
    *,
    model_version: Annotated[
        str, cyclopts.Parameter(name="--model-version")
    ] = "",
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Order an engine to load a model.

    Parameters
    ----------
    target
        Target id of the engine.
    model
        Model, or MODEL:ADAPTER.
    model_version
        Version of the weights; any version by default.
    connection
        How to reach an instance.
    """
    return _write_order(
        connection,
        target,
        Action.LOAD,
        model=model,
        model_version=model_version,
    )


@app.command
def unload(
    target: str,
    model: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Order an engine to unload a model.

    Parameters
    ----------
    target
        Target id of the engine.
    model
        Model, or MODEL:ADAPTER.
    connection
        How to reach an instance.
    """
    return _write_order(connection, target, Action.UNLOAD, model=model)


@app.command
def role(
    target: str,
    role: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Order an engine to change its role.

    Parameters
    ----------
    target
        Target id of the engine.
    role
        prefill, decode or mixed.
    connection
        How to reach an instance.
    """
    return _write_order(connection, target, Action.ROLE, role=role)


@app.command
def withdraw(
    target: str,
    /,
    *,
    connection: connection_module.Connection = DEFAULT_CONNECTION,
) -> exit_codes.ExitCode:
    """Withdraw the order of an engine; its models and role stay as they are.

    Parameters
    ----------
    target
        Target id of the engine.
    connection
        How to reach an instance.
    """
    return object_edits.delete_object(
        connection, configuration.ObjectKind.ORDER, target
    )


def _write_order(
    connection: connection_module.Connection,
    target: str,
    action: configuration.OrderAction,
    *,
    model: str = "",
    model_version: str = "",
    role: str = "",
) -> exit_codes.ExitCode:
    """Writes the order of a target, replacing the one in force."""
    name = identifiers.TargetId(target)
    return object_edits.write_object(
        connection,
        configuration.Order(name, action, model, model_version, role),
    )
