"""Lookup of configured services and client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers


class ServiceDirectory:
    """Finds services by name or model, and accounts by name."""

    def __init__(self) -> None:
        """Initializes an empty directory."""
        self._services: dict[str, configuration.Service] = {}
        self._service_name_by_model: dict[str, str] = {}
        self._accounts: dict[str, configuration.ClientAccount] = {}

    def apply_service(self, service: configuration.Service) -> None:
        """Adds a service or replaces its configuration."""
        self._services[service.name] = service
        self._index_models()

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service."""
        self._services.pop(name, None)
        self._index_models()

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Adds an account or replaces its configuration."""
        self._accounts[account.name] = account

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account."""
        self._accounts.pop(name, None)

    def account(
        self, name: identifiers.AccountName
    ) -> configuration.ClientAccount | None:
        """Returns an account, or None if it is not configured."""
        return self._accounts.get(name)

    def service(self, name: str) -> configuration.Service | None:
        """Returns the service with a name, or None."""
        return self._services.get(name)

    def retry_budget(self, name: identifiers.ServiceName) -> float:
        """Returns a service's retry budget, or 0 if it is not configured."""
        service = self._services.get(name)
        return service.retry_budget if service else 0.0

    def targets_of(
        self, name: identifiers.ServiceName
    ) -> frozenset[identifiers.TargetId]:
        """Returns a service's targets; empty if it is not configured."""
        service = self._services.get(name)
        if service is None:
            return frozenset()
        return frozenset(target.target_id for target in service.targets)

    def service_of_model(self, model: str) -> configuration.Service | None:
        """Returns the service that serves a model or has its name, or None."""
        name = self._service_name_by_model.get(model, model)
        return self._services.get(name)

    def _index_models(self) -> None:
        """Rebuilds the index; the first service by name wins a shared model."""
        self._service_name_by_model = {}
        for name in sorted(self._services):
            for model in self._services[name].models:
                self._service_name_by_model.setdefault(model, name)
