"""Problem details (RFC 9457) for refused and failed requests."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.models import findings

MEDIA_TYPE = b"application/problem+json"

_STATUS_BY_REASON = {
    outcomes.RefusalReason.INVALID: 400,
    outcomes.RefusalReason.UNAUTHENTICATED: 401,
    outcomes.RefusalReason.FORBIDDEN: 403,
    outcomes.RefusalReason.UNKNOWN_SERVICE: 404,
    outcomes.RefusalReason.OVER_LIMIT: 429,
    outcomes.RefusalReason.QUEUE_FULL: 429,
    outcomes.RefusalReason.DEADLINE_UNREACHABLE: 503,
    outcomes.RefusalReason.DEADLINE_EXCEEDED: 504,
    outcomes.RefusalReason.NO_TARGET: 503,
    outcomes.RefusalReason.PROMPT_TOO_LARGE: 413,
    outcomes.RefusalReason.DRAINING: 503,
    outcomes.RefusalReason.STORE_UNAVAILABLE: 503,
    outcomes.RefusalReason.KEY_REUSED: 422,
    outcomes.RefusalReason.KEY_EXPIRED: 422,
    outcomes.RefusalReason.IN_PROGRESS: 409,
    outcomes.RefusalReason.QUARANTINED: 422,
    outcomes.RefusalReason.TARGET_REFUSED: 503,
    outcomes.RefusalReason.TARGET_LOST: 502,
    outcomes.RefusalReason.RETRIES_EXHAUSTED: 503,
    outcomes.RefusalReason.CANCELLED: 499,
    outcomes.RefusalReason.INTERNAL: 500,
}

_FAILED_STATUS = 502


def http_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    if refusal.outcome is outcomes.Outcome.FAILED:
        return _FAILED_STATUS
    return _STATUS_BY_REASON[refusal.reason]


def retry_after_header(seconds: float) -> bytes:
    """Returns a Retry-After value, rounded up to whole seconds, at least 1."""
    return str(max(1, math.ceil(seconds))).encode()


def make_problem(
    refusal: outcomes.Refusal,
    request_id: str,
    data_centre: str,
    input_findings: Sequence[findings.Finding] = (),
    status: int = 0,
) -> dict[str, Any]:
    """Returns the members of the problem details object.

    The member `error` repeats the detail in the format in which
    OpenAI-compatible client libraries read error messages.
    """
    members: dict[str, Any] = {
        "type": f"urn:cardamomfork:problem:{refusal.reason.value}",
        "title": refusal.reason.value.replace("_", " "),
        "status": status or http_status(refusal),
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "request_id": request_id,
        "data_centre": data_centre,
        "error": {
            "message": refusal.detail,
            "type": refusal.outcome.value,
            "code": refusal.reason.value,
        },
    }
    if refusal.retry_after_s is not None:
        members["retry_after_s"] = refusal.retry_after_s
    if input_findings:
        members["findings"] = [
            {"path": finding.place.path, "message": finding.message}
            for finding in input_findings
        ]
    return members


def encode(members: dict[str, Any]) -> bytes:
    """Returns the JSON of a problem details object."""
    return msgspec.json.encode(members)


def encode_error_event(members: dict[str, Any]) -> bytes:
    """Returns the server-sent event that ends an incomplete stream."""
    return b"event: error\ndata: " + encode(members) + b"\n\n"
