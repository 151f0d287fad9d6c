"""An entry instance of the fault runs: the real parts on fake links."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import attrs
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.contracts import target_link
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import attempts
from cardamomfork._internal.requests import lifecycle
from cardamomfork._internal.requests import reservation_keeper
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.requests import reservations
from cardamomfork._internal.requests import retries
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.standins import engine_links
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.measure import faults
    from cardamomfork._internal.models import requests

DATA_CENTRE = identifiers.DataCentreId("dc")
SETTLE_S = 0.5
RETRY_SHARE = 0.5
EXPECTED_S = 0.8
PEER_S = 0.001
SILENT_PEER_S = 0.5


@attrs.frozen
class Answer:
    """What a caller got.

    Attributes:
        outcome: What it was told.
        body: Bytes that it was given.
        attempts: Attempts made for this call.
    """

    outcome: outcomes.Outcome
    body: bytes = b""
    attempts: tuple[identifiers.AttemptId, ...] = ()


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
        self._retries = retries.RetryPolicy(rng)
        self.own = reservations.OwnReservations(
            instance_id, boot_id, rng, DATA_CENTRE
        )
        self._keeper = reservation_keeper.ReservationKeeper(
            self.own,
            reservation_sweep.HomeSweep(instance_id, rng, DATA_CENTRE),
            self,
            self._clock,
        )
        self._links: dict[identifiers.TargetId, engine_links.MemoryLink] = {}
        self._counters = attempts.FrameCounters()
        self._names = itertools.count()

    async def run(self) -> None:
        """Lives until it is killed."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for engine in self._world.engines:
                    self._links[engine.target_id] = engine_links.MemoryLink(
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
            link_faults.lose_heads += 1
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

    async def ask_owner(
        self, question: reservation_sweep.Question
    ) -> frozenset[str] | None:
        """Asks an owner's present life."""
        await anyio.sleep(PEER_S)
        owner = self._world.instance(question.owner)
        if not owner.reachable:
            return None
        return owner.own.disown(question.names)

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

    async def call(self, request: requests.Request) -> Answer | None:
        """Serves a call in this life; None if the life ends before."""
        if self._scope.cancel_called or not self._links:
            return None
        answers: list[Answer] = []
        ended = anyio.Event()

        async def serve() -> None:
            try:
                await self.gate()
                answers.append(await self._serve(request))
                await self.gate()
            finally:
                ended.set()

        self._tasks.start_soon(serve)
        await ended.wait()
        return answers[0] if answers and not self._scope.cancel_called else None

    async def _serve(self, request: requests.Request) -> Answer:
        """Claims, runs and settles."""
        life = lifecycle.RequestLifecycle(request, self._counters)
        claim: claiming.Claim | None = None
        if not request.idempotent:
            claimed = await self.ledger.claim(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                life.time_left(anyio.current_time()),
            )
            if isinstance(claimed, result.Err):
                return Answer(claimed.err_value.outcome)
            if isinstance(claimed.ok_value, claiming.StoredOutcome):
                stored = claimed.ok_value
                return Answer(stored.outcome, stored.answer)
            claim = claimed.ok_value
        body = bytearray()
        names: list[identifiers.AttemptId] = []
        with anyio.move_on_at(request.deadline):
            await self._run(life, body, names)
        life.expire(anyio.current_time())
        ending = life.ending or life.conclude(
            outcomes.RefusalReason.INTERNAL, "The run stopped."
        )
        if claim is not None:
            whole = bytes(body) if ending.refusal is None else b""
            settled = claiming.StoredOutcome(ending.outcome, 200, whole, True)
            await self.ledger.settle(claim, settled, SETTLE_S)
        return Answer(ending.outcome, bytes(body), tuple(names))

    async def _run(
        self,
        life: lifecycle.RequestLifecycle,
        body: bytearray,
        names: list[identifiers.AttemptId],
    ) -> None:
        """Makes attempts until the request has an end."""
        service = life.request.service
        now = anyio.current_time()
        self._retries.note_first_try(service, RETRY_SHARE, now)
        step = lifecycle.NextStep.RUN_AGAIN
        while True:
            if step is lifecycle.NextStep.RUN_AGAIN:
                target = self._rng.choice(self.local_engines())
                names.append(self._new_attempt_id())
            resume = step is lifecycle.NextStep.RESUME
            attempt = life.begin(names[-1], target, resume)
            reservation = self.own.open(names[-1], target)
            try:
                fault = await self._attempt(life, attempt, reservation, body)
                if fault is not None:
                    step = life.next_step(attempt)
            finally:
                if life.ending is not None or not self._resumes(step, attempt):
                    self._end(attempt, reservation)
            self._retries.note_end(service, fault is not None)
            if fault is None or not await self._again(life, fault, step):
                self._end(attempt, reservation)
                return

    def _resumes(
        self, step: lifecycle.NextStep, attempt: attempts.AttemptMachine
    ) -> bool:
        """Whether the attempt's reservation is needed for a resume."""
        return step is lifecycle.NextStep.RESUME and attempt.terminal

    def _end(self, attempt: attempts.AttemptMachine, reservation: str) -> None:
        """Gives the memory of an attempt back."""
        if attempt.state is attempts.AttemptState.DONE:
            self.own.close(reservation)
        else:
            self.own.let_go(reservation, anyio.current_time())

    async def _attempt(
        self,
        life: lifecycle.RequestLifecycle,
        attempt: attempts.AttemptMachine,
        reservation: str,
        body: bytearray,
    ) -> targets.TargetFault | None:
        """Makes one attempt; returns the fault that ended it."""
        call = target_link.TargetCall(
            attempt.attempt_id,
            "/",
            life.request.body,
            3,
            life.time_left(anyio.current_time()),
            attempt.start,
            reservation,
        )
        attempt.mark_sending()
        called = await self._links[attempt.target_id].call(call)
        if isinstance(called, result.Err):
            life.fail(attempt, called.err_value)
            return called.err_value
        attempt.accept(attempt.attempt_id)
        while True:
            received = await called.ok_value.receive()
            if isinstance(received, result.Err):
                life.fail(attempt, received.err_value)
                return received.err_value
            data = received.ok_value
            if not data:
                life.complete(attempt)
                return None
            body += life.deliver(attempt, data) or b""

    async def _again(
        self,
        life: lifecycle.RequestLifecycle,
        fault: targets.TargetFault,
        step: lifecycle.NextStep,
    ) -> bool:
        """Waits before another try; False once the request is given up."""
        decided = self._retries.decide(
            retries.Failure(
                life.request.service,
                fault.kind,
                life.attempts_begun,
                step is not lifecycle.NextStep.END,
                life.time_left(anyio.current_time()),
                EXPECTED_S,
            )
        )
        if isinstance(decided, result.Err):
            given_up = decided.err_value
            life.conclude(given_up.reason, given_up.detail)
            return False
        await anyio.sleep(decided.ok_value.wait_s)
        return True

    def _new_attempt_id(self) -> identifiers.AttemptId:
        """Returns a name that no other attempt has."""
        return identifiers.AttemptId(
            f"{self.instance_id}-{self.boot_id}-{next(self._names)}"
        )
