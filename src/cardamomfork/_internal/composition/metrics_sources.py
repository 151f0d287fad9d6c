"""Records request metrics and registers metrics of other components."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.models import requests as requests_models
from cardamomfork._internal.requests import observing as request_observing

if TYPE_CHECKING:
    from cardamomfork._internal import supervision
    from cardamomfork._internal import wiring
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import fleet_membership
    from cardamomfork._internal.models import outcomes
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.routing import dispatcher as fleet_dispatcher
    from cardamomfork._internal.telemetry import metrics

MIN_EXPECTED_S = 1e-6


class MetricsObserver(request_observing.RequestObserver):
    """Records metrics of the events in the request path."""

    def __init__(self, metrics_registry: metrics.Metrics) -> None:
        """Initializes the observer.

        Args:
            metrics_registry: Metrics to record to.
        """
        self._metrics = metrics_registry

    def first_token(
        self,
        request: requests.Request,
        now: float,
        assigned_at: float,
        expected_s: float,
    ) -> None:
        """Records the time to the first token and the slowdown of a stream.

        Other requests are skipped, as their first bytes arrive only when the
        whole response is complete.

        Args:
            request: Request whose first token arrived.
            now: Monotonic time, in seconds.
            assigned_at: Monotonic time at which a target was assigned.
            expected_s: Expected time from the assignment to the first token.
        """
        if not request.stream or request.api is requests_models.Api.CALL:
            return
        tokens = request.prompt_tokens
        self._metrics.record_first_token(tokens, now - request.arrived_at)
        if expected_s > MIN_EXPECTED_S:
            self._metrics.record_slowdown(
                tokens, (now - assigned_at) / expected_s
            )

    def resumed(self) -> None:
        """Counts a resumed stream."""
        self._metrics.record_resume()

    def ended(
        self,
        request: requests.Request,
        record: records.Record,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None,
        now: float,
    ) -> None:
        """Counts an ended request.

        A stored outcome that is returned again doesn't add to the goodput.
        """
        ran_here = bool(record.target_id)
        self._metrics.record_end(
            request.service,
            outcome,
            reason,
            worth=request.worth,
            on_time=ran_here and now <= request.deadline,
            generated_tokens=record.tokens,
        )

    def refused(self, service: str, refusal: outcomes.Refusal) -> None:
        """Counts a refused request."""
        self._metrics.record_end(service, refusal.outcome, refusal.reason)


def register_sources(
    metrics_registry: metrics.Metrics,
    serving: wiring.Daemon,
    fleet: fleet_membership.FleetMembership,
    dispatcher: fleet_dispatcher.FleetDispatcher,
    clock: clock_contract.Clock,
) -> None:
    """Registers the metrics that are read at each export.

    Args:
        metrics_registry: Metrics to register with.
        serving: Components that serve requests.
        fleet: Components that connect this instance to the fleet.
        dispatcher: Request dispatcher.
        clock: Source of monotonic time.
    """
    metrics_registry.register_gauge(
        "queue_length",
        "1",
        "Requests that wait",
        lambda: float(dispatcher.queued),
    )
    metrics_registry.register_gauge(
        "running_requests",
        "1",
        "Requests under way on targets",
        lambda: float(dispatcher.running),
    )
    metrics_registry.register_counters(
        "tries",
        "1",
        "Tries by kind",
        "kind",
        lambda: _attempts_by_kind(serving),
    )
    metrics_registry.register_counters(
        "dropped_frames",
        "1",
        "Frames and ends of answers that were dropped, by kind",
        "kind",
        lambda: _dropped_frames_by_kind(serving),
    )
    metrics_registry.register_counters(
        "peer_bytes",
        "By",
        "Payload bytes told to peers, by topic",
        "topic",
        lambda: bytes_by_topic(fleet),
    )
    metrics_registry.register_counters(
        "process_time",
        "s",
        "Processor time of the process",
        "",
        lambda: {"": time.process_time()},
    )
    _register_limit_sources(metrics_registry, fleet, clock)
    fleet.peering.time_with(lambda: metrics_registry.time_control("peers"))


def register_failures(
    metrics_registry: metrics.Metrics, supervisor: supervision.Supervisor
) -> None:
    """Registers the number of failures of each background task."""
    metrics_registry.register_counters(
        "background_task_failures",
        "1",
        "Failures of background tasks by task",
        "task",
        lambda: {
            name: float(count) for name, count in supervisor.failures.items()
        },
    )


def bytes_by_topic(fleet: fleet_membership.FleetMembership) -> dict[str, float]:
    """Returns the payload bytes sent to peers, by topic name."""
    bytes_sent = fleet.peering.bytes_by_topic
    return {
        topic.name.lower(): float(bytes_sent.get(topic, 0))
        for topic in gossip.Topic
    }


def _register_limit_sources(
    metrics_registry: metrics.Metrics,
    fleet: fleet_membership.FleetMembership,
    clock: clock_contract.Clock,
) -> None:
    """Registers the limits' decisions and this instance's mean share."""
    counters = fleet.limiter.counters
    metrics_registry.register_counters(
        "limit_decisions",
        "1",
        "Requests that the accounts' limits admitted and refused",
        "decision",
        lambda: {
            "admitted": float(counters.admitted),
            "refused": float(counters.refused),
        },
    )

    def mean_share() -> float:
        rows = fleet.limiter.describe(clock.monotonic())
        return sum(row["share"] for row in rows) / max(len(rows), 1)

    metrics_registry.register_gauge(
        "limit_share",
        "1",
        "Mean of this instance's shares of its active accounts' limits",
        mean_share,
    )


def _attempts_by_kind(serving: wiring.Daemon) -> dict[str, float]:
    """Returns the attempts by kind."""
    counters = serving.retry_policy.counters
    return {
        "first": float(counters.first_tries),
        "retry": float(counters.retries),
        "hedge": float(counters.hedges),
        "over_budget": float(counters.over_budget),
    }


def _dropped_frames_by_kind(serving: wiring.Daemon) -> dict[str, float]:
    """Returns the dropped frames by reason."""
    counters = serving.frame_counters
    return {
        "late": float(counters.late),
        "crossed": float(counters.crossed),
        "doubled": float(counters.doubled),
        "gap": float(counters.gaps),
        "second_end": float(counters.second_finals),
        "diverged": float(counters.diverged),
    }
