"""What targets state about themselves in the heads of their answers.

A target that turns a request away may ask the instance that sent it for a rest.
The rest is not reported to peers: the target asks each instance on its own, and
may have places for the requests of others. Any answer may state that the target
is cold (`cold_targets`).
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.state import cold_targets
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class TargetStatements:
    """Records that targets ask for a rest or are about to end."""

    def __init__(
        self,
        table: target_table.TargetTable,
        clock: Callable[[], float],
        on_leaving: Callable[[fleet.TargetRecord], None] = lambda _: None,
        cold: cold_targets.ColdTargets | None = None,
    ) -> None:
        """Initializes the statements.

        Args:
            table: The known targets.
            clock: Monotonic time.
            on_leaving: Called with a target that says that it leaves, if that
                was not known.
            cold: Decides until when targets are cold; None if none ever is.
        """
        self._table = table
        self._clock = clock
        self._on_leaving = on_leaving
        self._cold = cold

    def rest_left_s(self, record: fleet.TargetRecord) -> float:
        """Returns the time for which a target wants no requests."""
        return self._table.rest_left_s(record, self._clock())

    def wants_requests(self, record: fleet.TargetRecord) -> bool:
        """Returns whether a target's process wants requests.

        It may have asked for a rest, or be leaving, since it was chosen, or its
        data centre may be in evacuation.
        """
        return not (
            self.rest_left_s(record)
            or self._table.is_leaving(record)
            or self._table.is_evacuated(record)
        )

    def record_answer(
        self, record: fleet.TargetRecord, head: forwarding.ResponseHead
    ) -> None:
        """Records the statements in the head of an answer."""
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            # Another target answers at that address now.
            return
        if self._cold is not None:
            self._cold.record_answer(record, head)
        if (
            head.status == http.HTTPStatus.SERVICE_UNAVAILABLE
            and head.retry_after_s is not None
        ):
            self._table.record_rest(record, head.retry_after_s, self._clock())
            logger.info(
                "target asks for a rest",
                target_id=record.target_id,
                retry_after_s=round(head.retry_after_s, 3),
            )
        if head.is_leaving and self._table.mark_leaving(record):
            logger.info("target says it leaves", target_id=record.target_id)
            self._on_leaving(record)
