"""Wires the parts of an entry instance and runs them."""

from __future__ import annotations

import random
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway import application
from cardamomfork._internal.gateway import caller_protocol
from cardamomfork._internal.gateway import demands
from cardamomfork._internal.gateway import digest_codec
from cardamomfork._internal.gateway import digest_routes
from cardamomfork._internal.gateway import fleet_state
from cardamomfork._internal.gateway import following
from cardamomfork._internal.gateway import forwarding
from cardamomfork._internal.gateway import load_view
from cardamomfork._internal.gateway import peer_table
from cardamomfork._internal.gateway import peers
from cardamomfork._internal.gateway import placement
from cardamomfork._internal.gateway import poison_guard
from cardamomfork._internal.gateway import registration
from cardamomfork._internal.gateway import reservations
from cardamomfork._internal.gateway import retry_budget
from cardamomfork._internal.gateway import scheduling
from cardamomfork._internal.gateway import stopping
from cardamomfork._internal.gateway import store_handlers
from cardamomfork._internal.gateway import target_links
from cardamomfork._internal.gateway import target_table
from cardamomfork._internal.gateway import traffic_metrics
from cardamomfork._internal.links import http_server
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.telemetry import exporting

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.models import fleet

HOUSEKEEPING_S = 0.25
RELOAD_S = 5.0
OTHER_FILES = 1000
"""Descriptors for targets, peers, the store and files."""
MIN_CALLERS = 200
CONFIGURATION_GATHER_S = 0.5
TARGETS_GATHER_S = 0.8
"""Times in which changes are gathered; far under the bounds of seconds in
which a configuration, and a target's leaving, must be acted on."""


class GatewayProcess:
    """An entry instance in front of a fleet."""

    def __init__(
        self,
        settings: fleet.EntrySettings,
        wire: platform_format.PlatformFormat,
        platform_store: store.PolledStore,
        load_settings: Callable[[], fleet.EntrySettings],
    ) -> None:
        """Wires the parts; nothing runs yet.

        Args:
            settings: What the process was started with.
            wire: Names and formats of the platform.
            platform_store: The platform's store.
            load_settings: Reads the settings again.
        """
        clock = time.monotonic
        self._clock = clock
        self._settings = settings
        self._wire = wire
        self._store = platform_store
        self._load_settings = load_settings
        self._source = random.Random()
        self._table = target_table.TargetTable()
        self._load = load_view.LoadView()
        self._state = fleet_state.FleetState(wire, self._table, clock)
        self._guard = poison_guard.PoisonGuard()
        self._retry_budget = retry_budget.RetryBudget(settings)
        self._links = target_links.TargetLinks(wire)
        self._stop = stopping.StopState()
        self._limits = caller_protocol.ConnectionLimits()
        self._own = digest_codec.Peer(
            settings.instance_id,
            settings.data_centre,
            settings.host,
            settings.peer_port,
        )
        self._peers = peer_table.PeerTable(self._own, clock)
        self._scheduler = scheduling.Scheduler(
            placement.Placer(
                self._table,
                self._load,
                settings.data_centre,
                self._source,
                lambda: self._peers.count,
            ),
            self._commit,
            self._withdraw,
            clock,
            self._source,
        )
        self._reserver = reservations.MemoryReserver(wire, self._links)
        self._configuration_follower = self._make_follower(
            following.Topic(wire.configuration_key, CONFIGURATION_GATHER_S),
            store_handlers.ConfigurationHandler(
                self._state, self._apply_configuration
            ),
        )
        self._targets_follower = self._make_follower(
            following.Topic(wire.targets_prefix, TARGETS_GATHER_S),
            store_handlers.TargetsHandler(self._state, self._on_change),
        )
        self._peer_links = peers.PeerLinks(
            self._own,
            self._peers,
            digest_routes.DigestRoutes(
                settings.data_centre, self._peers, self._source
            ),
            self._load,
            self._state,
            self._guard,
            self._targets_follower,
            clock,
            self._scheduler.receive_update,
        )
        self._export = exporting.MetricsExport(
            settings_models.TelemetrySettings(), settings.instance_id
        )
        self._callers = application.CallerApplication(
            wire,
            self._state,
            forwarding.Forwarder(
                wire,
                self._scheduler,
                self._links,
                self._table,
                self._load,
                self._retry_budget,
                self._guard,
                self._reserver,
                clock,
                self._on_change,
            ),
            self._stop,
            self._make_metrics(),
            clock,
            self._source,
            settings.memory_bytes,
        )

    async def run(self) -> None:
        """Serves until a signal, then until its requests have ended."""
        callers = self._make_server(
            self._callers,
            self._settings.host,
            self._settings.caller_port,
            caller_protocol.make_protocol(self._limits),
            max(self._settings.max_files - OTHER_FILES, MIN_CALLERS),
        )
        readiness = self._make_server(
            application.ReadinessApplication(
                self._wire.readiness_path, self._is_ready
            ),
            self._settings.readiness_host,
            self._settings.readiness_port,
        )
        peer_server = self._make_server(
            application.PeerApplication(self._state),
            self._settings.host,
            self._settings.peer_port,
        )
        metrics = self._make_server(
            application.MetricsApplication(self._export.scrape, self._dump),
            self._settings.host,
            self._settings.metrics_port,
        )
        logger.info("started", name=self._settings.instance_id)
        async with anyio.create_task_group() as tasks:
            for server in (readiness, peer_server, metrics):
                tasks.start_soon(server.serve)
            tasks.start_soon(self._configuration_follower.run)
            tasks.start_soon(self._targets_follower.run)
            tasks.start_soon(
                registration.register,
                self._store,
                self._own,
                self._peers,
                self._on_answer,
            )
            tasks.start_soon(self._reserver.run)
            tasks.start_soon(self._peer_links.run)
            tasks.start_soon(self._peer_links.fetch_configurations)
            tasks.start_soon(self._keep_house)
            tasks.start_soon(self._handle_signals, callers)
            await callers.serve()
            logger.info("stopped")
            tasks.cancel_scope.cancel()
        self._links.close()
        await self._store.close()

    def _make_follower(
        self, topic: following.Topic, handler: following.Handler
    ) -> following.Follower:
        """Returns what follows a prefix of the store."""
        return following.Follower(
            self._store,
            topic,
            handler,
            self._on_answer,
            self._peers.is_delegate,
            self._source,
        )

    def _commit(
        self,
        demand: demands.Demand,
        place: placement.Placement,
        now: float,
    ) -> None:
        """Takes a place that has been given."""
        writing = (
            placement.DEFAULT_CALL_S
            if demand.service.cost_model is None
            else demands.expected_decode_s(demand)
        )
        self._load.start(
            load_view.Job(
                job_id=demand.job_id,
                target_id=place.target.record.target_id,
                parts=tuple(
                    load_view.Part(
                        helper.target.record.target_id, helper.reserved_tokens
                    )
                    for helper in place.helpers
                ),
                prompt_tokens=demand.prompt_tokens,
                output_tokens=demand.output_tokens,
                max_gap_s=demand.max_gap_s,
                value=demand.value,
                reads_until=now + place.prefill_s,
                late_at=now + demand.objective_left_s,
                ends_at=now + place.first_token_s + writing,
            )
        )
        self._peer_links.notify(is_urgent=True)

    def _withdraw(self, job_id: str) -> None:
        """Frees the place of a job."""
        self._load.end(job_id)
        self._peer_links.notify()

    def _on_change(self) -> None:
        """Takes a change of what runs here."""
        self._peer_links.notify()
        self._scheduler.dispatch_waiting()

    def _on_answer(self, fault: store.StoreFault | None) -> None:
        """Takes whether the store answered."""
        if fault is None:
            self._state.store_found()
        elif fault.kind in (
            store.StoreFaultKind.UNAVAILABLE,
            store.StoreFaultKind.INDETERMINATE,
        ):
            self._state.store_lost(f"{fault.kind} {fault.key} {fault.detail}")

    def _apply_configuration(self) -> None:
        """Puts bounds of a new configuration in force."""
        table = self._state.routes
        if table is not None:
            self._limits.apply(table.configuration.limits)
        self._peer_links.notify()

    def _is_ready(self) -> bool:
        """Whether the balancer should send new connections."""
        return self._state.is_complete and not self._stop.is_stopping

    async def _keep_house(self) -> None:
        """Drops what is out of date while the task runs."""
        reload_at = self._clock() + RELOAD_S
        while True:
            await anyio.sleep(HOUSEKEEPING_S)
            if self._clock() >= reload_at:
                # The file may change without a signal.
                self._reload()
                reload_at = self._clock() + RELOAD_S
            self._state.expire()
            self._links.close_idle()
            self._retry_budget.update_instances(self._peers.count)

    async def _handle_signals(self, callers: http_server.HttpServer) -> None:
        """Stops at SIGTERM; reads the settings again at SIGHUP."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as tasks:
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload()
                    elif not self._stop.is_stopping:
                        tasks.start_soon(self._stop_serving, callers)

    def _reload(self) -> None:
        """Reads the settings again; addresses stay as they are."""
        try:
            settings = self._load_settings()
        except exceptions.SettingsError as error:
            logger.error("settings not reloaded", reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._retry_budget.update_settings(settings)
        logger.info("settings reloaded", name=settings.instance_id)

    async def _stop_serving(self, callers: http_server.HttpServer) -> None:
        """Ends the process within its grace time."""
        self._stop.begin(self._clock(), self._settings)
        self._peer_links.leave()
        logger.info("stopping", count=self._callers.in_progress)
        await anyio.sleep(stopping.BALANCER_REMOVAL_DELAY_S)
        callers.stop()
        await anyio.sleep(max(self._stop.left_s(self._clock()), 0.0))
        logger.warning("grace time is over", count=self._callers.in_progress)
        callers.stop_now()

    def _dump(self) -> dict[str, Any]:
        """Returns what this process believes, for a dump on request."""
        now = self._clock()
        return {
            "instance": self._settings.instance_id,
            "configuration_revision": self._state.revision,
            "configuration_age_s": round(self._state.configuration_age_s, 3),
            "is_ready": self._is_ready(),
            "is_delegate": self._peers.is_delegate(),
            "in_progress": self._callers.in_progress,
            "waiting": self._scheduler.waiting,
            "peers": [peer.instance_id for peer in self._peers.peers],
            "silent_peers": [
                peer.instance_id for peer in self._peers.silent_peers
            ],
            "targets": [
                {
                    **attrs.asdict(target.record),
                    "pace": round(target.slowdown(now), 2),
                    "failures": round(target.decayed_failure_rate(now), 2),
                    "paused_s": round(max(target.paused_until - now, 0.0), 2),
                    "load": attrs.asdict(
                        self._load.load(target.record.target_id, now)
                    ),
                }
                for target in self._table.list_all()
            ],
        }

    def _make_metrics(self) -> traffic_metrics.TrafficMetrics:
        """Returns the metrics, with gauges of what is believed."""
        return traffic_metrics.TrafficMetrics(
            self._export.meter,
            {
                "waiting": lambda: self._scheduler.waiting,
                "targets": lambda: len(self._table),
                "instances": lambda: self._peers.count,
                "configuration_age": lambda: self._state.configuration_age_s,
                "connections_opened": lambda: self._links.opened,
            },
        )

    def _make_server(
        self,
        served: object,
        host: str,
        port: int,
        protocol: type | str = "httptools",
        max_connections: int | None = None,
    ) -> http_server.HttpServer:
        """Binds a server."""
        return http_server.HttpServer(
            served, http_server.bind(host, port), protocol, max_connections
        )
