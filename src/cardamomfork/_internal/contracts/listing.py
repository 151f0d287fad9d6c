"""The platform's list of live and leaving instances and targets.

The list may lag behind the actual state.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.contracts import store
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances


@attrs.frozen
class ListedInstance:
    """An entry instance in the platform's list."""

    instance: instances.Instance
    leaving: bool = False


@attrs.frozen
class ListedTarget:
    """A target in the platform's list."""

    target_id: identifiers.TargetId
    boot_id: identifiers.BootId
    leaving: bool = False


@attrs.frozen
class Listing:
    """A possibly outdated copy of the list."""

    instances: tuple[ListedInstance, ...] = ()
    targets: tuple[ListedTarget, ...] = ()


class InstanceList(Protocol):
    """Reads the platform's list."""

    async def fetch(self) -> result.Result[Listing, store.StoreFault]:
        """Fetches the current list."""
        ...
