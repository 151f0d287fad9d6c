"""Main loop of an entry instance."""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from cardamomfork._internal import exceptions
from cardamomfork._internal import supervision
from cardamomfork._internal.gateway import signal_handling
from cardamomfork._internal.gateway import signal_queue
from cardamomfork._internal.gateway import state_dump
from cardamomfork._internal.gateway.peers import registration
from cardamomfork._internal.gateway.serving import application
from cardamomfork._internal.gateway.serving import caller_protocol
from cardamomfork._internal.gateway.serving import connection_report
from cardamomfork._internal.gateway.wiring import known_state
from cardamomfork._internal.gateway.wiring import request_path
from cardamomfork._internal.gateway.wiring import store_side
from cardamomfork._internal.gateway.wiring import target_side
from cardamomfork._internal.links import connection_limits
from cardamomfork._internal.links import event_loop
from cardamomfork._internal.links import held_memory
from cardamomfork._internal.links import http_server
from cardamomfork._internal.telemetry import memory_warning

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import signal

    from cardamomfork._internal.contracts import platform_format
    from cardamomfork._internal.contracts import store
    from cardamomfork._internal.models import fleet
    from cardamomfork._internal.models import settings as settings_models

MAINTENANCE_INTERVAL_S = 0.25
SETTINGS_RELOAD_INTERVAL_S = 5.0
MAX_PEER_CONNECTIONS = 400
"""Connections of peers; they are among the reserved file descriptors."""
MAX_OPERATIONS_CONNECTIONS = 50
"""Connections of the load balancer, and those of operators; they are among the
reserved file descriptors."""
MAX_OPERATIONS_HEADER_BYTES = 8192
LAST_ANSWERS_S = 0.15
"""Time in which the requests left at the exit are answered; it is part of the
margin before the end of the grace time."""
FLUSH_S = 0.05
"""Time in which these answers leave the buffers of their connections."""

MAINTENANCE_TASK = "maintenance"
EVENT_LOOP_TASK = "event loop"
"""Name under which failures of callbacks of the event loop are counted."""


def _make_operations_limits() -> connection_limits.ConnectionLimits:
    """Returns the limits of the readiness port and of the metrics port."""
    return connection_limits.ConnectionLimits(
        max_header_bytes=MAX_OPERATIONS_HEADER_BYTES,
        max_connections=MAX_OPERATIONS_CONNECTIONS,
    )


def _never() -> bool:
    """Returns False."""
    return False


@attrs.frozen
class BackgroundTask:
    """A task that runs until the process ends.

    Attributes:
        name: Name in logs and metrics.
        run: The task.
        max_backoff_s: Longest delay of a restart, in seconds.
        may_return: Returns whether the task is complete once it has returned.
    """

    name: str
    run: Callable[[], Awaitable[object]]
    max_backoff_s: float = supervision.PROMPT_MAX_BACKOFF_S
    may_return: Callable[[], bool] = _never


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
        memory = held_memory.make_memory(settings.memory_bytes)
        self._requests = request_path.create(self._known, self._targets, memory)
        self._stop_requested = anyio.Event()
        self._caller_server = http_server.RestartableServer(
            self._requests.application,
            settings.host,
            settings.caller_port,
            caller_protocol.GatewayProtocol,
            limits=self._requests.connection_limits,
            memory=memory,
        )
        self._readiness_server = http_server.RestartableServer(
            application.ReadinessApplication(
                wire.readiness_path, self._is_ready
            ),
            settings.readiness_host,
            settings.readiness_port,
            limits=_make_operations_limits(),
            memory=memory,
        )
        self._peer_server = http_server.RestartableServer(
            application.PeerApplication(
                self._known.fleet_state, self._targets.peer_forwarding
            ),
            settings.host,
            settings.peer_port,
            limits=connection_limits.ConnectionLimits(
                max_connections=min(
                    MAX_PEER_CONNECTIONS, settings.max_file_descriptors // 4
                )
            ),
            memory=memory,
        )
        self._metrics_server = http_server.RestartableServer(
            application.MetricsApplication(
                self._requests.metrics_export.scrape, self._dump
            ),
            settings.host,
            settings.metrics_port,
            limits=_make_operations_limits(),
            memory=memory,
        )
        self._connections = connection_report.ConnectionReport(
            {
                "callers": self._caller_server.connections,
                "readiness": self._readiness_server.connections,
                "peers": self._peer_server.connections,
                "metrics": self._metrics_server.connections,
            },
            memory,
        )

    @property
    def background_tasks(self) -> tuple[BackgroundTask, ...]:
        """The background tasks of the process.

        Each of them is restarted when it fails, also those without which the
        process serves nothing: a new process would meet the same cause.
        """
        known, targets, peers = self._known, self._targets, self._requests.peers
        followers = peers.followers
        store, answered = (
            known.platform_store,
            known.notifications.store_answered,
        )
        secret = functools.partial(
            targets.access.secret.run, store, answered, known.rng
        )
        register = functools.partial(
            registration.maintain_registration,
            store,
            known.local_peer,
            known.peer_table,
            answered,
            known.rng,
        )
        warning = memory_warning.MemoryWarning(self._settings.memory_bytes)
        late_s = supervision.MAX_BACKOFF_S
        return (
            BackgroundTask("signals", self._handle_signals),
            BackgroundTask(
                "planned stop",
                self._stop_serving,
                may_return=lambda: self._stop_state.is_stopping,
            ),
            BackgroundTask("readiness server", self._readiness_server.run),
            BackgroundTask(
                "callers' server",
                self._caller_server.run,
                may_return=lambda: self._caller_server.has_ended,
            ),
            BackgroundTask("peers' server", self._peer_server.run),
            BackgroundTask("metrics server", self._metrics_server.run),
            BackgroundTask(
                store_side.CONFIGURATION_TASK, followers.configuration.run
            ),
            BackgroundTask(store_side.TARGETS_TASK, followers.targets.run),
            BackgroundTask(store_side.CRASHES_TASK, followers.crashes.run),
            BackgroundTask(
                "crash persistence", followers.crash_persistence.run, late_s
            ),
            BackgroundTask("registration", register, late_s),
            BackgroundTask("fleet secret", secret, late_s),
            BackgroundTask("memory reserver", targets.reserver.run),
            BackgroundTask("target reach", targets.access.reach.run),
            BackgroundTask("data centre prober", targets.access.prober.run),
            BackgroundTask("crash detector", targets.crash_detector.run),
            BackgroundTask("peer links", peers.links.run),
            BackgroundTask("configuration fetcher", peers.fetcher.run),
            BackgroundTask(MAINTENANCE_TASK, self._run_maintenance),
            BackgroundTask("memory warning", warning.run, late_s),
        )

    async def run(self) -> None:
        """Serves until a stop signal, then completes open requests."""
        self._known.supervisor.register(EVENT_LOOP_TASK)
        event_loop.report_exceptions(
            lambda error, reason: self._known.supervisor.record_failure(
                EVENT_LOOP_TASK, error, reason=reason
            )
        )
        logger.info("started", name=self._settings.instance_id)
        async with anyio.create_task_group() as tasks:
            for task in self.background_tasks:
                self._known.supervisor.start(
                    tasks,
                    task.name,
                    task.run,
                    max_backoff_s=task.max_backoff_s,
                    may_return=task.may_return,
                )
            await self._caller_server.wait_until_ended()
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
            and self._caller_server.is_listening
            and not self._stop_state.is_stopping
        )

    async def _run_maintenance(self) -> None:
        """Runs periodic maintenance until cancelled."""
        reload_at = self._clock() + SETTINGS_RELOAD_INTERVAL_S
        call = functools.partial(self._known.supervisor.call, MAINTENANCE_TASK)
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            if self._clock() >= reload_at:
                # The settings file may change without a SIGHUP.
                reload_at = self._clock() + SETTINGS_RELOAD_INTERVAL_S
                call(self._reload)
            call(self._known.fleet_state.expire)
            call(self._known.cold_targets.update)
            call(self._targets.access.close_idle)
            call(self._update_retry_budget)
            call(self._connections.log, self._clock())

    def _update_retry_budget(self) -> None:
        """Applies the number of instances to the retry budget."""
        self._requests.retry_budget.update_instances(
            self._known.peer_table.known_count
        )

    async def _handle_signals(self) -> None:
        """Stops on SIGTERM or SIGINT; reloads the settings on SIGHUP."""

        def handle(received: signal.Signals) -> None:
            if received == signal_queue.RELOAD_SIGNAL:
                self._settings_problem = ""
                self._known.supervisor.call("signals", self._reload)
            elif received in signal_queue.STOP_SIGNALS:
                self._stop_signal = self._stop_signal or received.name
                self._stop_requested.set()

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

    async def _stop_serving(self) -> None:
        """Waits for a stop signal; stops serving within the grace period."""
        await self._stop_requested.wait()
        self._stop_state.begin(self._clock(), self._settings)
        self._known.supervisor.call(
            "planned stop", self._requests.peers.links.leave
        )
        logger.info("stopping", count=self._requests.application.in_progress)
        await anyio.sleep(
            max(self._stop_state.removal_left_s(self._clock()), 0.0)
        )
        callers = self._requests.application
        self._caller_server.stop()
        callers.refuse_incomplete()
        await anyio.sleep(max(self._stop_state.left_s(self._clock()), 0.0))
        logger.warning("grace period expired", count=callers.in_progress)
        with anyio.move_on_after(LAST_ANSWERS_S):
            await callers.end_requests()
            await anyio.sleep(FLUSH_S)
        self._caller_server.abort()

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
            "is_delegate": self._known.is_delegate,
            "polls_store": self._known.must_poll,
            "in_progress": self._requests.application.in_progress,
            "waiting": self._requests.scheduler.waiting,
            "connections": self._connections.dump(),
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
            "background_task_failures": dict(self._known.supervisor.failures),
            "evacuations": state_dump.dump_evacuations(self._known.evacuations),
            "targets": state_dump.dump_targets(
                self._known.target_table, self._known.load_view, now
            ),
        }
