"""`cardamomfork completion`: prints a shell's completion script."""

from __future__ import annotations

from typing import Literal

from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main


def run(shell: Literal["bash", "fish", "zsh"], /) -> exit_codes.ExitCode:
    """Print a script that completes commands in a shell.

    Parameters
    ----------
    shell
        The shell; put the script where it looks for completions.
    """
    print(main.make_app().generate_completion(shell=shell))
    return exit_codes.ExitCode.OK
