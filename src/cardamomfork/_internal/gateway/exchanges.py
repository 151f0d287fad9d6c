"""A caller's request on its way, and the answers of the system's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway import attempt

if TYPE_CHECKING:
    from cardamomfork._internal.gateway import request_log
    from cardamomfork._internal.gateway import routes
    from cardamomfork._internal.models import forwarding

DEADLINE_MARGIN_S = 0.03
"""Time before a limit at which the final answer is sent."""


@attrs.define
class Exchange:
    """A caller's request on its way.

    Attributes:
        request: What the caller sent.
        body: Its body.
        match: What the configuration says about it.
        sink: Where the answer goes.
        arrived_at: Monotonic time of its arrival.
        fingerprint: Tells requests with the same content.
        progress: What the caller has got.
        tried: Targets that it was sent to.
        arrivals: Attempts that were sent.
        runs: Attempts that may have run.
        reservations_refused: Places whose memory was gone.
        log: Lines about it.
    """

    request: forwarding.CallerRequest
    body: bytes
    match: routes.Match
    sink: attempt.CallerSink
    arrived_at: float
    fingerprint: int
    log: request_log.RequestLog
    progress: attempt.Progress = attrs.field(factory=attempt.Progress)
    tried_target_ids: set[str] = attrs.field(factory=set)
    sent_attempts: int = 0
    possible_runs: int = 0
    reservations_refused: int = 0

    @property
    def deadline(self) -> float:
        """Monotonic time at which it must have its final answer."""
        timeout_s = self.match.route.timeout_s
        if self.request.time_limit_s is not None:
            timeout_s = min(timeout_s, self.request.time_limit_s)
        return self.arrived_at + timeout_s - DEADLINE_MARGIN_S


@attrs.frozen
class FinalAnswer:
    """An answer of the system's own.

    Attributes:
        status: HTTP status.
        reason: Why, in a few words.
        retry_after_s: When to come back; None where no time can be named.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
