"""Setup of the metrics, state dump and watchdog of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.telemetry import dump
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import logs
from cardamomfork._internal.telemetry import metrics
from cardamomfork._internal.telemetry import signals
from cardamomfork._internal.telemetry import watchdog

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    import anyio.abc

    from cardamomfork._internal import supervision
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import settings as settings_models

    TableSizes = Mapping[str, tuple[int, int]]


@attrs.frozen
class Instrumentation:
    """Metrics, state dump and watchdog of a process.

    Attributes:
        clock: Clock of the event loop.
        table_registry: Tables for the state dump.
        export: Metrics export; `export.scrape()` serves `/metrics`.
        metrics: Records metrics.
        watchdog: Monitors loop lag, memory and table sizes.
    """

    clock: clock_contract.Clock
    table_registry: dump.TableRegistry
    export: exporting.MetricsExport
    metrics: metrics.Metrics
    watchdog: watchdog.Watchdog

    def register_sizes(
        self, prefix: str, sizes: Callable[[], TableSizes]
    ) -> None:
        """Registers tables for which only size and bound are dumped.

        Args:
            prefix: Prefix of the table names, without the separating dot.
            sizes: Returns the size and bound of each table by name.
        """
        for name, (_, bound) in sizes().items():
            self.table_registry.register(
                dump.Table(
                    f"{prefix}.{name}",
                    lambda name=name: sizes()[name][0],  # type: ignore[misc]
                    bound,
                )
            )

    def start(
        self, tasks: anyio.abc.TaskGroup, supervisor: supervision.Supervisor
    ) -> None:
        """Starts the watchdog and, if it is configured, the OTLP push."""
        supervisor.start(tasks, "watchdog", self.watchdog.run)
        if self.export.is_pushed:
            supervisor.start(tasks, "metrics push", self.export.run)

    def write_dump(self, output: logs.LineSink) -> None:
        """Writes the state dump as a line."""
        signals.write_dump(self.table_registry, self.clock, output)


def make_instrumentation(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
) -> Instrumentation:
    """Creates metrics, table registry and watchdog without starting them."""
    instance_id = settings.instance.instance_id
    table_registry = dump.TableRegistry(instance_id)
    export = exporting.MetricsExport(settings.telemetry, instance_id)
    metrics_registry = metrics.Metrics(export.meter)
    metrics_registry.register_table_gauges(table_registry.sizes)
    process_watchdog = watchdog.Watchdog(
        clock, table_registry.sizes, metrics_registry.record_loop_lag
    )
    metrics_registry.register_gauge(
        "resident_memory",
        "By",
        "Resident memory",
        lambda: float(watchdog.resident_bytes()),
    )
    return Instrumentation(
        clock, table_registry, export, metrics_registry, process_watchdog
    )
