"""Brings accepted configuration into force in this process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.configuration import replica


class Site(Protocol):
    """What configuration takes effect on."""

    def apply_service(self, changed: configuration.Service) -> None:
        """Takes a service."""
        ...

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service."""
        ...

    def apply_account(self, changed: configuration.ClientAccount) -> None:
        """Takes a client account."""
        ...

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets a client account."""
        ...

    def set_drained(self, target_id: str, drained: bool) -> None:
        """Marks a target that takes no new work, by an operator's word."""
        ...


class ConfigurationApplier:
    """Hands each change to the site; subscribe `apply` to the replica."""

    def __init__(
        self,
        site: Site,
        held: replica.ConfigurationReplica,
        on_own_drain: Callable[[bool], None],
        instance_id: identifiers.InstanceId,
    ) -> None:
        """Takes what it connects.

        Args:
            site: Where changes take effect.
            held: Configuration in force; knows the drains of new targets.
            on_own_drain: Told whether an operator drains this instance.
            instance_id: This instance.
        """
        self._site = site
        self._held = held
        self._on_own_drain = on_own_drain
        self._instance_id = instance_id
        self._handlers: dict[
            configuration.ObjectKind, Callable[[configuration.Versioned], None]
        ] = {
            configuration.ObjectKind.SERVICE: self._apply_service,
            configuration.ObjectKind.ACCOUNT: self._apply_account,
            configuration.ObjectKind.DRAIN: self._apply_drain,
        }

    def apply(self, change: configuration.Versioned) -> None:
        """Takes one change; deletions too."""
        handler = self._handlers.get(change.kind)
        if handler is not None:
            handler(change)

    def _apply_service(self, change: configuration.Versioned) -> None:
        """Takes or forgets a service."""
        if not isinstance(change.value, configuration.Service):
            self._site.remove_service(identifiers.ServiceName(change.name))
            return
        self._site.apply_service(change.value)
        for target in change.value.targets:
            if self._held.is_drained(target.target_id):
                self._site.set_drained(target.target_id, True)

    def _apply_account(self, change: configuration.Versioned) -> None:
        """Takes or forgets a client account."""
        if isinstance(change.value, configuration.ClientAccount):
            self._site.apply_account(change.value)
        else:
            self._site.remove_account(identifiers.AccountName(change.name))

    def _apply_drain(self, change: configuration.Versioned) -> None:
        """Starts or ends a drain."""
        drained = change.value is not None
        if change.name == self._instance_id:
            self._on_own_drain(drained)
        else:
            self._site.set_drained(change.name, drained)
