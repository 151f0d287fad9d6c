"""Composition and main loop of an entry instance."""

from __future__ import annotations

import random
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import store
from cardamomfork._internal.gateway import state_dump
from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.crashes import crash_detector
from cardamomfork._internal.gateway.crashes import crash_persistence
from cardamomfork._internal.gateway.crashes import poison_guard
from cardamomfork._internal.gateway.paths import reservations
from cardamomfork._internal.gateway.paths import target_access
from cardamomfork._internal.gateway.peers import configuration_fetching
from cardamomfork._internal.gateway.peers import digest_codec
from cardamomfork._internal.gateway.peers import digest_recipients
from cardamomfork._internal.gateway.peers import peer_forwarding_server
from cardamomfork._internal.gateway.peers import peer_links
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import rate_permits
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.gateway.queueing import retry_budget
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.serving import forwarding
from cardamomfork._internal.gateway.serving import traffic_metrics
from cardamomfork._internal.gateway.state import fleet_state
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import rate_limits
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.state import store_handlers
from cardamomfork._internal.gateway.state import target_statements
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.gateway.store import change_relay
from cardamomfork._internal.gateway.store import follower
from cardamomfork._internal.links import http_server
from cardamomfork._internal.models import settings as settings_models
from cardamomfork._internal.telemetry import exporting

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.models import fleet

MAINTENANCE_INTERVAL_S = 0.25
SETTINGS_RELOAD_INTERVAL_S = 5.0
RESERVED_FILES = 1000
"""File descriptors reserved for targets, peers, the store and files."""
MIN_CALLER_CONNECTIONS = 200
MAX_PEER_CONNECTIONS = 400
"""Connections of peers; they are among the reserved file descriptors."""
CONFIGURATION_BATCH_DELAY_S = 0.5
TARGETS_BATCH_DELAY_S = 0.8
"""Pauses in which changes accumulate. They are far below the limits of some
seconds within which a new configuration and a leaving target must take
effect."""
CONFIGURATION_MAX_LAG_S = 1.0
TARGETS_MAX_LAG_S = 0.3
"""Times for which this instance may be behind a peer before it scans. A large
configuration takes some tenths of a second on a slow link."""


class GatewayProcess:
    """An entry instance in front of a fleet of targets."""

    def __init__(
        self,
        settings: fleet.EntrySettings,
        wire: platform_format.PlatformFormat,
        platform_store: store.PolledStore,
        load_settings: Callable[[], fleet.EntrySettings],
    ) -> None:
        """Creates and connects the components without starting them.

        Args:
            settings: Settings of the process.
            wire: Names and formats of the platform.
            platform_store: The platform's store.
            load_settings: Reloads the settings.
        """
        clock = time.monotonic
        self._clock = clock
        self._settings = settings
        self._wire = wire
        self._store = platform_store
        self._load_settings = load_settings
        self._rng = random.Random()
        self._target_table = target_table.TargetTable(
            self._on_target_ended, self._rng.getrandbits(32)
        )
        self._load_view = load_view.LoadView()
        self._fleet_state = fleet_state.FleetState(
            wire, self._target_table, clock
        )
        self._poison_guard = poison_guard.PoisonGuard(self._owns_trials)
        self._retry_budget = retry_budget.RetryBudget(settings, clock())
        self._local_peer = digest_codec.Peer(
            settings.instance_id,
            settings.data_centre,
            settings.host,
            settings.peer_port,
        )
        self._peer_table = peer_table.PeerTable(self._local_peer, clock)
        self._target_access = target_access.TargetAccess(
            wire,
            settings,
            self._target_table,
            self._peer_table,
            clock,
            self._rng,
            self._on_reach_change,
        )
        self._crash_detector = crash_detector.CrashDetector(
            self._poison_guard,
            self._target_table,
            self._target_access.pool.open_idle,
            clock,
            self._on_crash,
            self._target_access.reach.confirm,
        )
        self._stop_state = stopping.StopState()
        self._connection_limits = caller_protocol.ConnectionLimits()
        self._scheduler = scheduling.Scheduler(
            placement.Placer(
                self._target_table,
                self._load_view,
                settings.data_centre,
                self._rng,
                lambda: self._peer_table.count,
            ),
            self._commit,
            self._release,
            clock,
            self._rng,
        )
        self._target_statements = target_statements.TargetStatements(
            self._target_table, clock, self._target_access.pool.close_target
        )
        self._reserver = reservations.MemoryReserver(
            wire, self._target_access.paths, self._target_statements
        )
        self._rate_limits = rate_limits.RateLimits(
            self._target_table,
            clock,
            self._on_rate_limit,
        )
        self._peer_forwarding = (
            peer_forwarding_server.PeerForwardingApplication(
                self._target_access.pool,
                self._target_table,
                self._target_access.reach,
                self._target_access.secret,
                self._rate_limits,
                self._target_statements,
                self._stop_state,
                clock,
                settings.memory_bytes,
            )
        )
        self._rate_permits = rate_permits.RatePermits(
            self._rate_limits,
            self._peer_table.find_owner,
            self._send_datagram,
            clock,
        )
        self._configuration_follower = self._make_follower(
            follower.Subscription(
                wire.configuration_key,
                CONFIGURATION_BATCH_DELAY_S,
                CONFIGURATION_MAX_LAG_S,
            ),
            store_handlers.ConfigurationHandler(
                self._fleet_state, self._on_configuration_applied
            ),
            self._peer_table.is_delegate,
        )
        targets_handler = store_handlers.TargetsHandler(
            self._fleet_state, self._on_targets_change
        )
        self._targets_follower = self._make_follower(
            follower.Subscription(
                wire.targets_prefix, TARGETS_BATCH_DELAY_S, TARGETS_MAX_LAG_S
            ),
            targets_handler,
            self._peer_table.is_delegate,
            self._must_poll,
            follower.RelayedChanges(
                change_relay.ChangeRelay(
                    self._send_updates,
                    clock,
                    lambda in_scan: self._fleet_state.may_have_lapsed(
                        in_scan=in_scan
                    ),
                ),
                targets_handler,
            ),
        )
        self._configuration_fetcher = (
            configuration_fetching.ConfigurationFetcher(
                self._fleet_state,
                configuration_fetching.HttpTransport(),
                self._rng,
                self._on_configuration_applied,
            )
        )
        self._peer_links = peer_links.PeerLinks(
            self._local_peer,
            self._peer_table,
            digest_recipients.RecipientSelector(
                settings.data_centre, self._peer_table, self._rng
            ),
            self._load_view,
            self._fleet_state,
            self._configuration_fetcher,
            self._poison_guard,
            self._rate_limits,
            self._rate_permits,
            self._configuration_follower,
            self._targets_follower,
            clock,
            self._scheduler.receive_update,
            self._reaches_targets,
            lambda: (
                self._caller_application.in_progress
                + self._peer_forwarding.in_progress
            ),
            lambda: not self._fleet_state.is_store_lost,
        )
        self._crash_persistence = crash_persistence.CrashPersistence(
            platform_store,
            self._poison_guard,
            settings.instance_id,
            clock,
            self._on_store_answer,
            self._peer_links.notify_crash,
        )
        self._crashes_follower = self._make_follower(
            follower.Subscription(
                crash_persistence.KEY_PREFIX,
                crash_persistence.FOLLOWER_BATCH_DELAY_S,
            ),
            self._crash_persistence,
            # Digests carry most crashes, so no instance polls for them often.
            is_delegate=lambda: False,
            must_poll=self._must_poll,
        )
        self._metrics_export = exporting.MetricsExport(
            settings_models.TelemetrySettings(), settings.instance_id
        )
        self._caller_application = application.CallerApplication(
            wire,
            self._fleet_state,
            forwarding.Forwarder(
                wire,
                self._scheduler,
                self._target_access.paths,
                self._target_table,
                self._load_view,
                self._retry_budget,
                self._poison_guard,
                self._crash_detector,
                self._reserver,
                self._rate_limits,
                self._target_statements,
                self._rate_permits,
                clock,
                self._on_capacity_change,
                lambda: self._target_access.reach.is_isolated,
            ),
            self._stop_state,
            self._make_metrics(),
            clock,
            self._rng,
            settings.memory_bytes,
        )

    async def run(self) -> None:
        """Serves until a stop signal, then completes open requests."""
        caller_server = self._make_server(
            self._caller_application,
            self._settings.host,
            self._settings.caller_port,
            caller_protocol.make_protocol(self._connection_limits),
            max(
                self._settings.max_file_descriptors - RESERVED_FILES,
                MIN_CALLER_CONNECTIONS,
            ),
        )
        readiness_server = self._make_server(
            application.ReadinessApplication(
                self._wire.readiness_path, self._is_ready
            ),
            self._settings.readiness_host,
            self._settings.readiness_port,
        )
        peer_server = self._make_server(
            application.PeerApplication(
                self._fleet_state, self._peer_forwarding
            ),
            self._settings.host,
            self._settings.peer_port,
            max_connections=MAX_PEER_CONNECTIONS,
        )
        metrics_server = self._make_server(
            application.MetricsApplication(
                self._metrics_export.scrape, self._dump
            ),
            self._settings.host,
            self._settings.metrics_port,
        )
        logger.info("started", name=self._settings.instance_id)
        async with anyio.create_task_group() as tasks:
            for server in (readiness_server, peer_server, metrics_server):
                tasks.start_soon(server.serve)
            tasks.start_soon(self._configuration_follower.run)
            tasks.start_soon(self._targets_follower.run)
            tasks.start_soon(
                registration.maintain_registration,
                self._store,
                self._local_peer,
                self._peer_table,
                self._on_store_answer,
                self._rng,
            )
            tasks.start_soon(
                self._target_access.secret.run,
                self._store,
                self._on_store_answer,
                self._rng,
            )
            tasks.start_soon(self._reserver.run)
            tasks.start_soon(self._target_access.reach.run)
            tasks.start_soon(self._crash_detector.run)
            tasks.start_soon(self._crash_persistence.run)
            tasks.start_soon(self._crashes_follower.run)
            tasks.start_soon(self._peer_links.run)
            tasks.start_soon(self._configuration_fetcher.run)
            tasks.start_soon(self._run_maintenance)
            tasks.start_soon(self._handle_signals, caller_server)
            await caller_server.serve()
            left_s = self._stop_state.left_s(self._clock())
            with anyio.move_on_after(max(left_s, 0.0)):
                await self._peer_forwarding.wait_until_idle()
            logger.info("stopped")
            tasks.cancel_scope.cancel()
        self._target_access.close()
        await self._store.close()

    def _make_follower(
        self,
        subscription: follower.Subscription,
        handler: follower.Handler,
        is_delegate: Callable[[], bool],
        must_poll: Callable[[], bool] = lambda: True,
        relayed: follower.RelayedChanges | None = None,
    ) -> follower.Follower:
        """Creates a follower of a key prefix in the store."""
        return follower.Follower(
            self._store,
            subscription,
            handler,
            self._on_store_answer,
            is_delegate,
            self._rng,
            must_poll,
            relayed,
        )

    def _commit(
        self,
        demand: demands.Demand,
        chosen: placement.Placement,
        now: float,
    ) -> None:
        """Records a placement chosen by the scheduler and notifies peers."""
        output_s = (
            placement.DEFAULT_CALL_S
            if demand.service.cost_model is None
            else demands.expected_decode_s(demand)
        )
        self._load_view.start(
            load_view.Job(
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
            )
        )
        self._peer_links.notify(is_urgent=True)

    def _release(self, job_id: str) -> None:
        """Removes a job from the load and notifies peers."""
        self._load_view.end(job_id)
        self._peer_links.notify()

    def _on_capacity_change(self) -> None:
        """Notifies peers of a change and retries waiting requests."""
        self._peer_links.notify()
        self._scheduler.dispatch_waiting()

    def _on_targets_change(self) -> None:
        """Applies a change of the targets' entries."""
        self._target_access.reach.probe_soon()
        self._on_capacity_change()

    def _reaches_targets(self) -> bool:
        """Returns whether peers may send requests over this instance."""
        return (
            not self._target_access.reach.is_isolated
            and self._fleet_state.is_complete
            and not self._stop_state.is_stopping
        )

    def _on_reach_change(self) -> None:
        """Drops suspects of a cut, and notifies peers."""
        reach = self._target_access.reach
        if reach.is_isolated:
            self._poison_guard.discard_suspects(reach.doubted_since)
        self._peer_links.notify(is_urgent=True)
        self._scheduler.dispatch_waiting()

    def _on_target_ended(self, record: fleet.TargetRecord) -> None:
        """Reports the end of a target's process as evidence of a crash."""
        self._crash_detector.target_ended(record)

    def _owns_trials(self, fingerprint: int) -> bool:
        """Returns whether this instance may try a blocked part again."""
        return self._peer_table.find_owner(f"{fingerprint:x}") is None

    def _on_crash(self) -> None:
        """Notifies peers of a confirmed crash and keeps it in the store."""
        self._peer_links.notify_crash()
        self._crash_persistence.notify()

    def _must_poll(self) -> bool:
        """Returns whether this instance polls the store for changes."""
        return self._peer_table.must_poll(
            reaches_store=not self._fleet_state.is_store_lost
        )

    def _send_updates(self, updates: tuple[change_relay.Update, ...]) -> None:
        """Sends changes of targets' entries to peers that don't poll."""
        if self._must_poll():
            self._peer_links.send_updates(updates)

    def _on_rate_limit(self) -> None:
        """Notifies peers that a target has changed its limit."""
        self._peer_links.notify_rate_limit()

    def _send_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram to a peer."""
        self._peer_links.send_datagram(data, address)

    def _on_store_answer(self, fault: store.StoreFault | None) -> None:
        """Records whether the store answered a call."""
        if fault is None:
            self._fleet_state.store_regained()
        elif fault.kind in (
            store.StoreFaultKind.UNAVAILABLE,
            store.StoreFaultKind.INDETERMINATE,
        ):
            self._fleet_state.store_lost(
                f"{fault.kind} {fault.key} {fault.detail}"
            )

    def _on_configuration_applied(self) -> None:
        """Applies the caller limits of a new configuration; notifies peers."""
        route_table = self._fleet_state.routes
        if route_table is not None:
            self._connection_limits.apply(route_table.configuration.limits)
        self._peer_links.notify(is_urgent=True)

    def _is_ready(self) -> bool:
        """Returns whether the balancer may send new connections."""
        return (
            self._fleet_state.is_complete and not self._stop_state.is_stopping
        )

    async def _run_maintenance(self) -> None:
        """Runs periodic maintenance until cancelled."""
        reload_at = self._clock() + SETTINGS_RELOAD_INTERVAL_S
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            if self._clock() >= reload_at:
                # The settings file may change without a SIGHUP.
                self._reload()
                reload_at = self._clock() + SETTINGS_RELOAD_INTERVAL_S
            self._fleet_state.expire()
            self._target_access.close_idle()
            self._retry_budget.update_instances(self._peer_table.known_count)

    async def _handle_signals(
        self, caller_server: http_server.HttpServer
    ) -> None:
        """Stops on SIGTERM or SIGINT; reloads the settings on SIGHUP."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as tasks:
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        self._reload()
                    elif not self._stop_state.is_stopping:
                        tasks.start_soon(self._stop_serving, caller_server)

    def _reload(self) -> None:
        """Reloads the settings; new listening addresses have no effect."""
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

    async def _stop_serving(
        self, caller_server: http_server.HttpServer
    ) -> None:
        """Stops serving within the grace period."""
        self._stop_state.begin(self._clock(), self._settings)
        self._peer_links.leave()
        logger.info("stopping", count=self._caller_application.in_progress)
        await anyio.sleep(stopping.BALANCER_REMOVAL_DELAY_S)
        caller_server.stop()
        await anyio.sleep(max(self._stop_state.left_s(self._clock()), 0.0))
        logger.warning(
            "grace period expired", count=self._caller_application.in_progress
        )
        caller_server.abort()

    def _dump(self) -> dict[str, Any]:
        """Returns the state of this process for a dump."""
        now = self._clock()
        return {
            "instance": self._settings.instance_id,
            "configuration_revision": self._fleet_state.revision,
            "configuration_age_s": round(
                self._fleet_state.configuration_age_s, 3
            ),
            "is_ready": self._is_ready(),
            "is_isolated": self._target_access.reach.is_isolated,
            "is_delegate": self._peer_table.is_delegate(),
            "polls_store": self._must_poll(),
            "in_progress": self._caller_application.in_progress,
            "waiting": self._scheduler.waiting,
            "peers": [peer.instance_id for peer in self._peer_table.peers],
            "silent_peers": [
                peer.instance_id for peer in self._peer_table.silent_peers
            ],
            "blocked_requests": state_dump.dump_blocked(
                self._poison_guard, now
            ),
            "targets": state_dump.dump_targets(
                self._target_table, self._load_view, now
            ),
        }

    def _make_metrics(self) -> traffic_metrics.TrafficMetrics:
        """Creates the metrics, including gauges of the state."""
        return traffic_metrics.TrafficMetrics(
            self._metrics_export.meter,
            {
                "waiting": lambda: self._scheduler.waiting,
                "targets": lambda: len(self._target_table),
                "instances": lambda: self._peer_table.count,
                "configuration_age": lambda: (
                    self._fleet_state.configuration_age_s
                ),
                "connections_opened": lambda: self._target_access.pool.opened,
                "permit_targets": lambda: self._rate_permits.issued_targets,
                "crash_suspects": lambda: self._poison_guard.suspect_count,
                "isolated": lambda: int(self._target_access.reach.is_isolated),
                "peer_requests": lambda: self._peer_forwarding.in_progress,
                "blocked_requests": lambda: len(
                    self._poison_guard.blocked(self._clock())
                ),
            },
        )

    def _make_server(
        self,
        app: object,
        host: str,
        port: int,
        protocol: type | str = "httptools",
        max_connections: int | None = None,
    ) -> http_server.HttpServer:
        """Creates a server bound to an address."""
        return http_server.HttpServer(
            app,
            http_server.open_listener(host, port),
            protocol,
            max_connections,
        )
