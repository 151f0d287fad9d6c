"""Logs when another process uses this instance's identifier."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import loguru

if TYPE_CHECKING:
    from cardamomfork._internal.instances import membership

CHECK_INTERVAL_S = 5.0


async def warn_superseded(members: membership.Membership) -> None:
    """Logs each later boot id reported for this instance, until cancelled."""
    logged_boot_id = None
    while True:
        if members.superseded_by != logged_boot_id:
            logged_boot_id = members.superseded_by
            loguru.logger.bind(boot_id=logged_boot_id).error(
                "boot id is superseded: another process has this name, or the"
                " clock was behind at the start"
            )
        await anyio.sleep(CHECK_INTERVAL_S)
