"""Builds the request service and the components that it shares."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import reachability
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import directory
from cardamomfork._internal.requests import exchanging
from cardamomfork._internal.requests import parts_transfer
from cardamomfork._internal.requests import poison_gate
from cardamomfork._internal.requests import queueing
from cardamomfork._internal.requests import records
from cardamomfork._internal.requests import reservation_dependencies
from cardamomfork._internal.requests import reservation_reclaimer
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests import retries
from cardamomfork._internal.requests import running
from cardamomfork._internal.requests import service
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys as claim_keys
from cardamomfork._internal.requests.claims import ledger

if TYPE_CHECKING:
    from cardamomfork._internal.composition import (
        request_dependencies as dependencies_module,
    )
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings as settings_models

IDLE_CHECK_INTERVAL_S = 5.0


@attrs.frozen
class RequestComponents:
    """Components shared by the request service and the daemon."""

    clock: clock_contract.Clock
    service_directory: directory.ServiceDirectory
    idle_watch: idle.IdleMonitor
    links: registry.LinkRegistry
    local_reservations: reservations.LocalReservations
    dispatch_queue: queueing.DispatchQueue
    canceller: cancellation.Canceller
    gate: poison_gate.PoisonGate
    retry_policy: retries.RetryPolicy
    frame_counters: attempts.FrameCounters
    record_table: records.RecordTable


def make_components(
    settings: settings_models.DaemonSettings,
    dependencies: dependencies_module.RequestDependencies,
) -> RequestComponents:
    """Builds the shared components."""
    clock = clock_contract.LoopClock()
    known_objects = directory.ServiceDirectory()
    idle_watch = idle.IdleMonitor(
        IDLE_CHECK_INTERVAL_S, dependencies.supervisor
    )
    return RequestComponents(
        clock=clock,
        service_directory=known_objects,
        idle_watch=idle_watch,
        links=registry.LinkRegistry(idle_watch),
        local_reservations=reservations.LocalReservations(
            settings.instance.instance_id,
            dependencies.boot_id,
            random.Random(),
            settings.instance.data_centre,
        ),
        dispatch_queue=queueing.DispatchQueue(dependencies.dispatcher, clock),
        canceller=cancellation.Canceller(
            random.Random(), dependencies.supervisor
        ),
        gate=poison_gate.PoisonGate(
            dependencies.guard,
            clock,
            lambda name: dependencies.available_targets(
                known_objects.targets_of(name)
            ),
            reachability.is_reachable,
            dependencies.last_boot_id,
            dependencies.on_poison_update,
            dependencies.supervisor,
        ),
        retry_policy=retries.RetryPolicy(
            random.Random(), retries.MIN_BUDGET_CAPACITY
        ),
        frame_counters=attempts.FrameCounters(),
        record_table=records.RecordTable(),
    )


def make_request_service(
    components: RequestComponents,
    dependencies: dependencies_module.RequestDependencies,
    claim_ledger: ledger.StoreClaimLedger | None,
) -> service.RequestService:
    """Builds the request service and the runner of its requests."""
    runner = running.Runner(
        dispatch_queue=components.dispatch_queue,
        links=components.links,
        exchanger=exchanging.AttemptExchanger(components.clock, _cache_salt),
        canceller=components.canceller,
        local_reservations=components.local_reservations,
        parts=parts_transfer.PartsTransfer(
            components.links, components.local_reservations, components.clock
        ),
        gate=components.gate,
        retry_policy=components.retry_policy,
        clock=components.clock,
        counters=components.frame_counters,
        rng=random.Random(),
        observer=dependencies.observer,
    )
    return service.RequestService(
        clock=components.clock,
        limiter=dependencies.limiter,
        ledger=claim_ledger,
        runner=runner,
        table=components.record_table,
        service_directory=components.service_directory,
        observer=dependencies.observer,
    )


def make_claim_ledger(
    store: store_contract.Store | None,
    clock: clock_contract.Clock,
    dependencies: dependencies_module.RequestDependencies,
) -> tuple[committer.GroupCommitter | None, ledger.StoreClaimLedger | None]:
    """Builds the committer and ledger of claims; None without a store."""
    if store is None:
        return None, None
    policy = claim_keys.ClaimPolicy()
    claim_committer = committer.GroupCommitter(
        store,
        clock,
        random.Random(),
        policy.retention_s,
        supervisor=dependencies.supervisor,
    )
    return claim_committer, ledger.StoreClaimLedger(
        claim_committer, clock, policy, dependencies.claim_routes
    )


def make_reclaimer(
    settings: settings_models.DaemonSettings,
    dependencies: dependencies_module.RequestDependencies,
    components: RequestComponents,
) -> reservation_reclaimer.ReservationReclaimer:
    """Builds the component that releases owned and orphaned reservations."""
    instance_settings = settings.instance
    owners = dependencies.owners
    return reservation_reclaimer.ReservationReclaimer(
        components.local_reservations,
        reservation_sweep.HomeSweep(
            instance_settings.instance_id,
            random.Random(),
            instance_settings.data_centre,
        ),
        reservation_dependencies.DaemonReclaimerDependencies(
            instance_id=instance_settings.instance_id,
            data_centre=instance_settings.data_centre,
            links=components.links,
            local_reservations=components.local_reservations,
            members=owners.members,
            live=owners.live,
            ask=owners.ask,
        ),
        components.clock,
        dependencies.supervisor,
    )


def _cache_salt(account: identifiers.AccountName) -> str:
    """Returns the salt that separates an account's cache entries."""
    return f"{prompts.account_seed(account):016x}"
