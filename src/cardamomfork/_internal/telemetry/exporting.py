"""Metrics export by Prometheus scrape and OTLP push.

The SDK is imported when a `MetricsExport` is created and the OTLP encoder at
the first push, so that a process that uses neither saves their memory. Pushes
run on the event loop, because the SDK's periodic reader would start a thread.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
from loguru import logger

if TYPE_CHECKING:
    from opentelemetry import metrics as api

    from cardamomfork._internal.models import settings

SCRAPE_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OTLP_CONTENT_TYPE = b"application/x-protobuf"
PUSH_TIMEOUT_S = 10.0
METRICS_PATH = "/v1/metrics"
_INSTANCE_ATTRIBUTE = "service.instance.id"


@attrs.frozen
class Scrape:
    """Response to a Prometheus scrape.

    Attributes:
        content_type: Value of the `Content-Type` header.
        body: Metrics in the Prometheus text format.
    """

    content_type: str
    body: bytes


class MetricsExport:
    """Provides a meter and exports its metrics."""

    def __init__(
        self, telemetry: settings.TelemetrySettings, instance_id: str
    ) -> None:
        """Imports the SDK and creates the meter provider.

        Args:
            telemetry: Settings with the OTLP endpoint and interval.
            instance_id: Instance id, exported as a resource attribute.
        """
        from opentelemetry.exporter import prometheus
        from opentelemetry.sdk import metrics as sdk
        from opentelemetry.sdk import resources
        import prometheus_client

        self._telemetry = telemetry
        self._prometheus_client: Any = prometheus_client
        self._registry = prometheus_client.CollectorRegistry()
        resource = resources.Resource(
            {"service.name": "cardamomfork", _INSTANCE_ATTRIBUTE: instance_id}
        )
        readers = [
            prometheus.PrometheusMetricReader(
                scope_info_enabled=False, registry=self._registry
            )
        ]
        # Each reader adds an aggregation to every recorded measurement, so the
        # OTLP reader is created only if it is used.
        self._reader = _make_reader() if telemetry.otlp_endpoint else None
        if self._reader is not None:
            readers.append(self._reader)
        self._provider = sdk.MeterProvider(
            readers, resource, shutdown_on_exit=False
        )
        self.completed_push_count = 0
        self.failed_push_count = 0

    @property
    def meter(self) -> api.Meter:
        """Meter on which `metrics.Metrics` creates its instruments."""
        return self._provider.get_meter("cardamomfork")

    @property
    def is_pushed(self) -> bool:
        """Whether an OTLP endpoint is configured."""
        return self._reader is not None

    def scrape(self) -> Scrape:
        """Returns all metrics in the Prometheus text format."""
        body = self._prometheus_client.generate_latest(self._registry)
        return Scrape(SCRAPE_CONTENT_TYPE, body)

    async def run(self) -> None:
        """Pushes metrics by OTLP periodically until cancelled.

        Returns at once if no OTLP endpoint is configured.
        """
        if self._reader is None:
            return
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await anyio.sleep(self._telemetry.export_interval_s)
                await self.push(pool)

    async def push(self, pool: httpcore.AsyncConnectionPool) -> bool:
        """Pushes metrics once; returns whether the collector accepted them."""
        url = self._telemetry.otlp_endpoint.rstrip("/") + METRICS_PATH
        try:
            answer = await pool.request(
                "POST",
                url,
                headers={b"Content-Type": OTLP_CONTENT_TYPE},
                content=self.encode(),
                extensions={"timeout": _push_timeouts()},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException,
                httpcore.ProtocolError) as error:  # fmt: skip
            return self._record_failure(type(error).__name__)
        if answer.status // 100 != 2:
            return self._record_failure(f"status {answer.status}")
        self.completed_push_count += 1
        return True

    def encode(self) -> bytes:
        """Encodes all metrics as an OTLP message.

        Returns:
            The message; empty if no OTLP endpoint is configured.
        """
        from opentelemetry.exporter.otlp.proto.common import metrics_encoder

        if self._reader is None:
            return b""
        self._reader.collect()
        data = self._reader.pop_collected()
        if data is None:
            return b""
        return metrics_encoder.encode_metrics(data).SerializeToString()

    def _record_failure(self, reason: str) -> bool:
        """Counts and logs a failed push; returns False."""
        self.failed_push_count += 1
        logger.bind(reason=reason).warning("metrics were not taken by OTLP")
        return False


def _push_timeouts() -> dict[str, float]:
    """Returns the httpcore timeouts of one push, in seconds."""
    return dict.fromkeys(("connect", "read", "write", "pool"), PUSH_TIMEOUT_S)


def _make_reader() -> Any:
    """Creates a metric reader that stores the last collected metrics."""
    from opentelemetry.sdk.metrics import export

    class OnDemandReader(export.MetricReader):
        """Collects metrics on demand instead of periodically."""

        _collected: export.MetricsData | None = None

        def pop_collected(self) -> export.MetricsData | None:
            """Returns and clears the last collected metrics."""
            collected, self._collected = self._collected, None
            return collected

        def _receive_metrics(
            self,
            metrics_data: export.MetricsData,
            timeout_millis: float = 0,  # noqa: ARG002
            **_: Any,
        ) -> None:
            self._collected = metrics_data

        def shutdown(self, timeout_millis: float = 0, **_: Any) -> None:
            """Does nothing, since the reader holds no resources."""

    return OnDemandReader()
