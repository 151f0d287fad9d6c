"""Parsers of single settings values.

Each parser takes the text of a value. It returns the parsed value, or an error
message that describes the expected form.
"""

from __future__ import annotations

from collections.abc import Callable
import ipaddress
import math
import os
import pathlib
import re
from typing import Any

import result

MAX_PORT = 65_535
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_KEY_LINE = re.compile(r"[0-9a-z]+:[0-9a-f]+:[0-9a-f]+(:[0-9]+(\.[0-9]+)?)?")
_TRUE_WORDS = ("true", "yes", "on", "1")
_FALSE_WORDS = ("false", "no", "off", "0")

Parser = Callable[[str], result.Result[Any, str]]


def parse_name(text: str) -> result.Result[str, str]:
    """Parses the name of an instance or data centre."""
    if _NAME.fullmatch(text):
        return result.Ok(text)
    return result.Err(
        "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', and"
        " begin with a letter or digit"
    )


def parse_host(text: str) -> result.Result[str, str]:
    """Parses an IP address; host names are rejected."""
    try:
        return result.Ok(str(ipaddress.ip_address(text)))
    except ValueError:
        return result.Err(f"{text!r} is not an IP address; use e.g. 10.0.0.5")


def parse_port(text: str) -> result.Result[int, str]:
    """Parses a TCP port to listen on; 0 selects a free port."""
    return make_integer_parser(0, MAX_PORT)(text)


def parse_endpoint(text: str) -> result.Result[str, str]:
    """Parses `host:port` with an IP address; IPv6 requires brackets."""
    host, separator, port = text.rpartition(":")
    bare_host = host.removeprefix("[").removesuffix("]")
    number = make_integer_parser(1, MAX_PORT)(port)
    if not separator or parse_host(bare_host).is_err() or number.is_err():
        return result.Err(
            f"{text!r} is not an IP address and port; use e.g. 10.0.0.5:2379"
        )
    return result.Ok(text)


def parse_endpoints(text: str) -> result.Result[tuple[str, ...], str]:
    """Parses endpoints separated by commas or whitespace."""
    parsed = [
        parse_endpoint(word) for word in re.split(r"[\s,]+", text) if word
    ]
    errors = [item.err_value for item in parsed if isinstance(item, result.Err)]
    if errors:
        return result.Err("; ".join(errors))
    return result.Ok(
        tuple(item.ok_value for item in parsed if isinstance(item, result.Ok))
    )


def parse_key_lines(text: str) -> result.Result[tuple[str, ...], str]:
    """Parses hashed keys, one per line, as `cardamomfork keys` prints them."""
    lines = tuple(line.strip() for line in text.splitlines() if line.strip())
    bad_lines = [
        str(number)
        for number, line in enumerate(lines, 1)
        if not _KEY_LINE.fullmatch(line)
    ]
    if bad_lines:
        return result.Err(
            f"hashed key {', '.join(bad_lines)} is not KEY_ID:SALT:DIGEST or"
            " KEY_ID:SALT:DIGEST:NOT_AFTER; create one with `cardamomfork keys`"
        )
    return result.Ok(lines)


def parse_file(text: str) -> result.Result[str, str]:
    """Parses the path of a readable file; empty for no file."""
    if not text:
        return result.Ok("")
    if not pathlib.Path(text).is_file():
        return result.Err(f"file {text!r} does not exist")
    if not os.access(text, os.R_OK):
        return result.Err(f"file {text!r} is not readable by this user")
    return result.Ok(text)


def parse_boolean(text: str) -> result.Result[bool, str]:
    """Parses a boolean."""
    if text.lower() in _TRUE_WORDS:
        return result.Ok(True)
    if text.lower() in _FALSE_WORDS:
        return result.Ok(False)
    return result.Err(f"{text!r} is neither true nor false")


def parse_log_level(text: str) -> result.Result[str, str]:
    """Parses the minimum log level."""
    if text.upper() in LOG_LEVELS:
        return result.Ok(text.upper())
    return result.Err(f"{text!r} is not one of {', '.join(LOG_LEVELS)}")


def parse_key_prefix(text: str) -> result.Result[str, str]:
    """Parses the prefix of all keys in the store."""
    if text.startswith("/") and text.endswith("/"):
        return result.Ok(text)
    return result.Err(f"{text!r} must begin and end with '/'")


def parse_url(text: str) -> result.Result[str, str]:
    """Parses an `http` or `https` URL; empty for none."""
    if not text or re.fullmatch(r"https?://[^\s/]+\S*", text):
        return result.Ok(text)
    return result.Err(f"{text!r} is not an http:// or https:// URL")


def make_integer_parser(minimum: int, maximum: int) -> Parser:
    """Creates a parser of integers within inclusive bounds."""

    def parse(text: str) -> result.Result[int, str]:
        try:
            value = int(text)
        except ValueError:
            return result.Err(f"{text!r} is not an integer")
        if not minimum <= value <= maximum:
            return result.Err(f"{value} is not within {minimum} to {maximum}")
        return result.Ok(value)

    return parse


def make_number_parser(minimum: float, maximum: float) -> Parser:
    """Creates a parser of finite numbers within inclusive bounds."""

    def parse(text: str) -> result.Result[float, str]:
        try:
            value = float(text)
        except ValueError:
            return result.Err(f"{text!r} is not a number")
        if not math.isfinite(value) or not minimum <= value <= maximum:
            return result.Err(
                f"{text} is not within {minimum:g} to {maximum:g}"
            )
        return result.Ok(value)

    return parse
