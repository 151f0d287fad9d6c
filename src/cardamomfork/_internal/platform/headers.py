"""Decodes and encodes the HTTP heads of callers and targets."""

from __future__ import annotations

from email import utils
import http
import math
import re
import time
from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal import decoding
from cardamomfork._internal.models import forwarding
from cardamomfork._internal.platform import numbers

if TYPE_CHECKING:
    from collections.abc import Iterable

READINESS_PATH = "/-/readyz"
MS_PER_S = 1000.0
MAX_SHARED_PARTS = 32
MAX_PART_ID_BYTES = 64
MAX_TOKENS = 2**31 - 1
"""Exceeds any engine's memory and fits the peer message format."""

MAX_INTEGER = 2**63 - 1
MAX_TIME_S = 1e7
"""Bounds of numbers in heads, so that all sums and timers can carry them."""

_REQUEST_ID = b"x-cardamomfork-request-id"
_TIME_LIMIT = b"x-cardamomfork-deadline-ms"  # Remaining time, not a timestamp.
_TOKEN_USAGE = (
    b"x-cardamomfork-token-usage"  # Prompt and maximum output tokens.
)
_OUTPUT_HINT = b"x-cardamomfork-length-hint"  # Expected output tokens.
_PROMPT_PARTS = b"x-cardamomfork-prefix-hash"  # ID:TOKENS, in order.
_ACCOUNT = b"x-cardamomfork-tenant"
_TARGET_ID = b"x-cardamomfork-target-instance"
_PRIORITY = b"x-cardamomfork-request-priority"
_HELPERS = b"x-cardamomfork-helpers"
_SIGNATURE = b"x-cardamomfork-server-signature"
_NOT_EXECUTED = b"x-cardamomfork-not-executed"
_BLAMED_TARGET = b"at-server"
_REQUEST_RATE_LIMIT = b"server-limit"  # Requests a second, from all instances.
_IS_LEAVING = b"server-leaving"  # 1: the target's process is about to end.
_COLD = b"x-cardamomfork-cold-ms"  # Remaining time; 0: not cold.
_RETRY_AFTER = b"retry-after"  # Seconds or a date.
_API_KEY = b"api-key"
_LAST_EVENT_ID = b"last-event-id"


_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-authenticate",
        b"proxy-authorization", b"proxy-connection", b"te", b"trailer",
        b"transfer-encoding", b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip
"""Hop-by-hop headers; content-length is set separately for each side."""

_RESERVED_HEADERS = frozenset(
    (_TIME_LIMIT, _ACCOUNT, _TARGET_ID, _PRIORITY, _HELPERS, _API_KEY)
)
"""Request headers that are not forwarded from callers to targets."""

_PART_ID = re.compile(rb"[0-9a-f]+")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")


@decoding.register
def decode_request(
    method: str, raw_target: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> forwarding.CallerRequest:
    """Decodes the head of a caller's request.

    Args:
        method: HTTP method.
        raw_target: Request target as received.
        headers: Names and values; names are in lower case.
    """
    pairs = tuple(headers)
    values = dict(reversed(pairs))
    dropped = (
        _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS | _connection_tokens(pairs)
    )
    raw_path = raw_target.partition(b"?")[0]
    return forwarding.CallerRequest(
        request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
        method=method.encode(),
        target=raw_target,
        path=raw_path.decode("latin-1"),
        host=_strip_port(values.get(b"host", b"").decode("latin-1")).lower(),
        headers=tuple(pair for pair in pairs if pair[0] not in dropped),
        api_key=values.get(_API_KEY, b"").decode("latin-1"),
        time_limit_s=_parse_milliseconds(values.get(_TIME_LIMIT)),
        last_event_id=_parse_int(values.get(_LAST_EVENT_ID)),
        generation=_parse_generation(values),
        shared_parts=_parse_shared_parts(values.get(_PROMPT_PARTS, b"")),
    )


def encode_request(
    request: forwarding.CallerRequest,
    sending: forwarding.Sending,
    body_bytes: int,
) -> bytes:
    """Returns the head of a request to a target."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    last_event_id = sending.last_event_id
    lines += [
        name + b": " + value
        for name, value in request.headers
        if last_event_id is None or name != _LAST_EVENT_ID
    ]
    if last_event_id is not None:
        lines.append(b"%b: %d" % (_LAST_EVENT_ID, last_event_id))
    remaining_ms = max(int(sending.time_left_s * MS_PER_S), 1)
    lines.append(b"%b: %d" % (_TIME_LIMIT, remaining_ms))
    lines.append(_TARGET_ID + b": " + sending.target_id.encode())
    if sending.account:
        lines.append(_ACCOUNT + b": " + sending.account.encode())
    if sending.priority is not None:
        lines.append(b"%b: %d" % (_PRIORITY, sending.priority))
    if sending.helpers:
        helpers = ",".join(_format_helper(helper) for helper in sending.helpers)
        lines.append(_HELPERS + b": " + helpers.encode())
    if body_bytes or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


@decoding.register
def decode_answer(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> forwarding.ResponseHead:
    """Decodes the head of a target's answer.

    Args:
        status: HTTP status.
        headers: Names and values; names are in lower case.
    """
    pairs = tuple(headers)
    values = dict(reversed(pairs))
    dropped = _HOP_BY_HOP_HEADERS | _connection_tokens(pairs)
    keep_alive = _KEEP_ALIVE_TIMEOUT.search(values.get(b"keep-alive", b""))
    return forwarding.ResponseHead(
        status=status,
        headers=tuple(pair for pair in pairs if pair[0] not in dropped),
        request_id=values.get(_REQUEST_ID, b"").decode("latin-1"),
        is_signed=_SIGNATURE in values,
        is_not_executed=_NOT_EXECUTED in values
        or status == http.HTTPStatus.MISDIRECTED_REQUEST,
        refusing_target=values.get(_BLAMED_TARGET, b"").decode("latin-1"),
        idle_timeout_s=(
            min(float(keep_alive[1]), MAX_TIME_S) if keep_alive else None
        ),
        content_length=_parse_int(values.get(b"content-length")),
        closes=b"close" in values.get(b"connection", b"").lower(),
        rate_limit_per_s=_parse_rate(values.get(_REQUEST_RATE_LIMIT)),
        retry_after_s=_parse_retry_after(
            values.get(_RETRY_AFTER), values.get(b"date")
        ),
        is_leaving=values.get(_IS_LEAVING) == b"1",
        cold_remaining_s=_parse_cold(values.get(_COLD)),
    )


def _format_helper(helper: forwarding.PrefillHelper) -> str:
    """Formats a helper as an item of the helpers header."""
    address = f"{helper.host}:{helper.port}"
    if helper.reservation_id:
        return f"{address}/{helper.reservation_id}"
    return address


def _connection_tokens(
    pairs: tuple[tuple[bytes, bytes], ...],
) -> frozenset[bytes]:
    """Returns the header names listed in `Connection`."""
    return frozenset(
        token.strip().lower()
        for name, value in pairs
        if name == b"connection"
        for token in value.split(b",")
    )


def _strip_port(host: str) -> str:
    """Removes the port from a host."""
    return host.partition(":")[0]


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Parses milliseconds into seconds; None if absent or malformed."""
    try:
        seconds = float(value or b"") / MS_PER_S
    except ValueError:
        return None
    if not math.isfinite(seconds):
        return None
    return min(max(seconds, 0.0), MAX_TIME_S)


def _parse_cold(value: bytes | None) -> float | None:
    """Parses the time for which a target is cold, in seconds."""
    if value is None:
        return None
    milliseconds = _parse_rate(value)
    if milliseconds is None:
        logger.warning(
            "malformed field",
            name=_COLD.decode(),
            detail=numbers.describe(value),
        )
        return None
    return min(milliseconds / MS_PER_S, numbers.MAX_COLD_S)


def _parse_rate(value: bytes | None) -> float | None:
    """Parses a number; None if absent, negative or malformed."""
    try:
        rate = float(value or b"")
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _parse_retry_after(value: bytes | None, date: bytes | None) -> float | None:
    """Parses a retry-after time.

    Args:
        value: Seconds or a date, as in RFC 9110.
        date: The date of the answer, which a date is relative to.

    Returns:
        The time in seconds; None if it is absent, malformed or past.
    """
    seconds = _parse_rate(value)
    if seconds is None and value is not None:
        until = _parse_date(value)
        if until is None:
            return None
        seconds = until - (_parse_date(date or b"") or time.time())
    if seconds is None or seconds <= 0:
        return None
    return min(seconds, MAX_TIME_S)


def _parse_date(value: bytes) -> float | None:
    """Parses an HTTP date into Unix seconds; None if malformed."""
    try:
        return utils.parsedate_to_datetime(value.decode("latin-1")).timestamp()
    except (ValueError, TypeError, OverflowError):
        return None


def _parse_int(value: bytes | None) -> int | None:
    """Parses a non-negative integer; None if absent or malformed."""
    digits = (value or b"").strip()
    try:
        number = int(digits) if digits.isdigit() else None
    except ValueError:
        # int() rejects numbers with thousands of digits.
        return None
    return None if number is None or number > MAX_INTEGER else number


def _parse_generation(
    values: dict[bytes, bytes],
) -> forwarding.Generation | None:
    """Parses the token counts of a model request; None if absent."""
    first, _, second = values.get(_TOKEN_USAGE, b"").partition(b",")
    prompt, output = _parse_int(first), _parse_int(second)
    if prompt is None or output is None:
        return None
    hint = _parse_int(values.get(_OUTPUT_HINT))
    return forwarding.Generation(
        min(prompt, MAX_TOKENS), min(output, MAX_TOKENS), hint
    )


def _parse_shared_parts(value: bytes) -> tuple[str, ...]:
    """Parses the ids of a prompt's parts without the last, its own one.

    Malformed ids and ids beyond `MAX_SHARED_PARTS` are left out.
    """
    ids = (
        part.partition(b":")[0].strip().lower()
        for part in value.split(b",")[:-1][:MAX_SHARED_PARTS]
    )
    return tuple(
        dict.fromkeys(
            part_id.decode()
            for part_id in ids
            if _PART_ID.fullmatch(part_id) and len(part_id) <= MAX_PART_ID_BYTES
        )
    )
