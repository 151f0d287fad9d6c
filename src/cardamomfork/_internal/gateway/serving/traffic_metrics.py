"""Metrics of the requests that this instance serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics as api

from cardamomfork._internal.telemetry import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cardamomfork._internal.gateway.requests import exchanges

LATENCY_BUCKETS_S = (
    0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0
)  # fmt: skip


class TrafficMetrics:
    """Records the end of each request."""

    def __init__(
        self,
        meter: api.Meter,
        gauges: dict[str, Callable[[], float]],
        count_task_failures: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        """Creates the instruments.

        Args:
            meter: Meter of the exporter, or `api.NoOpMeter("cardamomfork")`.
            gauges: Functions that return the values of gauges, by name.
            count_task_failures: Returns the number of failures of each
                background task, by name.
        """
        self._requests = meter.create_counter(
            metrics.PREFIX + "gateway.requests",
            "1",
            "Ended requests by service, status and cause",
        )
        self._latency = meter.create_histogram(
            metrics.PREFIX + "gateway.latency",
            "s",
            "Time from a request's arrival to its end",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        for name, read in gauges.items():
            meter.create_observable_gauge(
                metrics.PREFIX + "gateway." + name,
                [_make_callback(read)],
            )

        def observe_failures(
            _: api.CallbackOptions,
        ) -> list[api.Observation]:
            return [
                api.Observation(count, {"task": name})
                for name, count in count_task_failures().items()
            ]

        meter.create_observable_counter(
            metrics.PREFIX + "background_task_failures",
            [observe_failures],
            "1",
            "Failures of background tasks by task",
        )

    def record_rejected(self, status: int) -> None:
        """Counts a request that was rejected before forwarding."""
        self._requests.add(1, {"status": status, "cause": "rejected"})

    def record_ended(
        self,
        exchange: exchanges.Exchange,
        status: int,
        reason: str,
        seconds: float,
    ) -> None:
        """Counts a request that was forwarded, or refused by the forwarder."""
        service = exchange.match.service.name
        cause = reason.partition(":")[0]
        self._requests.add(
            1, {"service": service, "status": status, "cause": cause}
        )
        generation = exchange.request.generation
        length_band = (
            metrics.band_of(generation.prompt_tokens) if generation else "-"
        )
        self._latency.record(
            seconds, {"service": service, "prompt_length": length_band}
        )


def _make_callback(
    read: Callable[[], float],
) -> Callable[[api.CallbackOptions], list[api.Observation]]:
    """Returns a callback that observes the value of a gauge."""

    def observe(_: api.CallbackOptions) -> list[api.Observation]:
        return [api.Observation(read())]

    return observe
