"""Handlers that apply the store's entries to the fleet state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.gateway.state import fleet_state
    from cardamomfork._internal.gateway.store import change_relay


class ConfigurationHandler:
    """Applies the operators' configuration and orders from the store."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        on_applied: Callable[[], None],
        wire: platform_format.PlatformFormat,
        orders: evacuations.Evacuations | None = None,
    ) -> None:
        """Initializes the handler.

        Args:
            state: State to update.
            on_applied: Called after a new configuration is in force.
            wire: Decodes keys of orders.
            orders: Evacuations to update; None if they are not observed.
        """
        self._state = state
        self._on_applied = on_applied
        self._wire = wire
        self._evacuations = orders or evacuations.Evacuations()
        self._order_faults = entry_faults.EntryFaults(
            "malformed order to evacuate"
        )
        self._faults = entry_faults.EntryFaults("configuration not applied")

    def store_restored(self, revision: int) -> None:
        """Does nothing, since versions decide which configuration is newer."""
        del revision

    def apply_snapshot(self, scan: store.Scan) -> None:
        """Applies the entries of a full scan.

        Orders go first: the first configuration lets requests be served.
        """
        self._evacuations.apply_scan(
            self._decode_orders(scan.entries), scan.revision
        )
        self._apply_configurations(scan.entries)

    def apply_changes(self, batch: store.WatchBatch) -> None:
        """Applies changes; a deletion leaves the configuration in force."""
        self._evacuations.apply_changes(
            self._decode_orders(batch.entries), batch.revision
        )
        self._apply_configurations(batch.entries)

    def _apply_configurations(self, entries: Iterable[store.Entry]) -> None:
        """Applies the configurations among some entries."""
        for entry in entries:
            if (
                entry.key != self._wire.configuration_key
                or entry.version == store.ABSENT
            ):
                continue
            with self._faults.contained(entry.key, entry.version):
                if self._state.apply_configuration(
                    entry.value, entry.version, "store"
                ):
                    self._on_applied()

    def _decode_orders(
        self, entries: Iterable[store.Entry]
    ) -> list[evacuations.Change]:
        """Returns the orders to evacuate among some entries."""
        orders = []
        for entry in entries:
            decoded = self._wire.decode_evacuation(entry.key)
            if isinstance(decoded, result.Err):
                self._order_faults.record(
                    entry.key, entry.version, decoded.err_value
                )
            elif decoded is not None:
                orders.append(
                    evacuations.Change(decoded.ok_value, entry.version)
                )
        self._order_faults.summarize()
        return orders


class TargetsHandler:
    """Applies the targets' entries from the store."""

    def __init__(
        self, state: fleet_state.FleetState, on_change: Callable[[], None]
    ) -> None:
        """Initializes the handler.

        Args:
            state: State to update.
            on_change: Called after each update.
        """
        self._state = state
        self._on_change = on_change

    def store_restored(self, revision: int) -> None:
        """Keeps what is known of targets until their entries are back."""
        self._state.store_restored(revision)

    def apply_snapshot(self, scan: store.Scan) -> None:
        """Applies the entries of a full scan."""
        self._state.replace_targets(scan.entries)
        self._on_change()

    def apply_changes(self, batch: store.WatchBatch) -> None:
        """Applies changes of entries."""
        for entry in batch.entries:
            self._state.apply_target(entry)
        self._state.summarize_faults()
        self._on_change()

    def apply_relayed_change(self, change: change_relay.Change) -> None:
        """Applies a change that a peer has received."""
        self._state.apply_relayed_target(change)
        self._on_change()
