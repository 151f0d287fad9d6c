"""The daemon's ways to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.platform import store_client
from cardamomfork._internal.standins import store as store_standin

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import settings as settings_models

KEY_PREFIX = ""
"""What parts put before their keys; the store's client adds the settings'."""


@attrs.frozen
class StoreSessions:
    """Sessions with the store.

    Attributes:
        store: The session that all parts share.
        connect: Opens another session on connections of its own.
    """

    store: store_contract.Store
    connect: Callable[[], store_contract.Store]


def make_store_sessions(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
) -> StoreSessions:
    """Makes sessions with the configured store, or with an embedded one."""
    if settings.embedded and not settings.store.endpoints:
        memory = store_standin.MemoryStore(clock)
        return StoreSessions(
            store_standin.StoreSession(memory),
            lambda: store_standin.StoreSession(memory),
        )
    return StoreSessions(
        store_client.PlatformStore(settings.store),
        lambda: store_client.PlatformStore(settings.store),
    )
