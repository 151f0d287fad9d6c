"""Worth served on time under heavy loads, by policy, size and kind.

The loads are bursts of the users' kinds of requests, with and without engines
that stand still. A key or an account with much of the traffic changes nothing
in them: prompts share nothing, and an account's limit acts before this.
"""

from __future__ import annotations

import itertools
import math
import statistics
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway import engine_timing
from cardamomfork._internal.gateway import placement
from cardamomfork._internal.measure import engine_play
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomfork._internal.gateway import demands
    from cardamomfork._internal.gateway import target_table

LAW = fleet.EngineCostModel(
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
"""The engines' timing as the users' sheets give it."""
FULL_RETRY_S = 0.1
SECONDS = 12.0
SMALLEST_SECONDS = 2.0
SEEDS = 3
STALL_S = 1.5
"""Time for which an engine stands still when another one that it works with
is gone, as the users' sheets give it."""
STALLED_SHARE = 0.1
VIEW_S = 0.03
"""Age at which instances see each other's placements on the grown sites."""


@attrs.frozen
class Size:
    """A fleet.

    Attributes:
        instances: Instances that place requests.
        engines: Engines.
        load: Load over the usual one of `engine_play.USUAL_ENGINES` engines.
        view_s: Time after which instances see each other's placements.
    """

    instances: int
    engines: int
    load: float
    view_s: float


SIZES = (
    Size(6, 16, 16 / 23, 0.01),
    Size(9, 23, 1.0, 0.01),
    Size(30, 40, 40 / 23, VIEW_S),
    Size(86, 78, 2.7, VIEW_S),
)
"""The users' deployments and two between them; the last has its own load."""


@attrs.frozen
class Load:
    """A heavy load.

    Attributes:
        name: Its name.
        factors: Rates over the usual ones, by kind.
        stalls: Whether engines stand still by turns.
    """

    name: str
    factors: Mapping[str, float]
    stalls: bool = False


USUAL = {"short": 1.0, "medium": 1.0, "long": 1.0}
LOADS = (
    Load("usual", USUAL),
    Load("short burst", {"short": 2.5, "medium": 0.5, "long": 0.05}),
    Load("long burst", {"short": 0.35, "medium": 1.3, "long": 2.8}),
    Load("both", {"short": 2.0, "medium": 1.3, "long": 2.0}),
    Load("usual, stalls", USUAL, stalls=True),
)


def place_by_cost(
    fleet_view: engine_play.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """The product's choice."""
    return fleet_view.placer.choose(demand, now)


def place_by_least_load(
    fleet_view: engine_play.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """The engine with the fewest requests, whole."""
    loads = fleet_view.loads(now)
    fewest = min(load.running for _, load in loads)
    if fewest >= _law_of(demand).slots:
        return placement.NoCapacity("full", FULL_RETRY_S)
    chosen = fleet_view.source.choice(
        [target for target, load in loads if load.running == fewest]
    )
    return _place_whole(chosen, demand)


def place_from_shared_queue(
    fleet_view: engine_play.Fleet, demand: demands.Demand, now: float
) -> placement.Placement | placement.NoCapacity:
    """An engine that reads nothing; otherwise the request waits."""
    idle = [
        (load.running, target)
        for target, load in fleet_view.loads(now)
        if not load.readers and load.running < _law_of(demand).slots
    ]
    if not idle:
        return placement.NoCapacity("all read", FULL_RETRY_S)
    _, chosen = min(idle, key=lambda pair: pair[0])
    return _place_whole(chosen, demand)


def make_round_robin() -> Callable[
    [engine_play.Fleet, demands.Demand, float], placement.Placement
]:
    """Returns a policy that takes the engines in turn, whole."""
    numbers = itertools.count()

    def place(
        fleet_view: engine_play.Fleet, demand: demands.Demand, now: float
    ) -> placement.Placement:
        targets = fleet_view.table.list_service(engine_play.SERVICE, now)
        chosen = targets[next(numbers) % len(targets)]
        return _place_whole(chosen, demand)

    return place


def _place_whole(
    target: target_table.Target, demand: demands.Demand
) -> placement.Placement:
    """Returns a place that reads the whole prompt."""
    reading = engine_timing.prefill_s(_law_of(demand), demand.prompt_tokens)
    return placement.Placement(target, (), reading, reading, 0.0)


def _law_of(demand: demands.Demand) -> fleet.EngineCostModel:
    """Returns the timing of the engines that a request goes to."""
    cost_model = demand.service.cost_model
    if cost_model is None:
        raise TypeError("the service has no engines")
    return cost_model


def measure(options: reports.Options) -> reports.Report:
    """Measures each size and load."""
    sizes = SIZES[:1] if options.smallest else SIZES
    loads = LOADS[:2] if options.smallest else LOADS
    seconds = SMALLEST_SECONDS if options.smallest else SECONDS
    seeds = range(
        options.seed, options.seed + (1 if options.smallest else SEEDS)
    )
    tables = []
    for size in sizes:
        rows = []
        for load in loads:
            for name, served in _play_all(size, load, seconds, seeds):
                rows.append((load.name, name, *_cells(served)))
        tables.append(
            reports.Table(
                f"worth on time at {size.instances} instances and"
                f" {size.engines} engines, mean and spread of {len(seeds)}"
                " seeds",
                ("load", "by", "all", "spread", *_kind_names()),
                tuple(rows),
            )
        )
    return reports.Report("placing", tuple(tables))


def _kind_names() -> tuple[str, ...]:
    """Returns the names of the kinds of requests."""
    return tuple(kind.name for kind in engine_play.KINDS)


def _play_all(
    size: Size, load: Load, seconds: float, seeds: Sequence[int]
) -> list[tuple[str, list[list[engine_play.Request]]]]:
    """Returns the requests of each policy and seed, and what bounds them."""
    policies = (
        ("cardamomfork", place_by_cost, size.instances, size.view_s),
        ("all-seeing", place_by_cost, 1, 0.0),
        ("least load", place_by_least_load, size.instances, size.view_s),
        ("shared queue", place_from_shared_queue, size.instances, size.view_s),
        ("round robin", None, size.instances, size.view_s),
    )
    found = []
    for name, place, instances, view_s in policies:
        played = []
        for seed in seeds:
            play = engine_play.Play(
                LAW,
                size.engines,
                place or make_round_robin(),
                seed,
                instances=instances,
                view_s=view_s,
            )
            if load.stalls:
                add_stalls(play, size.engines, seconds)
            factors = {
                kind: size.load * factor
                for kind, factor in load.factors.items()
            }
            played.append(play.run(seconds, factors))
        found.append((name, played))
    found.append(("bound", [_bound(one, size) for one in found[0][1]]))
    return found


def add_stalls(play: engine_play.Play, engines: int, seconds: float) -> None:
    """Lets a share of the engines stand still, others each second."""
    count = max(round(engines * STALLED_SHARE), 1)
    for second in range(int(seconds) - 1):
        first = second * count
        names = [f"t{(first + one) % engines}" for one in range(count)]
        play.stall(second + 0.5, names, STALL_S)


def _bound(
    requests: list[engine_play.Request], size: Size
) -> list[engine_play.Request]:
    """Returns the requests as no placement could serve them better.

    Each has the fleet to itself, and is on time if the best number of parts
    makes it so. Where the engines' time is too short for all, those that are
    worth most for their time are served. Both ease what is really asked.
    """
    time_left = size.engines * (
        max(one.sent_at for one in requests) + engine_play.TIME_LIMIT_S
    )
    bound = []
    for request in sorted(
        requests,
        key=lambda one: (
            engine_timing.prefill_s(LAW, one.tokens) / max(one.worth, 1e-9)
        ),
    ):
        work = engine_timing.prefill_s(LAW, request.tokens)
        soonest = min(
            engine_timing.prefill_s(LAW, request.tokens, parts)
            for parts in placement.PART_COUNTS
        ) + engine_timing.event_interval_s(LAW, [request.tokens])
        fits = work <= time_left
        if fits:
            time_left -= work
        bound.append(
            attrs.evolve(
                request,
                first_at=request.sent_at + soonest if fits else math.inf,
                longest_gap_s=engine_timing.event_interval_s(
                    LAW, [request.tokens]
                ),
                is_whole=fits,
            )
        )
    return bound


def _cells(played: list[list[engine_play.Request]]) -> tuple[str, ...]:
    """Returns the figures of a row."""
    totals = [engine_play.worth_on_time(one) for one in played]
    kinds = [
        statistics.fmean(engine_play.worth_on_time(one, name) for one in played)
        for name in _kind_names()
    ]
    spread = max(totals) - min(totals)
    return (
        f"{statistics.fmean(totals):.3f}",
        f"{spread:.3f}",
        *(f"{share:.3f}" for share in kinds),
    )
