"""Processor time of a routing decision by the number of engines.

A decision is the submission of one request and the poll after it, at 80% load.
The events that follow (first token, end of the answer, and the polls after
them) are timed separately.
"""

from __future__ import annotations

import functools
import gc
import heapq
import itertools
import random
import time
from typing import TYPE_CHECKING

from cardamomfork._internal.measure import reports
from cardamomfork._internal.measure import workloads
from cardamomfork._internal.routing import dispatcher as dispatcher_module
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.models import identifiers

ENGINE_COUNTS = (20, 80, 320, 1000, 3500)
BOUND_US = 100.0
DECISION_COUNT = 4000
WARM_UP_COUNT = 1000
LOAD = 0.8
ANSWER_S = 5.0


class _Driver:
    """Times a dispatcher's decisions.

    Each request takes exactly the time to first token that was predicted.
    """

    def __init__(self, engines: int, seed: int) -> None:
        """Initializes the dispatcher and the trace.

        Args:
            engines: Number of engines.
            seed: Seed of the trace and the dispatcher.
        """
        parameters = engine_model.EngineParameters()
        deployment = workloads.Deployment(
            "cost",
            workloads.PALETTENHILFE.service,
            engines,
            0.0005,
            1.0,
            workloads.ACCOUNT_FRACTIONS,
            1.0,
        )
        count = WARM_UP_COUNT + DECISION_COUNT
        self._trace = workloads.make_trace(
            deployment, parameters, LOAD, count, seed
        )
        self._dispatcher = dispatcher_module.FleetDispatcher(
            random.Random(seed)
        )
        self._dispatcher.apply_service(
            workloads.make_service(deployment, parameters)
        )
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()
        self.decision_ns = 0
        self.follow_up_ns = 0

    def run(self) -> tuple[float, float]:
        """Returns the microseconds of a decision and of its follow-ups."""
        for number, arrival in enumerate(self._trace):
            if number == WARM_UP_COUNT:
                self.decision_ns = self.follow_up_ns = 0
            self._run_events(arrival.request.arrived_at)
            self._decide(arrival)
        divisor = 1000.0 * DECISION_COUNT
        return self.decision_ns / divisor, self.follow_up_ns / divisor

    def _decide(self, arrival: workloads.Arrival) -> None:
        """Times one decision."""
        now = arrival.request.arrived_at
        start = time.process_time_ns()
        self._dispatcher.submit(arrival.request, now)
        started, _ = self._dispatcher.poll(now)
        self.decision_ns += time.process_time_ns() - start
        self._schedule_follow_ups(started, now)

    def _run_events(self, until: float) -> None:
        """Runs and times the events that are due, and the polls after them."""
        while self._events and self._events[0][0] <= until:
            now, _, event = heapq.heappop(self._events)
            start = time.process_time_ns()
            event(now)
            started, _ = self._dispatcher.poll(now)
            self.follow_up_ns += time.process_time_ns() - start
            self._schedule_follow_ups(started, now)

    def _schedule_follow_ups(
        self, started: Sequence[dispatching.Assignment], now: float
    ) -> None:
        """Schedules first token and end of each started request."""
        for assignment in started:
            request_id = assignment.request_id
            first_at = now + assignment.expected_first_token_s
            self._schedule(
                first_at,
                functools.partial(self._dispatcher.first_token, request_id),
            )
            self._schedule(
                first_at + ANSWER_S,
                functools.partial(self._finish, request_id),
            )

    def _finish(self, request_id: identifiers.RequestId, now: float) -> None:
        """Reports the end of a request to the dispatcher."""
        self._dispatcher.finished(request_id, now, workloads.MEAN_OUTPUT_TOKENS)

    def _schedule(self, when: float, event: Callable[[float], None]) -> None:
        """Schedules an event in virtual time."""
        heapq.heappush(self._events, (when, next(self._event_numbers), event))


def measure(options: reports.Options) -> reports.Report:
    """Measures a decision at each number of engines."""
    sizes = ENGINE_COUNTS[:1] if options.smallest else ENGINE_COUNTS
    decisions = []
    rows = []
    for engines in sizes:
        driver = _Driver(engines, options.seed)
        gc.collect()
        gc.freeze()  # Keeps the trace out of the timed collections.
        decision_us, follow_up_us = driver.run()
        gc.unfreeze()
        decisions.append((float(engines), decision_us))
        steps = decision_us * 1000.0 / reports.reference_loop_ns()
        rows.append(
            (
                str(engines),
                f"{decision_us:.1f}",
                f"{follow_up_us:.1f}",
                f"{steps:.0f}",
            )
        )
    table = reports.Table(
        "processor time a request, in us",
        (
            "engines",
            "decision",
            "first token, end and poll",
            "decision in steps of the reference loop",
        ),
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
