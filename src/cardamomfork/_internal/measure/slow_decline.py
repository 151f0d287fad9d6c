"""Slow decline: one engine in ten loses 2% of its speed per minute.

The report shows for each minute the weights of the declining engines, the
fraction of requests that they receive, and the time to first token of short
requests. The same trace also runs on a fleet dispatcher that does not adjust
weights and on a least-load dispatcher.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import dispatch_simulation
from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import routing
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.routing import baselines
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import dispatching

LOAD = 0.7
DECLINING_ENGINES = (4, 15)
SPEED_LOSS_PER_MINUTE = 0.02
DECLINE_STARTS_AT_S = 120.0
TICK_S = 10.0
MINUTE_S = 60.0
REQUEST_COUNT = 36_000
SMALLEST_REQUEST_COUNT = 1_500
DETECTED_WEIGHT = 0.95


@attrs.define
class _MinuteSample:
    """State at the end of one minute.

    Attributes:
        speed: Speed of the declining engines over their initial speed.
        weight: Mean weight of the declining engines.
        lowest_healthy_weight: Lowest weight of the other engines.
    """

    speed: float
    weight: float
    lowest_healthy_weight: float


class _SpeedDecline:
    """Slows engines down in a simulation and records the weights.

    Attributes:
        minutes: Samples of the weights, one for each minute.
        detected_at: Time from which the mean weight of the declining engines
            has stayed below `DETECTED_WEIGHT`, or None.
    """

    def __init__(
        self,
        simulation: dispatch_simulation.DispatchSimulation,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        """Schedules the first change of speed."""
        self._simulation = simulation
        self._dispatcher = dispatcher
        self._targets = [
            identifiers.TargetId(f"engine-{number}")
            for number in DECLINING_ENGINES
        ]
        self.minutes: list[_MinuteSample] = []
        self.detected_at: float | None = None
        simulation.schedule(TICK_S, self._tick)

    def _tick(self, now: float) -> None:
        """Sets the speed and samples the weights."""
        minutes = max(now - DECLINE_STARTS_AT_S, 0.0) / MINUTE_S
        speed = (1.0 - SPEED_LOSS_PER_MINUTE) ** minutes
        for target_id in self._targets:
            self._simulation.set_speed(target_id, speed, now)
        weights = self._weights()
        declining = [weights.get(t, 1.0) for t in self._targets]
        mean = sum(declining) / len(declining)
        if mean >= DETECTED_WEIGHT:
            self.detected_at = None
        elif self.detected_at is None:
            self.detected_at = now
        if now % MINUTE_S < TICK_S:
            healthy_weights = [
                w for t, w in weights.items() if t not in self._targets
            ]
            lowest = min(healthy_weights, default=1.0)
            self.minutes.append(_MinuteSample(speed, mean, lowest))
        if now < self._simulation.last_arrival_at:
            self._simulation.schedule(now + TICK_S, self._tick)

    def _weights(self) -> dict[identifiers.TargetId, float]:
        """Returns the weights of the engines; empty for other dispatchers."""
        if not isinstance(self._dispatcher, dispatcher_module.FleetDispatcher):
            return {}
        return {
            view.target_id: view.health.weight
            for view in self._dispatcher.fleet.all_views
        }


def measure(options: reports.Options) -> reports.Report:
    """Simulates the trace with each dispatcher."""
    deployment = workloads.PALETTENHILFE
    parameters = engine_model.EngineParameters()
    count = SMALLEST_REQUEST_COUNT if options.smallest else REQUEST_COUNT
    trace = workloads.make_trace(
        deployment, parameters, LOAD, count, options.seed
    )
    fleet = dispatcher_module.FleetDispatcher(
        random.Random(options.seed), short_weight=deployment.short_weight
    )
    without_weights = dispatcher_module.FleetDispatcher(
        random.Random(options.seed),
        short_weight=deployment.short_weight,
        adjusts_weights=False,
    )
    runs: dict[
        str, tuple[_SpeedDecline, list[dispatch_simulation.RequestOutcome]]
    ] = {}
    dispatchers: dict[str, dispatching.Dispatcher] = {
        "fleet": fleet,
        "fleet, no weights": without_weights,
        "least load": baselines.LeastLoadDispatcher(),
    }
    for name, dispatcher in dispatchers.items():
        dispatcher.apply_service(workloads.make_service(deployment, parameters))
        simulation = dispatch_simulation.DispatchSimulation(
            dispatcher, deployment, parameters, trace, options.seed
        )
        decline = _SpeedDecline(simulation, dispatcher)
        runs[name] = (decline, simulation.run())
    return reports.Report(
        "slow_decline",
        (_minute_table(runs), _describe_detection(runs["fleet"][0])),
    )


def _minute_table(
    runs: dict[
        str, tuple[_SpeedDecline, list[dispatch_simulation.RequestOutcome]]
    ],
) -> reports.Table:
    """Returns a table with one row for each minute."""
    rows = []
    decline = runs["fleet"][0]
    for number, minute in enumerate(decline.minutes):
        row = [
            str(number + 1),
            f"{minute.speed:.3f}",
            f"{minute.weight:.2f}",
            f"{minute.lowest_healthy_weight:.2f}",
        ]
        for _, outcomes in runs.values():
            minute_outcomes = _arrived_in_minute(outcomes, number)
            row.append(f"{_declining_fraction(minute_outcomes):.3f}")
            short = routing.Run(tuple(minute_outcomes)).first_tokens(
                0, workloads.SHORT_PROMPT_TOKENS
            )
            row.append(f"{routing.percentile(short, 0.95):.3f}")
        rows.append(tuple(row))
    columns = ["minute", "speed", "weight", "others >="]
    for name in runs:
        columns += [f"{name}: share", "p95 (s)"]
    return reports.Table(
        f"Palettenhilfe, load {LOAD:.0%}: {len(DECLINING_ENGINES)} of"
        f" {workloads.PALETTENHILFE.engines} engines decline after"
        f" {DECLINE_STARTS_AT_S / MINUTE_S:g} minutes; share of the requests"
        " that they get, p95 of time to first token under 16k tokens",
        tuple(columns),
        tuple(rows),
    )


def _arrived_in_minute(
    outcomes: list[dispatch_simulation.RequestOutcome], number: int
) -> list[dispatch_simulation.RequestOutcome]:
    """Returns the requests that arrived in a minute."""
    start = number * MINUTE_S
    return [
        outcome
        for outcome in outcomes
        if start <= outcome.arrival.request.arrived_at < start + MINUTE_S
    ]


def _declining_fraction(
    outcomes: list[dispatch_simulation.RequestOutcome],
) -> float:
    """Returns the fraction of requests that declining engines received."""
    names = {f"engine-{number}" for number in DECLINING_ENGINES}
    declining_count = sum(outcome.target_id in names for outcome in outcomes)
    return declining_count / max(len(outcomes), 1)


def _describe_detection(decline: _SpeedDecline) -> str:
    """Describes when the declining engines' weight fell."""
    if decline.detected_at is None:
        return "the declining engines' weight did not move"
    after_s = decline.detected_at - DECLINE_STARTS_AT_S
    speed = (1.0 - SPEED_LOSS_PER_MINUTE) ** (after_s / MINUTE_S)
    return (
        f"the declining engines' weight fell below {DETECTED_WEIGHT:g} for good"
        f" {after_s:.0f} s after the start of the decline, at {speed:.1%} of"
        " their speed"
    )
