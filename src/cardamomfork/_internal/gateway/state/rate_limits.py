"""Limits that targets put on the rate of requests.

A target in need names in its answers how many requests a second it accepts
from all instances together. Instances tell each other what they have received;
the newest answer counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal.gateway.state import target_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding

MAX_REPORTS = 32
"""Limits in one digest; the newest ones are reported."""
REPORT_ENDED_S = 5.0
"""Time for which the end of a limit is reported."""


@attrs.frozen
class RateLimitReport:
    """A limit as instances report it to each other.

    Attributes:
        target_id: The target.
        started_at_ms: Unix time of the start of its process.
        requests_per_s: The limit.
        age_s: Time since the answer that named it, or that ended it.
        has_ended: Whether it has ended.
    """

    target_id: str
    started_at_ms: int
    requests_per_s: float
    age_s: float
    has_ended: bool


@attrs.frozen
class KnownProcess:
    """The process of a target as this instance knows it.

    Attributes:
        started_at_ms: Unix time of its start.
        rate_per_s: Its limit in requests a second, or None.
    """

    started_at_ms: int
    rate_per_s: float | None


class RateLimits:
    """Records the limits of the targets in the target table."""

    def __init__(
        self,
        table: target_table.TargetTable,
        clock: Callable[[], float],
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the limits.

        Args:
            table: The known targets.
            clock: Monotonic time.
            on_change: Called when an answer to this instance names another
                limit, or none any more.
        """
        self._table = table
        self._clock = clock
        self._on_change = on_change

    def rate(self, record: fleet.TargetRecord) -> float | None:
        """Returns a target's limit in requests a second, or None."""
        target = self._find(record.target_id, record.started_at_ms)
        return (
            None if target is None else target.rate_limit_per_s(self._clock())
        )

    def find_process(self, target_id: str) -> KnownProcess | None:
        """Returns the process of a target that is known here, or None."""
        target = self._table.find(target_id)
        if target is None:
            return None
        return KnownProcess(
            target.record.started_at_ms,
            target.rate_limit_per_s(self._clock()),
        )

    def is_cold(self, record: fleet.TargetRecord) -> bool:
        """Returns whether a target's process is cold."""
        target = self._find(record.target_id, record.started_at_ms)
        return target is not None and target.is_cold(self._clock())

    def record_refusal(self, record: fleet.TargetRecord, wait_s: float) -> None:
        """Records that no permit for a target is available for some time."""
        target = self._find(record.target_id, record.started_at_ms)
        if target is not None:
            target.permit_expected_at = self._clock() + wait_s

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

    def reports(self) -> tuple[RateLimitReport, ...]:
        """Returns the limits that this instance has received itself.

        Limits that peers have received later are reported by them.
        """
        now = self._clock()
        found = [
            RateLimitReport(
                target.record.target_id,
                target.record.started_at_ms,
                target.rate_limit.requests_per_s,
                now - target.rate_limit.observed_at,
                target.rate_limit.has_ended,
            )
            for target in self._table.list_all()
            if target.rate_limit is not None and target.rate_limit.is_local
        ]
        current = [
            report
            for report in found
            if not report.has_ended or report.age_s < REPORT_ENDED_S
        ]
        current.sort(key=lambda report: report.age_s)
        return tuple(current[:MAX_REPORTS])

    def merge(self, report: RateLimitReport) -> None:
        """Records a peer's report if it is newer than what is known."""
        target = self._find(report.target_id, report.started_at_ms)
        if target is None:
            return
        known = target.rate_limit
        observed_at = self._clock() - report.age_s
        if known is not None and (
            observed_at <= known.observed_at
            or (known.has_ended and report.has_ended)
        ):
            return
        self._replace(
            target,
            target_table.RateLimit(
                report.requests_per_s,
                observed_at,
                report.has_ended,
                is_local=False,
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
            if limit.is_local:
                self._on_change()
