"""Time until engines run what was ordered, and the keeper's processor time."""

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

SIZES = (20, 80, 160, 320)
TARGET_ENGINES = 320.0
CONTROL_BOUND_US_PER_S = 44_000.0
LOAD_S = 20.0
TTL_S = 10.0
SEEDS = 20
STEADY_S = 300.0
LIMIT_S = 20_000.0
_DATA_CENTRE = identifiers.DataCentreId("dc")


def measure(options: reports.Options) -> reports.Report:
    """Measures convergence, steady cost, and a paused holder's return."""
    sizes = SIZES[:1] if options.smallest else SIZES
    runs = [_converge(size, options.seed) for size in sizes]
    seeds = 2 if options.smallest else SEEDS
    return reports.Report(
        "orders",
        (
            _tabulate_convergence(sizes, runs),
            reports.Slope(
                "us of processor time a second, steady",
                "engines",
                tuple(
                    (float(size), run.steady_us_per_s)
                    for size, run in zip(sizes, runs, strict=True)
                ),
                CONTROL_BOUND_US_PER_S,
                TARGET_ENGINES,
            ),
            _tabulate_paused_holder(options.seed, seeds),
        ),
    )


@attrs.define
class _Engine:
    """An engine in virtual time.

    Attributes:
        target: Its configuration.
        number: Highest fencing number seen.
        version: Version that it runs.
        ready_at: When its load ends.
        loads: Loads begun.
    """

    target: targets.Target
    number: int = 0
    version: str = ""
    ready_at: float = 0.0
    loads: int = 0

    def take(self, order: configuration.Order, number: int, now: float) -> bool:
        """Takes an order; False if the number is old and checked."""
        if self.target.checks_fencing and number < self.number:
            return False
        self.number = max(self.number, number)
        if order.model_version != self.version:
            self.version = order.model_version
            self.ready_at = now + LOAD_S
            self.loads += 1
        return True

    def running(self, now: float) -> models.ObservedState:
        """Returns what it runs."""
        if not self.version or now < self.ready_at:
            return models.ObservedState({})
        return models.ObservedState({"m": self.version})


class _Fleet:
    """A keeper before engines, in virtual time with random delays."""

    def __init__(self, engines: list[_Engine], rng: random.Random) -> None:
        """Starts at time 0 without a lease."""
        self.engines = {each.target.target_id: each for each in engines}
        self.keeper = orders_reconciler.OrderReconciler(_DATA_CENTRE)
        self.now = 0.0
        self.spent_ns = 0
        self.holding: models.HeldLease | None = None
        self._rng = rng
        self._under_way: list[tuple[float, int, models.Step]] = []
        self._count = 0

    def order(self, version: str) -> None:
        """Orders one version on all engines."""
        for name, engine in self.engines.items():
            self.keeper.apply_target(engine.target, self.now)
            order = configuration.Order(
                name, configuration.OrderAction.LOAD, "m", version
            )
            self.keeper.apply_order(order, self.now)

    def hold(self, fencing: int) -> None:
        """Takes the lease for good."""
        self.holding = models.HeldLease(fencing, self.now, TTL_S, 1e9)

    def run_until(self, end: float) -> None:
        """Runs to a time, or until all engines agree if that comes first."""
        while self.now < end:
            wake_at = self._decide()
            due = self._under_way[0][0] if self._under_way else end
            self.now = min(max(wake_at, self.now + 1e-6), due, end)
            while self._under_way and self._under_way[0][0] <= self.now:
                self._deliver(heapq.heappop(self._under_way)[2])

    @property
    def agreed(self) -> bool:
        """Whether the keeper has read that all run what was ordered."""
        return self.keeper.unsettled == 0

    def _decide(self) -> float:
        """Starts the steps that are due; returns when to ask again."""
        start = time.process_time_ns()
        decision = self.keeper.decide(self.now, self.holding)
        self.spent_ns += time.process_time_ns() - start
        for step in decision.steps:
            self._count += 1
            arrival = self.now + self._rng.uniform(0.001, 0.02)
            heapq.heappush(self._under_way, (arrival, self._count, step))
        return decision.wake_at if decision.wake_at is not None else 1e9

    def _deliver(self, step: models.Step) -> None:
        """Lets a step reach its engine and its answer reach the keeper."""
        engine = self.engines[step.target_id]
        start = time.process_time_ns()
        if step.kind is models.StepKind.READ:
            running = engine.running(self.now)
            self.keeper.on_state_read(step, running, self.now)
        else:
            engine.take(step.order, step.fencing, self.now)
            self.keeper.on_accepted(step, self.now)
        self.spent_ns += time.process_time_ns() - start


@attrs.frozen
class _Run:
    """What a convergence run gave.

    Attributes:
        seconds: Virtual time until all engines agreed.
        least_s: Time that the turns at the weight store alone take.
        loads: Loads begun.
        steady_us_per_s: Keeper's processor time once all agree.
    """

    seconds: float
    least_s: float
    loads: int
    steady_us_per_s: float


def _make_engines(count: int) -> list[_Engine]:
    """Makes engines of which every other one checks the number."""
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


def _converge(size: int, seed: int) -> _Run:
    """Orders a version on all engines of a fleet and waits."""
    fleet = _Fleet(_make_engines(size), random.Random(seed))
    fleet.order("v1")
    fleet.hold(1)
    while not fleet.agreed and fleet.now < LIMIT_S:
        fleet.run_until(fleet.now + 0.5)
    seconds = fleet.now if fleet.agreed else float("inf")
    fleet.spent_ns = 0
    fleet.run_until(fleet.now + STEADY_S)
    return _Run(
        seconds,
        size / models.WeightStoreBudget().max_concurrent_loads * LOAD_S,
        sum(each.loads for each in fleet.engines.values()),
        fleet.spent_ns / 1000 / STEADY_S,
    )


def _tabulate_convergence(
    sizes: tuple[int, ...], runs: list[_Run]
) -> reports.Table:
    """Compares the time to converge with that of the turns alone."""
    return reports.Table(
        f"virtual time until all agree; loads of {LOAD_S:g} s,"
        f" {models.WeightStoreBudget().max_concurrent_loads} at once",
        ("engines", "seconds", "turns alone", "ratio", "loads"),
        tuple(
            (
                str(size),
                f"{run.seconds:.1f}",
                f"{run.least_s:.1f}",
                f"{run.seconds / run.least_s:.3f}",
                str(run.loads),
            )
            for size, run in zip(sizes, runs, strict=True)
        ),
    )


def _tabulate_paused_holder(seed: int, count: int) -> reports.Table:
    """Lets a paused holder's orders arrive after another has taken over."""
    runs = [_wake_paused_holder(seed + number) for number in range(count)]
    rows = []
    for checks in (True, False):
        times = [
            each
            for run in runs
            for kind, each in run
            if kind is checks and each > 0
        ]
        engines = sum(kind is checks for run in runs for kind, _ in run)
        rows.append(
            (
                "checks" if checks else "ignores",
                str(engines),
                str(len(times)),
                f"{statistics.median(times):.1f}" if times else "-",
                f"{max(times):.1f}" if times else "-",
            )
        )
    return reports.Table(
        f"a paused holder's orders arrive late, {count} seeds; seconds until"
        " the engine runs the newer order again",
        ("engine", "engines", "taken", "median", "most"),
        tuple(rows),
    )


def _wake_paused_holder(seed: int) -> list[tuple[bool, float]]:
    """Returns for each engine its kind and how long it was wrong."""
    rng = random.Random(seed)
    engines = _make_engines(8)
    fleet = _Fleet(engines, rng)
    fleet.order("v2")
    fleet.hold(2)
    fleet.run_until(rng.uniform(60.0, 120.0))
    woken_at = fleet.now
    for engine in engines:
        order = configuration.Order(
            engine.target.target_id,
            configuration.OrderAction.LOAD,
            "m",
            "v1",
        )
        engine.take(order, 1, fleet.now)
    wrong = {e.target.target_id for e in engines if e.version != "v2"}
    times = {e.target.target_id: 0.0 for e in engines}
    while wrong and fleet.now < LIMIT_S:
        fleet.run_until(fleet.now + 0.1)
        for name in sorted(wrong):
            if "v2" in fleet.engines[name].running(fleet.now).models.values():
                times[name] = fleet.now - woken_at
                wrong.discard(name)
    for name in wrong:
        times[name] = float("inf")
    return [
        (e.target.checks_fencing, times[e.target.target_id]) for e in engines
    ]
