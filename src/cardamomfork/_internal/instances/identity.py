"""Tells operators when another life runs under this instance's name."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import loguru

if TYPE_CHECKING:
    from cardamomfork._internal.instances import membership

LOOK_S = 5.0


async def warn_superseded(members: membership.Membership) -> None:
    """Logs each later boot id heard for this instance; until cancelled."""
    known = None
    while True:
        if members.superseded_by != known:
            known = members.superseded_by
            loguru.logger.bind(boot_id=known).error(
                "boot id is superseded: another process has this name, or the"
                " clock was behind at the start"
            )
        await anyio.sleep(LOOK_S)
