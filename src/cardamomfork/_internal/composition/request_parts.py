"""Makes the request service and the parts that it shares."""

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
        surroundings as surroundings_module,
    )
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings as settings_models

IDLE_LOOK_S = 5.0


@attrs.frozen
class RequestParts:
    """What the request service and the rest of the process share."""

    clock: clock_contract.Clock
    known: directory.ServiceDirectory
    watch: idle.IdleWatch
    links: registry.LinkRegistry
    own: reservations.LocalReservations
    dispatch_queue: queueing.DispatchQueue
    canceller: cancellation.Canceller
    gate: poison_gate.PoisonGate
    retry_policy: retries.RetryPolicy
    frames: attempts.FrameCounters
    table: records.RecordTable


def make_parts(
    settings: settings_models.DaemonSettings,
    surroundings: surroundings_module.Surroundings,
) -> RequestParts:
    """Makes the parts that others are made of."""
    clock = clock_contract.LoopClock()
    known = directory.ServiceDirectory()
    watch = idle.IdleWatch(IDLE_LOOK_S)
    return RequestParts(
        clock=clock,
        known=known,
        watch=watch,
        links=registry.LinkRegistry(watch),
        own=reservations.LocalReservations(
            settings.instance.instance_id,
            surroundings.boot_id,
            random.Random(),
            settings.instance.data_centre,
        ),
        dispatch_queue=queueing.DispatchQueue(surroundings.dispatcher, clock),
        canceller=cancellation.Canceller(random.Random()),
        gate=poison_gate.PoisonGate(
            surroundings.guard,
            clock,
            lambda name: surroundings.staying(known.targets_of(name)),
            reachability.connects,
            surroundings.boot_of,
            surroundings.on_poison_news,
        ),
        retry_policy=retries.RetryPolicy(
            random.Random(), retries.MIN_BUDGET_CAPACITY
        ),
        frames=attempts.FrameCounters(),
        table=records.RecordTable(),
    )


def make_requests(
    parts: RequestParts,
    surroundings: surroundings_module.Surroundings,
    claim_ledger: ledger.StoreClaimLedger | None,
) -> service.RequestService:
    """Makes the request service with what runs its requests."""
    runner = running.Runner(
        dispatch_queue=parts.dispatch_queue,
        links=parts.links,
        exchanger=exchanging.AttemptExchanger(parts.clock, _salt_of),
        canceller=parts.canceller,
        local_reservations=parts.own,
        parts=parts_transfer.PartsTransfer(parts.links, parts.own, parts.clock),
        gate=parts.gate,
        retry_policy=parts.retry_policy,
        clock=parts.clock,
        counters=parts.frames,
        rng=random.Random(),
        observer=surroundings.observer,
    )
    return service.RequestService(
        clock=parts.clock,
        limiter=surroundings.limiter,
        ledger=claim_ledger,
        runner=runner,
        table=parts.table,
        service_directory=parts.known,
        observer=surroundings.observer,
    )


def make_claims(
    store: store_contract.Store | None,
    clock: clock_contract.Clock,
    surroundings: surroundings_module.Surroundings,
) -> tuple[committer.GroupCommitter | None, ledger.StoreClaimLedger | None]:
    """Makes what writes and holds claims; nothing without a store."""
    if store is None:
        return None, None
    policy = claim_keys.ClaimPolicy()
    claims = committer.GroupCommitter(
        store, clock, random.Random(), policy.retention_s
    )
    return claims, ledger.StoreClaimLedger(
        claims, clock, policy, surroundings.claim_routes
    )


def make_reclaimer(
    settings: settings_models.DaemonSettings,
    owners: surroundings_module.Owners,
    parts: RequestParts,
) -> reservation_reclaimer.ReservationReclaimer:
    """Makes what releases reservations and sweeps engines for lost ones."""
    me = settings.instance
    return reservation_reclaimer.ReservationReclaimer(
        parts.own,
        reservation_sweep.HomeSweep(
            me.instance_id, random.Random(), me.data_centre
        ),
        reservation_dependencies.DaemonReclaimerDependencies(
            instance_id=me.instance_id,
            data_centre=me.data_centre,
            links=parts.links,
            local_reservations=parts.own,
            members=owners.members,
            live=owners.live,
            ask=owners.ask,
        ),
        parts.clock,
    )


def _salt_of(account: identifiers.AccountName) -> str:
    """Returns the salt that keeps an account's cache entries its own."""
    return f"{prompts.seed_of(account):016x}"
