"""`cardamomfork order`: says what an engine should run."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from cardamomfork._internal.cli import connection as connection_module
from cardamomfork._internal.cli import edits
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

NO_CONNECTION = connection_module.Connection()

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
    connection: connection_module.Connection = NO_CONNECTION,
) -> exit_codes.ExitCode:
    """Order an engine to run a model.

    Parameters
    ----------
    target
        Target id of the engine.
    model
        Model, or MODEL:ADAPTER.
    model_version
        Version of the weights; any if absent.
    connection
        How to reach an instance.
    """
    return _write(
        connection,
        configuration.Order(
            identifiers.TargetId(target),
            configuration.OrderAction.LOAD,
            model,
            model_version,
        ),
    )


@app.command
def unload(
    target: str,
    model: str,
    /,
    *,
    connection: connection_module.Connection = NO_CONNECTION,
) -> exit_codes.ExitCode:
    """Order an engine to drop a model.

    Parameters
    ----------
    target
        Target id of the engine.
    model
        Model, or MODEL:ADAPTER.
    connection
        How to reach an instance.
    """
    action = configuration.OrderAction.UNLOAD
    name = identifiers.TargetId(target)
    return _write(connection, configuration.Order(name, action, model))


@app.command
def role(
    target: str,
    role: str,
    /,
    *,
    connection: connection_module.Connection = NO_CONNECTION,
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
    action = configuration.OrderAction.ROLE
    name = identifiers.TargetId(target)
    return _write(connection, configuration.Order(name, action, role=role))


@app.command
def withdraw(
    target: str,
    /,
    *,
    connection: connection_module.Connection = NO_CONNECTION,
) -> exit_codes.ExitCode:
    """Withdraw an engine's order; it keeps what it runs.

    Parameters
    ----------
    target
        Target id of the engine.
    connection
        How to reach an instance.
    """
    return edits.delete(connection, configuration.ObjectKind.ORDER, target)


def _write(
    connection: connection_module.Connection, order: configuration.Order
) -> exit_codes.ExitCode:
    """Writes an order over the one in force."""
    return edits.write(connection, order)
