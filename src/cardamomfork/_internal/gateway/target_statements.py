"""What targets state about themselves in the heads of their answers.

A target that turns a request away may ask the instance that sent it for a rest.
The rest is not reported to peers: the target asks each instance on its own, and
may have places for the requests of others.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway import target_table
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class TargetStatements:
    """Records that targets ask for a rest or are about to end."""

    def __init__(
        self, table: target_table.TargetTable, clock: Callable[[], float]
    ) -> None:
        """Initializes the statements.

        Args:
            table: The known targets.
            clock: Monotonic time.
        """
        self._table = table
        self._clock = clock

    def rest_left_s(self, record: fleet.TargetRecord) -> float:
        """Returns the time for which a target wants no requests."""
        return self._table.rest_left_s(record, self._clock())

    def record_answer(
        self, record: fleet.TargetRecord, head: forwarding.ResponseHead
    ) -> None:
        """Records the statements in the head of an answer."""
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            # Another target answers at that address now.
            return
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
        if head.is_leaving:
            logger.info("target says it leaves", target_id=record.target_id)
