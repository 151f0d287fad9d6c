"""`cardamomfork explain`: prints the log lines of one request."""

from __future__ import annotations

import contextlib
import sys
from typing import TYPE_CHECKING

import msgspec

from cardamomfork._internal import exceptions
from cardamomfork._internal.cli import exit_codes
from cardamomfork._internal.cli import output as output_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_LEADING_FIELDS = ("time", "instance_id", "message")
_OMITTED_FIELDS = (
    "place",
    "level",
    "request_id",
    "data_centre",
    *_LEADING_FIELDS,
)


def run(
    request_id: str,
    /,
    *files: str,
    output: output_module.OutputFormat = output_module.OutputFormat.TABLE,
) -> exit_codes.ExitCode:
    """Print the log lines of one request, ordered by time.

    Parameters
    ----------
    request_id
        Request id that the caller sent.
    files
        Log files; standard input by default.
    output
        Output format of the lines.
    """
    found = sorted(
        _select_lines(request_id, _read_lines(files)),
        key=lambda line: str(line.get("time")),
    )
    if not found:
        output_module.print_error(f"no log line found for request {request_id}")
        return exit_codes.ExitCode.NOT_FOUND
    if output is output_module.OutputFormat.JSON:
        output_module.print_json(found)
        return exit_codes.ExitCode.OK
    for line in found:
        print(format_line(line))
    return exit_codes.ExitCode.OK


def format_line(line: dict[str, object]) -> str:
    """Formats a line: time, instance and message, then the other fields."""
    leading = "  ".join(str(line.get(name, "-")) for name in _LEADING_FIELDS)
    others = "  ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OMITTED_FIELDS
    )
    return f"{leading}\n    {others}"


def _select_lines(
    request_id: str, lines: Iterable[str]
) -> Iterator[dict[str, object]]:
    """Yields the lines of a request, ignoring text before the JSON."""
    for line in lines:
        if request_id not in line:
            continue
        start = line.find("{")
        with contextlib.suppress(msgspec.DecodeError):
            decoded = msgspec.json.decode(line[start:], type=dict[str, object])
            if decoded.get("request_id") == request_id:
                yield decoded


def _read_lines(files: tuple[str, ...]) -> Iterator[str]:
    """Yields the lines of all files.

    Raises:
        exceptions.CardamomforkError: A file can't be read.
    """
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            with open(name, encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise exceptions.CardamomforkError(
                f"{name} can't be read: {error.strerror}."
            ) from error
