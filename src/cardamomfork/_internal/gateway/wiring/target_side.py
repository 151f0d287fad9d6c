"""The side of an instance that faces targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.paths import reservations
from cardamomfork._internal.gateway.paths import target_access
from cardamomfork._internal.gateway.peers import peer_forwarding_server
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import data_centre_reach
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import target_statements

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.wiring import known_state


@attrs.frozen(eq=False)
class TargetSide:
    """Connections to targets, and what targets state in answers.

    Attributes:
        access: Connections to targets.
        crash_detector: Collects evidence of crashed targets.
        statements: What targets state about themselves.
        reserver: Reserves memory on engines.
        rate_limits: Limits that targets put on the rate of requests.
        peer_forwarding: Passes requests of peers on to targets.
    """

    access: target_access.TargetAccess
    crash_detector: crash_detector.CrashDetector
    statements: target_statements.TargetStatements
    reserver: reservations.MemoryReserver
    rate_limits: rate_limits.RateLimits
    peer_forwarding: peer_forwarding_server.PeerForwardingApplication


def create(known: known_state.KnownState) -> TargetSide:
    """Creates the side without connections."""
    notify = known.notifications
    access = target_access.TargetAccess(
        known.wire,
        known.settings,
        known.target_table,
        known.peer_table,
        known.clock,
        known.rng,
        notify.reach_changed,
        data_centre_reach.DataCentreReach(
            known.settings.data_centre,
            peer_table.MIN_FLEET_WITH_RELAYED_CHANGES,
            notify.data_centre_changed,
        ),
        known.supervisor,
        lambda: known.fleet_state.services,
    )
    detector = crash_detector.CrashDetector(
        known.poison_guard,
        known.target_table,
        access.pool.try_open_idle,
        known.clock,
        notify.crash_confirmed,
        access.reach.confirm,
        known.supervisor,
    )
    statements = target_statements.TargetStatements(
        known.target_table,
        known.clock,
        access.pool.close_target,
        known.cold_targets,
    )
    limits = rate_limits.RateLimits(
        known.target_table, known.clock, notify.rate_limit_changed
    )

    def drop_suspects_of_cut() -> None:
        if access.reach.is_isolated:
            detector.discard_suspects(access.reach.doubted_since)

    def clear_failures_of_cut(
        data_centre: str, before: data_centre_reach.Reach
    ) -> None:
        if before is data_centre_reach.Reach.UNREACHABLE:
            known.target_table.clear_failures(data_centre)

    notify.data_centre_changed.connect(clear_failures_of_cut)
    notify.target_ended.connect(detector.target_ended)
    notify.targets_changed.connect(access.reach.probe_soon)
    notify.evacuations_changed.connect(access.reach.probe_soon)
    notify.reach_changed.connect(drop_suspects_of_cut)
    return TargetSide(
        access,
        detector,
        statements,
        reservations.MemoryReserver(
            known.wire, access.paths, statements, known.supervisor
        ),
        limits,
        peer_forwarding_server.PeerForwardingApplication(
            access.pool,
            known.target_table,
            access.reach,
            access.secret,
            limits,
            statements,
            known.stop_state,
            known.clock,
            known.settings.memory_bytes,
        ),
    )
