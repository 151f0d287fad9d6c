"""`cardamomfork check-config`: checks a daemon's settings file."""

from __future__ import annotations

from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module
from cardamomfork._internal.settings import loader


def run(
    file: str = "",
    /,
    *,
    embedded: bool = False,
    sample: bool = False,
    output: output_module.OutputFormat = output_module.OutputFormat.TABLE,
) -> exit_codes.ExitCode:
    """Check a daemon's settings file and print all findings.

    Parameters
    ----------
    file
        Path of the INI file.
    embedded
        Check the file for a daemon that is started with --embedded.
    sample
        Print the annotated sample file instead.
    output
        Output format of the findings.
    """
    if sample:
        print(loader.SAMPLE_PATH.read_text(encoding="utf-8"), end="")
        return exit_codes.ExitCode.OK
    if not file:
        output_module.print_error("pass a file or --sample")
        return exit_codes.ExitCode.USAGE
    loaded = loader.load(file, embedded=embedded)
    if loaded.is_err():
        output_module.print_findings(loaded.unwrap_err(), output)
        return exit_codes.ExitCode.FINDINGS
    if output is output_module.OutputFormat.JSON:
        output_module.print_json({"findings": []})
    else:
        print(f"{file}: no findings")
    return exit_codes.ExitCode.OK
