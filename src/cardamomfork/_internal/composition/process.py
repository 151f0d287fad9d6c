"""One process: its sides, wired and started together."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
from loguru import logger

from cardamomfork._internal import wiring
from cardamomfork._internal.composition import applying
from cardamomfork._internal.composition import engine_news
from cardamomfork._internal.composition import metrics_sources
from cardamomfork._internal.composition import platform as platform_module
from cardamomfork._internal.composition import questions
from cardamomfork._internal.composition import surroundings
from cardamomfork._internal.composition import tables
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.instances import joining
from cardamomfork._internal.links.operators import side as operators_side
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gossip
from cardamomfork._internal.routing import dispatcher as fleet_dispatcher
from cardamomfork._internal.targets import orders_feed
from cardamomfork._internal.targets import orders_lease
from cardamomfork._internal.targets import orders_reconciler
from cardamomfork._internal.targets import orders_runner
from cardamomfork._internal.telemetry import observing

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.links.operators import server as operator_server
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.requests.claims import committer

CONFIGURATION_WAIT_S = 10.0
SETTLE_WAIT_S = 10.0
"""Longest time that a stop waits for outcomes of claims to be stored."""


@attrs.frozen
class OrderSide:
    """What brings engines to their orders.

    Attributes:
        keeper: The orders and how far the engines are.
        lease: The role of this data centre's order giver.
        runner: Gives the orders while the lease is held.
    """

    keeper: orders_reconciler.OrderReconciler
    lease: orders_lease.OrderLease
    runner: orders_runner.OrderRunner


@attrs.frozen
class Process:
    """The sides of one process.

    Attributes:
        settings: What it was started with.
        platform: Sessions with the store.
        serving: Callers, requests, routing and targets.
        fleet: Peers and configuration.
        operators: The operators' server.
        observation: Metrics, dump and watchdog.
        order_side: Orders to engines.
    """

    settings: settings_models.DaemonSettings
    platform: platform_module.Platform
    serving: wiring.Daemon
    fleet: joining.FleetMembership
    operators: operator_server.OperatorServer
    observation: observing.Observation
    order_side: OrderSide

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all sides; waits a while for a first configuration."""
        self.serving.start(tasks)
        tasks.start_soon(self.observation.run)
        await tasks.start(self.fleet.run)
        logger.info(f"serving peers on port {self.fleet.server.port}")
        port = await tasks.start(self.operators.run)
        logger.info(f"serving operators on port {port}")
        tasks.start_soon(self.order_side.lease.run)
        tasks.start_soon(self.order_side.runner.run)
        if self.fleet.follower is None:
            return
        with anyio.move_on_after(CONFIGURATION_WAIT_S) as waiting:
            await self.fleet.follower.wait_loaded()
        if waiting.cancelled_caught:
            logger.warning("no configuration yet; requests are refused")

    async def finish(self) -> None:
        """Ends what is admitted and tells the peers of the stop."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.fleet.leave)
            await self.serving.requests.wait_until_idle()
        if self.serving.committer is not None:
            await self._settle_claims(self.serving.committer)

    async def _settle_claims(self, claims: committer.GroupCommitter) -> None:
        """Waits for the store to take the last outcomes of claims.

        While the store is away a stop does not wait for it: what it has not
        taken reads as `unknown`, which is the truth.
        """
        with anyio.move_on_after(SETTLE_WAIT_S):
            await claims.drain()
        if claims.waiting:
            logger.bind(count=claims.waiting).warning(
                "outcomes of claims could not be stored before the stop"
            )

    async def close(self) -> None:
        """Drops the connections to targets and to the store."""
        await self.serving.links.close()
        await self.platform.store.close()


def make_process(settings: settings_models.DaemonSettings) -> Process:
    """Makes the sides of a process; nothing runs yet.

    Raises:
        SettingsError: An operator's key can't be read.
    """
    clock = clock_contract.LoopClock()
    platform = platform_module.make_platform(settings, clock)
    observation = observing.observe(settings, clock)
    dispatcher = fleet_dispatcher.FleetDispatcher(random.Random())
    guard = poison.PoisonGuard(random.Random(), poison.PUSH_ROUND_TRIP_S)
    poison_news = poison_gossip.PoisonGossip(guard)
    boot_id = identifiers.new_boot_id()
    fleet = joining.make(
        settings,
        boot_id,
        clock,
        random.Random(),
        platform.connect,
        dispatcher.observe_load,
        participants=(poison_news,),
        key_prefix=platform_module.KEY_PREFIX,
    )
    news = engine_news.EngineNews(fleet, dispatcher)
    serving = wiring.wire(
        settings,
        platform.store,
        surroundings.Surroundings(
            boot_id=boot_id,
            dispatcher=dispatcher,
            limiter=fleet.limiter,
            engine_news=news,
            claim_routes=questions.ClaimRoutes(fleet, clock),
            owners=questions.make_owners(fleet),
            guard=guard,
            boot_of=fleet.loads.latest_boot_id,
            on_poison_news=_make_poison_push(fleet, poison_news),
            staying=_make_staying(fleet),
            watches=news.is_mine,
            observer=metrics_sources.MetricsObserver(observation.metrics),
        ),
    )
    _connect_fleet(fleet, serving)
    order_side = _make_order_side(settings, clock, platform, serving, fleet)
    tables.register(
        observation, serving, fleet, dispatcher, order_side.keeper, guard
    )
    metrics_sources.watch_sides(
        observation.metrics, serving, fleet, dispatcher, clock
    )
    return Process(
        settings=settings,
        platform=platform,
        serving=serving,
        fleet=fleet,
        operators=_make_operators(
            settings, platform, fleet, observation, clock
        ),
        observation=observation,
        order_side=order_side,
    )


def _make_poison_push(
    fleet: joining.FleetMembership, news: poison_gossip.PoisonGossip
) -> Callable[[], None]:
    """Makes what sends the guard's urgent news to the peers at once."""

    def push() -> None:
        if news.urgent:
            fleet.peering.push(news.topic)
            news.pushed()

    return push


def _make_staying(
    fleet: joining.FleetMembership,
) -> Callable[
    [frozenset[identifiers.TargetId]], frozenset[identifiers.TargetId]
]:
    """Makes what picks the targets that take new work."""

    def staying(
        names: frozenset[identifiers.TargetId],
    ) -> frozenset[identifiers.TargetId]:
        return frozenset(n for n in names if not fleet.leaving.is_leaving(n))

    return staying


def _connect_fleet(
    fleet: joining.FleetMembership, serving: wiring.Daemon
) -> None:
    """Passes the fleet's configuration, marks and questions to serving."""
    if serving.ledger is not None:
        questions.answer_peers(fleet, serving.ledger, serving.own)
    applier = applying.ConfigurationApplier(
        serving,
        fleet.leaving,
        serving.requests.set_drained,
        serving.settings.instance.instance_id,
    )
    fleet.replica.subscribe(applier.apply)
    fleet.leaving.subscribe(serving.set_leaving)


def _make_operators(
    settings: settings_models.DaemonSettings,
    platform: platform_module.Platform,
    fleet: joining.FleetMembership,
    observation: observing.Observation,
    clock: clock_contract.Clock,
) -> operator_server.OperatorServer:
    """Makes the operators' server.

    Raises:
        SettingsError: An operator's key can't be read.
    """
    return operators_side.make_server(
        settings,
        operators_side.Parts(
            platform.store,
            fleet.replica,
            fleet.members,
            fleet.told,
            fleet.peering,
            observation.state,
            clock,
            platform_module.KEY_PREFIX,
        ),
    )


def _make_order_side(
    settings: settings_models.DaemonSettings,
    clock: clock_contract.Clock,
    platform: platform_module.Platform,
    serving: wiring.Daemon,
    fleet: joining.FleetMembership,
) -> OrderSide:
    """Makes what gives orders to this data centre's engines."""
    keeper = orders_reconciler.OrderReconciler(settings.instance.data_centre)
    wakes: list[orders_runner.OrderRunner] = []

    def wake() -> None:
        for runner in wakes:
            runner.wake()

    lease = orders_lease.OrderLease(
        platform.store,
        clock,
        random.Random(),
        fleet.members.me.instance,
        platform_module.KEY_PREFIX,
        wake,
        fleet.is_order_candidate,
    )
    runner = orders_runner.OrderRunner(keeper, lease, serving.links, clock)
    wakes.append(runner)
    feed = orders_feed.OrderFeed(keeper, clock, wake)
    fleet.replica.subscribe(feed.apply)
    return OrderSide(keeper, lease, runner)
