"""Records what attempts show about the health of targets and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.gateway import crash_detector
from cardamomfork._internal.gateway import outcomes
from cardamomfork._internal.gateway import target_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway import demands
    from cardamomfork._internal.gateway import exchanges
    from cardamomfork._internal.gateway import placement
    from cardamomfork._internal.models import fleet

MIN_PREDICTION_S = 0.05
"""Least prediction that an observed time is compared with; shorter ones don't
show a target's speed."""


class OutcomeRecorder:
    """Updates targets, crash evidence and the log after each attempt."""

    def __init__(
        self,
        table: target_table.TargetTable,
        detector: crash_detector.CrashDetector,
        clock: Callable[[], float],
    ) -> None:
        """Initializes the recorder.

        Args:
            table: The known targets and their health.
            detector: Collects evidence of crashed targets.
            clock: Monotonic time.
        """
        self._table = table
        self._detector = detector
        self._clock = clock

    def record(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        chosen: placement.Placement,
        demand: demands.Demand,
        outcome: outcomes.AttemptOutcome,
        started_at: float,
        first_at: float | None = None,
    ) -> None:
        """Records the outcome of an attempt."""
        now = self._clock()
        signal = _health_signal(outcome)
        if first_at is not None:
            ratio = (first_at - started_at) / max(
                chosen.first_token_s, MIN_PREDICTION_S
            )
            self._table.record_time_ratio(record.target_id, ratio, now)
        if signal is not None and self._table.record_signal(
            record.target_id, signal, now
        ):
            exchange.log.target_paused(record.target_id, signal.value)
        if signal is target_table.HealthSignal.UNREACHABLE:
            self._detector.target_unreachable(record)
        if isinstance(outcome, outcomes.Delivered):
            self._detector.attempt_completed(exchange, first_at)
            if exchange.parts and first_at is None:
                # The end of a stream without a length may be that of a target.
                self._detector.attempt_lost(exchange, record, "no event")
        else:
            if outcome.is_lost:
                self._detector.attempt_lost(
                    exchange,
                    record,
                    outcome.failure.value,
                    has_written=crash_detector.has_survived(first_at, now),
                )
            self._record_refusal(exchange, record, outcome, now)
        exchange.log.attempt_ended(
            exchange.sent_attempts,
            chosen,
            demand,
            outcome,
            now - started_at,
            None if first_at is None else first_at - started_at,
        )

    def _record_refusal(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        failed: outcomes.Failed,
        now: float,
    ) -> None:
        """Records which target a refusal blames; it need not be the sender."""
        blamed = self._table.find_id(failed.refusing_target)
        if blamed is not None and blamed != record.target_id:
            exchange.tried_target_ids.discard(record.target_id)
            exchange.tried_target_ids.add(blamed)
            self._table.record_signal(
                blamed, target_table.HealthSignal.UNREACHABLE, now
            )
        elif failed.is_misdirected:
            self._table.record_signal(
                record.target_id, target_table.HealthSignal.UNREACHABLE, now
            )
            self._detector.target_unreachable(record)


def _health_signal(
    outcome: outcomes.AttemptOutcome,
) -> target_table.HealthSignal | None:
    """Returns the health signal of an outcome; None if it has none."""
    if isinstance(outcome, outcomes.Delivered):
        return target_table.HealthSignal.GOOD
    return {
        outcomes.Failure.UNREACHABLE: target_table.HealthSignal.UNREACHABLE,
        outcomes.Failure.BROKEN: target_table.HealthSignal.FAILED,
        outcomes.Failure.SILENT: target_table.HealthSignal.FAILED,
        outcomes.Failure.NOT_RUN: None,
        outcomes.Failure.NO_MEMORY: None,
        outcomes.Failure.BLOCKED: None,
        outcomes.Failure.RATE_LIMITED: None,
        outcomes.Failure.FAILED: None,
    }[outcome.failure]
