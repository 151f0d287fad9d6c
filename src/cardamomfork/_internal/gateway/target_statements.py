"""What targets state about themselves in the heads of their answers."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import forwarding


class TargetStatements:
    """Records that targets ask for a rest or are about to end."""

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
            logger.info(
                "target asks for a rest",
                target_id=record.target_id,
                retry_after_s=round(head.retry_after_s, 3),
            )
        if head.is_leaving:
            logger.info("target says it leaves", target_id=record.target_id)
