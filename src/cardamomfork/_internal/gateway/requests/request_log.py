"""Writes the log lines of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.state import fingerprints

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.choice import placement
    from cardamomfork._internal.gateway.state import routes


class RequestLog:
    """Writes log lines that carry the request id."""

    def __init__(self, request_id: str) -> None:
        """Initializes the log with the id that every line carries."""
        self._logger = logger.bind(request_id=request_id)

    def rejected(self, reason: str, status: int, version: int) -> None:
        """Logs a request that the configuration rejects."""
        self._logger.info(
            "rejected", reason=reason, status=status, version=version
        )

    def attempt_ended(
        self,
        number: int,
        chosen: placement.Placement,
        demand: demands.Demand,
        outcome: outcomes.AttemptOutcome,
        seconds: float,
        first_s: float | None,
        peer_id: str,
    ) -> None:
        """Logs the outcome of an attempt and the predicted time."""
        failed = outcome if isinstance(outcome, outcomes.Failed) else None
        self._logger.info(
            "attempt ended",
            count=number,
            target_id=chosen.target.record.target_id,
            peer=peer_id,
            outcome=failed.failure.value if failed else "delivered",
            reason=failed.detail if failed else "",
            seconds=round(seconds, 3),
            first_s=None if first_s is None else round(first_s, 3),
            predicted_s=round(chosen.first_token_s, 3),
            tokens=demand.prompt_tokens,
            helpers=len(chosen.helpers),
            reserved=sum(one.reserved_tokens for one in chosen.helpers),
            cost=round(chosen.cost, 2),
        )

    def crash_suspected(
        self,
        fingerprint: int,
        target_id: str,
        reason: str,
        parts: dict[str, int],
    ) -> None:
        """Logs that a request may have crashed a target.

        Args:
            fingerprint: Fingerprint of the request.
            target_id: The target.
            reason: How the attempt was lost.
            parts: Fingerprints of the shared parts of its prompt, by id.
        """
        self._logger.info(
            "crash suspected",
            fingerprint=fingerprints.format_fingerprint(fingerprint),
            target_id=target_id,
            reason=reason,
            detail=", ".join(
                f"{part_id}: {fingerprints.format_fingerprint(part)}"
                for part_id, part in parts.items()
            ),
        )

    def crashes_refuted(self, fingerprint: int, count: int) -> None:
        """Logs that a request was not the cause of earlier crashes."""
        self._logger.info(
            "crashes refuted",
            fingerprint=fingerprints.format_fingerprint(fingerprint),
            count=count,
        )

    def target_paused(self, target_id: str, reason: str) -> None:
        """Logs that a target is paused."""
        self._logger.warning(
            "target paused", target_id=target_id, reason=reason
        )

    def retried(self, failed: outcomes.Failed, left_s: float) -> None:
        """Logs the decision to retry a request."""
        self._logger.info(
            "tries again",
            reason=failed.failure.value,
            left_s=round(left_s, 3),
        )

    def ended(
        self,
        match: routes.Match,
        fingerprint: int,
        status: int,
        reason: str,
        seconds: float,
        detail: str,
    ) -> None:
        """Logs the end of a request."""
        self._logger.info(
            "request ended",
            fingerprint=fingerprints.format_fingerprint(fingerprint),
            route=match.route.name,
            service=match.service.name,
            account=match.account_name,
            version=match.version,
            status=status,
            reason=reason,
            seconds=round(seconds, 3),
            detail=detail,
        )
