"""Outcomes of requests, and the reasons for refusals."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.StrEnum):
    """What is known about the execution of a request by a target."""

    NOT_RUN = "not_run"
    """It is certain that no target ran the request."""
    FAILED = "failed"
    """A target ran the request, and there is no result."""
    UNKNOWN = "unknown"
    """A target may have run the request."""
    DONE = "done"
    """The request ran once, and its whole result is known."""


class RefusalReason(enum.StrEnum):
    """Why a request ended without a result; also logged as the reason."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    OVER_LIMIT = "over_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    PROMPT_TOO_LARGE = "prompt_too_large"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    IN_PROGRESS = "in_progress"
    QUARANTINED = "quarantined"
    TARGET_REFUSED = "target_refused"
    TARGET_LOST = "target_lost"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@attrs.frozen
class Refusal:
    """The end of a request without a result.

    Attributes:
        outcome: What is known about its execution.
        reason: Why it ended.
        detail: One sentence for the caller, without prompt text or secrets.
        retry_after_s: Time after which the caller may retry, in seconds; None
            if unknown.
    """

    outcome: Outcome
    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None


def refuse(
    reason: RefusalReason, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Returns the refusal of a request that no target ran."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after_s)
