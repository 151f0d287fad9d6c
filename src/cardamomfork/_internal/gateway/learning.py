"""What attempts teach about targets and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.gateway import outcomes
from cardamomfork._internal.gateway import target_table

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway import demands
    from cardamomfork._internal.gateway import exchanges
    from cardamomfork._internal.gateway import placement
    from cardamomfork._internal.gateway import poison_guard
    from cardamomfork._internal.models import fleet

MIN_PREDICTED_S = 0.05
"""Predictions under this say nothing of a target's speed."""


class Learner:
    """Passes on what each attempt showed."""

    def __init__(
        self,
        table: target_table.TargetTable,
        guard: poison_guard.PoisonGuard,
        clock: Callable[[], float],
    ) -> None:
        """Takes those who want to know.

        Args:
            table: What is believed of targets.
            guard: Requests that crash targets.
            clock: Monotonic time.
        """
        self._table = table
        self._guard = guard
        self._clock = clock

    def take(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        place: placement.Placement,
        demand: demands.Demand,
        ending: outcomes.Ending,
        started_at: float,
        first_at: float | None = None,
    ) -> None:
        """Takes what an attempt showed of its target."""
        now = self._clock()
        sign = _sign_of(ending)
        if first_at is not None:
            ratio = (first_at - started_at) / max(
                place.first_token_s, MIN_PREDICTED_S
            )
            self._table.observe_time(record.target_id, ratio, now)
        if sign is not None and self._table.observe(
            record.target_id, sign, now
        ):
            exchange.log.target_paused(record.target_id, sign.value)
        if sign is target_table.Sign.UNREACHABLE:
            self._guard.confirm_death(record.target_id, now)
        if isinstance(ending, outcomes.Failed):
            if ending.failure is outcomes.Failure.BROKEN:
                self._guard.suspect(exchange.fingerprint, record.target_id, now)
            self._learn_of_refusal(exchange, record, ending, now)
        exchange.log.attempt_ended(
            exchange.arrivals,
            place,
            demand,
            ending,
            now - started_at,
            None if first_at is None else first_at - started_at,
        )

    def _learn_of_refusal(
        self,
        exchange: exchanges.Exchange,
        record: fleet.TargetRecord,
        failed: outcomes.Failed,
        now: float,
    ) -> None:
        """Takes which target a refusal blames; the one asked may be sound."""
        blamed = self._table.resolve(failed.blamed_target)
        if blamed is not None and blamed != record.target_id:
            exchange.tried.discard(record.target_id)
            exchange.tried.add(blamed)
            self._table.observe(blamed, target_table.Sign.UNREACHABLE, now)
        elif failed.is_misdirected:
            self._table.observe(
                record.target_id, target_table.Sign.UNREACHABLE, now
            )


def _sign_of(ending: outcomes.Ending) -> target_table.Sign | None:
    """Returns what an ending tells of the target's health."""
    if isinstance(ending, outcomes.Delivered):
        return target_table.Sign.GOOD
    return {
        outcomes.Failure.UNREACHABLE: target_table.Sign.UNREACHABLE,
        outcomes.Failure.BROKEN: target_table.Sign.FAILED,
        outcomes.Failure.SILENT: target_table.Sign.FAILED,
        outcomes.Failure.NOT_RUN: None,
        outcomes.Failure.NO_MEMORY: None,
        outcomes.Failure.FAILED: None,
    }[ending.failure]
