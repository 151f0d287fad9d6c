"""Registers the bounded tables of a process for the dump and the metrics.

Rows contain identifiers of requests, accounts, services, targets and instances,
but never a prompt, an answer or a key.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cardamomfork._internal.accounts import limits
from cardamomfork._internal.composition import metrics_sources
from cardamomfork._internal.configuration import replica
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import summaries
from cardamomfork._internal.instances import membership
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests import retries
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.targets import leaving
from cardamomfork._internal.targets import load_gossip
from cardamomfork._internal.targets import orders_reconciler
from cardamomfork._internal.telemetry import dump

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cardamomfork._internal import supervision
    from cardamomfork._internal import wiring
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import fleet_membership
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.routing import dispatcher as fleet_dispatcher
    from cardamomfork._internal.telemetry import process_instrumentation

# A topic is one byte on the wire.
MAX_TOPIC_COUNT = 256
MAX_BACKGROUND_TASKS = 64


def register_tables(
    instrumentation: process_instrumentation.Instrumentation,
    serving: wiring.Daemon,
    fleet: fleet_membership.FleetMembership,
    dispatcher: fleet_dispatcher.FleetDispatcher,
    order_reconciler: orders_reconciler.OrderReconciler,
    guard: poison.PoisonGuard,
) -> None:
    """Registers the tables of all components."""
    clock = instrumentation.clock
    instrumentation.register_sizes("keys", lambda: serving.keys.sizes)
    tables = (
        *_request_tables(serving),
        *_dispatcher_tables(dispatcher, clock),
        *_pending_work_tables(serving),
        make_suspects_table(guard, clock),
        *_target_tables(fleet, order_reconciler, clock),
        *_fleet_tables(fleet, clock),
        *_configuration_tables(fleet),
    )
    for table in tables:
        instrumentation.table_registry.register(table)


def make_failures_table(supervisor: supervision.Supervisor) -> dump.Table:
    """Returns the table of background tasks that have failed."""

    def failed() -> dict[str, int]:
        return {
            name: count for name, count in supervisor.failures.items() if count
        }

    return dump.Table(
        "process.background_task_failures",
        lambda: len(failed()),
        MAX_BACKGROUND_TASKS,
        lambda: (
            {"task": name, "count": count} for name, count in failed().items()
        ),
    )


def _request_tables(serving: wiring.Daemon) -> Iterator[dump.Table]:
    """Yields the tables of open and ended requests."""
    table = serving.record_table
    yield dump.Table(
        "requests.open",
        lambda: table.open_count,
        # A connection carries one request at a time.
        serving.settings.callers.max_connections,
        lambda: map(_record_row, table.open_records),
    )
    yield dump.Table(
        "requests.ended",
        lambda: table.sizes["ended_requests"][0],
        table.sizes["ended_requests"][1],
        lambda: map(_record_row, table.ended_records),
    )


def _record_row(record: records.Record) -> dict[str, Any]:
    """Returns the row of a request."""
    return {
        "request": record.request_id,
        "account": record.account,
        "service": record.service,
        "target": record.target_id,
        "outcome": record.outcome.value,
        "reason": record.reason.value if record.reason else "",
        "tokens": record.tokens,
    }


def _dispatcher_tables(
    dispatcher: fleet_dispatcher.FleetDispatcher,
    clock: clock_contract.Clock,
) -> Iterator[dump.Table]:
    """Yields the tables of the queue and of the dispatcher's targets."""

    def queue_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for entry in dispatcher.waiting_entries:
            yield {
                "request": entry.request.request_id,
                "account": entry.request.account,
                "service": entry.request.service,
                "prompt_tokens": entry.request.prompt_tokens,
                "urgency": entry.urgency,
                "waited_s": round(now - entry.queued_at, 3),
                "time_left_s": round(entry.request.deadline - now, 3),
            }

    def target_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for view in dispatcher.fleet.all_views:
            yield {
                "target": view.target_id,
                "kind": view.target.kind.value,
                "weight": round(view.health.weight, 3),
                "trust": round(view.health.trust, 3),
                "ratio": round(view.health.ratio, 3),
                "leaving": view.is_leaving,
                "running": view.running,
                "queued_tokens": view.queued,
                "reserved_tokens": view.reserved,
                "busy_s": round(max(view.busy_until - now, 0.0), 3),
                "models": ",".join(view.models),
            }

    yield dump.Table(
        "requests.queue",
        lambda: dispatcher.queued,
        dispatcher.limits.total,
        queue_rows,
    )
    yield dump.Table(
        "targets.views",
        lambda: len(tuple(dispatcher.fleet.all_views)),
        # There is one view per configured target.
        replica.MAX_OBJECTS,
        target_rows,
    )


def _pending_work_tables(serving: wiring.Daemon) -> Iterator[dump.Table]:
    """Yields tables of retry budgets, claims, cancels and reservations."""
    local_reservations = serving.local_reservations
    retry_policy = serving.retry_policy
    yield dump.Table(
        "requests.retry_budgets",
        lambda: retry_policy.size,
        retries.MAX_SERVICES,
        retry_policy.describe,
    )
    claims = serving.committer
    if claims is not None:
        yield dump.Table(
            "requests.claims",
            lambda: claims.waiting,
            committer.MAX_PENDING_OPERATIONS,
            claims.describe,
        )
    yield dump.Table(
        "requests.cancels",
        lambda: serving.canceller.sizes["cancels"][0],
        cancellation.MAX_PENDING,
        serving.canceller.describe,
    )
    yield dump.Table(
        "requests.reservations_open",
        lambda: local_reservations.open_count,
        reservations.MAX_LOCAL_RELEASES,
        lambda: _reservation_rows(local_reservations.open_reservations),
    )
    yield dump.Table(
        "requests.reservations_releasing",
        lambda: local_reservations.releasing_count,
        reservations.MAX_LOCAL_RELEASES,
        lambda: _reservation_rows(local_reservations.releasing_reservations),
    )


def _reservation_rows(
    target_by_reservation: dict[str, Any],
) -> Iterator[dict[str, Any]]:
    """Yields rows of reservations."""
    for name, target_id in target_by_reservation.items():
        yield {"reservation": name, "target": target_id}


def make_suspects_table(
    guard: poison.PoisonGuard, clock: clock_contract.Clock
) -> dump.Table:
    """Builds the table of requests suspected of crashing targets."""

    def suspect_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for fingerprint, suspect in guard.suspects.items():
            yield {
                "fingerprint": fingerprint.hex(),
                "deaths": suspect.count_recent_deaths(now),
                "targets": ",".join(suspect.deaths),
                "weight": round(suspect.weight, 3),
                "quarantines": suspect.quarantines,
                "quarantined_s": _seconds_left(suspect.quarantined_until, now),
                "held_s": _seconds_left(suspect.held_until, now),
            }

    return dump.Table(
        "requests.suspects",
        lambda: len(guard.suspects),
        poison.MAX_SUSPECTS,
        suspect_rows,
    )


def _seconds_left(until: float, now: float) -> float:
    """Returns the seconds until a monotonic time, at least 0."""
    return round(max(until - now, 0.0), 1)


def _target_tables(
    fleet: fleet_membership.FleetMembership,
    order_reconciler: orders_reconciler.OrderReconciler,
    clock: clock_contract.Clock,
) -> Iterator[dump.Table]:
    """Yields the tables of leaving targets, load reports and orders."""

    def leaving_rows() -> Iterator[dict[str, Any]]:
        causes = {
            marked_id: fleet.leaving.causes(marked_id)
            for marked_id in fleet.leaving.marked
        }
        # Leaving targets come first, since the dump may show only some rows.
        for target_id in sorted(
            causes, key=lambda marked_id: (not causes[marked_id], marked_id)
        ):
            names = [cause.name or "" for cause in causes[target_id]]
            yield {"target": target_id, "causes": ",".join(names).lower()}

    def load_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for report in fleet.loads.reports:
            yield {
                "target": report.target_id,
                "boot": report.boot_id,
                "age_s": round(now - report.measured_at, 3),
                "queued_tokens": report.queued_tokens,
                "running": report.running,
                "free_tokens": report.free_tokens,
                "leaving": report.leaving,
            }

    yield dump.Table(
        "targets.leaving",
        lambda: len(fleet.leaving.marked),
        leaving.MAX_TARGETS,
        leaving_rows,
    )
    yield dump.Table(
        "targets.loads",
        lambda: len(fleet.loads.reports),
        load_gossip.MAX_REPORTS,
        load_rows,
    )
    yield dump.Table(
        "targets.orders",
        lambda: order_reconciler.size,
        orders_reconciler.MAX_ENGINES,
        order_reconciler.describe,
    )


def _fleet_tables(
    fleet: fleet_membership.FleetMembership, clock: clock_contract.Clock
) -> Iterator[dump.Table]:
    """Yields the tables of instances, data centres, traffic and limits."""

    def instance_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for record in fleet.members.known():
            name = record.instance.instance_id
            age = fleet.members.age(name, now)
            yield {
                "instance": name,
                "data_centre": record.instance.data_centre,
                "boot": record.instance.boot_id,
                "state": record.state.value,
                "incarnation": record.incarnation,
                "unchanged_s": None if age is None else round(age, 1),
            }

    def data_centre_rows() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for summary in fleet.others.known:
            delegate_ids = [
                delegate.instance_id for delegate in summary.delegates
            ]
            yield {
                "data_centre": summary.data_centre,
                "live": summary.live,
                "delegates": ",".join(delegate_ids),
                "heard_s": round(now - summary.received_at, 1),
            }

    yield dump.Table(
        "fleet.instances",
        lambda: len(fleet.members.known()),
        membership.MAX_RECORDS,
        instance_rows,
    )
    yield dump.Table(
        "fleet.data_centres",
        lambda: len(fleet.others.known),
        summaries.MAX_DATA_CENTRES,
        data_centre_rows,
    )
    yield dump.Table(
        "fleet.peer_bytes",
        lambda: len(gossip.Topic),
        MAX_TOPIC_COUNT,
        lambda: [
            {"topic": topic, "bytes": int(count)}
            for topic, count in metrics_sources.bytes_by_topic(fleet).items()
        ],
    )
    yield dump.Table(
        "limits.accounts",
        lambda: fleet.limiter.active,
        limits.MAX_ACTIVE_ACCOUNTS,
        lambda: fleet.limiter.describe(clock.monotonic()),
    )


def _configuration_tables(
    fleet: fleet_membership.FleetMembership,
) -> Iterator[dump.Table]:
    """Yields the tables of configuration objects and tombstones."""
    configuration_replica = fleet.replica
    yield dump.Table(
        "fleet.configuration",
        lambda: configuration_replica.size,
        replica.MAX_OBJECTS,
        lambda: [
            {
                "kind": entry.kind.value,
                "name": entry.name,
                "version": entry.version,
            }
            for entry in configuration_replica.objects()
        ],
    )
    yield dump.Table(
        "fleet.tombstones",
        lambda: len(configuration_replica.tombstones),
        replica.MAX_TOMBSTONES,
        lambda: [
            {"kind": kind.value, "name": name, "version": version}
            for version, kind, name in configuration_replica.tombstones
        ],
    )
