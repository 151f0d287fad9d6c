"""Memory of the telemetry libraries, and the cost of recording and scraping."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from opentelemetry import metrics as api

from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import settings
from cardamomfork._internal.telemetry import dump
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import metrics
from cardamomfork._internal.telemetry import watchdog

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS_PER_S = 50.0
SIZES = (10, 40, 160, 256)
REQUESTS = 5000
EXPORTS = 20


def measure(options: reports.Options) -> reports.Report:
    """Measures memory first, since imports count only once."""
    before = watchdog.resident_bytes()
    export = exporting.MetricsExport(settings.TelemetrySettings(), "one")
    both = exporting.MetricsExport(
        settings.TelemetrySettings(otlp_endpoint="http://127.0.0.1:1"), "one"
    )
    opened = watchdog.resident_bytes()
    metrics.Metrics(both.meter).record_loop_lag(0.0)
    both.encode()
    encoded = watchdog.resident_bytes()
    memory = reports.Table(
        "resident memory added, MB",
        ("by", "MB"),
        (
            ("SDK and scrape", f"{(opened - before) / 1e6:.1f}"),
            ("OTLP encoder", f"{(encoded - opened) / 1e6:.1f}"),
        ),
    )
    sizes = SIZES[:1] if options.smallest else SIZES
    requests = REQUESTS // 10 if options.smallest else REQUESTS
    recording = reports.Table(
        f"us of processor time a request, and a second at"
        f" {REQUESTS_PER_S:g} requests/s",
        ("exporter", "us a request", "us a second"),
        tuple(
            _row(name, _record_us(meter, requests))
            for name, meter in (
                ("none", api.NoOpMeter("none")),
                ("scrape", export.meter),
                ("scrape and OTLP", both.meter),
            )
        ),
    )
    return reports.Report(
        "telemetry",
        (
            memory,
            recording,
            reports.Slope(
                "us of processor time a scrape",
                "tables",
                tuple(
                    (float(size), _export_us(size, push=False))
                    for size in sizes
                ),
            ),
            reports.Slope(
                "us of processor time an OTLP message",
                "tables",
                tuple(
                    (float(size), _export_us(size, push=True)) for size in sizes
                ),
            ),
        ),
    )


def _row(name: str, cost_us: float) -> tuple[str, str, str]:
    """Returns a row of the recording table."""
    return name, f"{cost_us:.1f}", f"{cost_us * REQUESTS_PER_S:.0f}"


def _record_us(meter: api.Meter, count: int) -> float:
    """Returns the processor time of recording one request, in us."""
    taken = metrics.Metrics(meter)

    def record() -> None:
        for number in range(count):
            taken.record_first_token(number * 50, 0.2)
            taken.record_slowdown(number * 50, 1.5)
            taken.record_end(
                f"service-{number % 35}",
                outcomes.Outcome.DONE,
                generated_tokens=100,
            )

    record()
    return _time_us(record) / count


def _export_us(tables: int, *, push: bool) -> float:
    """Returns the processor time of one scrape or OTLP message, in us."""
    state = dump.TableRegistry("one")
    for number in range(tables):
        state.register(dump.Table(f"table-{number}", lambda: 1, 2))
    endpoint = "http://127.0.0.1:1" if push else ""
    export = exporting.MetricsExport(
        settings.TelemetrySettings(otlp_endpoint=endpoint), "one"
    )
    taken = metrics.Metrics(export.meter)
    taken.register_table_gauges(state.sizes)
    _record_us(export.meter, 200)
    give = export.encode if push else export.scrape

    def give_all() -> None:
        for _ in range(EXPORTS):
            give()

    return _time_us(give_all) / EXPORTS


def _time_us(call: Callable[[], object]) -> float:
    """Returns the processor time of a call, in us."""
    start = time.process_time_ns()
    call()
    return (time.process_time_ns() - start) / 1000
