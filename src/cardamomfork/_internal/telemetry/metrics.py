"""Metrics of the daemon as OpenTelemetry instruments.

Only the OpenTelemetry API is imported; without an exporter the instruments are
no-ops. Attributes have low cardinality, so accounts are never an attribute.
"""

from __future__ import annotations

import bisect
import time
from typing import TYPE_CHECKING

from opentelemetry import metrics as api

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    import types

    from cardamomfork._internal.models import outcomes

PREFIX = "cardamomfork."
BAND_EDGES = (1_000, 4_000, 16_000, 64_000, 256_000)
BAND_NAMES = ("<1k", "1k-4k", "4k-16k", "16k-64k", "64k-256k", ">=256k")
MAX_SERVICES = 64
OTHER_SERVICE = "other"
FIRST_TOKEN_EDGES_S = (
    0.03, 0.06, 0.12, 0.24, 0.48, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0, 300.0
)  # fmt: skip
SLOWDOWN_EDGES = (1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)
LAG_EDGES_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1.0, 5.0)

_BAND_ATTRIBUTES = tuple({"prompt_length": name} for name in BAND_NAMES)

TableSizes = dict[str, tuple[int, int]]


def band_of(prompt_tokens: int) -> str:
    """Returns the name of the band that contains a prompt length."""
    return BAND_NAMES[bisect.bisect_right(BAND_EDGES, prompt_tokens)]


class Metrics:
    """Records the metrics of a process."""

    def __init__(self, meter: api.Meter) -> None:
        """Creates the instruments.

        Args:
            meter: Meter of the exporter, or `api.NoOpMeter("cardamomfork")`.
        """
        self._meter = meter
        self._services: set[str] = set()
        self._first_token = meter.create_histogram(
            PREFIX + "first_token",
            "s",
            "Time to first token",
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_EDGES_S,
        )
        self._slowdown = meter.create_histogram(
            PREFIX + "slowdown",
            "1",
            "Time from assignment to first token over the time expected",
            explicit_bucket_boundaries_advisory=SLOWDOWN_EDGES,
        )
        self._lag = meter.create_histogram(
            PREFIX + "loop_lag",
            "s",
            "Lateness of the event loop",
            explicit_bucket_boundaries_advisory=LAG_EDGES_S,
        )
        self._outcomes = meter.create_counter(
            PREFIX + "requests", "1", "Ended requests by outcome and reason"
        )
        self._goodput = meter.create_counter(
            PREFIX + "goodput",
            "1",
            "Worth of requests served whole, on time and once",
        )
        self._tokens = meter.create_counter(
            PREFIX + "generated_tokens", "1", "Tokens generated"
        )
        self._resumes = meter.create_counter(
            PREFIX + "resumes", "1", "Broken answers asked for their rest"
        )
        self._control = meter.create_counter(
            PREFIX + "control_time", "s", "Processor time spent on control"
        )
        # A counter is exported only after its first record.
        self._resumes.add(0)
        self._control.add(0.0, {"part": "peers"})

    def record_first_token(self, prompt_tokens: int, seconds: float) -> None:
        """Records the time to first token of a request."""
        band = bisect.bisect_right(BAND_EDGES, prompt_tokens)
        self._first_token.record(seconds, _BAND_ATTRIBUTES[band])

    def record_slowdown(self, prompt_tokens: int, ratio: float) -> None:
        """Records the ratio of actual to expected time to first token."""
        band = bisect.bisect_right(BAND_EDGES, prompt_tokens)
        self._slowdown.record(ratio, _BAND_ATTRIBUTES[band])

    def record_end(
        self,
        service: str,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None = None,
        *,
        worth: float = 1.0,
        on_time: bool = True,
        generated_tokens: int = 0,
    ) -> None:
        """Records the end of a request.

        Args:
            service: Name of the service.
            outcome: Outcome of the request.
            reason: Reason of a refusal or failure; None if there is none.
            worth: Weight of the request in goodput.
            on_time: Whether the request ended before its deadline.
            generated_tokens: Number of generated tokens.
        """
        name = self._bounded_service(service)
        reason_text = reason.value if reason else ""
        attributes = {
            "service": name,
            "outcome": outcome.value,
            "reason": reason_text,
        }
        self._outcomes.add(1, attributes)
        if generated_tokens:
            self._tokens.add(generated_tokens, {"service": name})
        if outcome.value == "done" and on_time:
            self._goodput.add(worth, {"service": name})

    def record_resume(self) -> None:
        """Counts a resumed stream."""
        self._resumes.add(1)

    def record_loop_lag(self, seconds: float) -> None:
        """Records the lag of the event loop."""
        self._lag.record(seconds)

    def time_control(self, part: str) -> ControlTimer:
        """Returns a context manager that measures control processor time.

        Its body must not await: the processor time of other tasks would be
        counted.
        """
        return ControlTimer(
            lambda seconds: self._control.add(seconds, {"part": part})
        )

    def register_gauge(
        self, name: str, unit: str, text: str, read: Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read at each export."""

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            yield api.Observation(read())

        self._meter.create_observable_gauge(
            PREFIX + name, [observe], unit, text
        )

    def register_counters(
        self,
        name: str,
        unit: str,
        text: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Registers a counter whose values are read at each export.

        Args:
            name: Name without the common prefix.
            unit: Unit of the values.
            text: Description.
            label: Attribute whose values are the keys of the counts; empty
                for a single count without an attribute.
            read: Returns the counts by attribute value; a count must never
                decrease.
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for key, count in read().items():
                yield api.Observation(count, {label: key} if label else {})

        self._meter.create_observable_counter(
            PREFIX + name, [observe], unit, text
        )

    def register_table_gauges(self, sizes: Callable[[], TableSizes]) -> None:
        """Registers gauges of the size and bound of each table."""

        def observe_sizes(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for name, (size, _bound) in sizes().items():
                yield api.Observation(size, {"table": name})

        def observe_bounds(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for name, (_size, bound) in sizes().items():
                yield api.Observation(bound, {"table": name})

        self._meter.create_observable_gauge(
            PREFIX + "table_size", [observe_sizes], "1", "Rows held"
        )
        self._meter.create_observable_gauge(
            PREFIX + "table_bound", [observe_bounds], "1", "Most rows"
        )

    def _bounded_service(self, service: str) -> str:
        """Returns the service as an attribute value.

        Limits the cardinality: services after the first `MAX_SERVICES` are
        reported as `other`.
        """
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER_SERVICE
        self._services.add(service)
        return service


class ControlTimer:
    """Context manager that measures the processor time of the thread."""

    def __init__(self, add: Callable[[float], None]) -> None:
        """Initializes the timer.

        Args:
            add: Receives the measured time in seconds.
        """
        self._add = add
        self._start = 0

    def __enter__(self) -> None:
        """Starts the measurement."""
        self._start = time.thread_time_ns()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Reports the elapsed processor time."""
        self._add((time.thread_time_ns() - self._start) / 1e9)
