"""Handlers that apply the store's entries to the fleet state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.gateway.state import fleet_state
    from cardamomfork._internal.gateway.store import change_relay


class ConfigurationHandler:
    """Applies the operators' configuration from the store."""

    def __init__(
        self, state: fleet_state.FleetState, on_applied: Callable[[], None]
    ) -> None:
        """Initializes the handler.

        Args:
            state: State to update.
            on_applied: Called after a new configuration is in force.
        """
        self._state = state
        self._on_applied = on_applied

    def store_restored(self, revision: int) -> None:
        """Does nothing, since versions decide which configuration is newer."""
        del revision

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Applies the entries of a full scan."""
        for entry in entries:
            self.apply_change(entry)

    def apply_change(self, entry: store.Entry) -> None:
        """Applies a change; a deletion leaves the configuration in force."""
        if entry.version == store.ABSENT:
            return
        if self._state.apply_configuration(entry.value, entry.version, "store"):
            self._on_applied()


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

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Applies the entries of a full scan."""
        self._state.replace_targets(entries)
        self._on_change()

    def apply_change(self, entry: store.Entry) -> None:
        """Applies a change of one entry."""
        self._state.apply_target(entry)
        self._on_change()

    def apply_relayed_change(self, change: change_relay.Change) -> None:
        """Applies a change that a peer has received."""
        self._state.apply_relayed_target(change)
        self._on_change()
