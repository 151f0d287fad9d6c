"""Catalogue of services, their targets, and which accept new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets


class Catalogue:
    """Services by name, their targets, and the targets that are leaving."""

    def __init__(self) -> None:
        """Initializes an empty catalogue."""
        self._services: dict[
            identifiers.ServiceName, configuration.Service
        ] = {}
        self._leaving: set[identifiers.TargetId] = set()

    def apply(self, service: configuration.Service) -> None:
        """Applies a service's current configuration."""
        self._services[service.name] = service

    def remove(self, name: identifiers.ServiceName) -> None:
        """Removes a service."""
        self._services.pop(name, None)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks whether a target is leaving and accepts no new work."""
        if leaving:
            self._leaving.add(target_id)
        else:
            self._leaving.discard(target_id)

    def is_leaving(self, target_id: identifiers.TargetId) -> bool:
        """Returns whether a target is leaving and accepts no new work."""
        return target_id in self._leaving

    def service(
        self, name: identifiers.ServiceName
    ) -> configuration.Service | None:
        """Returns a service, or None if it is not configured."""
        return self._services.get(name)

    def available_targets(
        self,
        name: identifiers.ServiceName,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> list[targets.Target]:
        """Returns a service's targets that accept new work, in order.

        Args:
            name: The service.
            avoid: Targets to leave out.
        """
        service = self._services.get(name)
        if service is None:
            return []
        return [
            target
            for target in service.targets
            if target.target_id not in self._leaving
            and target.target_id not in avoid
        ]

    def __iter__(self) -> Iterator[configuration.Service]:
        """Iterates over the services."""
        return iter(self._services.values())
