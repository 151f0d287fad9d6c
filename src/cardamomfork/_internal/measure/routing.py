"""Routing against round robin, least load and one shared queue, in one run.

Prints time to first token by prompt length, the slowdown of short requests
against the same trace without long ones, and goodput as a share of an
omniscient bound, for both deployments at three loads. Batch work may wait and
is left out of the times; it counts in the goodput.

The bound: no schedule serves more worth than that of the requests which an
idle fleet that knows every reusable block could end in time, nor more engine
time than the fleet has from the first arrival to the last deadline (taken as
a fractional knapsack by worth a second).
"""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import trials
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
REQUESTS = 8000
SMALLEST_REQUESTS = 400
WARM_UP_SHARE = 0.1
MAX_SLOWDOWN = 1.10
SLOWDOWN_LOAD = 0.8
MIN_GOODPUT = 0.98
MAX_FIRST_TOKEN_S = 0.48
BANDS = (
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
    """One dispatcher's run of one trace, the warm-up left out."""

    served: tuple[trials.Served, ...]

    def first_tokens(self, low: int, high: int) -> list[float]:
        """Returns sorted times to first token of a range of lengths."""
        return sorted(
            one.ttft
            for one in self.served
            if one.ttft is not None
            and not one.arrival.is_batch
            and low <= one.arrival.request.prompt_tokens < high
        )

    def good_worth(self) -> float:
        """Returns the worth that was served whole, on time and once."""
        return sum(
            one.arrival.request.worth for one in self.served if one.is_good
        )


def make_dispatchers(
    seed: int, deployment: workloads.Deployment
) -> dict[str, Callable[[], dispatching.Dispatcher]]:
    """Returns the ways to route, by name."""
    return {
        "round robin": baselines.RoundRobinDispatcher,
        "least load": baselines.LeastLoadDispatcher,
        "shared queue": baselines.SharedQueueDispatcher,
        FLEET: lambda: dispatcher_module.FleetDispatcher(
            random.Random(seed), short_weight=deployment.short_weight
        ),
    }


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of sorted values; NaN of none."""
    if not values:
        return float("nan")
    return values[min(int(share * len(values)), len(values) - 1)]


def run_trace(
    make: Callable[[], dispatching.Dispatcher],
    deployment: workloads.Deployment,
    trace: Sequence[workloads.Arrival],
    seed: int,
) -> Run:
    """Runs a trace through a new dispatcher."""
    parameters = engine_model.EngineParameters()
    dispatcher = make()
    dispatcher.apply_service(workloads.make_service(deployment, parameters))
    trial = trials.Trial(dispatcher, deployment, parameters, trace, seed)
    served = trial.run()
    return Run(tuple(served[int(len(served) * WARM_UP_SHARE) :]))


def omniscient_worth(
    served: Sequence[trials.Served], deployment: workloads.Deployment
) -> float:
    """Returns the worth that no schedule can exceed."""
    parameters = engine_model.EngineParameters()
    items = []
    for one in served:
        request = one.arrival.request
        prefill_s = _least_prefill_s(one.arrival, parameters)
        answer_s = parameters.step_s * (one.arrival.generate - 1)
        ends = request.arrived_at + prefill_s + answer_s
        if ends + 2 * deployment.link_s <= request.deadline:
            items.append((request.worth / prefill_s, prefill_s, request.worth))
    first = served[0].arrival.request.arrived_at
    last = max(one.arrival.request.deadline for one in served)
    left_s = (last - first) * deployment.engines
    worth = 0.0
    for _, prefill_s, value in sorted(items, reverse=True):
        taken = min(prefill_s, left_s)
        left_s -= taken
        worth += value * taken / prefill_s
    return worth


def measure(options: reports.Options) -> reports.Report:
    """Measures both deployments."""
    parts: list[reports.Table | reports.Slope | str] = [_describe()]
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
    count = SMALLEST_REQUESTS if options.smallest else REQUESTS
    parameters = engine_model.EngineParameters()
    trace = workloads.make_trace(
        deployment, parameters, load, count, options.seed
    )
    without = [arrival for arrival in trace if not arrival.is_long]
    runs = {}
    alone = {}
    for name, make in make_dispatchers(options.seed, deployment).items():
        runs[name] = run_trace(make, deployment, trace, options.seed)
        if name == FLEET or load == SLOWDOWN_LOAD:
            alone[name] = run_trace(make, deployment, without, options.seed)
    title = f"{deployment.name}, load {load:.0%}"
    bound = omniscient_worth(runs[FLEET].served, deployment)
    return [
        _first_token_table(title, runs),
        _ratio_table(title, runs),
        _summary_table(title, runs, alone, bound),
        _verdict(title, load, runs[FLEET], alone[FLEET], bound),
    ]


def _first_token_table(title: str, runs: dict[str, Run]) -> reports.Table:
    """Returns times to first token by prompt length."""
    rows = []
    for name, run in runs.items():
        cells = [name]
        for _, low, high in BANDS:
            values = run.first_tokens(low, high)
            marks = (percentile(values, p) for p in (0.5, 0.95, 0.99))
            cells.append("/".join(f"{mark:.3g}" for mark in marks))
        rows.append(tuple(cells))
    counts = [len(runs[FLEET].first_tokens(low, h)) for _, low, h in BANDS]
    rows.append(("requests", *map(str, counts)))
    return reports.Table(
        f"{title}: time to first token p50/p95/p99 (s) by prompt tokens",
        ("", *(name for name, _, _ in BANDS)),
        tuple(rows),
    )


def _ratio_table(title: str, runs: dict[str, Run]) -> reports.Table:
    """Returns how many times longer the baselines' p95 is."""
    rows = []
    for name, run in runs.items():
        if name == FLEET:
            continue
        cells = [name]
        for _, low, high in BANDS:
            own = percentile(runs[FLEET].first_tokens(low, high), 0.95)
            other = percentile(run.first_tokens(low, high), 0.95)
            cells.append(f"{other / own:.2f}")
        rows.append(tuple(cells))
    return reports.Table(
        f"{title}: p95 of the baselines over the fleet dispatcher's",
        ("", *(name for name, _, _ in BANDS)),
        tuple(rows),
    )


def _summary_table(
    title: str, runs: dict[str, Run], alone: dict[str, Run], bound: float
) -> reports.Table:
    """Returns slowdown of short requests and goodput."""
    rows = []
    for name, run in runs.items():
        short = run.first_tokens(0, workloads.SHORT_PROMPT)
        slow: tuple[str, ...] = ("-", "-", "-", "-")
        if name in alone:
            slow = _slowdown_cells(run, alone[name])
        rows.append(
            (
                name,
                f"{percentile(short, 0.95):.3f}",
                *slow,
                f"{run.good_worth() / bound:.4f}",
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


def _slowdown_cells(run: Run, alone: Run) -> tuple[str, ...]:
    """Returns ratios of percentiles, and percentiles of each one's ratio."""
    short = workloads.SHORT_PROMPT
    with_long = run.first_tokens(0, short)
    without = alone.first_tokens(0, short)
    cells = [
        percentile(with_long, share) / percentile(without, share)
        for share in (0.5, 0.95)
    ]
    before = {one.arrival.request.request_id: one for one in alone.served}
    first: list[float] = []
    whole: list[float] = []
    for one in _short_ones(run.served):
        other = before.get(one.arrival.request.request_id)
        if other is None or not other.ttft or not one.ttft:
            continue
        first.append(one.ttft / other.ttft)
        if one.done_at and other.done_at:
            start = one.arrival.request.arrived_at
            whole.append((one.done_at - start) / (other.done_at - start))
    cells.append(percentile(sorted(first), 0.95))
    cells.append(percentile(sorted(whole), 0.95))
    return tuple(f"{cell:.3f}" for cell in cells)


def _short_ones(
    served: Iterable[trials.Served],
) -> Iterable[trials.Served]:
    """Returns the short requests that may not wait."""
    return (
        one
        for one in served
        if one.arrival.is_short and not one.arrival.is_batch
    )


def _verdict(
    title: str, load: float, run: Run, alone: Run, bound: float
) -> str:
    """Compares the fleet dispatcher with the targets."""
    short = run.first_tokens(0, workloads.SHORT_PROMPT)
    p95 = percentile(short, 0.95)
    ratio = p95 / percentile(
        alone.first_tokens(0, workloads.SHORT_PROMPT), 0.95
    )
    goodput = run.good_worth() / bound
    waits = [one.starts for one in run.served if one.arrival.is_batch]
    batch = statistics.fmean(
        one.is_good for one in run.served if one.arrival.is_batch
    )
    lines = [
        f"{title}, targets:",
        f"  first token p95 under 16k {p95:.3f} s, at most"
        f" {MAX_FIRST_TOKEN_S}: {_word(p95 <= MAX_FIRST_TOKEN_S)}",
        f"  goodput {goodput:.4f} of the bound, at least {MIN_GOODPUT}:"
        f" {_word(goodput >= MIN_GOODPUT)}",
        f"  batch requests ended in time: {batch:.2%} of {len(waits)}",
    ]
    if load == SLOWDOWN_LOAD:
        lines.append(
            f"  slowdown of short requests p95 {ratio:.3f}, at most"
            f" {MAX_SLOWDOWN}: {_word(ratio <= MAX_SLOWDOWN)}"
        )
    return "\n".join(lines)


def _word(is_met: bool) -> str:
    """Returns whether a target is met, in words."""
    return "met" if is_met else "NOT met"


def _least_prefill_s(
    arrival: workloads.Arrival, parameters: engine_model.EngineParameters
) -> float:
    """Returns a prompt's prefill time with all reuse and an empty batch."""
    tokens = arrival.request.prompt_tokens - arrival.reusable_tokens
    return tokens * (
        parameters.step_s / parameters.chunk_tokens
        + 1.0 / parameters.prefill_tokens_per_s
    )


def _describe() -> str:
    """Returns the engines' parameters."""
    values = attrs.asdict(engine_model.EngineParameters())
    lines = [f"  {name}: {value:g}" for name, value in values.items()]
    return "\n".join(["engines:", *lines])
