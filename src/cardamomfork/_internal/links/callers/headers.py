"""Validates the request headers that callers may send."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.models import findings

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_KEY_CHARACTERS = 255
MOST_URGENT = 0
LEAST_URGENT = 7
_URGENCY = re.compile(r"(?:^|[,\s])u=(-?\d+)(?:$|[,;\s])")


@attrs.frozen
class CheckedHeaders:
    """Values of a request's headers.

    Attributes:
        idempotency_key: Empty if the header is missing.
        timeout_s: Time limit of the whole request in seconds, or None.
        urgency: RFC 9218 urgency, or None.
    """

    idempotency_key: str = attrs.field(default="", repr=False)
    timeout_s: float | None = None
    urgency: int | None = None


def check(
    headers: Iterable[tuple[bytes, bytes]],
) -> result.Result[CheckedHeaders, list[findings.Finding]]:
    """Validates the headers; returns their values, or all findings."""
    values_by_name = {name: value.decode("latin-1") for name, value in headers}
    input_findings: list[findings.Finding] = []
    checked = CheckedHeaders(
        idempotency_key=_read_idempotency_key(
            values_by_name.get(b"idempotency-key", ""), input_findings
        ),
        timeout_s=_read_timeout(
            values_by_name.get(b"request-timeout"), input_findings
        ),
        urgency=_read_urgency(values_by_name.get(b"priority"), input_findings),
    )
    return result.Err(input_findings) if input_findings else result.Ok(checked)


def read_bearer(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Returns the bearer token of the Authorization header, or ""."""
    text = dict(headers).get(b"authorization", b"").decode("latin-1")
    scheme, _, secret = text.partition(" ")
    return secret.strip() if scheme.lower() == "bearer" else ""


def _read_idempotency_key(
    text: str, input_findings: list[findings.Finding]
) -> str:
    """Parses an idempotency key, which may be quoted."""
    key = text.strip()
    if len(key) >= 2 and key[0] == key[-1] == '"':
        key = key[1:-1]
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        input_findings.append(
            _make_finding(
                "Idempotency-Key",
                f"must be at most {MAX_KEY_CHARACTERS} printable characters",
            )
        )
    return key


def _read_timeout(
    text: str | None, input_findings: list[findings.Finding]
) -> float | None:
    """Parses a time limit in seconds."""
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        input_findings.append(
            _make_finding(
                "Request-Timeout", "must be a positive number of seconds"
            )
        )
        return None
    return seconds


def _read_urgency(
    text: str | None, input_findings: list[findings.Finding]
) -> int | None:
    """Parses the urgency of an RFC 9218 Priority header."""
    if text is None:
        return None
    match = _URGENCY.search(text)
    if match is None:
        return None
    urgency = int(match.group(1))
    if not MOST_URGENT <= urgency <= LEAST_URGENT:
        input_findings.append(
            _make_finding(
                "Priority", f"u must be from {MOST_URGENT} to {LEAST_URGENT}"
            )
        )
        return None
    return urgency


def _make_finding(name: str, message: str) -> findings.Finding:
    """Returns a finding about a header."""
    return findings.Finding(findings.Location("headers", name), message)
