"""Applies configuration changes to this process."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.targets import leaving


class ConfigurationConsumer(Protocol):
    """Component that applies configuration changes to request handling."""

    def apply_service(self, service: configuration.Service) -> None:
        """Adds or updates a service."""
        ...

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service."""
        ...

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Sets whether a target is leaving and accepts no new requests."""
        ...

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Adds or updates a client account."""
        ...

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes a client account."""
        ...


class ConfigurationApplier:
    """Applies each configuration change to the component that it concerns.

    `apply` is to be subscribed to the configuration replica.
    """

    def __init__(
        self,
        consumer: ConfigurationConsumer,
        leaving_targets: leaving.LeavingTargets,
        on_local_drain: Callable[[bool], None],
        instance_id: identifiers.InstanceId,
    ) -> None:
        """Initializes the applier.

        Args:
            consumer: Receives changes of services and accounts.
            leaving_targets: Targets that accept no new requests.
            on_local_drain: Called with whether an operator drains the local
                instance.
            instance_id: Identifier of the local instance.
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
        """Applies one change, which may be a deletion."""
        handler = self._handlers.get(change.kind)
        if handler is not None:
            handler(change)

    def _apply_service(self, change: configuration.Versioned) -> None:
        """Applies or removes a service."""
        if not isinstance(change.value, configuration.Service):
            self._consumer.remove_service(identifiers.ServiceName(change.name))
            return
        self._consumer.apply_service(change.value)
        for target in change.value.targets:
            if self._leaving_targets.is_leaving(target.target_id):
                self._consumer.set_leaving(target.target_id, True)

    def _apply_account(self, change: configuration.Versioned) -> None:
        """Applies or removes a client account."""
        if isinstance(change.value, configuration.ClientAccount):
            self._consumer.apply_account(change.value)
        else:
            self._consumer.remove_account(identifiers.AccountName(change.name))

    def _apply_drain(self, change: configuration.Versioned) -> None:
        """Starts or ends the drain of a target or of the local instance."""
        is_drained = change.value is not None
        if change.name == self._instance_id:
            self._on_local_drain(is_drained)
        else:
            target_id = identifiers.TargetId(change.name)
            self._leaving_targets.set_drained(target_id, is_drained)
