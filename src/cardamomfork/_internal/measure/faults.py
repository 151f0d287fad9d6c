"""Randomized fault runs that check the guarantees given to callers.

Each run simulates three instances, two engines and a store in virtual time.
Callers repeat their calls while faults of all kinds are injected, also
concurrently. The guarantees are checked against what the engines executed.
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

SEED_COUNT = 2000
SMALLEST_SEED_COUNT = 4
WORKER_PROCESSES = 4
INSTANCE_COUNT = 3
ENGINE_COUNT = 2
CALLER_COUNT = 12
START_WINDOW_S = 30.0
DEADLINE_S = 8.0
CALLS_PER_CALLER = 3
FAULT_COUNT = 8
MAX_FAULT_S = 6.0
DEATH_DETECTION_S = 4.0
RECOVERY_S = 300.0
MAX_LATENESS_S = 0.6
"""Maximum time between a call's deadline and its end."""

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
class RunResult:
    """Results of one run.

    Attributes:
        step_count: Number of calls and injected faults.
        fault_counts: Injected faults by kind.
        outcome_counts: Calls by outcome; "none" for calls without an answer.
        violations: Description of each violated guarantee.
    """

    step_count: int = 0
    fault_counts: Counter[str] = attrs.field(factory=Counter)
    outcome_counts: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)


class FaultSimulation:
    """Simulation of one seed."""

    def __init__(self, seed: int) -> None:
        """Initializes the store and the engines."""
        self._rng = random.Random(seed)
        self._clock = virtual_time.VirtualClock()
        self.store = store_standin.MemoryStore(self._clock)
        self.engines = [
            in_memory_engine.MemoryEngine(identifiers.TargetId(f"engine-{n}"))
            for n in range(ENGINE_COUNT)
        ]
        self._instances: list[fault_instances.FaultInstance] = []
        self._declared_dead: set[int] = set()
        self._result = RunResult()

    async def run(self) -> RunResult:
        """Runs calls and faults, then checks that engine memory is released.

        The check comes after a period without calls and faults, in which all
        reservations must be reclaimed.
        """
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for number in range(INSTANCE_COUNT):
                self._instances.append(self._start_instance(number))
            async with anyio.create_task_group() as callers:
                for number in range(CALLER_COUNT):
                    callers.start_soon(self._run_caller, number)
                for _ in range(FAULT_COUNT):
                    callers.start_soon(self._inject_fault)
            await anyio.sleep(RECOVERY_S)
            for engine in self.engines:
                self._check(
                    not engine.held,
                    f"{engine.target_id} still holds {sorted(engine.held)}",
                )
            tasks.cancel_scope.cancel()
        return self._result

    def members(
        self,
    ) -> dict[identifiers.InstanceId, reservation_sweep.Member]:
        """Returns the membership view of the instances."""
        return {
            instance.instance_id: reservation_sweep.Member(
                instance.boot_id,
                instances.InstanceState.DEAD
                if number in self._declared_dead
                else instances.InstanceState.ALIVE,
            )
            for number, instance in enumerate(self._instances)
        }

    def instance(
        self, instance_id: identifiers.InstanceId
    ) -> fault_instances.FaultInstance:
        """Returns the current incarnation of an instance."""
        return next(
            instance
            for instance in self._instances
            if instance.instance_id == instance_id
        )

    def _start_instance(self, number: int) -> fault_instances.FaultInstance:
        """Starts a new incarnation of an instance."""
        instance = fault_instances.FaultInstance(
            identifiers.InstanceId(f"i{number}"),
            identifiers.BootId(f"b{anyio.current_time():010.3f}"),
            self,
            random.Random(self._rng.random()),
        )
        self.tasks.start_soon(instance.run)
        return instance

    async def _run_caller(self, number: int) -> None:
        """Makes a call several times and checks how often it was executed.

        A call that isn't idempotent may run at most once. A call reported as
        done must have run.
        """
        await anyio.sleep(self._rng.random() * START_WINDOW_S)
        key = f"{self._clock.wall():.0f}-{self._rng.random()}"
        idempotent = self._rng.random() < 0.4
        body = f"body-{number}".encode()
        completed = False
        for _ in range(CALLS_PER_CALLER):
            outcome = await self._make_call(body, key, idempotent)
            completed = completed or outcome is outcomes.Outcome.DONE
            wait_s = self._rng.random() * 4.0
            await anyio.sleep(wait_s if self._rng.random() < 0.7 else 0.0)
        executions = sum(engine.bodies[body] for engine in self.engines)
        self._check(
            idempotent or executions <= 1, f"{body!r} ran {executions} times"
        )
        self._check(
            executions >= 1 or not completed, f"{body!r} is done but never ran"
        )

    async def _make_call(
        self, body: bytes, key: str, idempotent: bool
    ) -> outcomes.Outcome | None:
        """Makes one call and checks its answer; None if there is no answer."""
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
        self._result.step_count += 1
        instance = self._rng.choice(self._instances)
        answer = await instance.call(request)
        if answer is None:
            self._result.outcome_counts["none"] += 1
            return None
        self._result.outcome_counts[answer.outcome.value] += 1
        self._check_answer(request, answer)
        if not instance.had_fault:
            lateness_s = anyio.current_time() - request.deadline
            self._check(
                lateness_s < MAX_LATENESS_S,
                f"{body!r} ended {lateness_s} s late",
            )
        return answer.outcome

    def _check_answer(
        self, request: requests.Request, answer: fault_calls.Answer
    ) -> None:
        """Checks an answer against what the engines executed."""
        executed = any(
            engine.runs[attempt]
            for engine in self.engines
            for attempt in answer.attempts
        )
        not_run = answer.outcome is outcomes.Outcome.NOT_RUN
        self._check(
            not (not_run and executed),
            f"{request.body!r} ran, was told not_run",
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

    def _check(self, condition: bool, violation: str) -> None:
        """Records a violation if the condition is false."""
        if not condition:
            self._result.violations.append(violation)

    async def _inject_fault(self) -> None:
        """Injects one random fault at a random time."""
        await anyio.sleep(self._rng.random() * START_WINDOW_S)
        kind = self._rng.choice(FAULT_KINDS)
        self._result.fault_counts[kind] += 1
        self._result.step_count += 1
        duration_s = self._rng.random() * MAX_FAULT_S
        if kind.startswith("engine"):
            await self._inject_engine_fault(kind, duration_s)
        elif kind.startswith("instance"):
            await self._inject_instance_fault(kind, duration_s)
        else:
            instance = self._rng.choice(self._instances)
            await instance.break_link(kind, duration_s)

    async def _inject_engine_fault(self, kind: str, duration_s: float) -> None:
        """Kills an engine or makes it refuse calls, then restores it."""
        engine = self._rng.choice(self.engines)
        if kind == "engine killed":
            engine.crash()
            await anyio.sleep(duration_s)
            engine.up = True
            return
        engine.refuses = True
        await anyio.sleep(duration_s)
        engine.refuses = False

    async def _inject_instance_fault(
        self, kind: str, duration_s: float
    ) -> None:
        """Kills or freezes an instance, then restarts or resumes it.

        The membership declares a frozen instance dead only after the death
        detection time.
        """
        number = self._rng.randrange(INSTANCE_COUNT)
        instance = self._instances[number]
        if kind == "instance killed":
            instance.kill()
            self._declared_dead.add(number)
            await anyio.sleep(duration_s)
            self._instances[number] = self._start_instance(number)
            self._declared_dead.discard(number)
            return
        instance.freeze()
        await anyio.sleep(min(duration_s, DEATH_DETECTION_S))
        self._declared_dead.add(number)
        await anyio.sleep(max(duration_s - DEATH_DETECTION_S, 0.0))
        if self._instances[number] is instance:
            self._declared_dead.discard(number)
        instance.thaw()


def run_seed(seed: int) -> RunResult:
    """Runs the simulation of one seed."""
    return virtual_time.run(FaultSimulation(seed).run, seed=seed)


def measure(options: reports.Options) -> reports.Report:
    """Runs many seeds and reports faults, outcomes and violations."""
    count = SMALLEST_SEED_COUNT if options.smallest else SEED_COUNT
    seeds = range(options.seed, options.seed + count)
    if options.smallest:
        results = [run_seed(seed) for seed in seeds]
    else:
        with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
            results = list(pool.map(run_seed, seeds, chunksize=20))
    fault_counts: Counter[str] = sum(
        (run.fault_counts for run in results), Counter()
    )
    outcome_counts: Counter[str] = sum(
        (run.outcome_counts for run in results), Counter()
    )
    violations = [
        f"seed {seed}: {violation}"
        for seed, seed_result in zip(seeds, results, strict=True)
        for violation in seed_result.violations
    ]
    rows = [
        ("runs", str(count)),
        ("steps", str(sum(run.step_count for run in results))),
    ]
    rows += [
        (f"fault: {kind}", str(fault_counts[kind])) for kind in FAULT_KINDS
    ]
    rows += [
        (f"end: {outcome}", str(outcome_counts[outcome]))
        for outcome in sorted(outcome_counts)
    ]
    rows.append(("violations", str(len(violations))))
    title = f"Seeds {seeds.start} to {seeds.stop - 1}"
    table = reports.Table(title, ("what", "count"), tuple(rows))
    return reports.Report("faults", (table, *violations[:20]))
