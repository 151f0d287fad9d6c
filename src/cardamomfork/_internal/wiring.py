"""Wires the parts of one process; nothing runs before `Daemon.start`."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.accounts import keys
from cardamomfork._internal.contracts import clock as clock_contract
from cardamomfork._internal.links.callers import application
from cardamomfork._internal.links.callers import exchange
from cardamomfork._internal.links.callers import prompts
from cardamomfork._internal.links.callers import sinks
from cardamomfork._internal.links.targets import idle
from cardamomfork._internal.links.targets import observing
from cardamomfork._internal.links.targets import reachability
from cardamomfork._internal.links.targets import registry
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import admission
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import cancellation
from cardamomfork._internal.requests import directory
from cardamomfork._internal.requests import exchanging
from cardamomfork._internal.requests import observing as request_observing
from cardamomfork._internal.requests import parts_transfer
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gate
from cardamomfork._internal.requests import queueing
from cardamomfork._internal.requests import records
from cardamomfork._internal.requests import reservation_keeper
from cardamomfork._internal.requests import reservation_surroundings
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests import retries
from cardamomfork._internal.requests import running
from cardamomfork._internal.requests import service
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys as claim_keys
from cardamomfork._internal.requests.claims import ledger

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    import anyio.abc

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.contracts import limiting
    from cardamomfork._internal.contracts import store as store_contract
    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import settings as settings_models
    from cardamomfork._internal.telemetry import exporting

IDLE_LOOK_S = 5.0


async def _ask_nobody(_: reservation_sweep.Question) -> None:
    """Has no instance to ask."""


@attrs.frozen
class Owners:
    """The instances that own reservations; by default none is known.

    An instance that knows none releases its own and sweeps nothing.

    Attributes:
        members: Returns all instances that the membership holds.
        live: Returns the live instances of this data centre.
        ask: Asks another instance about its reservations.
    """

    members: Callable[[], reservation_surroundings.Members] = dict
    live: Callable[[], Collection[identifiers.InstanceId]] = tuple
    ask: reservation_surroundings.Ask = _ask_nobody


@attrs.frozen
class Surroundings:
    """What the fleet gives to an instance's requests.

    Attributes:
        boot_id: This life of the process.
        dispatcher: Decides when and where requests run.
        limiter: Client accounts' limits.
        engine_news: Takes what the engines tell.
        claim_routes: The way to the owners of claim shards; None to write
            all claims here.
        owners: The instances that own reservations.
        guard: Keeps requests that crash targets apart.
        boot_of: Returns the life of a target that was last heard.
        on_poison_news: Called when peers should hear the guard's news at once.
        staying: Returns which of some targets take new work.
        watches: Whether an engine is this instance's to watch.
        observer: Told what happens to requests.
    """

    boot_id: identifiers.BootId
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    engine_news: observing.Listener
    claim_routes: ledger.ClaimRoutes | None = None
    owners: Owners = Owners()
    guard: poison.PoisonGuard = attrs.field(
        factory=lambda: poison.PoisonGuard(random.Random())
    )
    boot_of: Callable[[identifiers.TargetId], identifiers.BootId | None] = (
        lambda _: None
    )
    on_poison_news: Callable[[], None] = lambda: None
    staying: Callable[
        [frozenset[identifiers.TargetId]], frozenset[identifiers.TargetId]
    ] = frozenset
    watches: Callable[[identifiers.TargetId], bool] = lambda _: True
    observer: request_observing.RequestObserver = (
        request_observing.RequestObserver()
    )


@attrs.define
class Daemon:
    """The parts of one process.

    Attributes:
        settings: What it was started with.
        clock: The loop's clock.
        known: Services and accounts.
        links: Links to targets.
        dispatcher: Decides when and where requests run.
        limiter: Client accounts' limits.
        keys: Client accounts' keys.
        waiting_room: The queue's glue.
        canceller: Repeats cancels.
        heartbeats: Keeps idle streams alive.
        watch: Idle bounds of targets' streams.
        table: Records of requests.
        requests: The request service.
        observer: Reads engines' load and cache events.
        committer: Writes claims; None without a store.
        ledger: Claims; None without a store.
        own: Reservations of this instance on engines.
        gate: Keeps requests that crash targets apart.
        keeper: Releases reservations and sweeps engines for lost ones.
        retry_policy: Retry budgets and counters.
        frames: Counts dropped frames.
    """

    settings: settings_models.DaemonSettings
    clock: clock_contract.Clock
    known: directory.Directory
    links: registry.LinkRegistry
    dispatcher: dispatching.Dispatcher
    limiter: limiting.Limiter
    keys: keys.KeyVerifier
    waiting_room: queueing.WaitingRoom
    canceller: cancellation.Canceller
    heartbeats: sinks.Heartbeats
    watch: idle.IdleWatch
    table: records.RecordTable
    requests: service.RequestService
    observer: observing.EngineObserver
    committer: committer.GroupCommitter | None
    ledger: ledger.StoreClaimLedger | None
    own: reservations.OwnReservations
    keeper: reservation_keeper.ReservationKeeper
    gate: poison_gate.PoisonGate
    retry_policy: retries.RetryPolicy
    frames: attempts.FrameCounters

    def apply_service(self, changed: configuration.Service) -> None:
        """Brings a service's configuration into force."""
        self.known.apply_service(changed)
        self.links.apply_service(changed)
        self.dispatcher.apply_service(changed)
        self.waiting_room.poll()

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service; what is queued for it ends."""
        self.known.remove_service(name)
        self.dispatcher.remove_service(name)
        self.links.remove_service(name)
        self.waiting_room.poll()

    def apply_account(self, changed: configuration.ClientAccount) -> None:
        """Brings an account's configuration into force."""
        self.known.apply_account(changed)
        self.limiter.apply_account(changed)
        self.keys.apply_account(changed)

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account; its keys end at once."""
        self.keys.remove_account(name)
        self.known.remove_account(name)
        self.limiter.remove_account(name)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
        self.dispatcher.set_leaving(target_id, leaving)
        self.waiting_room.poll()

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts what runs in the background."""
        tasks.start_soon(self.waiting_room.run)
        tasks.start_soon(self.canceller.run)
        tasks.start_soon(self.heartbeats.run)
        tasks.start_soon(self.watch.run)
        tasks.start_soon(self.observer.run)
        tasks.start_soon(self.keeper.run)
        tasks.start_soon(self.gate.run)
        if self.committer is not None:
            tasks.start_soon(self.committer.run)


def wire(
    settings: settings_models.DaemonSettings,
    store: store_contract.Store | None,
    surroundings: Surroundings,
) -> Daemon:
    """Makes the parts of a process; nothing runs yet.

    Args:
        settings: What the process was started with.
        store: The platform's store; None refuses what needs it.
        surroundings: What the fleet gives to this instance.
    """
    clock = clock_contract.LoopClock()
    policy = claim_keys.ClaimPolicy()
    claims = None
    claim_ledger = None
    if store is not None:
        claims = committer.GroupCommitter(
            store, clock, random.Random(), policy.retention_s
        )
        claim_ledger = ledger.StoreClaimLedger(
            claims, clock, policy, surroundings.claim_routes
        )
    watch = idle.IdleWatch(IDLE_LOOK_S)
    links = registry.LinkRegistry(watch)
    dispatcher = surroundings.dispatcher
    limiter = surroundings.limiter
    waiting_room = queueing.WaitingRoom(dispatcher, clock)
    canceller = cancellation.Canceller(random.Random())
    table = records.RecordTable()
    known = directory.Directory()
    frames = attempts.FrameCounters()
    retry_policy = retries.RetryPolicy(random.Random(), retries.MIN_RESERVE)
    instance_id = settings.instance.instance_id
    own = reservations.OwnReservations(
        instance_id,
        surroundings.boot_id,
        random.Random(),
        settings.instance.data_centre,
    )
    gate = poison_gate.PoisonGate(
        surroundings.guard,
        clock,
        lambda name: surroundings.staying(known.targets_of(name)),
        reachability.connects,
        surroundings.boot_of,
        surroundings.on_poison_news,
    )
    return Daemon(
        settings=settings,
        clock=clock,
        known=known,
        own=own,
        links=links,
        dispatcher=dispatcher,
        limiter=limiter,
        keys=keys.KeyVerifier(),
        waiting_room=waiting_room,
        canceller=canceller,
        heartbeats=sinks.Heartbeats(settings.callers.heartbeat_s),
        watch=watch,
        table=table,
        requests=service.RequestService(
            clock=clock,
            limiter=limiter,
            ledger=claim_ledger,
            runner=running.Runner(
                waiting_room=waiting_room,
                links=links,
                exchanger=exchanging.AttemptExchanger(clock, _salt_of),
                canceller=canceller,
                own=own,
                parts=parts_transfer.PartsTransfer(links, own, clock),
                gate=gate,
                retry_policy=retry_policy,
                clock=clock,
                counters=frames,
                chance=random.Random(),
                observer=surroundings.observer,
            ),
            table=table,
            known=known,
            observer=surroundings.observer,
        ),
        retry_policy=retry_policy,
        frames=frames,
        observer=observing.EngineObserver(
            links, surroundings.engine_news, clock, surroundings.watches
        ),
        committer=claims,
        ledger=claim_ledger,
        gate=gate,
        keeper=reservation_keeper.ReservationKeeper(
            own,
            reservation_sweep.HomeSweep(
                instance_id,
                random.Random(),
                settings.instance.data_centre,
            ),
            reservation_surroundings.DaemonSurroundings(
                instance_id=instance_id,
                data_centre=settings.instance.data_centre,
                links=links,
                own=own,
                members=surroundings.owners.members,
                live=surroundings.owners.live,
                ask=surroundings.owners.ask,
            ),
            clock,
        ),
    )


def _salt_of(account: identifiers.AccountName) -> str:
    """Returns the salt that keeps an account's cache entries its own."""
    return f"{prompts.seed_of(account):016x}"


def make_application(
    daemon: Daemon,
    keys: application.Authenticator,
    scrape: Callable[[], exporting.Scrape] | None = None,
) -> application.CallerApplication:
    """Makes the application that callers talk to.

    Args:
        daemon: The parts of the process.
        keys: Tells whose key a caller shows.
        scrape: Returns the metrics; None leaves `/metrics` out.
    """
    return application.CallerApplication(
        prompts=exchange.PromptExchange(
            service=daemon.requests,
            admission_rules=admission.Admission(daemon.known),
            heartbeats=daemon.heartbeats,
            clock=daemon.clock,
            callers=daemon.settings.callers,
        ),
        service=daemon.requests,
        table=daemon.table,
        authenticator=keys,
        clock=daemon.clock,
        data_centre=daemon.settings.instance.data_centre,
        scrape=scrape,
    )
