"""Writes a state dump, as operators request it by SIGUSR1."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.telemetry import dump
    from cardamomfork._internal.telemetry import logs


def write_dump(
    table_registry: dump.TableRegistry,
    clock: clock_contract.Clock,
    output: logs.LineSink,
) -> None:
    """Writes a dump as a line of JSON.

    Args:
        table_registry: Tables to dump.
        clock: Clock for the time of the dump.
        output: Receives the line.
    """
    captured = table_registry.take(clock.wall())
    output.write(captured.to_json().decode() + "\n")
    output.flush()
