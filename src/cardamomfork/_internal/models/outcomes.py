"""How a request ended."""

from __future__ import annotations

import enum

import attrs


class Outcome(enum.StrEnum):
    """What is known of a request's run on a target."""

    NOT_RUN = "not_run"
    """Proved: no target ever ran it."""
    FAILED = "failed"
    """A target ran it and there is no result."""
    UNKNOWN = "unknown"
    """A target may have run it."""
    DONE = "done"
    """Ran once and the whole result is known."""


class RefusalReason(enum.StrEnum):
    """Why a request ended without a result; also the log's reason field."""

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
    """A request's end without a result.

    Attributes:
        outcome: What is known of its run.
        reason: Why it ended.
        detail: One sentence for the caller; holds no prompt and no secret.
        retry_after_s: When to come back, in seconds; None for no advice.
    """

    outcome: Outcome
    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None


def refuse(
    reason: RefusalReason, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Makes the refusal of a request that no target ever saw."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after_s)
