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
    "measure": "Run a measurement, or list them all.",
    "check-config": "Check a daemon's settings file.",
    "completion": "Print a script that completes commands in a shell.",
}
"""Commands and what they do; each is a module of `commands`."""

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
    return app


def run(arguments: list[str]) -> int:
    """Runs one command and returns its exit code."""
    try:
        code = make_app()(arguments, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return exit_codes.ExitCode.USAGE
    except exceptions.CardamomforkError as error:
        output.print_error(str(error))
        return exit_codes.ExitCode.INTERNAL
    return int(code or 0)


def main() -> None:
    """Runs the command that the process was started with."""
    sys.exit(run(sys.argv[1:]))
