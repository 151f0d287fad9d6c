"""Main loop of an entry instance."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.gateway import state_dump
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.gateway.wiring import known_state
from cardamomfork._internal.gateway.wiring import request_path
from cardamomfork._internal.gateway.wiring import target_side
from cardamomfork._internal.links import http_server
from cardamomfork._internal.telemetry import memory_warning

if TYPE_CHECKING:
    from collections.abc import Callable
    import signal

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.contracts import store
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import settings as settings_models

MAINTENANCE_INTERVAL_S = 0.25
SETTINGS_RELOAD_INTERVAL_S = 5.0
RESERVED_FILES = 1000
"""File descriptors reserved for targets, peers, the store and files."""
MIN_CALLER_CONNECTIONS = 200
MAX_PEER_CONNECTIONS = 400
"""Connections of peers; they are among the reserved file descriptors."""


class GatewayProcess:
    """An entry instance in front of a fleet of targets."""

    def __init__(
        self,
        settings: fleet.EntrySettings,
        wire: platform_format.PlatformFormat,
        platform_store: store.PolledStore,
        load_settings: Callable[[], fleet.EntrySettings],
        signals: signal_queue.SignalQueue,
        features: settings_models.EntryFeatures | None = None,
    ) -> None:
        """Creates and connects the components without starting them.

        Args:
            settings: Settings of the process.
            wire: Names and formats of the platform.
            platform_store: The platform's store.
            load_settings: Reloads the settings.
            signals: Signals that the process receives.
            features: Features that are switched by settings; None for the
                defaults.
        """
        self._settings = settings
        self._load_settings = load_settings
        self._signals = signals
        self._stop_signal = ""
        self._settings_problem = ""
        self._known = known_state.create(
            settings, wire, platform_store, features
        )
        self._clock = self._known.clock
        self._stop_state = self._known.stop_state
        self._targets = target_side.create(self._known)
        self._requests = request_path.create(self._known, self._targets)

    async def run(self) -> None:
        """Serves until a stop signal, then completes open requests."""
        caller_server = self._make_server(
            self._requests.application,
            self._settings.host,
            self._settings.caller_port,
            caller_protocol.make_protocol(self._requests.connection_limits),
            max(
                self._settings.max_file_descriptors - RESERVED_FILES,
                MIN_CALLER_CONNECTIONS,
            ),
        )
        readiness_server = self._make_server(
            application.ReadinessApplication(
                self._known.wire.readiness_path, self._is_ready
            ),
            self._settings.readiness_host,
            self._settings.readiness_port,
        )
        peer_server = self._make_server(
            application.PeerApplication(
                self._known.fleet_state, self._targets.peer_forwarding
            ),
            self._settings.host,
            self._settings.peer_port,
            max_connections=MAX_PEER_CONNECTIONS,
        )
        metrics_server = self._make_server(
            application.MetricsApplication(
                self._requests.metrics_export.scrape, self._dump
            ),
            self._settings.host,
            self._settings.metrics_port,
        )
        logger.info("started", name=self._settings.instance_id)
        async with anyio.create_task_group() as tasks:
            for server in (readiness_server, peer_server, metrics_server):
                tasks.start_soon(server.serve)
            tasks.start_soon(self._requests.peers.followers.configuration.run)
            tasks.start_soon(self._requests.peers.followers.targets.run)
            tasks.start_soon(
                registration.maintain_registration,
                self._known.platform_store,
                self._known.local_peer,
                self._known.peer_table,
                self._known.notifications.store_answered,
                self._known.rng,
            )
            tasks.start_soon(
                self._targets.access.secret.run,
                self._known.platform_store,
                self._known.notifications.store_answered,
                self._known.rng,
            )
            tasks.start_soon(self._targets.reserver.run)
            tasks.start_soon(self._targets.access.reach.run)
            tasks.start_soon(self._targets.access.prober.run)
            tasks.start_soon(self._targets.crash_detector.run)
            tasks.start_soon(
                self._requests.peers.followers.crash_persistence.run
            )
            tasks.start_soon(self._requests.peers.followers.crashes.run)
            tasks.start_soon(self._requests.peers.links.run)
            tasks.start_soon(self._requests.peers.fetcher.run)
            tasks.start_soon(self._run_maintenance)
            tasks.start_soon(
                memory_warning.MemoryWarning(self._settings.memory_bytes).run
            )
            tasks.start_soon(self._handle_signals, caller_server)
            await caller_server.serve()
            left_s = self._stop_state.left_s(self._clock())
            with anyio.move_on_after(max(left_s, 0.0)):
                await self._targets.peer_forwarding.wait_until_idle()
            logger.info(
                "stopped", reason="planned stop", signal=self._stop_signal
            )
            tasks.cancel_scope.cancel()
        self._targets.access.close()
        await self._known.platform_store.close()

    def _is_ready(self) -> bool:
        """Returns whether the balancer may send new connections."""
        return (
            self._known.fleet_state.is_complete
            and not self._stop_state.is_stopping
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
            self._known.fleet_state.expire()
            self._known.cold_targets.update()
            self._targets.access.close_idle()
            self._requests.retry_budget.update_instances(
                self._known.peer_table.known_count
            )

    async def _handle_signals(
        self, caller_server: http_server.HttpServer
    ) -> None:
        """Stops on SIGTERM or SIGINT; reloads the settings on SIGHUP."""
        async with anyio.create_task_group() as tasks:

            def handle(received: signal.Signals) -> None:
                if received == signal_queue.RELOAD_SIGNAL:
                    self._settings_problem = ""
                    self._reload()
                elif (
                    received in signal_queue.STOP_SIGNALS
                    and not self._stop_signal
                ):
                    self._stop_signal = received.name
                    tasks.start_soon(self._stop_serving, caller_server)

            await signal_handling.handle(self._signals, handle)

    def _reload(self) -> None:
        """Reloads the settings; new listening addresses have no effect.

        Logs the same problem once until a SIGHUP or a sound file.
        """
        try:
            settings = self._load_settings()
        except exceptions.SettingsError as error:
            if str(error) != self._settings_problem:
                self._settings_problem = str(error)
                logger.error("settings not reloaded", reason=str(error))
            return
        self._settings_problem = ""
        if settings == self._settings:
            return
        self._settings = settings
        self._requests.retry_budget.update_settings(settings)
        self._known.region_rules.update_settings(settings)
        self._requests.peers.cold_permits.update_settings(settings)
        logger.info("settings reloaded", name=settings.instance_id)

    async def _stop_serving(
        self, caller_server: http_server.HttpServer
    ) -> None:
        """Stops serving within the grace period."""
        self._stop_state.begin(self._clock(), self._settings)
        self._requests.peers.links.leave()
        logger.info("stopping", count=self._requests.application.in_progress)
        await anyio.sleep(stopping.BALANCER_REMOVAL_DELAY_S)
        caller_server.stop()
        await anyio.sleep(max(self._stop_state.left_s(self._clock()), 0.0))
        logger.warning(
            "grace period expired", count=self._requests.application.in_progress
        )
        caller_server.abort()

    def _dump(self) -> dict[str, Any]:
        """Returns the state of this process for a dump."""
        now = self._clock()
        return {
            "instance": self._settings.instance_id,
            "configuration_revision": self._known.fleet_state.revision,
            "configuration_age_s": round(
                self._known.fleet_state.configuration_age_s, 3
            ),
            "is_ready": self._is_ready(),
            "is_isolated": self._targets.access.reach.is_isolated,
            "data_centres": self._targets.access.data_centres.dump(now),
            "is_delegate": self._known.peer_table.is_delegate(),
            "polls_store": self._known.must_poll,
            "in_progress": self._requests.application.in_progress,
            "waiting": self._requests.scheduler.waiting,
            "account_use": self._requests.fair_order.dump(
                request_path.list_services(self._known), now
            ),
            "peers": [
                peer.instance_id for peer in self._known.peer_table.peers
            ],
            "silent_peers": [
                peer.instance_id for peer in self._known.peer_table.silent_peers
            ],
            "cold_permits": self._requests.peers.cold_permits.dump(),
            "blocked_requests": state_dump.dump_blocked(
                self._known.poison_guard, now
            ),
            "evacuations": state_dump.dump_evacuations(self._known.evacuations),
            "targets": state_dump.dump_targets(
                self._known.target_table, self._known.load_view, now
            ),
        }

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
