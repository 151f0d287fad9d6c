"""Opens the daemon's sessions with the platform's store."""

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
"""Key prefix of components; the store client adds the configured prefix."""


@attrs.frozen
class StoreSessions:
    """Sessions with the store.

    Attributes:
        store: Session shared by all components.
        connect: Opens another session on separate connections.
    """

    store: store_contract.Store
    connect: Callable[[], store_contract.Store]


def make_store_sessions(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
) -> StoreSessions:
    """Creates sessions with the configured store or an embedded one."""
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
