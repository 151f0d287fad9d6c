"""Limits that targets put on the rate of requests.

A target in need names in its answers how many requests a second it accepts
from all instances together. Instances tell each other what they have received;
the newest answer counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal.gateway import target_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding

RELEASE_DELAY_S = 1.0
"""Time for which a limit holds after an answer that doesn't name it. Another
instance may have received an answer with the limit in the meantime."""


class RateLimits:
    """Records the limits of the targets in the target table."""

    def __init__(
        self, table: target_table.TargetTable, clock: Callable[[], float]
    ) -> None:
        """Initializes the limits.

        Args:
            table: The known targets.
            clock: Monotonic time.
        """
        self._table = table
        self._clock = clock

    def rate(self, record: fleet.TargetRecord) -> float | None:
        """Returns a target's limit in requests a second, or None."""
        target = self._find(record.target_id, record.started_at_ms)
        if target is None or target.rate_limit is None:
            return None
        limit = target.rate_limit
        if limit.has_ended and (
            self._clock() - limit.observed_at >= RELEASE_DELAY_S
        ):
            return None
        return limit.requests_per_s

    def record_answer(
        self, record: fleet.TargetRecord, head: forwarding.ResponseHead
    ) -> None:
        """Records the limit in the head of an answer.

        Only a signed success ends a limit, since other answers may not come
        from the target.
        """
        target = self._find(record.target_id, record.started_at_ms)
        if target is None:
            return
        now = self._clock()
        if head.rate_limit_per_s is not None:
            self._replace(
                target, target_table.RateLimit(head.rate_limit_per_s, now)
            )
        elif (
            head.is_success
            and head.is_signed
            and target.rate_limit is not None
            and not target.rate_limit.has_ended
        ):
            self._replace(
                target,
                attrs.evolve(
                    target.rate_limit,
                    observed_at=now,
                    has_ended=True,
                    is_local=True,
                ),
            )

    def _find(
        self, target_id: str, started_at_ms: int
    ) -> target_table.Target | None:
        """Returns the target if it is still the same process."""
        target = self._table.find(target_id)
        if target is None or target.record.started_at_ms != started_at_ms:
            return None
        return target

    def _replace(
        self, target: target_table.Target, limit: target_table.RateLimit
    ) -> None:
        """Stores a limit; logs it if it has changed."""
        previous = target.rate_limit
        target.rate_limit = limit
        if previous is None or (
            (previous.requests_per_s, previous.has_ended)
            != (limit.requests_per_s, limit.has_ended)
        ):
            logger.info(
                "target limit",
                target_id=target.record.target_id,
                outcome="ended" if limit.has_ended else "in force",
                kind="own answer" if limit.is_local else "peer",
                detail=f"{limit.requests_per_s} requests a second",
            )
