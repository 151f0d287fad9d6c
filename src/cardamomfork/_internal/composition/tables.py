"""Registers the bounded tables of a process for the dump and the metrics.

Rows name requests, accounts, services, targets and instances; none holds a
prompt, an answer or a key.
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

    from cardamomfork._internal import wiring
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import joining
    from cardamomfork._internal.requests import records
    from cardamomfork._internal.routing import dispatcher as fleet_dispatcher
    from cardamomfork._internal.telemetry import observing

# A topic is one byte between peers.
MAX_TOPICS = 256


def register(
    observation: observing.Observation,
    serving: wiring.Daemon,
    fleet: joining.FleetMembership,
    dispatcher: fleet_dispatcher.FleetDispatcher,
    keeper: orders_reconciler.OrderReconciler,
    guard: poison.PoisonGuard,
) -> None:
    """Registers the tables of all sides."""
    clock = observation.clock
    observation.register_sizes("keys", lambda: serving.keys.sizes)
    tables = (
        *_request_tables(serving),
        *_dispatcher_tables(dispatcher, clock),
        *_release_tables(serving),
        make_suspects_table(guard, clock),
        *_target_tables(fleet, keeper, clock),
        *_fleet_tables(fleet, clock),
        *_configuration_tables(fleet),
    )
    for table in tables:
        observation.state.register(table)


def _request_tables(serving: wiring.Daemon) -> Iterator[dump.Table]:
    """Returns open and ended requests."""
    table = serving.table
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
    """Returns a request's row."""
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
    """Returns the queue and the views of targets."""

    def waiting() -> Iterator[dict[str, Any]]:
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

    def targets() -> Iterator[dict[str, Any]]:
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
        waiting,
    )
    yield dump.Table(
        "targets.views",
        lambda: len(tuple(dispatcher.fleet.all_views)),
        # They are as many as the configured targets.
        replica.MAX_OBJECTS,
        targets,
    )


def _release_tables(serving: wiring.Daemon) -> Iterator[dump.Table]:
    """Returns retry budgets, and what waits for an answer."""
    own = serving.own
    budgets = serving.retry_policy
    yield dump.Table(
        "requests.retry_budgets",
        lambda: budgets.size,
        retries.MAX_SERVICES,
        budgets.describe,
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
        lambda: own.open_count,
        reservations.MAX_LOCAL_RELEASES,
        lambda: _named(own.open_reservations),
    )
    yield dump.Table(
        "requests.reservations_releasing",
        lambda: own.releasing_count,
        reservations.MAX_LOCAL_RELEASES,
        lambda: _named(own.releasing_reservations),
    )


def _named(held: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Returns rows of reservations."""
    for name, target_id in held.items():
        yield {"reservation": name, "target": target_id}


def make_suspects_table(
    guard: poison.PoisonGuard, clock: clock_contract.Clock
) -> dump.Table:
    """Returns the requests suspected of taking targets down."""

    def suspects() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for fingerprint, suspect in guard.suspects.items():
            yield {
                "fingerprint": fingerprint.hex(),
                "deaths": suspect.count_recent_deaths(now),
                "targets": ",".join(suspect.deaths),
                "weight": round(suspect.weight, 3),
                "quarantines": suspect.quarantines,
                "quarantined_s": _left(suspect.quarantined_until, now),
                "held_s": _left(suspect.held_until, now),
            }

    return dump.Table(
        "requests.suspects",
        lambda: len(guard.suspects),
        poison.MAX_SUSPECTS,
        suspects,
    )


def _left(until: float, now: float) -> float:
    """Returns the seconds left until a time, at least 0."""
    return round(max(until - now, 0.0), 1)


def _target_tables(
    fleet: joining.FleetMembership,
    keeper: orders_reconciler.OrderReconciler,
    clock: clock_contract.Clock,
) -> Iterator[dump.Table]:
    """Returns marks, load reports and orders of targets."""

    def marks() -> Iterator[dict[str, Any]]:
        causes = {t: fleet.leaving.causes(t) for t in fleet.leaving.marked}
        # Those that take no work come first, as only some rows are shown.
        for target_id in sorted(causes, key=lambda t: (not causes[t], t)):
            names = [cause.name or "" for cause in causes[target_id]]
            yield {"target": target_id, "causes": ",".join(names).lower()}

    def loads() -> Iterator[dict[str, Any]]:
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
        marks,
    )
    yield dump.Table(
        "targets.loads",
        lambda: len(fleet.loads.reports),
        load_gossip.MAX_REPORTS,
        loads,
    )
    yield dump.Table(
        "targets.orders",
        lambda: keeper.size,
        orders_reconciler.MAX_ENGINES,
        keeper.describe,
    )


def _fleet_tables(
    fleet: joining.FleetMembership, clock: clock_contract.Clock
) -> Iterator[dump.Table]:
    """Returns instances, data centres, limits and bytes to peers."""

    def members() -> Iterator[dict[str, Any]]:
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

    def data_centres() -> Iterator[dict[str, Any]]:
        now = clock.monotonic()
        for summary in fleet.others.known:
            names = [each.instance_id for each in summary.delegates]
            yield {
                "data_centre": summary.data_centre,
                "live": summary.live,
                "delegates": ",".join(names),
                "heard_s": round(now - summary.heard_at, 1),
            }

    yield dump.Table(
        "fleet.instances",
        lambda: len(fleet.members.known()),
        membership.MAX_RECORDS,
        members,
    )
    yield dump.Table(
        "fleet.data_centres",
        lambda: len(fleet.others.known),
        summaries.MAX_DATA_CENTRES,
        data_centres,
    )
    yield dump.Table(
        "fleet.peer_bytes",
        lambda: len(gossip.Topic),
        MAX_TOPICS,
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
    fleet: joining.FleetMembership,
) -> Iterator[dump.Table]:
    """Returns the objects in force and the deletions remembered."""
    held = fleet.replica
    yield dump.Table(
        "fleet.configuration",
        lambda: held.size,
        replica.MAX_OBJECTS,
        lambda: [
            {
                "kind": each.kind.value,
                "name": each.name,
                "version": each.version,
            }
            for each in held.objects()
        ],
    )
    yield dump.Table(
        "fleet.tombstones",
        lambda: len(held.tombstones),
        replica.MAX_TOMBSTONES,
        lambda: [
            {"kind": kind.value, "name": name, "version": version}
            for version, kind, name in held.tombstones
        ],
    )
