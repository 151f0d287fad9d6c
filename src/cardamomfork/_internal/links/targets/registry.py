"""Target links of a process, one for each configured target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.links.targets import link

if TYPE_CHECKING:
    from cardamomfork._internal.links.targets import idle
    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers


class LinkRegistry:
    """Holds the links to the targets of all services."""

    def __init__(self, idle_monitor: idle.IdleMonitor) -> None:
        """Initializes the registry without links.

        Args:
            idle_monitor: Idle timeouts of this process's streams.
        """
        self._idle_monitor = idle_monitor
        self._links: dict[identifiers.TargetId, link.HttpTargetLink] = {}
        self._targets: dict[str, frozenset[identifiers.TargetId]] = {}
        self.counters = link.LinkCounters()

    @property
    def links(self) -> tuple[link.HttpTargetLink, ...]:
        """All links."""
        return tuple(self._links.values())

    def find(
        self, target_id: identifiers.TargetId
    ) -> link.HttpTargetLink | None:
        """Returns the link to a target, or None if it is not configured."""
        return self._links.get(target_id)

    def apply_service(self, service: configuration.Service) -> None:
        """Adds or updates the links of a service's targets.

        A removed link stays usable for calls that hold it.
        """
        for target in service.targets:
            current_link = self._links.get(target.target_id)
            if current_link is None or current_link.target != target:
                self._links[target.target_id] = link.HttpTargetLink(
                    target, self._idle_monitor, self.counters
                )
        self._targets[service.name] = frozenset(
            target.target_id for target in service.targets
        )
        self._drop_unused()

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service and the links that no other service uses."""
        self._targets.pop(name, None)
        self._drop_unused()

    async def close(self) -> None:
        """Closes the connections of all links."""
        for target_link in self.links:
            await target_link.close()

    def _drop_unused(self) -> None:
        """Removes links to targets that no service has."""
        used = frozenset().union(*self._targets.values())
        for target_id in set(self._links) - used:
            del self._links[target_id]
