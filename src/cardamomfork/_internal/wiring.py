"""Assembles the request-serving components of a process.

No background task runs before `Daemon.start`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import supervision
from cardamomfork._internal.accounts import keys
from cardamomfork._internal.composition import request_components
from cardamomfork._internal.composition import (
    request_dependencies as dependencies_module,
)
from cardamomfork._internal.links.callers import application
from cardamomfork._internal.links.callers import prompt_requests
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.links.targets import engine_observer
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import admission
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import directory
from cardamomfork._internal.requests import poison_gate
from cardamomfork._internal.requests import queueing
from cardamomfork._internal.requests import records
from cardamomfork._internal.requests import reservation_reclaimer
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests import retries
from cardamomfork._internal.requests import service
from cardamomfork._internal.requests.claims import committer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import anyio.abc

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import limiting
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.requests.claims import ledger
    from cardamomfork._internal.telemetry import exporting


@attrs.define
class Daemon:
    """The request-serving components of a process.

    Attributes:
        settings: Settings of the process.
        clock: Clock of the event loop.
        service_directory: Current services and accounts.
        links: Connections to targets.
        dispatcher: Selects the target and start time of requests.
        limiter: Enforces the limits of client accounts.
        keys: Verifies the keys of client accounts.
        dispatch_queue: Queues requests for the dispatcher.
        canceller: Retries the cancellation of requests on targets.
        heartbeats: Sends heartbeats on idle streams to callers.
        idle_watch: Enforces the idle timeout of streams from targets.
        record_table: Records of open and ended requests.
        requests: The request service.
        engine_observer: Reads load reports and cache events of engines.
        committer: Writes claims in groups; None without a store.
        ledger: Ledger of claims; None without a store.
        local_reservations: Reservations of this instance on engines.
        reclaimer: Releases reservations and reclaims lost ones from engines.
        gate: Isolates requests that may crash targets.
        retry_policy: Retry budgets and counters.
        frame_counters: Counts dropped frames.
        supervisor: Restarts background tasks that fail.
    """

    settings: settings_models.DaemonSettings
    clock: clock_contract.Clock
    service_directory: directory.ServiceDirectory
    links: registry.LinkRegistry
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    keys: keys.KeyVerifier
    dispatch_queue: queueing.DispatchQueue
    canceller: cancellation.Canceller
    heartbeats: sinks.StreamHeartbeats
    idle_watch: idle.IdleMonitor
    record_table: records.RecordTable
    requests: service.RequestService
    engine_observer: engine_observer.EngineObserver
    committer: committer.GroupCommitter | None
    ledger: ledger.StoreClaimLedger | None
    local_reservations: reservations.LocalReservations
    reclaimer: reservation_reclaimer.ReservationReclaimer
    gate: poison_gate.PoisonGate
    retry_policy: retries.RetryPolicy
    frame_counters: attempts.FrameCounters
    supervisor: supervision.Supervisor

    def apply_service(self, changed: configuration.Service) -> None:
        """Applies the configuration of a service."""
        self.service_directory.apply_service(changed)
        self.links.apply_service(changed)
        self.dispatcher.apply_service(changed)
        self.dispatch_queue.poll()

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service and ends its queued requests."""
        self.service_directory.remove_service(name)
        self.dispatcher.remove_service(name)
        self.links.remove_service(name)
        self.dispatch_queue.poll()

    def apply_account(self, changed: configuration.ClientAccount) -> None:
        """Applies the configuration of an account."""
        self.service_directory.apply_account(changed)
        self.limiter.apply_account(changed)
        self.keys.apply_account(changed)

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account and revokes its keys immediately."""
        self.keys.remove_account(name)
        self.service_directory.remove_account(name)
        self.limiter.remove_account(name)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Sets whether a target is leaving and accepts no new requests."""
        self.dispatcher.set_leaving(target_id, leaving)
        self.dispatch_queue.poll()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the background tasks."""
        runs: dict[str, Callable[[], Awaitable[None]]] = {
            "dispatch queue": self.dispatch_queue.run,
            cancellation.TASK_NAME: self.canceller.run,
            sinks.TASK_NAME: self.heartbeats.run,
            idle.TASK_NAME: self.idle_watch.run,
            engine_observer.TASK_NAME: self.engine_observer.run,
            reservation_reclaimer.TASK_NAME: self.reclaimer.run,
            poison_gate.TASK_NAME: self.gate.run,
        }
        if self.committer is not None:
            runs[committer.TASK_NAME] = self.committer.run
        for name, run in runs.items():
            self.supervisor.start(
                tasks,
                name,
                run,
                max_backoff_s=supervision.PROMPT_MAX_BACKOFF_S,
            )


def wire(
    settings: settings_models.DaemonSettings,
    store: store_contract.Store | None,
    dependencies: dependencies_module.RequestDependencies,
) -> Daemon:
    """Creates the components of a process without starting them.

    Args:
        settings: Settings of the process.
        store: The platform's store; requests that need it are refused if
            None.
        dependencies: Objects that connect the components to the fleet.
    """
    components = request_components.make_components(settings, dependencies)
    claims, claim_ledger = request_components.make_claim_ledger(
        store, components.clock, dependencies
    )
    return Daemon(
        settings=settings,
        clock=components.clock,
        service_directory=components.service_directory,
        local_reservations=components.local_reservations,
        links=components.links,
        dispatcher=dependencies.dispatcher,
        limiter=dependencies.limiter,
        keys=keys.KeyVerifier(),
        dispatch_queue=components.dispatch_queue,
        canceller=components.canceller,
        heartbeats=sinks.StreamHeartbeats(
            settings.callers.heartbeat_s, dependencies.supervisor
        ),
        idle_watch=components.idle_watch,
        record_table=components.record_table,
        requests=request_components.make_request_service(
            components, dependencies, claim_ledger
        ),
        retry_policy=components.retry_policy,
        frame_counters=components.frame_counters,
        supervisor=dependencies.supervisor,
        engine_observer=engine_observer.EngineObserver(
            components.links,
            dependencies.engine_listener,
            components.clock,
            dependencies.observes_target,
            supervisor=dependencies.supervisor,
        ),
        committer=claims,
        ledger=claim_ledger,
        gate=components.gate,
        reclaimer=request_components.make_reclaimer(
            settings, dependencies, components
        ),
    )


def make_application(
    daemon: Daemon,
    keys: application.Authenticator,
    scrape: Callable[[], exporting.Scrape] | None = None,
) -> application.CallerApplication:
    """Creates the application that serves callers.

    Args:
        daemon: Components of the process.
        keys: Authenticates callers by key.
        scrape: Returns the metrics; `/metrics` is not served if None.
    """
    return application.CallerApplication(
        prompt_handler=prompt_requests.PromptHandler(
            service=daemon.requests,
            admission_rules=admission.Admission(daemon.service_directory),
            heartbeats=daemon.heartbeats,
            clock=daemon.clock,
            callers=daemon.settings.callers,
        ),
        service=daemon.requests,
        table=daemon.record_table,
        authenticator=keys,
        clock=daemon.clock,
        data_centre=daemon.settings.instance.data_centre,
        scrape=scrape,
    )
