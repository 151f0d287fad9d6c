"""Checks whether targets accept TCP connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from cardamomfork._internal.models import targets

CONNECT_TIMEOUT_S = 2.0


async def is_reachable(target: targets.Target) -> bool:
    """Returns whether a target accepts a connection; sends no data."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(target.host, target.port)
    except (OSError, OverflowError, ValueError):
        return False
    await stream.aclose()
    return True
