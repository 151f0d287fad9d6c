"""`cardamomfork completion`: prints a shell completion script."""

from __future__ import annotations

from typing import Literal

from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import main


def run(shell: Literal["bash", "fish", "zsh"], /) -> exit_codes.ExitCode:
    """Print a shell completion script.

    Parameters
    ----------
    shell
        Name of the shell. Install the script in its completion directory.
    """
    print(main.make_app().generate_completion(shell=shell))
    return exit_codes.ExitCode.OK
