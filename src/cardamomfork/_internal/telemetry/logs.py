"""JSON-line logs on stderr without secrets and prompts.

To prevent leaks from careless log calls, a line contains only the fields in
`FIELDS`; other bound values are dropped. The messages of exceptions that this
project does not define are omitted, and anything that looks like a key is
redacted.
"""

from __future__ import annotations

import datetime
import itertools
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
    from collections.abc import Iterator
    import types

    import loguru

FIELDS = (
    "instance_id",
    "data_centre",
    "request_id",
    "fingerprint",
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
"""Optional fields of a line, in addition to time, level, message and place."""

MAX_TEXT_CHARACTERS = 1000
MAX_SCANNED_CHARACTERS = 8000
MAX_CAUSES = 4
"""Exceptions of a group that are described."""
TRUNCATION_MARGIN_CHARACTERS = 100
REDACTED = "[redacted]"

_SECRET_PATTERN = re.compile(
    r"(?i:(?<=bearer )\S+)"
    r"|\b[0-9a-z]{8,}\.[A-Za-z0-9_-]{40,}"
    r"|-----BEGIN [A-Z ]*PRIVATE KEY-----[\s\S]*"
)


class LineSink(Protocol):
    """Destination of log lines, such as a text stream."""

    def write(self, text: str, /) -> object:
        """Writes or buffers a line."""
        ...

    def flush(self) -> object:
        """Flushes the buffered lines."""
        ...


def configure(
    level: str = "INFO",
    sink: LineSink | None = None,
    *,
    instance_id: str = "",
    data_centre: str = "",
) -> None:
    """Configures all logs, including those of libraries, as JSON lines.

    Args:
        level: Minimum level that is logged.
        sink: Destination of the lines; stderr if None.
        instance_id: Instance id to include in every line.
        data_centre: Data centre to include in every line.
    """
    stream: LineSink = sink or sys.stderr

    def write(message: loguru.Message) -> None:
        stream.write(format_line(message.record))
        stream.flush()

    logger.remove()
    logger.add(
        write, level=level, format="{message}", backtrace=False, diagnose=False
    )
    name_instance(instance_id, data_centre)
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


def name_instance(instance_id: str, data_centre: str) -> None:
    """Sets the instance id and data centre that each line includes."""
    logger.configure(
        extra={"instance_id": instance_id, "data_centre": data_centre}
    )


def format_line(record: loguru.Record) -> str:
    """Formats a log record as one line of JSON."""
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
    """Redacts anything that looks like a key and truncates long text."""
    if len(text) > MAX_SCANNED_CHARACTERS:
        # A key that is truncated at the limit would not match the pattern.
        text = text[: MAX_SCANNED_CHARACTERS - TRUNCATION_MARGIN_CHARACTERS]
    return _SECRET_PATTERN.sub(REDACTED, text)[:MAX_TEXT_CHARACTERS]


def _to_json_value(value: Any) -> str | int | float | bool:
    """Converts a field's value to a JSON value."""
    if isinstance(value, bool | int | float):
        return value
    return redact(str(value))


def _describe_exception(exception: loguru.RecordException) -> dict[str, Any]:
    """Describes an exception; omits the message of foreign exceptions.

    The message of a foreign exception may contain a prompt or a key. Of a
    group, the exceptions in it are described as well, since the frames of the
    group only show where its tasks were started.
    """
    description: dict[str, Any] = {
        "type": exception.type.__name__ if exception.type else "",
        "frames": _list_frames(exception.traceback),
    }
    if isinstance(exception.value, exceptions.CardamomforkError):
        description["text"] = redact(str(exception.value))
    if isinstance(exception.value, BaseExceptionGroup):
        description["causes"] = [
            {
                "type": type(cause).__name__,
                "frames": _list_frames(cause.__traceback__),
            }
            for cause in itertools.islice(
                _list_causes(exception.value), MAX_CAUSES
            )
        ]
    return description


def _list_causes(
    group: BaseExceptionGroup[BaseException],
) -> Iterator[BaseException]:
    """Yields the exceptions of a group and of the groups in it."""
    for cause in group.exceptions:
        if isinstance(cause, BaseExceptionGroup):
            yield from _list_causes(cause)
        else:
            yield cause


def _list_frames(start: types.TracebackType | None) -> list[str]:
    """Formats the eight innermost frames as `file:line function`."""
    frames = traceback.extract_tb(start, limit=-8)
    return [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the logger name and the message template without arguments.

        Arguments may contain request bodies or headers.
        """
        logger.bind(name=record.name).log(
            record.levelname, "{}", str(record.msg)
        )
