"""Worth served on time under heavy loads, by policy, fleet size and kind.

The loads are bursts of the users' kinds of requests, with and without stalled
engines. The traffic is not split by key or account, because that has no effect
on placement here: prompts share no prefixes, and account limits apply before
placement.
"""

from __future__ import annotations

import itertools
import math
import statistics
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.measure import engine_simulation
from cardamomfork._internal.measure import even_load
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.state import target_table

ENGINE_COST_MODEL = fleet.EngineCostModel(
    slots=8,
    memory_tokens=315_000,
    step_s=0.00085,
    sequence_step_s=8.5e-6,
    context_token_step_s=2.85e-9,
    prefill_rate_tokens_per_s=177_000,
    attention_pair_s=0.184e-9,
    chunk_tokens=2048,
    steps_per_event=51,
    typical_prompt_tokens=11_000,
    typical_output_tokens=1600,
    remote_memory_step_s=5e-5,
)
"""Timing of the users' engines, from their data sheets."""
NO_CAPACITY_RETRY_S = 0.1
DURATION_S = 12.0
SMALLEST_DURATION_S = 2.0
SEED_COUNT = 3
STALL_DURATION_S = 1.5
"""Time for which an engine stalls when another engine that it works with is
lost, from the users' data sheets."""
STALLED_ENGINES_FRACTION = 0.1
VIEW_DELAY_S = 0.03
"""Time after which instances see each other's placements in large fleets."""


@attrs.frozen
class Size:
    """Size of a fleet, and its load.

    Attributes:
        instances: Number of instances that place requests.
        engines: Number of engines.
        load: Load over the usual load of `engine_simulation.USUAL_ENGINES`
            engines.
        view_delay_s: Time after which instances see each other's placements.
    """

    instances: int
    engines: int
    load: float
    view_delay_s: float


SIZES = (
    Size(6, 16, 16 / 23, 0.01),
    Size(9, 23, 1.0, 0.01),
    Size(30, 40, 40 / 23, VIEW_DELAY_S),
    Size(86, 78, 2.7, VIEW_DELAY_S),
)
"""The users' deployments and two sizes between them. Loads are in proportion to
the engines, except the load of the last size."""


@attrs.frozen
class Load:
    """A load, relative to the usual one.

    Attributes:
        name: Its name.
        factors: Arrival rates over the usual rates, by kind.
        has_stalls: Whether engines stall in turns.
    """

    name: str
    factors: Mapping[str, float]
    has_stalls: bool = False


USUAL_FACTORS = {"short": 1.0, "medium": 1.0, "long": 1.0}
LOADS = (
    Load("usual", USUAL_FACTORS),
    Load("short burst", {"short": 2.5, "medium": 0.5, "long": 0.05}),
    Load("long burst", {"short": 0.35, "medium": 1.3, "long": 2.8}),
    Load("both", {"short": 2.0, "medium": 1.3, "long": 2.0}),
    Load("usual, stalls", USUAL_FACTORS, has_stalls=True),
)


def place_by_cost(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """Places a request with the gateway's placer."""
    return simulated_fleet.placer.choose(demand, now)


def place_by_least_load(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """Places a request on the engine with the fewest requests."""
    loads = simulated_fleet.loads(now)
    fewest = min(load.running for _, load in loads)
    if fewest >= _cost_model_of(demand).slots:
        return placement.NoCapacity("full", NO_CAPACITY_RETRY_S)
    chosen = simulated_fleet.rng.choice(
        [target for target, load in loads if load.running == fewest]
    )
    return _place_on_one_engine(chosen, demand)


def place_from_shared_queue(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """Places a request on an engine that reads nothing, or queues it."""
    idle = [
        (load.running, target)
        for target, load in simulated_fleet.loads(now)
        if not load.readers and load.running < _cost_model_of(demand).slots
    ]
    if not idle:
        return placement.NoCapacity("all read", NO_CAPACITY_RETRY_S)
    _, chosen = min(idle, key=lambda pair: pair[0])
    return _place_on_one_engine(chosen, demand)


def make_round_robin() -> Callable[
    [engine_simulation.Fleet, demands.Demand, float], placement.Placement
]:
    """Returns a policy that places requests on the engines in turn."""
    numbers = itertools.count()

    def place(
        simulated_fleet: engine_simulation.Fleet,
        demand: demands.Demand,
        now: float,
    ) -> placement.Placement:
        targets = simulated_fleet.table.list_service(
            engine_simulation.SERVICE, now
        )
        chosen = targets[next(numbers) % len(targets)]
        return _place_on_one_engine(chosen, demand)

    return place


def _place_on_one_engine(
    target: target_table.Target, demand: demands.Demand
) -> placement.Placement:
    """Returns a placement on one engine, without helpers."""
    reading = engine_timing.prefill_s(
        _cost_model_of(demand), demand.prompt_tokens
    )
    return placement.Placement(target, (), reading, reading, 0.0)


def _cost_model_of(demand: demands.Demand) -> fleet.EngineCostModel:
    """Returns the cost model of the engines of a request's service."""
    cost_model = demand.service.cost_model
    if cost_model is None:
        raise TypeError("the service has no engines")
    return cost_model


def measure(options: reports.Options) -> reports.Report:
    """Measures each fleet size and load."""
    sizes = SIZES[:1] if options.smallest else SIZES
    loads = LOADS[:2] if options.smallest else LOADS
    seconds = SMALLEST_DURATION_S if options.smallest else DURATION_S
    seeds = range(
        options.seed, options.seed + (1 if options.smallest else SEED_COUNT)
    )
    tables = []
    for size in sizes:
        rows = []
        for load in loads:
            for name, served in _simulate_policies(size, load, seconds, seeds):
                rows.append((load.name, name, *_row_cells(served)))
        tables.append(
            reports.Table(
                f"worth on time at {size.instances} instances and"
                f" {size.engines} engines, mean and spread of {len(seeds)}"
                " seeds",
                ("load", "by", "all", "spread", *_kind_names()),
                tuple(rows),
            )
        )
    deployments = () if options.smallest else even_load.DEPLOYMENTS
    tables += [_compare_ways(one, options.seed) for one in deployments]
    return reports.Report("placing", tuple(tables))


def _compare_ways(
    deployment: even_load.Deployment, first_seed: int
) -> reports.Table:
    """Measures each way to place by load information that is out of date."""
    seeds = range(first_seed, first_seed + deployment.seeds)
    rows = []
    columns: tuple[str, ...] = ()
    for number, way in enumerate(even_load.list_ways(deployment, first_seed)):
        runs = [
            even_load.figures(
                even_load.simulate(
                    deployment,
                    even_load.list_ways(deployment, seed)[number],
                    seed,
                )
            )
            for seed in seeds
        ]
        columns = tuple(runs[0])
        means = (
            statistics.fmean(one[column] for one in runs) for column in columns
        )
        rows.append((way.name, *(f"{mean:.3f}" for mean in means)))
    return reports.Table(
        f"phases at {deployment.instances} instances and"
        f" {deployment.engines} engines of {deployment.name}, mean of"
        f" {len(seeds)} seeds",
        ("way", *columns),
        tuple(rows),
    )


def _kind_names() -> tuple[str, ...]:
    """Returns the names of the kinds of requests."""
    return tuple(kind.name for kind in engine_simulation.KINDS)


def _simulate_policies(
    size: Size, load: Load, seconds: float, seeds: Sequence[int]
) -> list[tuple[str, list[list[engine_simulation.Request]]]]:
    """Returns each policy's requests by seed, and an upper bound of them."""
    policies = (
        ("cardamomfork", place_by_cost, size.instances, size.view_delay_s),
        ("all-seeing", place_by_cost, 1, 0.0),
        ("least load", place_by_least_load, size.instances, size.view_delay_s),
        (
            "shared queue",
            place_from_shared_queue,
            size.instances,
            size.view_delay_s,
        ),
        ("round robin", None, size.instances, size.view_delay_s),
    )
    outcomes_by_policy = []
    for name, place, instances, view_delay_s in policies:
        runs = []
        for seed in seeds:
            simulation = engine_simulation.Simulation(
                ENGINE_COST_MODEL,
                size.engines,
                place or make_round_robin(),
                seed,
                instances=instances,
                view_delay_s=view_delay_s,
            )
            if load.has_stalls:
                add_stalls(simulation, size.engines, seconds)
            factors = {
                kind: size.load * factor
                for kind, factor in load.factors.items()
            }
            runs.append(simulation.run(seconds, factors))
        outcomes_by_policy.append((name, runs))
    outcomes_by_policy.append(
        (
            "bound",
            [_bound_outcomes(one, size) for one in outcomes_by_policy[0][1]],
        )
    )
    return outcomes_by_policy


def add_stalls(
    simulation: engine_simulation.Simulation, engines: int, seconds: float
) -> None:
    """Stalls a fraction of the engines each second, in turns."""
    count = max(round(engines * STALLED_ENGINES_FRACTION), 1)
    for second in range(int(seconds) - 1):
        first_engine = second * count
        names = [f"t{(first_engine + one) % engines}" for one in range(count)]
        simulation.stall(second + 0.5, names, STALL_DURATION_S)


def _bound_outcomes(
    requests: list[engine_simulation.Request], size: Size
) -> list[engine_simulation.Request]:
    """Returns the requests with outcomes that no placement can improve on.

    Each request is timed with the best number of parts on an idle fleet. If the
    engines' total time is not enough for all, the requests with the most worth
    per engine time are served. Both assumptions favor the bound.
    """
    engine_time_left_s = size.engines * (
        max(one.sent_at for one in requests) + engine_simulation.TIME_LIMIT_S
    )
    bound = []
    for request in sorted(
        requests,
        key=lambda one: (
            engine_timing.prefill_s(ENGINE_COST_MODEL, one.tokens)
            / max(one.worth, 1e-9)
        ),
    ):
        work_s = engine_timing.prefill_s(ENGINE_COST_MODEL, request.tokens)
        min_first_event_s = min(
            engine_timing.prefill_s(ENGINE_COST_MODEL, request.tokens, parts)
            for parts in placement.PART_COUNTS
        ) + engine_timing.event_interval_s(ENGINE_COST_MODEL, [request.tokens])
        fits = work_s <= engine_time_left_s
        if fits:
            engine_time_left_s -= work_s
        bound.append(
            attrs.evolve(
                request,
                first_event_at=request.sent_at + min_first_event_s
                if fits
                else math.inf,
                longest_gap_s=engine_timing.event_interval_s(
                    ENGINE_COST_MODEL, [request.tokens]
                ),
                is_complete=fits,
            )
        )
    return bound


def _row_cells(runs: list[list[engine_simulation.Request]]) -> tuple[str, ...]:
    """Returns the cells of a row: mean, spread, and mean by kind."""
    totals = [engine_simulation.worth_on_time(one) for one in runs]
    kinds = [
        statistics.fmean(
            engine_simulation.worth_on_time(one, name) for one in runs
        )
        for name in _kind_names()
    ]
    spread = max(totals) - min(totals)
    return (
        f"{statistics.fmean(totals):.3f}",
        f"{spread:.3f}",
        *(f"{share:.3f}" for share in kinds),
    )
