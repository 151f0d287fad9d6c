"""The platform's list of live and leaving instances and targets; it lags."""

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
    """An entry instance as the platform lists it."""

    instance: instances.Instance
    leaving: bool = False


@attrs.frozen
class ListedTarget:
    """A target as the platform lists it."""

    target_id: identifiers.TargetId
    boot_id: identifiers.BootId
    leaving: bool = False


@attrs.frozen
class Listing:
    """The list as of some time ago."""

    instances: tuple[ListedInstance, ...] = ()
    targets: tuple[ListedTarget, ...] = ()


class InstanceList(Protocol):
    """Reads the platform's list."""

    async def fetch(self) -> result.Result[Listing, store.StoreFault]:
        """Returns the list as the platform has it now."""
        ...
