"""Entry point of the command-line tool.

Commands are imported when they run, so that each starts with only what it
needs.
"""

from __future__ import annotations

import sys

import cyclopts

from cardamomfork._internal import exceptions
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output

COMMANDS = {
    "apply": "Send a change set; it is checked whole first.",
    "get": "Show one object.",
    "list": "List objects in force.",
    "diff": "Show what a change set would change.",
    "drain": "Let a target or instance take no new work.",
    "undrain": "Let it take new work again.",
    "status": "Show what each instance has applied; can wait for a version.",
    "accounts": "List client accounts and their limits.",
    "dump": "Show an instance's tables.",
    "check-config": "Check a daemon's settings file.",
    "explain": "Show what logs tell about one request.",
    "measure": "Run a measurement, or list them all.",
    "completion": "Print a script that completes commands in a shell.",
}
"""Commands and what they do; each is a module with a `run`."""

GROUPS = {
    "order": "Say what an engine should run.",
    "keys": "Make, rotate and end keys.",
}
"""Groups of commands; each is a module with an `app`."""

_COMMANDS_PACKAGE = "cardamomfork._internal.cli.commands"


def make_app() -> cyclopts.App:
    """Makes the application with all its commands."""
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
    """Returns the exit code of an error that ended a command."""
    # Looked up by name, so that offline commands do not load the RPC.
    codes = {
        "UsageError": exit_codes.ExitCode.USAGE,
        "UnreachableError": exit_codes.ExitCode.UNAVAILABLE,
        "KeyRefusedError": exit_codes.ExitCode.UNAUTHENTICATED,
    }
    return codes.get(type(error).__name__, exit_codes.ExitCode.INTERNAL)


def main() -> None:
    """Runs the command that the process was started with."""
    sys.exit(run(sys.argv[1:]))
