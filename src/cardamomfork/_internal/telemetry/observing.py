"""The metrics, state dump and watchdog of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.telemetry import dump
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import metrics
from cardamomfork._internal.telemetry import signals
from cardamomfork._internal.telemetry import watchdog

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import settings as settings_models

    Sizes = Mapping[str, tuple[int, int]]


@attrs.frozen
class Observation:
    """Metrics, dump and watchdog of one process.

    Attributes:
        clock: The loop's clock.
        state: Tables for the dump; parts register theirs.
        export: Scrape and OTLP; `export.scrape()` answers `/metrics`.
        metrics: Takes what happens.
        watchdog: Watches loop, memory and tables.
    """

    clock: clock_contract.Clock
    state: dump.StateDump
    export: exporting.MetricsExport
    metrics: metrics.Metrics
    watchdog: watchdog.Watchdog

    def register_sizes(self, prefix: str, sizes: Callable[[], Sizes]) -> None:
        """Registers a part's tables by size and bound alone.

        Args:
            prefix: Put before each table's name, with a dot.
            sizes: Returns size and bound of each table.
        """
        for name, (_, bound) in sizes().items():
            self.state.register(
                dump.Table(
                    f"{prefix}.{name}",
                    lambda name=name: sizes()[name][0],  # type: ignore[misc]
                    bound,
                )
            )

    async def run(self) -> None:
        """Runs watchdog, push and dump by signal until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.watchdog.run)
            group.start_soon(self.export.run)
            group.start_soon(signals.dump_on_signal, self.state, self.clock)


def observe(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
) -> Observation:
    """Makes metrics, state dump and watchdog; nothing runs yet."""
    instance_id = settings.instance.instance_id
    state = dump.StateDump(instance_id)
    export = exporting.MetricsExport(settings.telemetry, instance_id)
    taken = metrics.Metrics(export.meter)
    taken.watch_tables(state.sizes)
    watch = watchdog.Watchdog(clock, state.sizes, taken.loop_lag)
    taken.watch(
        "resident_memory",
        "By",
        "Resident memory",
        lambda: float(watchdog.resident_bytes()),
    )
    return Observation(clock, state, export, taken, watch)
