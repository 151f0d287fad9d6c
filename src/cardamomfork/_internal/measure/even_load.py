"""Compares ways to place requests by load information that is out of date.

The loads are those of two deployments: phases of short and of long prompts
that follow each other within a second. Each instance knows its own jobs, and
those of others from digests. All ways are measured on the same arrivals.
"""

from __future__ import annotations

import random
import statistics
import typing
from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.choice import placement_costs
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.measure import engine_simulation
from cardamomfork._internal.measure import instance_views
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomfork._internal.gateway.choice import demands

    Result: typing.TypeAlias = placement.Placement | placement.NoCapacity
    Policy: typing.TypeAlias = Callable[
        [engine_simulation.Fleet, demands.Demand, float], Result
    ]

DATA_CENTRES = ("a", "b", "c")
PHASE_S = 3.0
SHORT_PHASE = {"short": 2.4, "medium": 1.0, "long": 0.3}
LONG_PHASE = {"short": 0.4, "medium": 1.0, "long": 2.7}
PHASES = (SHORT_PHASE, LONG_PHASE, SHORT_PHASE, LONG_PHASE)
WORST_SECONDS_FRACTION = 0.25
DRAWN_TARGETS = 12
SUBSET_FRACTION = 0.5
LARGE_SEED_COUNT = 2
ASK_S = 0.015
"""Time to ask the instance that owns an engine for one of its slots."""
MEAN_AGE_S = 0.0135
"""Mean time until peers know of a placement."""

COST_MODEL = fleet.EngineCostModel(
    slots=6,
    memory_tokens=382_500,
    step_s=0.000925,
    sequence_step_s=8.5e-6,
    context_token_step_s=2.85e-9,
    prefill_rate_tokens_per_s=256_000,
    attention_pair_s=0.184e-9,
    chunk_tokens=2048,
    steps_per_event=51,
    typical_prompt_tokens=11_000,
    typical_output_tokens=1600,
    remote_memory_step_s=5e-5,
)
"""Engines with much memory. What the deployment doesn't state is taken from the
data sheets of earlier users' engines."""
LARGE_MEMORY_KINDS = (
    engine_simulation.Kind("short", 5000, 0.9, 33, 0.321, 0.2, 1.4, 44.9),
    engine_simulation.Kind("medium", 45_000, 0.5, 20, 1.53, 0.5, 2.6, 4.13),
    engine_simulation.Kind(
        "long", 300_000, 0.1, 16, 4.06, 0.8, 30.0, 1.22, 360_000
    ),
)
SMALL_MEMORY_KINDS = (
    engine_simulation.Kind("short", 5000, 0.9, 33, 0.271, 0.25, 1.8, 28.1),
    engine_simulation.Kind("medium", 45_000, 0.5, 20, 1.53, 0.6, 2.4, 3.32),
    engine_simulation.Kind(
        "long", 190_000, 0.55, 16, 6.06, 1.0, 7.3, 1.18, 600_000
    ),
)


@attrs.frozen
class Deployment:
    """A fleet and its load.

    Attributes:
        name: Its name.
        instances: Number of instances.
        engines: Number of engines.
        cost_model: Timing of the engines.
        kinds: The kinds of requests, with the rates of the whole deployment.
        load: Factor of these rates.
        seeds: Number of seeds to run.
    """

    name: str
    instances: int
    engines: int
    cost_model: fleet.EngineCostModel
    kinds: tuple[engine_simulation.Kind, ...]
    load: float = 1.0
    seeds: int = 4


LARGE_MEMORY = Deployment(
    "large memory", 69, 60, COST_MODEL, LARGE_MEMORY_KINDS
)
SMALL_MEMORY = Deployment(
    "small memory",
    78,
    45,
    attrs.evolve(
        COST_MODEL,
        memory_tokens=197_200,
        step_s=0.00102,
        prefill_rate_tokens_per_s=206_000,
    ),
    SMALL_MEMORY_KINDS,
)
DEPLOYMENTS = (
    LARGE_MEMORY,
    SMALL_MEMORY,
    attrs.evolve(
        LARGE_MEMORY,
        name="large memory",
        instances=30,
        engines=26,
        load=26 / 60,
    ),
    attrs.evolve(
        LARGE_MEMORY,
        name="large memory",
        instances=195,
        engines=170,
        load=170 / 60,
        seeds=LARGE_SEED_COUNT,
    ),
)
GATHERING = instance_views.DigestTiming()
"""Digests that gather the news of all jobs for the same time."""
SPLIT_AT_ONCE = instance_views.DigestTiming(
    split_urgent_s=0.0, split_relaxed_s=GATHERING.urgent_s
)
"""Digests that don't gather the placements of prompts that several engines
read."""
FRESH = instance_views.DigestTiming(0.0, 0.0, 0.5, 1e-4, 2e-4)


@attrs.frozen
class Way:
    """A way to place requests.

    Attributes:
        name: Its name.
        policy: Places a request.
        digests: Timing of the digests.
        ask_s: Time to ask an owner before each placement.
        has_correction: Whether predictions are corrected by answers.
    """

    name: str
    policy: Policy
    digests: instance_views.DigestTiming = GATHERING
    ask_s: float = 0.0
    has_correction: bool = False


def place_by_cost(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> Result:
    """Places a request as the gateway does."""
    return simulated_fleet.placer.choose(demand, now)


def place_among_drawn(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> Result:
    """Compares some engines that are drawn at random."""
    ids = [one.record.target_id for one, _ in simulated_fleet.loads(now)]
    kept = simulated_fleet.rng.sample(ids, min(DRAWN_TARGETS, len(ids)))
    return _place_among(simulated_fleet, demand, now, ids, kept)


def place_in_subset(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> Result:
    """Compares the engines of the instance's own subset."""
    return _place_in_subset(simulated_fleet, demand, now, "")


def place_in_rotating_subset(
    simulated_fleet: engine_simulation.Fleet, demand: demands.Demand, now: float
) -> Result:
    """Compares the engines of a subset that changes each second."""
    return _place_in_subset(simulated_fleet, demand, now, f"{int(now)}")


def _place_in_subset(
    simulated_fleet: engine_simulation.Fleet,
    demand: demands.Demand,
    now: float,
    salt: str,
) -> Result:
    """Compares the engines with the highest hashes for an instance."""
    ids = [one.record.target_id for one, _ in simulated_fleet.loads(now)]
    prefix = f"{simulated_fleet.instance}/{salt}/"
    ranked = sorted(
        ids, key=lambda one: xxhash.xxh3_64_intdigest((prefix + one).encode())
    )
    kept = ranked[: max(int(len(ids) * SUBSET_FRACTION), 1)]
    return _place_among(simulated_fleet, demand, now, ids, kept)


def _place_among(
    simulated_fleet: engine_simulation.Fleet,
    demand: demands.Demand,
    now: float,
    ids: Sequence[str],
    kept: Iterable[str],
) -> Result:
    """Places a request on one of some engines, or on any if none is good."""
    chosen = simulated_fleet.placer.choose(
        attrs.evolve(demand, excluded=demand.excluded | (set(ids) - set(kept))),
        now,
    )
    if (
        isinstance(chosen, placement.Placement)
        and chosen.first_token_s
        <= placement_costs.SAFE_OBJECTIVE_FRACTION * demand.objective_left_s
        and chosen.cost <= placement.GOOD_COST_FRACTION * demand.value
    ):
        return chosen
    return simulated_fleet.placer.choose(demand, now)


def make_unseen_arrivals(rate_per_s: float, seed: int) -> Policy:
    """Returns a policy that assumes short prompts of other instances.

    Args:
        rate_per_s: Mean rate of short prompts of the whole fleet.
        seed: Seed of the engines on which they are assumed.
    """
    rng = random.Random(seed)
    unseen = rate_per_s * MEAN_AGE_S

    def place(
        simulated_fleet: engine_simulation.Fleet,
        demand: demands.Demand,
        now: float,
    ) -> Result:
        loads = simulated_fleet.loads(now)
        assumed = []
        for target, _ in loads:
            if rng.random() < unseen / len(loads):
                target_id = target.record.target_id
                job = load_view.Job(
                    f"assumed-{target_id}",
                    target_id,
                    (),
                    5000,
                    1600,
                    0.2,
                    1.0,
                    now
                    + engine_timing.prefill_s(simulated_fleet.cost_model, 5000),
                    late_at=now + 0.3,
                )
                simulated_fleet.load.start(job)
                assumed.append(job.job_id)
        chosen = simulated_fleet.placer.choose(demand, now)
        for job_id in assumed:
            simulated_fleet.load.end(job_id)
        return chosen

    return place


def list_ways(deployment: Deployment, seed: int) -> tuple[Way, ...]:
    """Returns the ways that are compared, today's placement first."""
    rate = deployment.load * sum(
        kind.usual_rate_per_s
        for kind in deployment.kinds
        if kind.name == "short"
    )
    return (
        Way("gateway, gathered news", place_by_cost),
        Way(f"{DRAWN_TARGETS} drawn", place_among_drawn),
        Way("unseen arrivals", make_unseen_arrivals(rate, seed)),
        Way("subset", place_in_subset),
        Way("rotating subset", place_in_rotating_subset),
        Way("owner's slots", place_by_cost, FRESH, ask_s=ASK_S),
        Way("corrected", place_by_cost, has_correction=True),
        Way("news of splits at once", place_by_cost, SPLIT_AT_ONCE),
        Way("fresh news (bound)", place_by_cost, FRESH),
    )


def simulate(
    deployment: Deployment,
    way: Way,
    seed: int,
    phases: Iterable[Mapping[str, float]] = PHASES,
) -> engine_simulation.Simulation:
    """Simulates the phases of a deployment; returns the ended simulation."""
    simulation = engine_simulation.Simulation(
        deployment.cost_model,
        deployment.engines,
        way.policy,
        seed,
        instances=deployment.instances,
        digests=way.digests,
        kinds=deployment.kinds,
        data_centres=DATA_CENTRES,
        ask_s=way.ask_s,
        has_correction=way.has_correction,
    )
    simulation.run_phases(
        (
            PHASE_S,
            {kind: deployment.load * one for kind, one in factors.items()},
        )
        for factors in phases
    )
    return simulation


def figures(simulation: engine_simulation.Simulation) -> dict[str, float]:
    """Returns the figures of an ended simulation, by name."""
    requests = simulation.requests
    by_second: dict[int, list[engine_simulation.Request]] = {}
    for request in requests:
        by_second.setdefault(int(request.sent_at), []).append(request)
    seconds = sorted(
        engine_simulation.worth_on_time(one) for one in by_second.values()
    )
    worst_count = max(int(len(seconds) * WORST_SECONDS_FRACTION), 1)
    shorts = [one for one in requests if one.kind.name == "short"]
    ratios = sorted(simulation.load_ratios)
    return {
        "worth on time": engine_simulation.worth_on_time(requests),
        "worst seconds": statistics.fmean(seconds[:worst_count]),
        "long": engine_simulation.worth_on_time(requests, "long"),
        "late short": statistics.fmean(not one.is_on_time for one in shorts),
        "highest/mean": statistics.fmean(ratios),
        "p99": ratios[int(len(ratios) * 0.99)],
        "refusals": float(simulation.refusals),
    }
