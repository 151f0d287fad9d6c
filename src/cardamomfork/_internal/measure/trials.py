"""Runs a trace through one dispatcher and a score of engine models.

One entry instance, its dispatcher and its engines under virtual time: links
take their time, load reports and cache events come late, and some cache
events are lost.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.standins import engine_model

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import dispatching
    from cardamomfork._internal.measure import workloads
    from cardamomfork._internal.models import targets

REPORT_PERIOD_S = 1.0
REPORT_LAG_S = 0.5
CACHE_PERIOD_S = 2.0
CACHE_LAG_S = 1.0
CACHE_LOSS = 0.05
KV_TRANSFER_TOKENS_PER_S = 500_000.0
SETTLE_S = 900.0


@attrs.define
class Served:
    """What became of one request.

    Attributes:
        arrival: The request.
        first_token_at: When its first token came, or None.
        done_at: When its last token came, or None.
        target_id: The engine that answered.
        refused: Reason for a refusal or expiry, or "".
        starts: Times it was assigned.
    """

    arrival: workloads.Arrival
    first_token_at: float | None = None
    done_at: float | None = None
    target_id: str = ""
    refused: str = ""
    starts: int = 0

    @property
    def ttft(self) -> float | None:
        """Time to first token, in seconds."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.request.arrived_at

    @property
    def is_good(self) -> bool:
        """Whether it was answered whole, on time and once."""
        return (
            self.done_at is not None
            and self.done_at <= self.arrival.request.deadline
            and self.starts == 1
        )


@attrs.define
class _Flight:
    """An assigned request under way."""

    served: Served
    assignment: dispatching.Assignment
    part: int = 0

    @property
    def engines(self) -> list[identifiers.TargetId]:
        """Engines in the order of their parts."""
        hops = [hop.target_id for hop in self.assignment.hops]
        return [*hops, self.assignment.target_id]


class Trial:
    """One run."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        deployment: workloads.Deployment,
        parameters: engine_model.EngineParameters,
        trace: Sequence[workloads.Arrival],
        seed: int,
    ) -> None:
        """Prepares a run; the dispatcher knows the service already."""
        self.dispatcher = dispatcher
        self._link_s = deployment.link_s
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._wakeup: float | None = None
        self.served = {a.request.request_id: Served(a) for a in trace}
        self._flights: dict[identifiers.RequestId, _Flight] = {}
        self._trace = trace
        self._next_arrival = 0
        self.engines = {
            identifiers.TargetId(f"engine-{n}"): engine_model.EngineModel(
                parameters, identifiers.BootId("boot")
            )
            for n in range(deployment.engines)
        }
        self._due: dict[identifiers.TargetId, float | None] = {}
        self._end = trace[-1].request.arrived_at

    @property
    def end(self) -> float:
        """When the last request arrives."""
        return self._end

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def set_speed(
        self, target_id: identifiers.TargetId, speed: float, now: float
    ) -> None:
        """Changes an engine's speed."""
        self._advance(target_id, now)
        self.engines[target_id].set_speed(speed)
        self._plan_engine(target_id)

    def run(self) -> list[Served]:
        """Runs the trace to its end and returns what became of each."""
        self._plan_reports()
        self._plan_arrival()
        last = self._end + SETTLE_S
        while self._events and self._events[0][0] <= last:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return list(self.served.values())

    def _plan_arrival(self) -> None:
        """Plans the next request of the trace."""
        if self._next_arrival < len(self._trace):
            arrival = self._trace[self._next_arrival]
            self._next_arrival += 1
            self.at(arrival.request.arrived_at, self._arrive)

    def _arrive(self, now: float) -> None:
        """Submits the request that is due."""
        request = self._trace[self._next_arrival - 1].request
        self._plan_arrival()
        outcome = self.dispatcher.submit(request, now)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            self.served[request.request_id].refused = refusal.reason.value
        self._poll(now)

    def _poll(self, now: float) -> None:
        """Asks the dispatcher what starts and when to ask again."""
        started, expired = self.dispatcher.poll(now)
        for assignment in started:
            self._start(assignment, now)
        for expiry in expired:
            self.served[expiry.request_id].refused = expiry.refusal.reason.value
        wakeup = self.dispatcher.next_wakeup(now)
        if wakeup is None:
            return
        if self._wakeup is None or wakeup < self._wakeup - 1e-6:
            self._wakeup = max(wakeup, now + 1e-4)
            self.at(self._wakeup, self._wake)

    def _wake(self, now: float) -> None:
        """Polls because the dispatcher asked for it."""
        if self._wakeup is not None and now >= self._wakeup:
            self._wakeup = None
            self._poll(now)

    def _start(self, assignment: dispatching.Assignment, now: float) -> None:
        """Sends a request on its way."""
        served = self.served[assignment.request_id]
        served.starts += 1
        served.target_id = assignment.target_id
        flight = _Flight(served, assignment)
        self._flights[assignment.request_id] = flight
        self.at(now + self._link_s, lambda t: self._send_part(flight, t))
        deadline = served.arrival.request.deadline
        self.at(deadline, lambda t: self._give_up(flight, t))

    def _send_part(self, flight: _Flight, now: float) -> None:
        """Hands the current part of a request to its engine."""
        arrival = flight.served.arrival
        request = arrival.request
        if request.request_id not in self._flights:
            return
        hops = flight.assignment.hops
        start = hops[flight.part - 1].prompt_tokens if flight.part else 0
        is_last = flight.part == len(hops)
        job = engine_model.Job(
            request_id=request.request_id,
            start=start,
            end=request.prompt_tokens
            if is_last
            else hops[flight.part].prompt_tokens,
            output_tokens=arrival.generate if is_last else 0,
            urgency=request.urgency,
            hashes=request.prefix_hashes if not hops else (),
        )
        target_id = flight.engines[flight.part]
        self._advance(target_id, now)
        self.engines[target_id].submit(job, now)
        self._plan_engine(target_id)

    def _give_up(self, flight: _Flight, now: float) -> None:
        """Cancels a request whose time is over."""
        request_id = flight.assignment.request_id
        if self._flights.pop(request_id, None) is None:
            return
        for target_id in flight.engines[: flight.part + 1]:
            self._advance(target_id, now)
            self.engines[target_id].release(request_id)
            self._plan_engine(target_id)
        self.dispatcher.finished(request_id, now, 0)
        self._poll(now)

    def _plan_engine(self, target_id: identifiers.TargetId) -> None:
        """Plans the engine's next event."""
        due = self.engines[target_id].next_event()
        if due is not None and due != self._due.get(target_id):
            self._due[target_id] = due
            self.at(due, lambda t: self._engine_due(target_id, t))

    def _engine_due(self, target_id: identifiers.TargetId, now: float) -> None:
        """Moves an engine to its planned event unless that has changed."""
        if self._due.get(target_id) == now:
            self._due[target_id] = None
            self._advance(target_id, now)
            self._plan_engine(target_id)

    def _advance(self, target_id: identifiers.TargetId, now: float) -> None:
        """Moves an engine on and passes on what happened."""
        for event in self.engines[target_id].advance(now):
            flight = self._flights.get(event.request_id)
            if flight is None:
                continue
            if event.kind is engine_model.EventKind.DONE:
                self.at(
                    event.at + self._link_s,
                    functools.partial(self._done, flight),
                )
            elif flight.part < len(flight.assignment.hops):
                self._pass_on(flight, event.at)
            else:
                self.at(
                    event.at + self._link_s,
                    functools.partial(self._first_token, flight),
                )

    def _pass_on(self, flight: _Flight, now: float) -> None:
        """Moves a request to its next engine, with its KV cache."""
        tokens = flight.assignment.hops[flight.part].prompt_tokens
        flight.part += 1
        delay = 2 * self._link_s + tokens / KV_TRANSFER_TOKENS_PER_S
        self.at(now + delay, lambda t: self._send_part(flight, t))

    def _first_token(self, flight: _Flight, now: float) -> None:
        """The caller has the first token."""
        if flight.assignment.request_id in self._flights:
            flight.served.first_token_at = now
            self.dispatcher.first_token(flight.assignment.request_id, now)
            self._poll(now)

    def _done(self, flight: _Flight, now: float) -> None:
        """The caller has the last token."""
        request_id = flight.assignment.request_id
        if self._flights.pop(request_id, None) is None:
            return
        flight.served.done_at = now
        for target_id in flight.engines[:-1]:
            self._advance(target_id, now)
            self.engines[target_id].release(request_id)
            self._plan_engine(target_id)
        self.dispatcher.finished(
            request_id, now, flight.served.arrival.generate
        )
        self._poll(now)

    def _plan_reports(self) -> None:
        """Plans the first load report and cache event of each engine."""
        for target_id in self.engines:
            start = self._rng.random()
            self.at(
                start * REPORT_PERIOD_S,
                functools.partial(self._report, target_id),
            )
            self.at(
                start * CACHE_PERIOD_S,
                functools.partial(self._tell_cache, target_id),
            )

    def _report(self, target_id: identifiers.TargetId, now: float) -> None:
        """Sends an engine's load report, which arrives late."""
        self._advance(target_id, now)
        self._plan_engine(target_id)
        report = self.engines[target_id].load_report(target_id, now)
        self.at(
            now + REPORT_LAG_S,
            lambda t: self.dispatcher.observe_load(report, t),
        )
        if now < self._end:
            self.at(now + REPORT_PERIOD_S, lambda t: self._report(target_id, t))

    def _tell_cache(self, target_id: identifiers.TargetId, now: float) -> None:
        """Sends an engine's cache event, which arrives late or never."""
        event = self.engines[target_id].pop_cache_event(target_id)
        if event is not None and self._rng.random() >= CACHE_LOSS:
            self.at(now + CACHE_LAG_S, lambda t: self._hear_cache(event, t))
        if now < self._end:
            self.at(
                now + CACHE_PERIOD_S, lambda t: self._tell_cache(target_id, t)
            )

    def _hear_cache(self, event: targets.CacheEvent, now: float) -> None:
        """Gives a cache event to the dispatcher, which may ask for all."""
        if self.dispatcher.observe_cache(event):
            return
        target_id = event.target_id
        snapshot = self.engines[target_id].cache_snapshot(target_id)
        self.at(now + CACHE_LAG_S, lambda t: self._hear_cache(snapshot, t))
