"""Index of the configuration objects in force."""

from __future__ import annotations

import functools

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers


class ConfigurationIndex:
    """Objects by name, services by model, accounts by key id.

    If several services name the same model, or several accounts the same key
    id, lookups return the first by name, so that all instances agree.
    """

    def __init__(self) -> None:
        """Initializes an empty index."""
        self.services: dict[identifiers.ServiceName, configuration.Service] = {}
        self.accounts: dict[
            identifiers.AccountName, configuration.ClientAccount
        ] = {}
        self.drains: dict[str, configuration.Drain] = {}
        self.orders: dict[identifiers.TargetId, configuration.Order] = {}
        self._names_by_model: dict[str, tuple[str, ...]] = {}
        self._names_by_key: dict[str, tuple[str, ...]] = {}

    def service_for_model(self, model: str) -> configuration.Service | None:
        """Returns the service that serves a model."""
        names = self._names_by_model.get(model)
        if not names:
            return None
        return self.services[identifiers.ServiceName(min(names))]

    def account_of_key(self, key_id: str) -> configuration.ClientAccount | None:
        """Returns the account that holds a key id."""
        names = self._names_by_key.get(key_id)
        if not names:
            return None
        return self.accounts[identifiers.AccountName(min(names))]

    def replace(
        self,
        old: configuration.ConfigurationObject | None,
        new: configuration.ConfigurationObject | None,
    ) -> None:
        """Replaces an object by its newer version; None for no object."""
        if old is not None:
            _remove(old, self)
        if new is not None:
            _insert(new, self)

    def add_models(self, service: configuration.Service) -> None:
        """Adds a service to the lookup by model."""
        for model in service.models:
            _add_name(self._names_by_model, model, service.name)

    def remove_models(self, service: configuration.Service) -> None:
        """Removes a service from the lookup by model."""
        for model in service.models:
            _discard_name(self._names_by_model, model, service.name)

    def add_keys(self, account: configuration.ClientAccount) -> None:
        """Adds an account to the lookup by key id."""
        for key in account.keys:
            _add_name(self._names_by_key, key.key_id, account.name)

    def remove_keys(self, account: configuration.ClientAccount) -> None:
        """Removes an account from the lookup by key id."""
        for key in account.keys:
            _discard_name(self._names_by_key, key.key_id, account.name)


def _add_name(table: dict[str, tuple[str, ...]], key: str, name: str) -> None:
    """Adds a name.

    Names are kept in a tuple, which with one name needs a quarter of the
    memory of a set.
    """
    names = table.get(key, ())
    if name not in names:
        table[key] = (*names, name)


def _discard_name(
    table: dict[str, tuple[str, ...]], key: str, name: str
) -> None:
    """Removes a name, and the entry if no name is left."""
    names = tuple(other for other in table.get(key, ()) if other != name)
    if names:
        table[key] = names
    else:
        table.pop(key, None)


@functools.singledispatch
def _insert(value: object, index: ConfigurationIndex) -> None:
    """Inserts an object into the index."""
    raise TypeError(f"{type(value).__name__}: {index}")


@_insert.register
def _insert_service(
    value: configuration.Service, index: ConfigurationIndex
) -> None:
    index.services[value.name] = value
    index.add_models(value)


@_insert.register
def _insert_account(
    value: configuration.ClientAccount, index: ConfigurationIndex
) -> None:
    index.accounts[value.name] = value
    index.add_keys(value)


@_insert.register
def _insert_drain(
    value: configuration.Drain, index: ConfigurationIndex
) -> None:
    index.drains[value.name] = value


@_insert.register
def _insert_order(
    value: configuration.Order, index: ConfigurationIndex
) -> None:
    index.orders[value.name] = value


@functools.singledispatch
def _remove(value: object, index: ConfigurationIndex) -> None:
    """Removes an object from the index."""
    raise TypeError(f"{type(value).__name__}: {index}")


@_remove.register
def _remove_service(
    value: configuration.Service, index: ConfigurationIndex
) -> None:
    del index.services[value.name]
    index.remove_models(value)


@_remove.register
def _remove_account(
    value: configuration.ClientAccount, index: ConfigurationIndex
) -> None:
    del index.accounts[value.name]
    index.remove_keys(value)


@_remove.register
def _remove_drain(
    value: configuration.Drain, index: ConfigurationIndex
) -> None:
    del index.drains[value.name]


@_remove.register
def _remove_order(
    value: configuration.Order, index: ConfigurationIndex
) -> None:
    del index.orders[value.name]
