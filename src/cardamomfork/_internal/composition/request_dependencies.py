"""Dependencies of the request components on the rest of the process."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import supervision
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import observing as request_observing
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import reservation_dependencies
from cardamomfork._internal.requests import reservation_sweep

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import limiting
    from cardamomfork._internal.links.targets import engine_observer
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests.claims import ledger


async def _no_answer(_: reservation_sweep.OwnershipQuery) -> None:
    """Returns no answer, since no other instance is known."""


@attrs.frozen
class ReservationOwners:
    """Access to the instances that own reservations; empty by default.

    Without other instances, the local instance releases its own reservations
    and sweeps no engines.

    Attributes:
        members: Returns all instances in the membership table.
        live: Returns the live instances of the local data centre.
        ask: Asks another instance about its reservations.
    """

    members: Callable[[], reservation_dependencies.Members] = dict
    live: Callable[[], Collection[identifiers.InstanceId]] = tuple
    ask: reservation_dependencies.QueryOwner = _no_answer


@attrs.frozen
class RequestDependencies:
    """What the request components need from the rest of the process.

    Attributes:
        boot_id: Identifier of this start of the process.
        dispatcher: Decides when and on which target requests run.
        limiter: Limits of client accounts.
        engine_listener: Receives updates of the observed engines.
        claim_routes: Finds and calls the owners of claim shards; None to
            write all claims locally.
        owners: Access to the instances that own reservations.
        guard: Isolates requests that are suspected of crashing targets.
        last_boot_id: Returns the last reported boot id of a target.
        on_poison_update: Called when the guard has updates that peers should
            receive immediately.
        available_targets: Returns those targets that accept new requests.
        observes_target: Returns whether the local instance observes an engine.
        observer: Receives events of the request path.
        supervisor: Contains failures of single parts of background tasks.
    """

    boot_id: identifiers.BootId
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    engine_listener: engine_observer.EngineStateListener
    claim_routes: ledger.ClaimRoutes | None = None
    owners: ReservationOwners = ReservationOwners()
    guard: poison.PoisonGuard = attrs.field(
        factory=lambda: poison.PoisonGuard(random.Random())
    )
    last_boot_id: Callable[
        [identifiers.TargetId], identifiers.BootId | None
    ] = lambda _: None
    on_poison_update: Callable[[], None] = lambda: None
    available_targets: Callable[
        [frozenset[identifiers.TargetId]], frozenset[identifiers.TargetId]
    ] = frozenset
    observes_target: Callable[[identifiers.TargetId], bool] = lambda _: True
    observer: request_observing.RequestObserver = (
        request_observing.RequestObserver()
    )
    supervisor: supervision.Supervisor = attrs.field(
        factory=supervision.Supervisor
    )
