"""Time until engines run their orders, and the reconciler's processor time."""

from __future__ import annotations

import heapq
import random
import statistics
import time

import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.targets import orders_models as models
from cardamomfork._internal.targets import orders_reconciler

ENGINE_COUNTS = (20, 80, 160, 320)
REQUIRED_ENGINE_COUNT = 320.0
PROCESSOR_BOUND_US_PER_S = 44_000.0
MODEL_LOAD_S = 20.0
LEASE_TTL_S = 10.0
SEED_COUNT = 20
STEADY_S = 300.0
RUN_LIMIT_S = 20_000.0
_DATA_CENTRE = identifiers.DataCentreId("dc")


def measure(options: reports.Options) -> reports.Report:
    """Measures convergence, steady cost, and late orders of a paused holder."""
    engine_counts = ENGINE_COUNTS[:1] if options.smallest else ENGINE_COUNTS
    runs = [
        _converge(engine_count, options.seed) for engine_count in engine_counts
    ]
    seeds = 2 if options.smallest else SEED_COUNT
    return reports.Report(
        "orders",
        (
            _tabulate_convergence(engine_counts, runs),
            reports.Slope(
                "us of processor time a second, steady",
                "engines",
                tuple(
                    (float(engine_count), run.steady_us_per_s)
                    for engine_count, run in zip(
                        engine_counts, runs, strict=True
                    )
                ),
                PROCESSOR_BOUND_US_PER_S,
                REQUIRED_ENGINE_COUNT,
            ),
            _tabulate_paused_holder(options.seed, seeds),
        ),
    )


@attrs.define
class _Engine:
    """Simulated engine in virtual time.

    Attributes:
        target: Configuration of the engine.
        highest_fencing: Highest fencing number received.
        version: Model version that is loaded or being loaded.
        ready_at: Time in seconds at which the load is complete.
        load_count: Number of loads started.
    """

    target: targets.Target
    highest_fencing: int = 0
    version: str = ""
    ready_at: float = 0.0
    load_count: int = 0

    def receive_order(
        self, order: configuration.Order, fencing: int, now: float
    ) -> bool:
        """Applies an order.

        Returns:
            False if the engine checks fencing numbers and this one is stale.
        """
        if self.target.checks_fencing and fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        if order.model_version != self.version:
            self.version = order.model_version
            self.ready_at = now + MODEL_LOAD_S
            self.load_count += 1
        return True

    def observe(self, now: float) -> models.ObservedState:
        """Returns the models that are ready to run."""
        if not self.version or now < self.ready_at:
            return models.ObservedState({})
        return models.ObservedState({"m": self.version})


class _Fleet:
    """A reconciler and its engines, in virtual time with random delays.

    Attributes:
        engines: Engines by target id.
        reconciler: Reconciler under test.
        now: Virtual time in seconds.
        processor_ns: Processor time of the reconciler, including the little
            that the simulated engines use.
        lease: Lease that the reconciler holds, if any.
    """

    def __init__(self, engines: list[_Engine], rng: random.Random) -> None:
        """Initializes the fleet at time 0 without a lease."""
        self.engines = {engine.target.target_id: engine for engine in engines}
        self.reconciler = orders_reconciler.OrderReconciler(_DATA_CENTRE)
        self.now = 0.0
        self.processor_ns = 0
        self.lease: models.HeldLease | None = None
        self._rng = rng
        self._in_flight: list[tuple[float, int, models.Step]] = []
        self._step_count = 0

    def order(self, version: str) -> None:
        """Orders a model version on all engines."""
        for target_id, engine in self.engines.items():
            self.reconciler.apply_target(engine.target, self.now)
            order = configuration.Order(
                target_id, configuration.OrderAction.LOAD, "m", version
            )
            self.reconciler.apply_order(order, self.now)

    def acquire_lease(self, fencing: int) -> None:
        """Acquires a lease that lasts for the whole run."""
        self.lease = models.HeldLease(fencing, self.now, LEASE_TTL_S, 1e9)

    def run_until(self, end: float) -> None:
        """Runs the reconciler and delivers its steps until a time."""
        while self.now < end:
            wake_at = self._decide()
            next_arrival = self._in_flight[0][0] if self._in_flight else end
            self.now = min(max(wake_at, self.now + 1e-6), next_arrival, end)
            while self._in_flight and self._in_flight[0][0] <= self.now:
                self._deliver(heapq.heappop(self._in_flight)[2])

    @property
    def has_converged(self) -> bool:
        """Whether the reconciler has read that all engines run their orders."""
        return self.reconciler.unsettled == 0

    def _decide(self) -> float:
        """Starts the steps that are due; returns when to decide again."""
        start = time.process_time_ns()
        decision = self.reconciler.decide(self.now, self.lease)
        self.processor_ns += time.process_time_ns() - start
        for step in decision.steps:
            self._step_count += 1
            arrival = self.now + self._rng.uniform(0.001, 0.02)
            heapq.heappush(self._in_flight, (arrival, self._step_count, step))
        return decision.wake_at if decision.wake_at is not None else 1e9

    def _deliver(self, step: models.Step) -> None:
        """Delivers a step to its engine and the answer to the reconciler."""
        engine = self.engines[step.target_id]
        start = time.process_time_ns()
        if step.kind is models.StepKind.READ:
            observed = engine.observe(self.now)
            self.reconciler.on_state_read(step, observed, self.now)
        else:
            engine.receive_order(step.order, step.fencing, self.now)
            self.reconciler.on_accepted(step, self.now)
        self.processor_ns += time.process_time_ns() - start


@attrs.frozen
class _Run:
    """Results of a convergence run.

    Attributes:
        converged_after_s: Virtual time until all engines run their orders.
        minimum_s: Time that the loads take if the weight store's concurrency
            limit is the only constraint.
        load_count: Number of loads started.
        steady_us_per_s: Processor time of the reconciler per second after
            convergence.
    """

    converged_after_s: float
    minimum_s: float
    load_count: int
    steady_us_per_s: float


def _make_engines(count: int) -> list[_Engine]:
    """Makes engines of which every other one checks fencing numbers."""
    return [
        _Engine(
            targets.Target(
                identifiers.TargetId(f"engine-{number}"),
                targets.TargetKind.ENGINE,
                "127.0.0.1",
                1,
                _DATA_CENTRE,
                checks_fencing=number % 2 == 0,
            )
        )
        for number in range(count)
    ]


def _converge(engine_count: int, seed: int) -> _Run:
    """Orders a version on all engines and measures the convergence."""
    fleet = _Fleet(_make_engines(engine_count), random.Random(seed))
    fleet.order("v1")
    fleet.acquire_lease(1)
    while not fleet.has_converged and fleet.now < RUN_LIMIT_S:
        fleet.run_until(fleet.now + 0.5)
    converged_after_s = fleet.now if fleet.has_converged else float("inf")
    fleet.processor_ns = 0
    fleet.run_until(fleet.now + STEADY_S)
    return _Run(
        converged_after_s,
        engine_count
        / models.WeightStoreBudget().max_concurrent_loads
        * MODEL_LOAD_S,
        sum(engine.load_count for engine in fleet.engines.values()),
        fleet.processor_ns / 1000 / STEADY_S,
    )


def _tabulate_convergence(
    engine_counts: tuple[int, ...], runs: list[_Run]
) -> reports.Table:
    """Compares the time to converge with its lower bound."""
    return reports.Table(
        f"virtual time until all agree; loads of {MODEL_LOAD_S:g} s,"
        f" {models.WeightStoreBudget().max_concurrent_loads} at once",
        ("engines", "seconds", "turns alone", "ratio", "loads"),
        tuple(
            (
                str(engine_count),
                f"{run.converged_after_s:.1f}",
                f"{run.minimum_s:.1f}",
                f"{run.converged_after_s / run.minimum_s:.3f}",
                str(run.load_count),
            )
            for engine_count, run in zip(engine_counts, runs, strict=True)
        ),
    )


def _tabulate_paused_holder(seed: int, count: int) -> reports.Table:
    """Measures the effect of a paused lease holder's late orders.

    They arrive after another instance has acquired the lease and has issued
    newer orders.
    """
    runs = [_resume_paused_holder(seed + number) for number in range(count)]
    rows = []
    for wanted_kind in (True, False):
        delays_s = [
            delay_s
            for run in runs
            for checks_fencing, delay_s in run
            if checks_fencing is wanted_kind and delay_s > 0
        ]
        engines = sum(
            checks_fencing is wanted_kind
            for run in runs
            for checks_fencing, _ in run
        )
        rows.append(
            (
                "checks" if wanted_kind else "ignores",
                str(engines),
                str(len(delays_s)),
                f"{statistics.median(delays_s):.1f}" if delays_s else "-",
                f"{max(delays_s):.1f}" if delays_s else "-",
            )
        )
    return reports.Table(
        f"a paused holder's orders arrive late, {count} seeds; seconds until"
        " the engine runs the newer order again",
        ("engine", "engines", "taken", "median", "most"),
        tuple(rows),
    )


def _resume_paused_holder(seed: int) -> list[tuple[bool, float]]:
    """Delivers a former lease holder's orders late.

    Returns:
        For each engine, whether it checks fencing numbers and for how many
        seconds it runs an outdated version.
    """
    rng = random.Random(seed)
    engines = _make_engines(8)
    fleet = _Fleet(engines, rng)
    fleet.order("v2")
    fleet.acquire_lease(2)
    fleet.run_until(rng.uniform(60.0, 120.0))
    resumed_at = fleet.now
    for engine in engines:
        order = configuration.Order(
            engine.target.target_id,
            configuration.OrderAction.LOAD,
            "m",
            "v1",
        )
        engine.receive_order(order, 1, fleet.now)
    outdated = {e.target.target_id for e in engines if e.version != "v2"}
    delays_s = {e.target.target_id: 0.0 for e in engines}
    while outdated and fleet.now < RUN_LIMIT_S:
        fleet.run_until(fleet.now + 0.1)
        for target_id in sorted(outdated):
            if (
                "v2"
                in fleet.engines[target_id].observe(fleet.now).models.values()
            ):
                delays_s[target_id] = fleet.now - resumed_at
                outdated.discard(target_id)
    for target_id in outdated:
        delays_s[target_id] = float("inf")
    return [
        (e.target.checks_fencing, delays_s[e.target.target_id]) for e in engines
    ]
