"""Builds, starts and stops all components of a daemon process."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
from loguru import logger

from cardamomfork._internal import supervision
from cardamomfork._internal import wiring
from cardamomfork._internal.composition import configuration_applier
from cardamomfork._internal.composition import dump_tables
from cardamomfork._internal.composition import engine_updates
from cardamomfork._internal.composition import metrics_sources
from cardamomfork._internal.composition import peer_requests
from cardamomfork._internal.composition import request_dependencies
from cardamomfork._internal.composition import store_sessions
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.instances import fleet_membership
from cardamomfork._internal.links.operators import wiring as operators_wiring
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gossip
from cardamomfork._internal.routing import dispatcher as fleet_dispatcher
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_lease
from cardamomfork._internal.targets import orders_reconciler
from cardamomfork._internal.targets import orders_runner
from cardamomfork._internal.telemetry import process_instrumentation

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.links.operators import server as operator_server
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.requests.claims import committer

CONFIGURATION_TIMEOUT_S = 10.0
CLAIM_DRAIN_TIMEOUT_S = 10.0
"""Maximum time that a stop waits for claim outcomes to be stored."""


@attrs.frozen
class OrderComponents:
    """Components that execute operators' orders to engines.

    Attributes:
        keeper: The orders and their progress at the engines.
        lease: Lease of the role that sends orders in this data centre.
        runner: Sends the orders while the lease is held.
    """

    reconciler: orders_reconciler.OrderReconciler
    lease: orders_lease.OrderLease
    runner: orders_runner.OrderRunner


@attrs.frozen
class Process:
    """The components of one process.

    Attributes:
        settings: Settings of the daemon.
        platform: Sessions with the store.
        serving: Components for callers, requests, routing and targets.
        fleet: Components for peers and configuration.
        operators: Server for operators.
        observation: Metrics, dump and watchdog.
        order_components: Components for orders to engines.
        supervisor: Restarts background tasks that fail.
    """

    settings: settings_models.DaemonSettings
    platform: store_sessions.StoreSessions
    serving: wiring.Daemon
    fleet: fleet_membership.FleetMembership
    operators: operator_server.OperatorServer
    instrumentation: process_instrumentation.Instrumentation
    order_components: OrderComponents
    supervisor: supervision.Supervisor

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all components.

        Args:
            tasks: Task group in which the components run.
        """
        start = functools.partial(
            self.supervisor.start,
            tasks,
            max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
        )
        self.serving.start(tasks)
        self.instrumentation.start(tasks, self.supervisor)
        start("operators' server", self.operators.run)
        start("order lease", self.order_components.lease.run)
        start(orders_runner.TASK_NAME, self.order_components.runner.run)
        await tasks.start(self.fleet.run)

    async def wait_configured(self) -> None:
        """Waits for the first configuration.

        Returns after `CONFIGURATION_TIMEOUT_S` even without a configuration.
        """
        if self.fleet.follower is None:
            return
        with anyio.move_on_after(CONFIGURATION_TIMEOUT_S) as configuration_wait:
            await self.fleet.follower.wait_loaded()
        if configuration_wait.cancelled_caught:
            logger.warning("no configuration yet; requests are refused")

    async def finish(self) -> None:
        """Announces the stop and waits until all admitted requests end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.fleet.leave)
            await self.serving.requests.wait_until_idle()
        if self.serving.committer is not None:
            await self._drain_claims(self.serving.committer)

    async def _drain_claims(
        self, claim_committer: committer.GroupCommitter
    ) -> None:
        """Waits until the last claim outcomes are stored, up to a timeout.

        If the store is unavailable, the stop goes on without it. Claims whose
        outcome is not stored are correctly reported as `unknown`.
        """
        with anyio.move_on_after(CLAIM_DRAIN_TIMEOUT_S):
            await claim_committer.drain()
        if claim_committer.waiting:
            logger.bind(count=claim_committer.waiting).warning(
                "claim outcomes could not be stored before the stop"
            )

    async def close(self) -> None:
        """Closes the connections to targets and to the store."""
        for close in (self.serving.links.close, self.platform.store.close):
            await self.supervisor.run_once("close", close)


def make_process(
    settings: settings_models.DaemonSettings,
    supervisor: supervision.Supervisor | None = None,
) -> Process:
    """Builds the components of a process without starting them.

    Args:
        settings: Settings of the daemon.
        supervisor: Restarts tasks that fail; None for one of its own.

    Raises:
        SettingsError: An operator's key can't be read.
    """
    clock = clock_contract.LoopClock()
    supervisor = supervisor or supervision.Supervisor()
    platform = store_sessions.make_store_sessions(settings, clock)
    instrumentation = process_instrumentation.make_instrumentation(
        settings, clock
    )
    dispatcher = fleet_dispatcher.FleetDispatcher(random.Random())
    guard = poison.PoisonGuard(random.Random(), poison.PUSH_ROUND_TRIP_S)
    poison_updates = poison_gossip.PoisonGossip(guard)
    boot_id = identifiers.new_boot_id()
    fleet = fleet_membership.make_fleet_membership(
        settings,
        boot_id,
        clock,
        random.Random(),
        platform.connect,
        dispatcher.observe_load,
        participants=(poison_updates,),
        key_prefix=store_sessions.KEY_PREFIX,
        supervisor=supervisor,
    )
    engine_update_publisher = engine_updates.EngineUpdatePublisher(
        fleet, dispatcher
    )
    serving = wiring.wire(
        settings,
        platform.store,
        request_dependencies.RequestDependencies(
            boot_id=boot_id,
            dispatcher=dispatcher,
            limiter=fleet.limiter,
            engine_listener=engine_update_publisher,
            claim_routes=peer_requests.ClaimShardRoutes(fleet, clock),
            owners=peer_requests.make_reservation_owners(fleet),
            guard=guard,
            last_boot_id=fleet.loads.latest_boot_id,
            on_poison_update=_make_poison_push(fleet, poison_updates),
            available_targets=_make_availability_filter(fleet),
            observes_target=engine_update_publisher.observes_target,
            observer=metrics_sources.MetricsObserver(instrumentation.metrics),
            supervisor=supervisor,
        ),
    )
    _connect_fleet_to_serving(fleet, serving)
    order_components = _make_order_components(
        settings, clock, platform, serving, fleet
    )
    dump_tables.register_tables(
        instrumentation,
        serving,
        fleet,
        dispatcher,
        order_components.reconciler,
        guard,
    )
    instrumentation.table_registry.register(
        dump_tables.make_failures_table(supervisor)
    )
    metrics_sources.register_sources(
        instrumentation.metrics, serving, fleet, dispatcher, clock
    )
    metrics_sources.register_failures(instrumentation.metrics, supervisor)
    return Process(
        settings=settings,
        platform=platform,
        serving=serving,
        fleet=fleet,
        operators=_make_operator_server(
            settings, platform, fleet, instrumentation, clock
        ),
        instrumentation=instrumentation,
        order_components=order_components,
        supervisor=supervisor,
    )


def _make_poison_push(
    fleet: fleet_membership.FleetMembership,
    poison_updates: poison_gossip.PoisonGossip,
) -> Callable[[], None]:
    """Returns a callback that pushes the guard's urgent updates to peers."""

    def push() -> None:
        if poison_updates.urgent:
            fleet.peering.push(poison_updates.topic)
            poison_updates.pushed()

    return push


def _make_availability_filter(
    fleet: fleet_membership.FleetMembership,
) -> Callable[
    [frozenset[identifiers.TargetId]], frozenset[identifiers.TargetId]
]:
    """Returns a filter for the targets that accept new requests."""

    def available_targets(
        target_ids: frozenset[identifiers.TargetId],
    ) -> frozenset[identifiers.TargetId]:
        return frozenset(
            target_id
            for target_id in target_ids
            if not fleet.leaving.is_leaving(target_id)
        )

    return available_targets


def _connect_fleet_to_serving(
    fleet: fleet_membership.FleetMembership, serving: wiring.Daemon
) -> None:
    """Connects the fleet's components to the serving components.

    Peer requests, configuration changes and leaving targets are forwarded.
    """
    if serving.ledger is not None:
        peer_requests.register_peer_request_handlers(
            fleet, serving.ledger, serving.local_reservations
        )
    applier = configuration_applier.ConfigurationApplier(
        serving,
        fleet.leaving,
        serving.requests.set_drained,
        serving.settings.instance.instance_id,
    )
    fleet.replica.subscribe(applier.apply)
    fleet.leaving.subscribe(serving.set_leaving)


def _make_operator_server(
    settings: settings_models.DaemonSettings,
    platform: store_sessions.StoreSessions,
    fleet: fleet_membership.FleetMembership,
    instrumentation: process_instrumentation.Instrumentation,
    clock: clock_contract.Clock,
) -> operator_server.OperatorServer:
    """Builds the server for operators.

    Raises:
        SettingsError: An operator's key can't be read.
    """
    return operators_wiring.make_server(
        settings,
        operators_wiring.DaemonComponents(
            platform.store,
            fleet.replica,
            fleet.members,
            fleet.configuration_gossip,
            fleet.peering,
            instrumentation.table_registry,
            clock,
            store_sessions.KEY_PREFIX,
        ),
    )


def _make_order_components(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
    platform: store_sessions.StoreSessions,
    serving: wiring.Daemon,
    fleet: fleet_membership.FleetMembership,
) -> OrderComponents:
    """Builds the components for orders to this data centre's engines."""
    order_reconciler = orders_reconciler.OrderReconciler(
        settings.instance.data_centre
    )
    runners: list[orders_runner.OrderRunner] = []

    def wake_runners() -> None:
        for runner in runners:
            runner.wake()

    lease = orders_lease.OrderLease(
        platform.store,
        clock,
        random.Random(),
        fleet.members.me.instance,
        store_sessions.KEY_PREFIX,
        wake_runners,
        fleet.is_order_candidate,
    )
    runner = orders_runner.OrderRunner(
        order_reconciler,
        lease,
        serving.links,
        clock,
        supervisor=serving.supervisor,
    )
    runners.append(runner)
    feed = orders_feed.OrderFeed(order_reconciler, clock, wake_runners)
    fleet.replica.subscribe(feed.apply)
    return OrderComponents(order_reconciler, lease, runner)
