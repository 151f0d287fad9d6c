"""Randomised fault runs over the parts that carry the promises.

Each run is a small world in virtual time: three instances, two engines and a
store, callers that repeat their calls, and faults of every kind, also two at a
time. The promises are checked against what the engines really ran.
"""

from __future__ import annotations

from collections import Counter
import concurrent.futures
import random

import anyio
import anyio.abc
import attrs

from cardamomfork._internal.measure import fault_calls
from cardamomfork._internal.measure import fault_instances
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import instances
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.requests import reservation_sweep
from cardamomfork._internal.standins import in_memory_engine
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import virtual_time

RUNS = 2000
SMALLEST_RUNS = 4
WORKERS = 4
INSTANCES = 3
ENGINES = 2
CALLERS = 12
CALLS_OVER_S = 30.0
DEADLINE_S = 8.0
TRIES = 3
FAULTS = 8
FAULT_S = 6.0
DECLARED_DEAD_S = 4.0
QUIET_S = 300.0
LATENESS_S = 0.6
"""Time after the deadline in which a call's end must have come."""

FAULT_KINDS = (
    "store down",
    "store slow",
    "store answer lost",
    "instance killed",
    "instance frozen",
    "engine killed",
    "engine refuses",
    "link cut",
    "link silent",
    "answer lost",
)


@attrs.define
class Found:
    """What a run gave.

    Attributes:
        steps: Calls and faults.
        faults: Faults by kind.
        ends: Calls' ends by outcome.
        violations: Broken promises, each with what broke it.
    """

    steps: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    ends: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)


class World:
    """One run."""

    def __init__(self, seed: int) -> None:
        """Prepares the store and the engines."""
        self._rng = random.Random(seed)
        self._clock = virtual_time.VirtualClock()
        self.store = store_standin.MemoryStore(self._clock)
        self.engines = [
            in_memory_engine.MemoryEngine(identifiers.TargetId(f"engine-{n}"))
            for n in range(ENGINES)
        ]
        self._instances: list[fault_instances.FaultInstance] = []
        self._dead: set[int] = set()
        self._found = Found()

    async def run(self) -> Found:
        """Runs calls and faults, then quiet, then checks the memory."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for number in range(INSTANCES):
                self._instances.append(self._start(number))
            async with anyio.create_task_group() as callers:
                for number in range(CALLERS):
                    callers.start_soon(self._caller, number)
                for _ in range(FAULTS):
                    callers.start_soon(self._break_something)
            await anyio.sleep(QUIET_S)
            for engine in self.engines:
                self._check(
                    not engine.held,
                    f"{engine.target_id} still holds {sorted(engine.held)}",
                )
            tasks.cancel_scope.cancel()
        return self._found

    def members(
        self,
    ) -> dict[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns the instances as the membership holds them."""
        return {
            instance.instance_id: reservation_sweep.Member(
                instance.boot_id,
                instances.InstanceState.DEAD
                if number in self._dead
                else instances.InstanceState.ALIVE,
            )
            for number, instance in enumerate(self._instances)
        }

    def instance(
        self, name: identifiers.InstanceId
    ) -> fault_instances.FaultInstance:
        """Returns an instance's present life."""
        return next(i for i in self._instances if i.instance_id == name)

    def _start(self, number: int) -> fault_instances.FaultInstance:
        """Starts a life of an instance."""
        instance = fault_instances.FaultInstance(
            identifiers.InstanceId(f"i{number}"),
            identifiers.BootId(f"b{anyio.current_time():010.3f}"),
            self,
            random.Random(self._rng.random()),
        )
        self.tasks.start_soon(instance.run)
        return instance

    async def _caller(self, number: int) -> None:
        """Makes a call and repeats it until it gets an end that lasts."""
        await anyio.sleep(self._rng.random() * CALLS_OVER_S)
        key = f"{self._clock.wall():.0f}-{self._rng.random()}"
        idempotent = self._rng.random() < 0.4
        body = f"body-{number}".encode()
        done = False
        for _ in range(TRIES):
            outcome = await self._call(body, key, idempotent)
            done = done or outcome is outcomes.Outcome.DONE
            wait_s = self._rng.random() * 4.0
            await anyio.sleep(wait_s if self._rng.random() < 0.7 else 0.0)
        runs = sum(engine.bodies[body] for engine in self.engines)
        self._check(idempotent or runs <= 1, f"{body!r} ran {runs} times")
        self._check(runs >= 1 or not done, f"{body!r} is done but never ran")

    async def _call(
        self, body: bytes, key: str, idempotent: bool
    ) -> outcomes.Outcome | None:
        """Makes one call and checks its end; None if there was none."""
        now = anyio.current_time()
        request = requests.Request(
            request_id=identifiers.RequestId(str(self._rng.random())),
            account=identifiers.AccountName("a"),
            service=identifiers.ServiceName("pool"),
            api=requests.Api.COMPLETIONS,
            body=body,
            prompt_tokens=10,
            max_tokens=10,
            arrived_at=now,
            deadline=now + DEADLINE_S,
            idempotent=idempotent,
            idempotency_key=key,
            fingerprint=body.ljust(16, b"."),
        )
        self._found.steps += 1
        instance = self._rng.choice(self._instances)
        answer = await instance.call(request)
        if answer is None:
            self._found.ends["none"] += 1
            return None
        self._found.ends[answer.outcome.value] += 1
        self._check_answer(request, answer)
        if not instance.disturbed:
            late_s = anyio.current_time() - request.deadline
            self._check(late_s < LATENESS_S, f"{body!r} ended {late_s} s late")
        return answer.outcome

    def _check_answer(
        self, request: requests.Request, answer: fault_calls.Answer
    ) -> None:
        """Checks that an end is the truth."""
        ran = any(
            engine.runs[attempt]
            for engine in self.engines
            for attempt in answer.attempts
        )
        not_run = answer.outcome is outcomes.Outcome.NOT_RUN
        self._check(
            not (not_run and ran), f"{request.body!r} ran, was told not_run"
        )
        expected = in_memory_engine.expected_answer(request.body)
        if answer.outcome is outcomes.Outcome.DONE:
            self._check(
                answer.body == expected, f"{request.body!r} got a wrong answer"
            )
        else:
            self._check(
                expected.startswith(answer.body),
                f"{request.body!r} got bytes of another answer",
            )

    def _check(self, holds: bool, violation: str) -> None:
        """Notes a violation."""
        if not holds:
            self._found.violations.append(violation)

    async def _break_something(self) -> None:
        """Injects one fault for a while."""
        await anyio.sleep(self._rng.random() * CALLS_OVER_S)
        kind = self._rng.choice(FAULT_KINDS)
        self._found.faults[kind] += 1
        self._found.steps += 1
        lasts_s = self._rng.random() * FAULT_S
        if kind.startswith("engine"):
            await self._break_engine(kind, lasts_s)
        elif kind.startswith("instance"):
            await self._break_instance(kind, lasts_s)
        else:
            victim = self._rng.choice(self._instances)
            await victim.break_link(kind, lasts_s)

    async def _break_engine(self, kind: str, lasts_s: float) -> None:
        """Kills an engine or has it refuse."""
        engine = self._rng.choice(self.engines)
        if kind == "engine killed":
            engine.crash()
            await anyio.sleep(lasts_s)
            engine.up = True
            return
        engine.refuses = True
        await anyio.sleep(lasts_s)
        engine.refuses = False

    async def _break_instance(self, kind: str, lasts_s: float) -> None:
        """Kills or freezes an instance; it comes back."""
        number = self._rng.randrange(INSTANCES)
        instance = self._instances[number]
        if kind == "instance killed":
            instance.kill()
            self._dead.add(number)
            await anyio.sleep(lasts_s)
            self._instances[number] = self._start(number)
            self._dead.discard(number)
            return
        instance.freeze()
        await anyio.sleep(min(lasts_s, DECLARED_DEAD_S))
        self._dead.add(number)
        await anyio.sleep(max(lasts_s - DECLARED_DEAD_S, 0.0))
        if self._instances[number] is instance:
            self._dead.discard(number)
        instance.thaw()


def run_seed(seed: int) -> Found:
    """Runs the world of one seed."""
    return virtual_time.run(World(seed).run, seed=seed)


def measure(options: reports.Options) -> reports.Report:
    """Runs many seeds and reports faults, ends and violations."""
    count = SMALLEST_RUNS if options.smallest else RUNS
    seeds = range(options.seed, options.seed + count)
    if options.smallest:
        found = [run_seed(seed) for seed in seeds]
    else:
        with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
            found = list(pool.map(run_seed, seeds, chunksize=20))
    faults: Counter[str] = sum((f.faults for f in found), Counter())
    ends: Counter[str] = sum((f.ends for f in found), Counter())
    violations = [
        f"seed {seed}: {violation}"
        for seed, one in zip(seeds, found, strict=True)
        for violation in one.violations
    ]
    rows = [("runs", str(count)), ("steps", str(sum(f.steps for f in found)))]
    rows += [(f"fault: {kind}", str(faults[kind])) for kind in FAULT_KINDS]
    rows += [(f"end: {end}", str(ends[end])) for end in sorted(ends)]
    rows.append(("violations", str(len(violations))))
    title = f"Seeds {seeds.start} to {seeds.stop - 1}"
    table = reports.Table(title, ("what", "count"), tuple(rows))
    return reports.Report("faults", (table, *violations[:20]))
