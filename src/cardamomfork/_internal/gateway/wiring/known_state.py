"""What an instance knows, and what the other sides are created from."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import supervision
from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.state import cold_targets
from cardamomfork._internal.gateway.state import evacuations
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import regions
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.wiring import notifications
from cardamomfork._internal.models import settings as settings_models

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.models import fleet


@attrs.frozen(eq=False)
class KnownState:
    """Tables that several sides read and update.

    Attributes:
        settings: Settings of the process.
        wire: Names and formats of the platform.
        platform_store: The platform's store.
        clock: Monotonic time.
        rng: Random generator.
        notifications: Changes that concern several sides.
        evacuations: Data centres that must get no new work.
        target_table: The known targets.
        cold_targets: Decides until when targets are cold.
        load_view: The load of each target.
        peer_queues: Numbers of requests that wait at peers.
        fleet_state: Configuration and targets, and the age of both.
        region_rules: Regions in which requests may be served.
        poison_guard: Records of requests that crash targets.
        local_peer: This instance.
        peer_table: The other instances.
        stop_state: Whether the process is stopping.
        features: Features that are switched by settings.
        supervisor: Runs the background tasks.
    """

    settings: fleet.EntrySettings
    wire: platform_format.PlatformFormat
    platform_store: store.PolledStore
    clock: Callable[[], float]
    rng: random.Random
    notifications: notifications.Notifications
    evacuations: evacuations.Evacuations
    target_table: target_table.TargetTable
    cold_targets: cold_targets.ColdTargets
    load_view: load_view.LoadView
    peer_queues: peer_queues.PeerQueues
    fleet_state: fleet_state.FleetState
    region_rules: regions.RegionRules
    poison_guard: poison_guard.PoisonGuard
    local_peer: digest_codec.Peer
    peer_table: peer_table.PeerTable
    stop_state: stopping.StopState
    features: settings_models.EntryFeatures
    supervisor: supervision.Supervisor

    @property
    def must_poll(self) -> bool:
        """Whether this instance polls the store for changes."""
        return self.peer_table.must_poll(
            reaches_store=not self.fleet_state.is_store_lost
        )

    @property
    def is_delegate(self) -> bool:
        """Whether this instance polls the store often for its data centre."""
        return self.peer_table.is_delegate(
            reaches_store=not self.fleet_state.is_store_lost
        )

    def record_store_answer(self, fault: store.StoreFault | None) -> None:
        """Records whether the store answered a call."""
        if fault is None:
            self.fleet_state.store_regained()
        elif fault.kind in (
            store.StoreFaultKind.UNAVAILABLE,
            store.StoreFaultKind.INDETERMINATE,
            store.StoreFaultKind.SILENT,
        ):
            self.fleet_state.store_lost(
                f"{fault.kind} {fault.key} {fault.detail}",
                is_silence=fault.kind is store.StoreFaultKind.SILENT,
            )


def create(
    settings: fleet.EntrySettings,
    wire: platform_format.PlatformFormat,
    platform_store: store.PolledStore,
    features: settings_models.EntryFeatures | None = None,
) -> KnownState:
    """Creates empty tables.

    Args:
        settings: Settings of the process.
        wire: Names and formats of the platform.
        platform_store: The platform's store.
        features: Features that are switched by settings; None for the
            defaults.
    """
    clock = time.monotonic
    rng = random.Random()
    notify = notifications.Notifications()
    orders = evacuations.Evacuations(
        is_enabled=settings.evacuate_s is not None,
        on_change=notify.evacuations_changed,
    )
    targets = target_table.TargetTable(
        notify.target_ended, rng.getrandbits(32), orders
    )
    cold = cold_targets.ColdTargets(targets, clock, notify.rate_limit_changed)
    local_peer = digest_codec.Peer(
        settings.instance_id,
        settings.data_centre,
        settings.host,
        settings.peer_port,
    )
    peers = peer_table.PeerTable(local_peer, clock)
    state = fleet_state.FleetState(wire, targets, clock, orders, cold)
    known = KnownState(
        settings=settings,
        wire=wire,
        platform_store=platform_store,
        clock=clock,
        rng=rng,
        notifications=notify,
        evacuations=orders,
        target_table=targets,
        cold_targets=cold,
        load_view=load_view.LoadView(),
        peer_queues=peer_queues.PeerQueues(),
        fleet_state=state,
        region_rules=regions.RegionRules(settings, lambda: state.routes),
        poison_guard=poison_guard.PoisonGuard(
            lambda fingerprint: peers.find_owner(f"{fingerprint:x}") is None
        ),
        local_peer=local_peer,
        peer_table=peers,
        stop_state=stopping.StopState(),
        features=features or settings_models.EntryFeatures(),
        supervisor=supervision.Supervisor(rng, clock),
    )
    notify.store_answered.connect(known.record_store_answer)
    return known
