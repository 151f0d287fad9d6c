"""An entry instance of the fault runs: the real parts on fake links."""

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
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.measure import faults
    from cardamomfork._internal.models import requests

DATA_CENTRE = identifiers.DataCentreId("dc")
PEER_S = 0.001
SILENT_PEER_S = 0.5


class _GatedStore(store_standin.StoreSession):
    """A session that stops while its instance is frozen."""

    def __init__(
        self, store: store_standin.MemoryStore, instance: FaultInstance
    ) -> None:
        """Keeps the instance."""
        super().__init__(store)
        self._instance = instance

    async def get(self, key: str) -> Any:
        """Reads one key."""
        await self._instance.gate()
        answer = await super().get(key)
        await self._instance.gate()
        return answer

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> Any:
        """Writes one key."""
        await self._instance.gate()
        answer = await super().put(key, value, expected=expected, lease=lease)
        await self._instance.gate()
        return answer


class FaultInstance:
    """One life of an instance; also its keeper's surroundings."""

    def __init__(
        self,
        instance_id: identifiers.InstanceId,
        boot_id: identifiers.BootId,
        world: faults.World,
        rng: random.Random,
    ) -> None:
        """Wires the parts."""
        self.instance_id = instance_id
        self.boot_id = boot_id
        self.disturbed = False
        self._world = world
        self._rng = rng
        self._thawed = anyio.Event()
        self._thawed.set()
        self._scope = anyio.CancelScope()
        self._clock = virtual_time.VirtualClock(rng.uniform(-10.0, 10.0))
        self._store = _GatedStore(world.store, self)
        policy = keys.ClaimPolicy()
        self._committer = committer.GroupCommitter(
            self._store, self._clock, rng, policy.retention_s
        )
        self.ledger = ledger.StoreClaimLedger(
            self._committer,
            self._clock,
            policy,
            self,
            lambda: f"{rng.getrandbits(64):016x}",
        )
        self._calls = fault_calls.CallServer(self, rng)
        self.own = reservations.LocalReservations(
            instance_id, boot_id, rng, DATA_CENTRE
        )
        self._keeper = reservation_reclaimer.ReservationReclaimer(
            self.own,
            reservation_sweep.HomeSweep(instance_id, rng, DATA_CENTRE),
            self,
            self._clock,
        )
        self._links: dict[
            identifiers.TargetId, in_memory_engine.MemoryLink
        ] = {}

    async def run(self) -> None:
        """Lives until it is killed."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for engine in self._world.engines:
                    self._links[engine.target_id] = in_memory_engine.MemoryLink(
                        engine, self._world.tasks, self.gate
                    )
                await tasks.start(self._committer.run)
                tasks.start_soon(self._keeper.run)

    async def gate(self) -> None:
        """Waits while the instance is frozen."""
        await self._thawed.wait()

    def kill(self) -> None:
        """Ends this life at once."""
        self.disturbed = True
        self._scope.cancel()

    def freeze(self) -> None:
        """Stops it at its next step."""
        self.disturbed = True
        if self._thawed.is_set():
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Lets it go on."""
        self._thawed.set()

    @property
    def reachable(self) -> bool:
        """Whether it answers its peers."""
        return self._thawed.is_set() and not self._scope.cancel_called

    async def break_link(self, kind: str, lasts_s: float) -> None:
        """Breaks its way to the store or to an engine for a while."""
        store = self._store.faults
        link = self._rng.choice(sorted(self._links))
        link_faults = self._links[link].faults
        if kind == "store answer lost":
            store.lose_answers += self._rng.randint(1, 3)
        elif kind == "answer lost":
            link_faults.lose_answers += 1
        elif kind == "store down":
            store.down = True
            await anyio.sleep(lasts_s)
            store.down = False
        elif kind == "store slow":
            store.delay_s = lasts_s / 3
            await anyio.sleep(lasts_s)
            store.delay_s = 0.0
        else:
            link_faults.cut = kind == "link cut"
            link_faults.silent = kind == "link silent"
            await anyio.sleep(lasts_s)
            link_faults.cut = link_faults.silent = False

    # What the keeper and the ledger ask their surroundings.

    def link(self, target_id: identifiers.TargetId) -> Any:
        """Returns the link to an engine."""
        return self._links.get(target_id)

    def local_engines(self) -> list[identifiers.TargetId]:
        """Returns all engines."""
        return [engine.target_id for engine in self._world.engines]

    def live_instances(self) -> list[identifiers.InstanceId]:
        """Returns the instances not held as dead."""
        members = self._world.members()
        return [name for name, m in members.items() if m.state == "alive"]

    def members(
        self,
    ) -> dict[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns all instances."""
        return self._world.members()

    async def query_owner(
        self, question: reservation_sweep.OwnershipQuery
    ) -> frozenset[str] | None:
        """Asks an owner's present life."""
        await anyio.sleep(PEER_S)
        owner = self._world.instance(question.owner)
        if not owner.reachable:
            return None
        return owner.own.find_unused(question.names)

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard of claims."""
        live = self.live_instances()
        owner = live[shard % len(live)] if live else self.instance_id
        return None if owner == self.instance_id else owner

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Has the owner serve an operation; its answer may be lost."""
        peer = self._world.instance(owner)
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(PEER_S)
            if not peer.reachable:
                await anyio.sleep(SILENT_PEER_S)
                return None
            answer = await peer.ledger.serve(payload)
            return None if self._rng.random() < 0.05 else answer
        return None

    # Calls.

    async def call(
        self, request: requests.Request
    ) -> fault_calls.Answer | None:
        """Serves a call in this life; None if the life ends before."""
        if self._scope.cancel_called or not self._links:
            return None
        answers: list[fault_calls.Answer] = []
        ended = anyio.Event()

        async def serve() -> None:
            try:
                await self.gate()
                answers.append(await self._calls.serve(request))
                await self.gate()
            finally:
                ended.set()

        self._tasks.start_soon(serve)
        await ended.wait()
        return answers[0] if answers and not self._scope.cancel_called else None
