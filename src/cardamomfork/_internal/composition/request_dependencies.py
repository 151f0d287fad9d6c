"""What the fleet gives to an instance's requests."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

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
    from cardamomfork._internal.links.targets import observing
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests.claims import ledger


async def _no_answer(_: reservation_sweep.OwnershipQuery) -> None:
    """Has no instance to ask."""


@attrs.frozen
class ReservationOwners:
    """The instances that own reservations; by default none is known.

    An instance that knows none releases its own and sweeps nothing.

    Attributes:
        members: Returns all instances that the membership holds.
        live: Returns the live instances of this data centre.
        ask: Asks another instance about its reservations.
    """

    members: Callable[[], reservation_dependencies.Members] = dict
    live: Callable[[], Collection[identifiers.InstanceId]] = tuple
    ask: reservation_dependencies.QueryOwner = _no_answer


@attrs.frozen
class RequestDependencies:
    """What the fleet gives to an instance's requests.

    Attributes:
        boot_id: This life of the process.
        dispatcher: Decides when and where requests run.
        limiter: Client accounts' limits.
        engine_listener: Takes what the engines tell.
        claim_routes: The way to the owners of claim shards; None to write
            all claims here.
        owners: The instances that own reservations.
        guard: Keeps requests that crash targets apart.
        last_boot_id: Returns the life of a target that was last heard.
        on_poison_update: Called when peers should hear the guard's news at once.
        staying: Returns which of some targets take new work.
        watches: Whether an engine is this instance's to watch.
        observer: Told what happens to requests.
    """

    boot_id: identifiers.BootId
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    engine_listener: observing.Listener
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
