"""Lookups over the configuration objects in force."""

from __future__ import annotations

import functools

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers


class ConfigurationIndex:
    """Objects by name, services by model, accounts by key id.

    Two services may name the same model, and two accounts the same key id;
    the first by name then answers, so that every instance answers alike.
    """

    def __init__(self) -> None:
        """Starts empty."""
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
        """Takes an object out and puts its newer version in."""
        if old is not None:
            _remove(old, self)
        if new is not None:
            _insert(new, self)

    def add_models(self, service: configuration.Service) -> None:
        """Makes a service answer for its models."""
        for model in service.models:
            _add_name(self._names_by_model, model, service.name)

    def remove_models(self, service: configuration.Service) -> None:
        """Undoes `add_models`."""
        for model in service.models:
            _discard_name(self._names_by_model, model, service.name)

    def add_keys(self, account: configuration.ClientAccount) -> None:
        """Makes an account answer for its key ids."""
        for key in account.keys:
            _add_name(self._names_by_key, key.key_id, account.name)

    def remove_keys(self, account: configuration.ClientAccount) -> None:
        """Undoes `add_keys`."""
        for key in account.keys:
            _discard_name(self._names_by_key, key.key_id, account.name)


def _add_name(table: dict[str, tuple[str, ...]], key: str, name: str) -> None:
    """Adds a name; a tuple of one takes a quarter of a set's memory."""
    names = table.get(key, ())
    if name not in names:
        table[key] = (*names, name)


def _discard_name(
    table: dict[str, tuple[str, ...]], key: str, name: str
) -> None:
    """Takes a name out and drops the entry once it is empty."""
    names = tuple(other for other in table.get(key, ()) if other != name)
    if names:
        table[key] = names
    else:
        table.pop(key, None)


@functools.singledispatch
def _insert(value: object, index: ConfigurationIndex) -> None:
    """Puts an object in."""
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
    """Takes an object out."""
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
