"""Routing compared with round robin, least load and one shared queue.

For both deployments at three loads, the report shows the time to first token
by prompt length, the slowdown of short requests relative to the same trace
without long ones, and the goodput as a fraction of an upper bound. Batch
requests count in the goodput but not in the times, because they may wait.

The upper bound is the solution of a fractional knapsack by worth per second of
engine time. Its items are the requests that an idle fleet could finish before
their deadlines if it reused every reusable block. Its capacity is the engine
time of the fleet from the first arrival to the last deadline.
"""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import dispatch_simulation
from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.routing import baselines
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import dispatching

LOADS = (0.5, 0.8, 0.95)
REQUEST_COUNT = 8000
SMALLEST_REQUEST_COUNT = 400
WARM_UP_FRACTION = 0.1
MAX_SLOWDOWN = 1.10
SLOWDOWN_LOAD = 0.8
MIN_GOODPUT = 0.98
MAX_FIRST_TOKEN_S = 0.48
PROMPT_BANDS = (
    ("1k", 0, 2_000),
    ("4k", 2_000, 8_000),
    ("16k", 8_000, 32_000),
    ("64k", 32_000, 128_000),
    ("256k", 128_000, 512_000),
    ("1M", 512_000, 2_000_000),
)
FLEET = "fleet"


@attrs.frozen
class Run:
    """Outcomes of one dispatcher on one trace, without the warm-up."""

    outcomes: tuple[dispatch_simulation.RequestOutcome, ...]

    def first_tokens(self, low: int, high: int) -> list[float]:
        """Returns sorted times to first token by range of prompt tokens."""
        return sorted(
            outcome.ttft
            for outcome in self.outcomes
            if outcome.ttft is not None
            and not outcome.arrival.is_batch
            and low <= outcome.arrival.request.prompt_tokens < high
        )

    def worth_on_time(self) -> float:
        """Returns the total worth of the requests that ended on time."""
        return sum(
            outcome.arrival.request.worth
            for outcome in self.outcomes
            if outcome.is_on_time
        )


def make_dispatchers(
    seed: int, deployment: workloads.Deployment
) -> dict[str, Callable[[], dispatching.Dispatcher]]:
    """Returns factories of the compared dispatchers, by name."""
    return {
        "round robin": baselines.RoundRobinDispatcher,
        "least load": baselines.LeastLoadDispatcher,
        "shared queue": baselines.SharedQueueDispatcher,
        FLEET: lambda: dispatcher_module.FleetDispatcher(
            random.Random(seed), short_weight=deployment.short_weight
        ),
    }


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns a percentile of sorted values, or NaN if there are none."""
    if not values:
        return float("nan")
    return values[min(int(fraction * len(values)), len(values) - 1)]


def run_trace(
    make_dispatcher: Callable[[], dispatching.Dispatcher],
    deployment: workloads.Deployment,
    trace: Sequence[workloads.Arrival],
    seed: int,
) -> Run:
    """Runs a trace through a new dispatcher."""
    parameters = engine_model.EngineParameters()
    dispatcher = make_dispatcher()
    dispatcher.apply_service(workloads.make_service(deployment, parameters))
    simulation = dispatch_simulation.DispatchSimulation(
        dispatcher, deployment, parameters, trace, seed
    )
    outcomes = simulation.run()
    return Run(tuple(outcomes[int(len(outcomes) * WARM_UP_FRACTION) :]))


def max_worth_on_time(
    outcomes: Sequence[dispatch_simulation.RequestOutcome],
    deployment: workloads.Deployment,
) -> float:
    """Returns an upper bound of the worth that a schedule can serve."""
    parameters = engine_model.EngineParameters()
    items = []
    for outcome in outcomes:
        request = outcome.arrival.request
        prefill_s = _min_prefill_s(outcome.arrival, parameters)
        answer_s = parameters.step_s * (outcome.arrival.output_tokens - 1)
        ends_at = request.arrived_at + prefill_s + answer_s
        if ends_at + 2 * deployment.link_s <= request.deadline:
            items.append((request.worth / prefill_s, prefill_s, request.worth))
    first_arrival_at = outcomes[0].arrival.request.arrived_at
    last_deadline = max(
        outcome.arrival.request.deadline for outcome in outcomes
    )
    engine_time_left_s = (last_deadline - first_arrival_at) * deployment.engines
    worth = 0.0
    for _, prefill_s, item_worth in sorted(items, reverse=True):
        used_s = min(prefill_s, engine_time_left_s)
        engine_time_left_s -= used_s
        worth += item_worth * used_s / prefill_s
    return worth


def measure(options: reports.Options) -> reports.Report:
    """Measures both deployments at each load."""
    parts: list[reports.Table | reports.Slope | str] = [_describe_engines()]
    for deployment in (workloads.PALETTENHILFE, workloads.CADEAUPOT):
        loads = (SLOWDOWN_LOAD,) if options.smallest else LOADS
        for load in loads:
            parts.extend(_measure_load(options, deployment, load))
        if options.smallest:
            break
    return reports.Report("routing", tuple(parts))


def _measure_load(
    options: reports.Options, deployment: workloads.Deployment, load: float
) -> list[reports.Table | str]:
    """Measures one deployment at one load."""
    count = SMALLEST_REQUEST_COUNT if options.smallest else REQUEST_COUNT
    parameters = engine_model.EngineParameters()
    trace = workloads.make_trace(
        deployment, parameters, load, count, options.seed
    )
    trace_without_long = [arrival for arrival in trace if not arrival.is_long]
    runs = {}
    runs_without_long = {}
    for name, make_dispatcher in make_dispatchers(
        options.seed, deployment
    ).items():
        runs[name] = run_trace(make_dispatcher, deployment, trace, options.seed)
        if name == FLEET or load == SLOWDOWN_LOAD:
            runs_without_long[name] = run_trace(
                make_dispatcher, deployment, trace_without_long, options.seed
            )
    title = f"{deployment.name}, load {load:.0%}"
    bound = max_worth_on_time(runs[FLEET].outcomes, deployment)
    return [
        _first_token_table(title, runs),
        _ratio_table(title, runs),
        _summary_table(title, runs, runs_without_long, bound),
        _verdict(title, load, runs[FLEET], runs_without_long[FLEET], bound),
    ]


def _first_token_table(title: str, runs: dict[str, Run]) -> reports.Table:
    """Returns percentiles of time to first token by prompt length."""
    rows = []
    for name, run in runs.items():
        cells = [name]
        for _, low, high in PROMPT_BANDS:
            values = run.first_tokens(low, high)
            percentiles = (percentile(values, p) for p in (0.5, 0.95, 0.99))
            cells.append("/".join(f"{value:.3g}" for value in percentiles))
        rows.append(tuple(cells))
    counts = [
        len(runs[FLEET].first_tokens(low, h)) for _, low, h in PROMPT_BANDS
    ]
    rows.append(("requests", *map(str, counts)))
    return reports.Table(
        f"{title}: time to first token p50/p95/p99 (s) by prompt tokens",
        ("", *(name for name, _, _ in PROMPT_BANDS)),
        tuple(rows),
    )


def _ratio_table(title: str, runs: dict[str, Run]) -> reports.Table:
    """Returns the baselines' p95 relative to the fleet dispatcher's."""
    rows = []
    for name, run in runs.items():
        if name == FLEET:
            continue
        cells = [name]
        for _, low, high in PROMPT_BANDS:
            fleet_p95 = percentile(runs[FLEET].first_tokens(low, high), 0.95)
            baseline_p95 = percentile(run.first_tokens(low, high), 0.95)
            cells.append(f"{baseline_p95 / fleet_p95:.2f}")
        rows.append(tuple(cells))
    return reports.Table(
        f"{title}: p95 of the baselines over the fleet dispatcher's",
        ("", *(name for name, _, _ in PROMPT_BANDS)),
        tuple(rows),
    )


def _summary_table(
    title: str,
    runs: dict[str, Run],
    runs_without_long: dict[str, Run],
    bound: float,
) -> reports.Table:
    """Returns the slowdown of short requests and the goodput."""
    rows = []
    for name, run in runs.items():
        short = run.first_tokens(0, workloads.SHORT_PROMPT_TOKENS)
        slowdown: tuple[str, ...] = ("-", "-", "-", "-")
        if name in runs_without_long:
            slowdown = _slowdown_cells(run, runs_without_long[name])
        rows.append(
            (
                name,
                f"{percentile(short, 0.95):.3f}",
                *slowdown,
                f"{run.worth_on_time() / bound:.4f}",
            )
        )
    return reports.Table(
        f"{title}: short requests with long ones over without, and goodput",
        (
            "",
            "p95 (s)",
            "p50 ratio",
            "p95 ratio",
            "own ratio p95",
            "whole answer p95",
            "goodput",
        ),
        tuple(rows),
    )


def _slowdown_cells(run: Run, run_without_long: Run) -> tuple[str, ...]:
    """Returns the slowdown of short requests beside long ones.

    The first two cells are ratios of percentiles of all requests, the last two
    are percentiles of the ratios of single requests.
    """
    short = workloads.SHORT_PROMPT_TOKENS
    with_long = run.first_tokens(0, short)
    baseline_first_tokens = run_without_long.first_tokens(0, short)
    cells = [
        percentile(with_long, fraction)
        / percentile(baseline_first_tokens, fraction)
        for fraction in (0.5, 0.95)
    ]
    baseline_outcomes = {
        outcome.arrival.request.request_id: outcome
        for outcome in run_without_long.outcomes
    }
    first_token_ratios: list[float] = []
    whole_answer_ratios: list[float] = []
    for outcome in _short_requests(run.outcomes):
        baseline = baseline_outcomes.get(outcome.arrival.request.request_id)
        if baseline is None or not baseline.ttft or not outcome.ttft:
            continue
        first_token_ratios.append(outcome.ttft / baseline.ttft)
        if outcome.done_at and baseline.done_at:
            start = outcome.arrival.request.arrived_at
            whole_answer_ratios.append(
                (outcome.done_at - start) / (baseline.done_at - start)
            )
    cells.append(percentile(sorted(first_token_ratios), 0.95))
    cells.append(percentile(sorted(whole_answer_ratios), 0.95))
    return tuple(f"{cell:.3f}" for cell in cells)


def _short_requests(
    outcomes: Iterable[dispatch_simulation.RequestOutcome],
) -> Iterable[dispatch_simulation.RequestOutcome]:
    """Returns the short requests that are not batch requests."""
    return (
        outcome
        for outcome in outcomes
        if outcome.arrival.is_short and not outcome.arrival.is_batch
    )


def _verdict(
    title: str, load: float, run: Run, run_without_long: Run, bound: float
) -> str:
    """Compares the fleet dispatcher's figures with the targets."""
    short = run.first_tokens(0, workloads.SHORT_PROMPT_TOKENS)
    p95 = percentile(short, 0.95)
    ratio = p95 / percentile(
        run_without_long.first_tokens(0, workloads.SHORT_PROMPT_TOKENS), 0.95
    )
    goodput = run.worth_on_time() / bound
    batch_starts = [
        outcome.start_count
        for outcome in run.outcomes
        if outcome.arrival.is_batch
    ]
    batch_on_time = statistics.fmean(
        outcome.is_on_time
        for outcome in run.outcomes
        if outcome.arrival.is_batch
    )
    lines = [
        f"{title}, targets:",
        f"  first token p95 under 16k {p95:.3f} s, at most"
        f" {MAX_FIRST_TOKEN_S}: {_verdict_word(p95 <= MAX_FIRST_TOKEN_S)}",
        f"  goodput {goodput:.4f} of the bound, at least {MIN_GOODPUT}:"
        f" {_verdict_word(goodput >= MIN_GOODPUT)}",
        f"  batch requests ended in time: {batch_on_time:.2%} of"
        f" {len(batch_starts)}",
    ]
    if load == SLOWDOWN_LOAD:
        lines.append(
            f"  slowdown of short requests p95 {ratio:.3f}, at most"
            f" {MAX_SLOWDOWN}: {_verdict_word(ratio <= MAX_SLOWDOWN)}"
        )
    return "\n".join(lines)


def _verdict_word(is_met: bool) -> str:
    """Returns the word that reports whether a target is met."""
    return "met" if is_met else "NOT met"


def _min_prefill_s(
    arrival: workloads.Arrival, parameters: engine_model.EngineParameters
) -> float:
    """Returns the prefill time with full reuse and an empty batch."""
    tokens = arrival.request.prompt_tokens - arrival.reusable_tokens
    return tokens * (
        parameters.step_s / parameters.chunk_tokens
        + 1.0 / parameters.prefill_tokens_per_s
    )


def _describe_engines() -> str:
    """Returns a text with the engines' parameters."""
    values = attrs.asdict(engine_model.EngineParameters())
    lines = [f"  {name}: {value:g}" for name, value in values.items()]
    return "\n".join(["engines:", *lines])
