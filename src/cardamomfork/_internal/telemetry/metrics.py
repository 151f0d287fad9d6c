"""The measures that the daemon reports, as OpenTelemetry instruments.

Only the API is imported here; without an exporter the instruments do nothing.
Attributes have few values: accounts are never one of them.
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
    """Returns the name of a prompt's length band."""
    return BAND_NAMES[bisect.bisect_right(BAND_EDGES, prompt_tokens)]


class Metrics:
    """Takes what happened; one object a process."""

    def __init__(self, meter: api.Meter) -> None:
        """Makes the instruments.

        Args:
            meter: Of the exporter, or `api.NoOpMeter("cardamomfork")`.
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
        # A counter is exported from its first record on.
        self._resumes.add(0)
        self._control.add(0.0, {"part": "peers"})

    def record_first_token(self, prompt_tokens: int, seconds: float) -> None:
        """Takes a request's time to first token."""
        band = bisect.bisect_right(BAND_EDGES, prompt_tokens)
        self._first_token.record(seconds, _BAND_ATTRIBUTES[band])

    def record_slowdown(self, prompt_tokens: int, ratio: float) -> None:
        """Takes the time from assignment to first token over the expected."""
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
        """Takes a request's end.

        Args:
            service: The service.
            outcome: What is known of its run.
            reason: Why it ended without a result.
            worth: Its weight in goodput.
            on_time: Whether it ended before its deadline.
            generated_tokens: Tokens that it generated.
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
        """Counts an answer that broke off and is asked for its rest."""
        self._resumes.add(1)

    def record_loop_lag(self, seconds: float) -> None:
        """Takes a loop lag."""
        self._lag.record(seconds)

    def time_control(self, part: str) -> ControlTimer:
        """Returns a context that counts the processor time of control.

        Nothing may be awaited inside it.
        """
        return ControlTimer(
            lambda seconds: self._control.add(seconds, {"part": part})
        )

    def register_gauge(
        self, name: str, unit: str, text: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge that is read at each export, such as a queue length."""

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
        """Adds counters that are read at each export.

        Args:
            name: Their common name.
            unit: Unit of the counts.
            text: What they count.
            label: Label of the keys; empty for a single count without one.
            read: Returns the counts by the label's values; they never fall.
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for key, count in read().items():
                yield api.Observation(count, {label: key} if label else {})

        self._meter.create_observable_counter(
            PREFIX + name, [observe], unit, text
        )

    def register_table_gauges(self, sizes: Callable[[], TableSizes]) -> None:
        """Adds gauges of every table's size and bound."""

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
        """Returns the service's name, or `other` past the bound."""
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER_SERVICE
        self._services.add(service)
        return service


class ControlTimer:
    """Counts the thread's processor time spent inside."""

    def __init__(self, add: Callable[[float], None]) -> None:
        """Starts nothing yet."""
        self._add = add
        self._start = 0

    def __enter__(self) -> None:
        """Starts counting."""
        self._start = time.thread_time_ns()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Adds the time."""
        self._add((time.thread_time_ns() - self._start) / 1e9)
