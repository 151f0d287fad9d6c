"""Processor time of a routing decision, by the engines in view.

A decision is a request submitted and polled for while a share of the engines
is busy; what follows (first token and end) is counted apart.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import dispatching

SIZES = (20, 80, 320, 1000, 3500)
BOUND_US = 100.0
DECISIONS = 4000
WARM_UP = 1000
REQUESTS_PER_ENGINE_S = 2.5
BUSY_SHARE = 0.8


class _Driver:
    """Keeps a share of the engines busy and times the decisions."""

    def __init__(self, engines: int, seed: int) -> None:
        """Prepares a dispatcher with so many engines."""
        parameters = engine_model.EngineParameters()
        deployment = workloads.Deployment(
            "cost",
            workloads.PALETTENHILFE.service,
            engines,
            0.0005,
            1.0,
            workloads.SHARES,
            1.0,
        )
        count = WARM_UP + DECISIONS
        self._trace = workloads.make_trace(
            deployment, parameters, BUSY_SHARE, count, seed
        )
        self._dispatcher = dispatcher_module.FleetDispatcher(
            random.Random(seed)
        )
        self._dispatcher.apply_service(
            workloads.make_service(deployment, parameters)
        )
        self._busy = int(engines * BUSY_SHARE)
        self._prefilling: list[dispatching.Assignment] = []
        self._answering: list[dispatching.Assignment] = []
        self.decision_ns = 0
        self.after_ns = 0

    def run(self) -> tuple[float, float]:
        """Returns microseconds a decision and for what follows it."""
        for number, arrival in enumerate(self._trace):
            if number == WARM_UP:
                self.decision_ns = self.after_ns = 0
            self._decide(arrival)
            self._end_some(arrival.request.arrived_at)
        per_us = 1000.0 * DECISIONS
        return self.decision_ns / per_us, self.after_ns / per_us

    def _decide(self, arrival: workloads.Arrival) -> None:
        """Times one decision."""
        now = arrival.request.arrived_at
        start = time.process_time_ns()
        self._dispatcher.submit(arrival.request, now)
        started, _ = self._dispatcher.poll(now)
        self.decision_ns += time.process_time_ns() - start
        self._prefilling.extend(started)

    def _end_some(self, now: float) -> None:
        """Ends the oldest prefills and answers beyond the busy share."""
        start = time.process_time_ns()
        while len(self._prefilling) > self._busy:
            assignment = self._prefilling.pop(0)
            self._dispatcher.first_token(assignment.request_id, now)
            self._answering.append(assignment)
        while len(self._answering) > 4 * self._busy:
            assignment = self._answering.pop(0)
            self._dispatcher.finished(assignment.request_id, now, 100)
        started, _ = self._dispatcher.poll(now)
        self.after_ns += time.process_time_ns() - start
        self._prefilling.extend(started)


def measure(options: reports.Options) -> reports.Report:
    """Measures the decision at each size."""
    sizes = SIZES[:1] if options.smallest else SIZES
    decisions = []
    rows = []
    for engines in sizes:
        decision_us, after_us = _Driver(engines, options.seed).run()
        decisions.append((float(engines), decision_us))
        rows.append((str(engines), f"{decision_us:.1f}", f"{after_us:.1f}"))
    table = reports.Table(
        "processor time a request, in us",
        ("engines", "decision", "first token, end and poll"),
        tuple(rows),
    )
    slope = reports.Slope(
        "decision (us)", "engines", tuple(decisions), BOUND_US, 3500.0
    )
    at_320 = dict(decisions).get(320.0)
    verdict = "bound at 320 engines not measured at this size"
    if at_320 is not None:
        word = "met" if at_320 <= BOUND_US else "not met"
        verdict = f"bound of {BOUND_US:g} us at 320 engines: {word}"
    return reports.Report("routing_cost", (table, slope, verdict))
