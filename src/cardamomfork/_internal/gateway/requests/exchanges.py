"""A request in progress, and answers that the gateway generates itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.requests import attempt
from cardamomfork._internal.gateway.requests import event_stream

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.requests import request_log
    from cardamomfork._internal.gateway.state import crash_attribution
    from cardamomfork._internal.gateway.state import routes
    from cardamomfork._internal.models import forwarding

DEADLINE_MARGIN_S = 0.03
"""Time reserved before the timeout for sending the final answer."""


def find_deadline(
    match: routes.Match, request: forwarding.CallerRequest, arrived_at: float
) -> float:
    """Returns the monotonic time by which a final answer must be sent."""
    timeout_s = match.route.timeout_s
    if request.time_limit_s is not None:
        timeout_s = min(timeout_s, request.time_limit_s)
    return arrived_at + timeout_s - DEADLINE_MARGIN_S


@attrs.define
class Exchange:
    """A caller's request in progress.

    Attributes:
        request: The request head.
        body: Its body.
        match: Its route, service and client account.
        sink: Where the answer is written.
        arrived_at: Monotonic time of its arrival.
        fingerprint: Hash of its content.
        parts: Fingerprints of the shared parts of its prompt, by id.
        progress: What the caller has received.
        tried_target_ids: Targets to avoid in the next attempt.
        sent_attempts: Number of attempts that were sent.
        runs: Number of attempts that may have run.
        reservations_refused: Number of placements without enough memory.
        permits_refused: Number of placements without a permit.
        peers_refused: Number of peers that did not pass it on.
        trial: Cause of crashes despite which it is sent, or None.
        log: Its log.
    """

    request: forwarding.CallerRequest
    body: bytes
    match: routes.Match
    sink: attempt.CallerSink
    arrived_at: float
    fingerprint: int
    log: request_log.RequestLog
    parts: dict[str, int] = attrs.field(factory=dict)
    progress: attempt.Progress = attrs.field()
    tried_target_ids: set[str] = attrs.field(factory=set)
    sent_attempts: int = 0
    possible_runs: int = 0
    reservations_refused: int = 0
    permits_refused: int = 0
    peers_refused: int = 0
    trial: crash_attribution.Cause | None = None

    @progress.default
    def _make_progress(self) -> attempt.Progress:
        """Returns the progress of a stream that the caller may resume."""
        last_id = None
        if self.match.route.may_resume:
            last_id = self.request.last_event_id
        return attempt.Progress(order=event_stream.SequenceChecker(last_id))

    @property
    def suspects(self) -> tuple[int, ...]:
        """Fingerprints of what may crash a target that runs it."""
        return (self.fingerprint, *self.parts.values())

    @property
    def deadline(self) -> float:
        """Monotonic time by which its final answer must be sent."""
        return find_deadline(self.match, self.request, self.arrived_at)


@attrs.frozen
class FinalAnswer:
    """An answer that the gateway generates itself.

    Attributes:
        status: HTTP status.
        reason: Short reason, for the caller and the log.
        retry_after_s: Time after which to retry; None if unknown.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
