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
TABLE_COUNTS = (10, 40, 160, 256)
REQUEST_COUNT = 5000
EXPORT_COUNT = 20


def measure(options: reports.Options) -> reports.Report:
    """Measures memory, then recording, then scraping and pushing.

    Memory comes first because only the first import of a library adds memory.
    """
    initial_bytes = watchdog.resident_bytes()
    scrape_only = exporting.MetricsExport(settings.TelemetrySettings(), "one")
    scrape_and_otlp = exporting.MetricsExport(
        settings.TelemetrySettings(otlp_endpoint="http://127.0.0.1:1"), "one"
    )
    after_sdk_bytes = watchdog.resident_bytes()
    metrics.Metrics(scrape_and_otlp.meter).record_loop_lag(0.0)
    scrape_and_otlp.encode()
    after_otlp_bytes = watchdog.resident_bytes()
    memory = reports.Table(
        "resident memory added, MB",
        ("by", "MB"),
        (
            (
                "SDK and scrape",
                f"{(after_sdk_bytes - initial_bytes) / 1e6:.1f}",
            ),
            (
                "OTLP encoder",
                f"{(after_otlp_bytes - after_sdk_bytes) / 1e6:.1f}",
            ),
        ),
    )
    table_counts = TABLE_COUNTS[:1] if options.smallest else TABLE_COUNTS
    request_count = REQUEST_COUNT // 10 if options.smallest else REQUEST_COUNT
    recording = reports.Table(
        f"us of processor time a request, and a second at"
        f" {REQUESTS_PER_S:g} requests/s",
        ("exporter", "us a request", "us a second"),
        tuple(
            _make_row(name, _measure_recording_us(meter, request_count))
            for name, meter in (
                ("none", api.NoOpMeter("none")),
                ("scrape", scrape_only.meter),
                ("scrape and OTLP", scrape_and_otlp.meter),
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
                    (
                        float(table_count),
                        _measure_export_us(table_count, push=False),
                    )
                    for table_count in table_counts
                ),
            ),
            reports.Slope(
                "us of processor time an OTLP message",
                "tables",
                tuple(
                    (
                        float(table_count),
                        _measure_export_us(table_count, push=True),
                    )
                    for table_count in table_counts
                ),
            ),
        ),
    )


def _make_row(name: str, request_us: float) -> tuple[str, str, str]:
    """Returns a row of the table of recording costs."""
    return name, f"{request_us:.1f}", f"{request_us * REQUESTS_PER_S:.0f}"


def _measure_recording_us(meter: api.Meter, count: int) -> float:
    """Returns the processor time of recording one request, in us."""
    recorder = metrics.Metrics(meter)

    def record() -> None:
        for number in range(count):
            recorder.record_first_token(number * 50, 0.2)
            recorder.record_slowdown(number * 50, 1.5)
            recorder.record_end(
                f"service-{number % 35}",
                outcomes.Outcome.DONE,
                generated_tokens=100,
            )

    record()
    return _measure_processor_us(record) / count


def _measure_export_us(table_count: int, *, push: bool) -> float:
    """Returns the processor time of one scrape or OTLP message, in us."""
    state = dump.TableRegistry("one")
    for number in range(table_count):
        state.register(dump.Table(f"table-{number}", lambda: 1, 2))
    endpoint = "http://127.0.0.1:1" if push else ""
    export = exporting.MetricsExport(
        settings.TelemetrySettings(otlp_endpoint=endpoint), "one"
    )
    recorder = metrics.Metrics(export.meter)
    recorder.register_table_gauges(state.sizes)
    _measure_recording_us(export.meter, 200)
    export_once = export.encode if push else export.scrape

    def export_all() -> None:
        for _ in range(EXPORT_COUNT):
            export_once()

    return _measure_processor_us(export_all) / EXPORT_COUNT


def _measure_processor_us(call: Callable[[], object]) -> float:
    """Returns the processor time of a call, in us."""
    start = time.process_time_ns()
    call()
    return (time.process_time_ns() - start) / 1000
