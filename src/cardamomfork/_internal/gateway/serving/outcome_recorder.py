"""Records what attempts show about the health of targets and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.connections import outcomes
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.state import target_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.choice import placement
    from cardamomfork._internal.gateway.requests import exchanges
    from cardamomfork._internal.gateway.state import data_centre_reach
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
        is_isolated: Callable[[], bool] = lambda: False,
        reach: data_centre_reach.DataCentreReach | None = None,
    ) -> None:
        """Initializes the recorder.

        Args:
            table: The known targets and their health.
            detector: Collects evidence of crashed targets.
            clock: Monotonic time.
            is_isolated: Returns whether this instance is cut off from all
                targets, so that lost connections show nothing about them.
            reach: Decides which data centres are reached; None if all are.
        """
        self._table = table
        self._detector = detector
        self._clock = clock
        self._is_isolated = is_isolated
        self._reach = reach

    def record(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        chosen: placement.Placement,
        demand: demands.Demand,
        outcome: outcomes.AttemptOutcome,
        started_at: float,
        first_at: float | None = None,
        peer_id: str = "",
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            exchange: The request.
            record: The target.
            chosen: Its placement.
            demand: Its requirements.
            outcome: The outcome.
            started_at: Monotonic time of the start of the attempt.
            first_at: Time of its first event, or None.
            peer_id: Id of the peer that it was sent over; empty if direct.
        """
        now = self._clock()
        is_conclusive = self._is_conclusive(outcome, peer_id)
        signal = _health_signal(outcome) if is_conclusive else None
        if first_at is not None:
            ratio = (first_at - started_at) / max(
                chosen.first_token_s, MIN_PREDICTION_S
            )
            self._table.record_time_ratio(record.target_id, ratio, now)
        if signal is not None and self._table.record_signal(
            record.target_id, signal, now
        ):
            exchange.log.target_paused(record.target_id, signal.value)
        is_refused = not isinstance(outcome, outcomes.Delivered) and (
            outcome.is_refused
        )
        if signal is target_table.HealthSignal.UNREACHABLE or is_refused:
            self._detector.target_unreachable(record, is_refused=is_refused)
        if isinstance(outcome, outcomes.Delivered):
            self._detector.attempt_completed(exchange, first_at)
            if exchange.parts and first_at is None:
                # The end of a stream without a length may be that of a target.
                self._detector.attempt_lost(exchange, record, "no event")
        else:
            if outcome.is_lost and (is_conclusive or peer_id):
                self._detector.attempt_lost(
                    exchange,
                    record,
                    outcome.failure.value,
                    has_written=crash_detector.has_survived(first_at, now),
                    may_check=not peer_id,
                )
            self._record_refusal(exchange, record, chosen, outcome, now)
        exchange.log.attempt_ended(
            exchange.sent_attempts,
            chosen,
            demand,
            outcome,
            now - started_at,
            None if first_at is None else first_at - started_at,
            peer_id,
        )

    def record_abandoned(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        *,
        has_written: bool,
        peer_id: str,
    ) -> None:
        """Records an attempt whose caller left before its answer was complete.

        Args:
            exchange: The request.
            record: The target.
            has_written: Whether the target had written for some time.
            peer_id: Id of the peer that it was sent over; empty if direct.
        """
        if peer_id or not self._is_isolated():
            self._detector.attempt_abandoned(
                exchange, record, has_written=has_written
            )

    def _is_conclusive(
        self, outcome: outcomes.AttemptOutcome, peer_id: str
    ) -> bool:
        """Returns whether an outcome shows something about its target.

        An answer that breaks off over a peer may be the fault of either.
        """
        if isinstance(outcome, outcomes.Delivered):
            return True
        if peer_id:
            return not outcome.is_lost or outcome.peer_fault is not None
        return not self._is_isolated()

    def _record_refusal(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        chosen: placement.Placement,
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
            helper = next(
                (
                    one.target.record
                    for one in chosen.helpers
                    if one.target.record.target_id == blamed
                ),
                None,
            )
            if helper is not None and self._reach is not None:
                self._reach.record_helper_refusal(
                    record.data_centre, helper.data_centre, blamed, now
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
        outcomes.Failure.UNATTRIBUTED: None,
        outcomes.Failure.NO_PATH: None,
        outcomes.Failure.PEER_REFUSED: None,
        outcomes.Failure.NOT_RUN: None,
        outcomes.Failure.NO_MEMORY: None,
        outcomes.Failure.BLOCKED: None,
        outcomes.Failure.UNWANTED: None,
        outcomes.Failure.RATE_LIMITED: None,
        outcomes.Failure.FAILED: None,
    }[outcome.failure]
