"""Brings accepted configuration into force in this process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.targets import leaving


class ConfigurationConsumer(Protocol):
    """What configuration takes effect on."""

    def apply_service(self, service: configuration.Service) -> None:
        """Takes a service."""
        ...

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service."""
        ...

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
        ...

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes a client account."""
        ...

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets a client account."""
        ...


class ConfigurationApplier:
    """Hands each change to the site; subscribe `apply` to the replica."""

    def __init__(
        self,
        consumer: ConfigurationConsumer,
        leaving_targets: leaving.LeavingTargets,
        on_local_drain: Callable[[bool], None],
        instance_id: identifiers.InstanceId,
    ) -> None:
        """Takes what it connects.

        Args:
            site: Where changes take effect.
            marks: Targets that take no new work.
            on_local_drain: Told whether an operator drains this instance.
            instance_id: This instance.
        """
        self._consumer = consumer
        self._leaving_targets = leaving_targets
        self._on_local_drain = on_local_drain
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
            self._consumer.remove_service(identifiers.ServiceName(change.name))
            return
        self._consumer.apply_service(change.value)
        for target in change.value.targets:
            if self._leaving_targets.is_leaving(target.target_id):
                self._consumer.set_leaving(target.target_id, True)

    def _apply_account(self, change: configuration.Versioned) -> None:
        """Takes or forgets a client account."""
        if isinstance(change.value, configuration.ClientAccount):
            self._consumer.apply_account(change.value)
        else:
            self._consumer.remove_account(identifiers.AccountName(change.name))

    def _apply_drain(self, change: configuration.Versioned) -> None:
        """Starts or ends a drain."""
        is_drained = change.value is not None
        if change.name == self._instance_id:
            self._on_local_drain(is_drained)
        else:
            target_id = identifiers.TargetId(change.name)
            self._leaving_targets.set_drained(target_id, is_drained)
