"""Slow decline: one engine in ten loses 2% of its speed a minute.

Shows by the minute how the declining engines' weights and shares of the work
move, and what the time to first token of short requests does, beside the same
trace on a dispatcher that sees no decline and on least load.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import routing
from cardamomfork._internal.measure import trials
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.routing import baselines
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import dispatching

LOAD = 0.7
DECLINING = (4, 15)
LOSS_PER_MINUTE = 0.02
HEALTHY_S = 120.0
TICK_S = 10.0
MINUTE_S = 60.0
REQUESTS = 36_000
SMALLEST_REQUESTS = 1_500
NOTICED_WEIGHT = 0.95


@attrs.define
class _Minute:
    """What one minute showed.

    Attributes:
        speed: Speed of the declining engines at its end.
        weight: Mean weight of the declining engines at its end.
        others: Least weight among the others at its end.
    """

    speed: float
    weight: float
    others: float


class _Decline:
    """Slows engines down in a trial and notes the weights."""

    def __init__(
        self, trial: trials.Trial, dispatcher: dispatching.Dispatcher
    ) -> None:
        """Plans the first change."""
        self._trial = trial
        self._dispatcher = dispatcher
        self._targets = [
            identifiers.TargetId(f"engine-{number}") for number in DECLINING
        ]
        self.minutes: list[_Minute] = []
        self.noticed_at: float | None = None
        trial.at(TICK_S, self._tick)

    def _tick(self, now: float) -> None:
        """Sets the speed and looks at the weights."""
        minutes = max(now - HEALTHY_S, 0.0) / MINUTE_S
        speed = (1.0 - LOSS_PER_MINUTE) ** minutes
        for target_id in self._targets:
            self._trial.set_speed(target_id, speed, now)
        weights = self._weights()
        declining = [weights.get(t, 1.0) for t in self._targets]
        mean = sum(declining) / len(declining)
        if mean >= NOTICED_WEIGHT:
            self.noticed_at = None
        elif self.noticed_at is None:
            self.noticed_at = now
        if now % MINUTE_S < TICK_S:
            others = [w for t, w in weights.items() if t not in self._targets]
            lowest = min(others, default=1.0)
            self.minutes.append(_Minute(speed, mean, lowest))
        if now < self._trial.end:
            self._trial.at(now + TICK_S, self._tick)

    def _weights(self) -> dict[identifiers.TargetId, float]:
        """Returns the weights of the engines, by target."""
        if not isinstance(self._dispatcher, dispatcher_module.FleetDispatcher):
            return {}
        return {
            view.target_id: view.health.weight
            for view in self._dispatcher.fleet.all_views
        }


def measure(options: reports.Options) -> reports.Report:
    """Runs the trace three times."""
    deployment = workloads.PALETTENHILFE
    parameters = engine_model.EngineParameters()
    count = SMALLEST_REQUESTS if options.smallest else REQUESTS
    trace = workloads.make_trace(
        deployment, parameters, LOAD, count, options.seed
    )
    fleet = dispatcher_module.FleetDispatcher(
        random.Random(options.seed), short_weight=deployment.short_weight
    )
    blind = dispatcher_module.FleetDispatcher(
        random.Random(options.seed),
        short_weight=deployment.short_weight,
        adjusts_weights=False,
    )
    runs: dict[str, tuple[_Decline, list[trials.Served]]] = {}
    ways: dict[str, dispatching.Dispatcher] = {
        "fleet": fleet,
        "fleet, no weights": blind,
        "least load": baselines.LeastLoadDispatcher(),
    }
    for name, dispatcher in ways.items():
        dispatcher.apply_service(workloads.make_service(deployment, parameters))
        trial = trials.Trial(
            dispatcher, deployment, parameters, trace, options.seed
        )
        decline = _Decline(trial, dispatcher)
        runs[name] = (decline, trial.run())
    return reports.Report(
        "slow_decline", (_minute_table(runs), _noticed(runs["fleet"][0]))
    )


def _minute_table(
    runs: dict[str, tuple[_Decline, list[trials.Served]]],
) -> reports.Table:
    """Returns one row a minute."""
    rows = []
    decline = runs["fleet"][0]
    for number, minute in enumerate(decline.minutes):
        row = [
            str(number + 1),
            f"{minute.speed:.3f}",
            f"{minute.weight:.2f}",
            f"{minute.others:.2f}",
        ]
        for _, served in runs.values():
            part = _of_minute(served, number)
            row.append(f"{_declining_share(part):.3f}")
            short = routing.Run(tuple(part)).first_tokens(
                0, workloads.SHORT_PROMPT
            )
            row.append(f"{routing.percentile(short, 0.95):.3f}")
        rows.append(tuple(row))
    columns = ["minute", "speed", "weight", "others >="]
    for name in runs:
        columns += [f"{name}: share", "p95 (s)"]
    return reports.Table(
        f"Palettenhilfe, load {LOAD:.0%}: {len(DECLINING)} of"
        f" {workloads.PALETTENHILFE.engines} engines decline after"
        f" {HEALTHY_S / MINUTE_S:g} minutes; share of the requests that they"
        " get, p95 of time to first token under 16k tokens",
        tuple(columns),
        tuple(rows),
    )


def _of_minute(served: list[trials.Served], number: int) -> list[trials.Served]:
    """Returns the requests that arrived in a minute."""
    start = number * MINUTE_S
    return [
        one
        for one in served
        if start <= one.arrival.request.arrived_at < start + MINUTE_S
    ]


def _declining_share(served: list[trials.Served]) -> float:
    """Returns the declining engines' share of the requests."""
    names = {f"engine-{number}" for number in DECLINING}
    theirs = sum(one.target_id in names for one in served)
    return theirs / max(len(served), 1)


def _noticed(decline: _Decline) -> str:
    """Says when the weight first moved."""
    if decline.noticed_at is None:
        return "the declining engines' weight did not move"
    after_s = decline.noticed_at - HEALTHY_S
    speed = (1.0 - LOSS_PER_MINUTE) ** (after_s / MINUTE_S)
    return (
        f"the declining engines' weight fell below {NOTICED_WEIGHT:g} for good"
        f" {after_s:.0f} s after the start of the decline, at {speed:.1%} of"
        " their speed"
    )
