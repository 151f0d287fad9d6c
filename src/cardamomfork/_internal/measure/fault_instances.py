"""Entry instance of the fault runs: real components over simulated links."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from cardamomfork._internal.measure import fault_calls
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import reservation_reclaimer
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.standins import in_memory_engine
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import strict_supervision
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.measure import faults
    from cardamomfork._internal.models import requests

DATA_CENTRE = identifiers.DataCentreId("dc")
PEER_ONE_WAY_S = 0.001
UNREACHABLE_PEER_DELAY_S = 0.5


class _FreezableSession(store_standin.StoreSession):
    """Store session that blocks while its instance is frozen."""

    def __init__(
        self, store: store_standin.MemoryStore, instance: FaultInstance
    ) -> None:
        """Initializes the session."""
        super().__init__(store)
        self._instance = instance

    async def get(self, key: str) -> Any:
        """Reads one key."""
        await self._instance.wait_while_frozen()
        answer = await super().get(key)
        await self._instance.wait_while_frozen()
        return answer

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> Any:
        """Writes one key."""
        await self._instance.wait_while_frozen()
        answer = await super().put(key, value, expected=expected, lease=lease)
        await self._instance.wait_while_frozen()
        return answer


class FaultInstance:
    """One incarnation of an instance.

    It also implements the dependencies of its reservation reclaimer and its
    claim ledger.

    Attributes:
        instance_id: Id that all incarnations of the instance share.
        boot_id: Id of this incarnation.
        had_fault: Whether it has been killed or frozen.
        ledger: Claim ledger.
        local_reservations: Engine memory reserved by this incarnation.
    """

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        boot_id: identifiers.BootId,
        simulation: faults.FaultSimulation,
        rng: random.Random,
    ) -> None:
        """Initializes the components.

        Args:
            instance_id: Id of the instance.
            boot_id: Id of this incarnation.
            simulation: Provides the store, the engines and the peers.
            rng: Random generator for faults, calls and jitter.
        """
        self.instance_id = instance_id
        self.boot_id = boot_id
        self.had_fault = False
        self._simulation = simulation
        self._rng = rng
        self._thawed = anyio.Event()
        self._thawed.set()
        self._cancel_scope = anyio.CancelScope()
        self._clock = virtual_time.VirtualClock(rng.uniform(-10.0, 10.0))
        self._store = _FreezableSession(simulation.store, self)
        policy = keys.ClaimPolicy()
        self._committer = committer.GroupCommitter(
            self._store,
            self._clock,
            rng,
            policy.retention_s,
            supervisor=strict_supervision.StrictSupervisor(),
        )
        self.ledger = ledger.StoreClaimLedger(
            self._committer,
            self._clock,
            policy,
            self,
            lambda: f"{rng.getrandbits(64):016x}",
        )
        self._call_server = fault_calls.CallServer(self, rng)
        self.local_reservations = reservations.LocalReservations(
            instance_id, boot_id, rng, DATA_CENTRE
        )
        self._reclaimer = reservation_reclaimer.ReservationReclaimer(
            self.local_reservations,
            reservation_sweep.HomeSweep(instance_id, rng, DATA_CENTRE),
            self,
            self._clock,
            strict_supervision.StrictSupervisor(),
        )
        self._links: dict[
            identifiers.TargetId, in_memory_engine.MemoryLink
        ] = {}

    async def run(self) -> None:
        """Runs the components until the instance is killed."""
        with self._cancel_scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for engine in self._simulation.engines:
                    self._links[engine.target_id] = in_memory_engine.MemoryLink(
                        engine, self._simulation.tasks, self.wait_while_frozen
                    )
                await tasks.start(self._committer.run)
                tasks.start_soon(self._reclaimer.run)

    async def wait_while_frozen(self) -> None:
        """Blocks while the instance is frozen."""
        await self._thawed.wait()

    def kill(self) -> None:
        """Ends this incarnation immediately."""
        self.had_fault = True
        self._cancel_scope.cancel()

    def freeze(self) -> None:
        """Freezes the instance at its next `wait_while_frozen`."""
        self.had_fault = True
        if self._thawed.is_set():
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Resumes a frozen instance."""
        self._thawed.set()

    @property
    def reachable(self) -> bool:
        """Whether the instance answers its peers."""
        return self._thawed.is_set() and not self._cancel_scope.cancel_called

    async def break_link(self, kind: str, duration_s: float) -> None:
        """Injects a fault into the link to the store or to a random engine.

        Args:
            kind: One of `faults.FAULT_KINDS`.
            duration_s: Duration of faults that last.
        """
        store_faults = self._store.faults
        target_id = self._rng.choice(sorted(self._links))
        link_faults = self._links[target_id].faults
        if kind == "store answer lost":
            store_faults.lose_answers += self._rng.randint(1, 3)
        elif kind == "answer lost":
            link_faults.lose_answers += 1
        elif kind == "store down":
            store_faults.down = True
            await anyio.sleep(duration_s)
            store_faults.down = False
        elif kind == "store slow":
            store_faults.delay_s = duration_s / 3
            await anyio.sleep(duration_s)
            store_faults.delay_s = 0.0
        else:
            link_faults.cut = kind == "link cut"
            link_faults.silent = kind == "link silent"
            await anyio.sleep(duration_s)
            link_faults.cut = link_faults.silent = False

    # Dependencies of the reservation reclaimer and the claim ledger.

    def link(self, target_id: identifiers.TargetId) -> Any:
        """Returns the link to an engine."""
        return self._links.get(target_id)

    def local_engines(self) -> list[identifiers.TargetId]:
        """Returns all engines."""
        return [engine.target_id for engine in self._simulation.engines]

    def live_instances(self) -> list[identifiers.InstanceId]:
        """Returns the instances that are considered alive."""
        members = self._simulation.members()
        return [
            name for name, member in members.items() if member.state == "alive"
        ]

    def members(
        self,
    ) -> dict[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns all instances."""
        return self._simulation.members()

    async def query_owner(
        self, query: reservation_sweep.OwnershipQuery
    ) -> frozenset[str] | None:
        """Queries the current incarnation of an owner; None if unreachable."""
        await anyio.sleep(PEER_ONE_WAY_S)
        owner = self._simulation.instance(query.owner)
        if not owner.reachable:
            return None
        return owner.local_reservations.find_unused(query.names)

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard of claims."""
        live = self.live_instances()
        owner = live[shard % len(live)] if live else self.instance_id
        return None if owner == self.instance_id else owner

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Forwards an operation to the owner.

        Returns:
            The owner's answer. None if the owner is unreachable, the timeout
            expires or the answer is lost.
        """
        peer = self._simulation.instance(owner)
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(PEER_ONE_WAY_S)
            if not peer.reachable:
                await anyio.sleep(UNREACHABLE_PEER_DELAY_S)
                return None
            answer = await peer.ledger.serve(payload)
            return None if self._rng.random() < 0.05 else answer
        return None

    # Calls.

    async def call(
        self, request: requests.Request
    ) -> fault_calls.Answer | None:
        """Serves a call; None if this incarnation ends before it answers."""
        if self._cancel_scope.cancel_called or not self._links:
            return None
        answers: list[fault_calls.Answer] = []
        ended = anyio.Event()

        async def serve() -> None:
            try:
                await self.wait_while_frozen()
                answers.append(await self._call_server.serve(request))
                await self.wait_while_frozen()
            finally:
                ended.set()

        self._tasks.start_soon(serve)
        await ended.wait()
        return (
            answers[0]
            if answers and not self._cancel_scope.cancel_called
            else None
        )
