"""Takers of what the platform's store holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.contracts import store

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cardamomfork._internal.gateway import fleet_state


class ConfigurationHandler:
    """Takes the operators' configuration from the store."""

    def __init__(
        self, state: fleet_state.FleetState, on_applied: Callable[[], None]
    ) -> None:
        """Takes what holds it, and what to call with a new one."""
        self._state = state
        self._on_applied = on_applied

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Takes all entries."""
        for entry in entries:
            self.apply_change(entry)

    def apply_change(self, entry: store.Entry) -> None:
        """Takes one change; a configuration is never taken away."""
        if entry.version == store.ABSENT:
            return
        if self._state.apply_configuration(entry.value, entry.version, "store"):
            self._on_applied()


class TargetsHandler:
    """Takes the targets' entries from the store."""

    def __init__(
        self, state: fleet_state.FleetState, on_change: Callable[[], None]
    ) -> None:
        """Takes what holds them, and what to call after a change."""
        self._state = state
        self._on_change = on_change

    def apply_snapshot(self, entries: Iterable[store.Entry]) -> None:
        """Takes all entries."""
        self._state.replace_targets(entries)
        self._on_change()

    def apply_change(self, entry: store.Entry) -> None:
        """Takes one change."""
        self._state.apply_target(entry)
        self._on_change()
