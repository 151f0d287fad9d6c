"""The side of an instance that faces callers: queue, choice, forwarding."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import load_spread
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.choice import placement_news
from cardamomfork._internal.gateway.queueing import admission
from cardamomfork._internal.gateway.queueing import fair_order
from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.gateway.serving import traffic_metrics
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.wiring import peer_side
from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.telemetry import exporting
from cardamomfork._internal.telemetry import watchdog

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.wiring import known_state
    from cardamomfork._internal.gateway.wiring import target_side
    from cardamomfork._internal.links import held_memory
    from cardamomfork._internal.models import fleet

RESERVED_FILES = 1000
"""File descriptors reserved for targets, peers, the store and files."""
MIN_CALLER_CONNECTIONS = 200


class _JobRecorder:
    """Records the placements of this instance and notifies peers."""

    def __init__(
        self,
        load: load_view.LoadView,
        notify: Callable[[placement_news.Urgency], None],
    ) -> None:
        """Initializes the recorder.

        Args:
            load: The load of each target.
            notify: Schedules a digest by the urgency of a change.
        """
        self._load = load
        self._notify = notify

    def commit(
        self,
        demand: demands.Demand,
        chosen: placement.Placement,
        now: float,
        account_id: int,
    ) -> None:
        """Records a placement chosen by the scheduler and notifies peers."""
        output_s = (
            placement.DEFAULT_CALL_S
            if demand.service.cost_model is None
            else demands.expected_decode_s(demand)
        )
        job = load_view.Job(
            job_id=demand.job_id,
            target_id=chosen.target.record.target_id,
            parts=tuple(
                load_view.Part(
                    helper.target.record.target_id, helper.reserved_tokens
                )
                for helper in chosen.helpers
            ),
            prompt_tokens=demand.prompt_tokens,
            output_tokens=demand.output_tokens,
            max_gap_s=demand.max_gap_s,
            value=demand.value,
            reads_until=now + chosen.prefill_s,
            late_at=now + demand.objective_left_s,
            ends_at=now + chosen.first_token_s + output_s,
            account_id=account_id,
        )
        self._load.start(job)
        self._notify(placement_news.urgency_of_start(job))

    def answer_begun(self, job_id: str) -> None:
        """Notifies peers that the prefill of a job is complete."""
        job = self._load.find_local(job_id)
        self._notify(placement_news.urgency_of_release(job))

    def release(self, job_id: str) -> None:
        """Removes a job from the load and notifies peers."""
        job = self._load.find_local(job_id)
        self._load.end(job_id)
        self._notify(placement_news.urgency_of_release(job))


@attrs.frozen(eq=False)
class RequestPath:
    """Places the requests of callers and forwards them.

    Attributes:
        scheduler: Queues requests until a target has capacity.
        fair_order: The use of services by client accounts.
        retry_budget: The retry budget of this instance.
        connection_limits: Limits on callers' connections.
        metrics_export: Serves the metrics.
        application: Serves callers.
        peers: The side that faces peers.
    """

    scheduler: scheduling.Scheduler
    fair_order: fair_order.FairOrder
    retry_budget: retry_budget.RetryBudget
    connection_limits: connection_limits.ConnectionLimits
    metrics_export: exporting.MetricsExport
    application: application.CallerApplication
    peers: peer_side.PeerSide


def create(
    known: known_state.KnownState,
    targets: target_side.TargetSide,
    memory: held_memory.ConnectionMemory,
) -> RequestPath:
    """Creates the path and the side that faces peers.

    Args:
        known: What this instance knows.
        targets: The side that faces targets.
        memory: What connections hold.
    """

    # These are called only after the parts that they name have been created.
    def notify_peers(urgency: placement_news.Urgency) -> None:
        peers.links.notify_job(urgency)

    def count_open_requests() -> int:
        return callers.in_progress + targets.peer_forwarding.in_progress

    recorder = _JobRecorder(known.load_view, notify_peers)
    order = fair_order.FairOrder(
        known.target_table, known.load_view, known.peer_queues
    )
    scheduler = _make_scheduler(known, targets, recorder, order)
    budget = retry_budget.RetryBudget(known.settings, known.clock())
    peers = peer_side.create(
        known,
        targets,
        scheduler.receive_update,
        count_open_requests,
        scheduler.list_waiting,
    )
    metrics = exporting.MetricsExport(
        settings_models.TelemetrySettings(), known.settings.instance_id
    )
    callers = application.CallerApplication(
        known.wire,
        known.fleet_state,
        _make_forwarder(
            known, targets, peers, scheduler, budget, recorder, memory
        ),
        known.stop_state,
        traffic_metrics.TrafficMetrics(
            metrics.meter,
            _make_gauges(known, targets, peers, scheduler, order),
            lambda: known.supervisor.failures,
        ),
        known.clock,
        known.rng,
    )
    limits = connection_limits.ConnectionLimits(
        max_connections=max(
            _available_descriptors(known.settings) - RESERVED_FILES,
            MIN_CALLER_CONNECTIONS,
        )
    )
    notify = known.notifications
    notify.targets_changed.connect(notify.capacity_changed)
    notify.evacuations_changed.connect(notify.capacity_changed)
    notify.capacity_changed.connect(scheduler.dispatch_waiting)
    notify.reach_changed.connect(scheduler.dispatch_waiting)
    notify.data_centre_changed.connect(lambda *_: scheduler.dispatch_waiting())
    notify.configuration_applied.connect(
        lambda: _apply_caller_limits(known, limits)
    )
    return RequestPath(
        scheduler, order, budget, limits, metrics, callers, peers
    )


def _available_descriptors(settings: fleet.EntrySettings) -> int:
    """Returns how many file descriptors the process may use.

    The system may allow fewer than the settings state.
    """
    maximum = settings.max_file_descriptors
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY:
            maximum = min(maximum, hard)
        if soft != resource.RLIM_INFINITY and soft < maximum:
            resource.setrlimit(resource.RLIMIT_NOFILE, (maximum, hard))
    except (OSError, ValueError) as error:
        logger.warning("descriptors not raised", reason=str(error))
    return maximum


def _make_scheduler(
    known: known_state.KnownState,
    targets: target_side.TargetSide,
    recorder: _JobRecorder,
    order: fair_order.FairOrder,
) -> scheduling.Scheduler:
    """Creates the queue of requests."""
    return scheduling.Scheduler(
        placement.Placer(
            known.target_table,
            known.load_view,
            known.settings.data_centre,
            known.rng,
            lambda: known.peer_table.count,
            targets.access.data_centres,
        ),
        recorder.commit,
        recorder.release,
        known.clock,
        known.rng,
        order if known.features.sharing.fair_order else None,
        admission.Admission(
            known.target_table, known.load_view, known.peer_queues, known.rng
        )
        if known.features.sharing.predicted_waits
        else None,
        lambda: known.peer_table.count,
        known.stop_state,
    )


def _make_forwarder(
    known: known_state.KnownState,
    targets: target_side.TargetSide,
    peers: peer_side.PeerSide,
    scheduler: scheduling.Scheduler,
    budget: retry_budget.RetryBudget,
    recorder: _JobRecorder,
    memory: held_memory.ConnectionMemory,
) -> forwarding.Forwarder:
    """Creates the forwarder of placed requests."""

    def on_answer_begun(job_id: str) -> None:
        recorder.answer_begun(job_id)
        known.notifications.capacity_changed()

    return forwarding.Forwarder(
        known.wire,
        scheduler,
        targets.access.paths,
        known.target_table,
        known.load_view,
        budget,
        known.poison_guard,
        targets.crash_detector,
        targets.reserver,
        targets.rate_limits,
        targets.statements,
        peers.rate_permits,
        known.clock,
        on_answer_begun,
        lambda: targets.access.reach.is_isolated,
        known.region_rules,
        targets.access.data_centres,
        known.stop_state,
        memory.target_answers,
    )


def _make_gauges(
    known: known_state.KnownState,
    targets: target_side.TargetSide,
    peers: peer_side.PeerSide,
    scheduler: scheduling.Scheduler,
    order: fair_order.FairOrder,
) -> dict[str, Callable[[], float]]:
    """Returns gauges of the state, by name."""
    return {
        "waiting": lambda: scheduler.waiting,
        "highest_account_use": lambda: order.highest_use(
            list_services(known), known.clock()
        ),
        "targets": lambda: len(known.target_table),
        "instances": lambda: known.peer_table.count,
        "load_spread": lambda: load_spread.highest_over_mean(
            known.target_table, known.load_view
        ),
        "configuration_age": lambda: known.fleet_state.configuration_age_s,
        "connections_opened": lambda: targets.access.pool.opened,
        "permit_targets": lambda: peers.rate_permits.issued_targets,
        "outdated_permit_requests": lambda: (
            peers.rate_permits.outdated_requests
        ),
        "cold_targets": lambda: known.cold_targets.cold_count,
        "cold_permits_issued": lambda: peers.cold_permits.issued,
        "cold_permits_refused": lambda: peers.cold_permits.refused,
        "crash_suspects": lambda: known.poison_guard.suspect_count,
        "dropped_entries": lambda: (
            known.fleet_state.dropped_entries + known.peer_table.dropped_entries
        ),
        "isolated": lambda: int(targets.access.reach.is_isolated),
        "unreachable_data_centres": lambda: len(
            targets.access.data_centres.unreachable(known.clock())
        ),
        "resident_memory_bytes": lambda: float(watchdog.resident_bytes()),
        "peer_requests": lambda: targets.peer_forwarding.in_progress,
        "evacuated_data_centres": lambda: len(known.evacuations.active),
        "blocked_requests": lambda: len(
            known.poison_guard.blocked(known.clock())
        ),
    }


def _apply_caller_limits(
    known: known_state.KnownState, limits: connection_limits.ConnectionLimits
) -> None:
    """Applies the limits on callers of a new configuration."""
    route_table = known.fleet_state.routes
    if route_table is not None:
        limits.apply(route_table.configuration.limits)


def list_services(known: known_state.KnownState) -> tuple[fleet.Service, ...]:
    """Returns the services of the configuration in force."""
    route_table = known.fleet_state.routes
    if route_table is None:
        return ()
    return tuple(route_table.configuration.services.values())
