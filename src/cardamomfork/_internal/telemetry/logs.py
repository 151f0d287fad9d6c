"""JSON-line logs to stderr; secrets and prompts never reach them.

A line holds only the fields named here. Values of other fields that a caller
binds are dropped, texts of foreign exceptions are left out, and anything that
looks like a key is replaced, so a careless log call leaks nothing.
"""

from __future__ import annotations

import datetime
import logging
import re
import sys
import traceback
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from loguru import logger
import msgspec

from cardamomfork._internal import exceptions

if TYPE_CHECKING:
    import types

    import loguru

FIELDS = (
    "instance_id",
    "data_centre",
    "request_id",
    "attempt_id",
    "reason",
    "outcome",
    "account",
    "service",
    "target_id",
    "peer",
    "kind",
    "name",
    "version",
    "count",
    "seconds",
    "bytes",
    "status",
    "signal",
    "callers_host",
    "callers_port",
    "peers_host",
    "peers_port",
    "operators_host",
    "operators_port",
    "route",
    "revision",
    "dependency",
    "first_s",
    "predicted_s",
    "tokens",
    "reserved",
    "left_s",
    "retry_after_s",
    "helpers",
    "cost",
    "detail",
)
"""Fields that a line may carry beside time, level, message and place."""

MAX_TEXT_CHARACTERS = 1000
MAX_SCANNED_CHARACTERS = 8000
TRUNCATION_MARGIN_CHARACTERS = 100
REDACTED = "[redacted]"

_SECRET_PATTERN = re.compile(
    r"(?i:(?<=bearer )\S+)"
    r"|\b[0-9a-z]{8,}\.[A-Za-z0-9_-]{40,}"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----[\s\S]*"
)


class LineSink(Protocol):
    """Where lines go, such as a text stream."""

    def write(self, text: str, /) -> object:
        """Takes a line."""
        ...

    def flush(self) -> object:
        """Passes on what has been taken."""
        ...


def configure(
    level: str = "INFO",
    sink: LineSink | None = None,
    *,
    instance_id: str = "",
    data_centre: str = "",
) -> None:
    """Sends all logs, also the libraries', to one sink as JSON lines.

    Args:
        level: Least severe level that is logged.
        sink: Where the lines go; stderr if absent.
        instance_id: Named on every line.
        data_centre: Named on every line.
    """
    stream: LineSink = sink or sys.stderr

    def write(message: loguru.Message) -> None:
        stream.write(format_line(message.record))
        stream.flush()

    logger.remove()
    logger.add(
        write, level=level, format="{message}", backtrace=False, diagnose=False
    )
    logger.configure(
        extra={"instance_id": instance_id, "data_centre": data_centre}
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


def format_line(record: loguru.Record) -> str:
    """Returns one record as a line of JSON."""
    time = record["time"].astimezone(datetime.UTC)
    line: dict[str, Any] = {
        "time": time.isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": redact(record["message"]),
        "place": f"{record['name']}:{record['line']}",
    }
    extra = record["extra"]
    for field in FIELDS:
        if extra.get(field) not in (None, ""):
            line[field] = _to_json_value(extra[field])
    if record["exception"] is not None:
        line["exception"] = _describe_exception(record["exception"])
    return msgspec.json.encode(line).decode() + "\n"


def redact(text: str) -> str:
    """Replaces what looks like a key and cuts overlong text."""
    if len(text) > MAX_SCANNED_CHARACTERS:
        # The first part of a key at the cut would not look like a key.
        text = text[: MAX_SCANNED_CHARACTERS - TRUNCATION_MARGIN_CHARACTERS]
    return _SECRET_PATTERN.sub(REDACTED, text)[:MAX_TEXT_CHARACTERS]


def _to_json_value(value: Any) -> str | int | float | bool:
    """Returns a field's value in a form that JSON holds."""
    if isinstance(value, bool | int | float):
        return value
    return redact(str(value))


def _describe_exception(exception: loguru.RecordException) -> dict[str, Any]:
    """Describes an exception without values that others put into its text."""
    description: dict[str, Any] = {
        "type": exception.type.__name__ if exception.type else "",
        "frames": _list_frames(exception.traceback),
    }
    if isinstance(exception.value, exceptions.CardamomforkError):
        description["text"] = redact(str(exception.value))
    return description


def _list_frames(start: types.TracebackType | None) -> list[str]:
    """Returns the innermost frames as `file:line function`."""
    frames = traceback.extract_tb(start, limit=-8)
    return [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]


class _LibraryHandler(logging.Handler):
    """Passes on what libraries log through the standard module."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the library's name and text, without its arguments.

        Arguments may hold bodies or headers; the template does not.
        """
        logger.bind(name=record.name).log(
            record.levelname, "{}", str(record.msg)
        )
