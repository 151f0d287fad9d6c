"""Passes configuration changes to the order reconciler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.targets import orders_reconciler


class OrderFeed:
    """Applies changes of services and orders to the reconciler.

    `apply` is a subscriber callback of the configuration replica.
    """

    def __init__(
        self,
        reconciler: orders_reconciler.OrderReconciler,
        clock: clock_contract.Clock,
        wake: Callable[[], None] = lambda: None,
    ) -> None:
        """Initializes the feed.

        Args:
            reconciler: Receives the engines and their orders.
            clock: Provides the monotonic time of a change.
            wake: Called after each change so that the reconciler runs at
                once.
        """
        self._reconciler = reconciler
        self._clock = clock
        self._wake = wake
        self._engines: dict[str, frozenset[identifiers.TargetId]] = {}

    def load(self, objects: Iterable[configuration.Versioned]) -> None:
        """Applies the initial configuration."""
        for change in objects:
            self.apply(change)

    def apply(self, change: configuration.Versioned) -> None:
        """Applies one change, which may be a deletion."""
        if change.kind is configuration.ObjectKind.SERVICE:
            self._apply_service(change)
        elif change.kind is configuration.ObjectKind.ORDER:
            self._apply_order(change)
        else:
            return
        self._wake()

    def _apply_order(self, change: configuration.Versioned) -> None:
        """Sets or removes an order."""
        if isinstance(change.value, configuration.Order):
            self._reconciler.apply_order(change.value, self._clock.monotonic())
        else:
            self._reconciler.remove_order(identifiers.TargetId(change.name))

    def _apply_service(self, change: configuration.Versioned) -> None:
        """Sets a service's engines; removes engines that no service lists."""
        engines: tuple[targets.Target, ...] = ()
        if isinstance(change.value, configuration.Service):
            engines = tuple(
                target
                for target in change.value.targets
                if target.kind is targets.TargetKind.ENGINE
            )
        previous_ids = self._engines.pop(change.name, frozenset())
        current_ids = frozenset(target.target_id for target in engines)
        if current_ids:
            self._engines[change.name] = current_ids
        ids_of_other_services = frozenset().union(*self._engines.values())
        for name in previous_ids - ids_of_other_services:
            self._reconciler.remove_target(name)
        for target in engines:
            self._reconciler.apply_target(target, self._clock.monotonic())
