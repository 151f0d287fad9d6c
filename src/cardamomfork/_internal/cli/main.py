"""Entry point of the command-line tool.

The module of a command is imported when the command runs, so that each command
loads only its own dependencies.
"""

from __future__ import annotations

import sys

import cyclopts

from cardamomfork._internal import exceptions
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output

COMMANDS = {
    "apply": "Check a change set and write it.",
    "get": "Show one object.",
    "list": "List objects in force.",
    "diff": "Show what a change set would change.",
    "drain": "Stop sending new work to a target or instance.",
    "undrain": "Resume sending new work to a target or instance.",
    "status": "Show each instance's configuration version, or wait for one.",
    "accounts": "List client accounts and their limits.",
    "dump": "Show the state tables of an instance.",
    "check-config": "Check a daemon's settings file.",
    "explain": "Show the log lines of one request.",
    "measure": "Run a measurement, or list all of them.",
    "completion": "Print a shell completion script.",
}
"""Commands and their summaries; each is a module with a `run` function."""

GROUPS = {
    "order": "Order an engine to load or unload a model or change its role.",
    "keys": "Create, rotate, revoke and list keys.",
}
"""Command groups and their summaries; each is a module with an `app`."""

_COMMANDS_PACKAGE = "cardamomfork._internal.cli.commands"


def make_app() -> cyclopts.App:
    """Returns the application with all its commands."""
    app = cyclopts.App(
        name="cardamomfork",
        help="Operates a fleet of cardamomfork daemons.",
        help_epilogue=f"Exit codes: {exit_codes.describe()}.",
        version_flags=["--version"],
        result_action="return_value",
    )
    for name, summary in COMMANDS.items():
        module = name.replace("-", "_")
        path = f"{_COMMANDS_PACKAGE}.{module}:run"
        app.command(path, name=name, help=summary)
    for name, summary in GROUPS.items():
        path = f"{_COMMANDS_PACKAGE}.{name}:app"
        app.command(path, name=name, help=summary)
    return app


def run(arguments: list[str]) -> int:
    """Runs one command and returns its exit code."""
    try:
        code = make_app()(arguments, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return exit_codes.ExitCode.USAGE
    except exceptions.CardamomforkError as error:
        output.print_error(str(error))
        return _exit_code_for(error)
    return int(code or 0)


def _exit_code_for(error: exceptions.CardamomforkError) -> exit_codes.ExitCode:
    """Returns the exit code for an error raised by a command."""
    # Looked up by name, so that offline commands don't import the RPC modules.
    codes = {
        "UsageError": exit_codes.ExitCode.USAGE,
        "UnreachableError": exit_codes.ExitCode.UNAVAILABLE,
        "KeyRefusedError": exit_codes.ExitCode.UNAUTHENTICATED,
    }
    return codes.get(type(error).__name__, exit_codes.ExitCode.INTERNAL)


def main() -> None:
    """Runs the command given by the process arguments and exits."""
    sys.exit(run(sys.argv[1:]))
