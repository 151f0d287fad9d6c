"""Simulates a dispatcher and its engines on a trace, in virtual time.

The simulation has one entry instance with its dispatcher and one engine model
for each engine of the deployment. Links have latency, load reports and cache
events arrive late, and a fraction of the cache events is lost.
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
REPORT_DELAY_S = 0.5
CACHE_EVENT_PERIOD_S = 2.0
CACHE_EVENT_DELAY_S = 1.0
CACHE_EVENT_LOSS_RATIO = 0.05
KV_TRANSFER_TOKENS_PER_S = 500_000.0
DRAIN_S = 900.0
"""Simulated time after the last arrival; the longest request timeout."""


@attrs.define
class RequestOutcome:
    """Outcome of one request.

    Attributes:
        arrival: The request.
        first_token_at: When its first token reached the caller, or None.
        done_at: When its last token reached the caller, or None.
        target_id: The engine that generates the answer, or "".
        refused: Reason why it was refused or expired, or "".
        start_count: How many times the dispatcher assigned it.
    """

    arrival: workloads.Arrival
    first_token_at: float | None = None
    done_at: float | None = None
    target_id: str = ""
    refused: str = ""
    start_count: int = 0

    @property
    def ttft(self) -> float | None:
        """Time to first token, in seconds."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.request.arrived_at

    @property
    def is_on_time(self) -> bool:
        """Whether it was assigned once and answered before its deadline."""
        return (
            self.done_at is not None
            and self.done_at <= self.arrival.request.deadline
            and self.start_count == 1
        )


@attrs.define
class _RunningRequest:
    """A request that was assigned and has not ended.

    Attributes:
        outcome: Its outcome so far.
        assignment: The engines that it was assigned to.
        hop_index: Index in `engines` of the engine that runs it now.
    """

    outcome: RequestOutcome
    assignment: dispatching.Assignment
    hop_index: int = 0

    @property
    def engines(self) -> list[identifiers.TargetId]:
        """Engines in the order in which they run the request."""
        hops = [hop.target_id for hop in self.assignment.hops]
        return [*hops, self.assignment.target_id]


class DispatchSimulation:
    """One simulation of a trace."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        deployment: workloads.Deployment,
        parameters: engine_model.EngineParameters,
        trace: Sequence[workloads.Arrival],
        seed: int,
    ) -> None:
        """Initializes the simulation.

        Args:
            dispatcher: The dispatcher; the service is applied to it already.
            deployment: The fleet.
            parameters: Parameters of its engines.
            trace: The requests, by time of arrival.
            seed: Seed of report times and lost cache events.
        """
        self.dispatcher = dispatcher
        self._link_s = deployment.link_s
        self._rng = random.Random(seed)
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._wakeup_at: float | None = None
        self.outcomes = {a.request.request_id: RequestOutcome(a) for a in trace}
        self._running: dict[identifiers.RequestId, _RunningRequest] = {}
        self._trace = trace
        self._next_arrival = 0
        self.engines = {
            identifiers.TargetId(f"engine-{n}"): engine_model.EngineModel(
                parameters, identifiers.BootId("boot")
            )
            for n in range(deployment.engines)
        }
        self._next_event_at: dict[identifiers.TargetId, float | None] = {}
        self._last_arrival_at = trace[-1].request.arrived_at

    @property
    def last_arrival_at(self) -> float:
        """When the last request arrives, in virtual seconds."""
        return self._last_arrival_at

    def schedule(self, when: float, action: Callable[[float], None]) -> None:
        """Schedules an action in virtual time."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def set_speed(
        self, target_id: identifiers.TargetId, speed: float, now: float
    ) -> None:
        """Changes an engine's speed."""
        self._advance(target_id, now)
        self.engines[target_id].set_speed(speed)
        self._schedule_engine_event(target_id)

    def run(self) -> list[RequestOutcome]:
        """Simulates the whole trace and returns the requests' outcomes."""
        self._schedule_first_reports()
        self._schedule_arrival()
        last = self._last_arrival_at + DRAIN_S
        while self._events and self._events[0][0] <= last:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return list(self.outcomes.values())

    def _schedule_arrival(self) -> None:
        """Schedules the next arrival of the trace."""
        if self._next_arrival < len(self._trace):
            arrival = self._trace[self._next_arrival]
            self._next_arrival += 1
            self.schedule(arrival.request.arrived_at, self._on_arrival)

    def _on_arrival(self, now: float) -> None:
        """Submits the request that arrives now."""
        request = self._trace[self._next_arrival - 1].request
        self._schedule_arrival()
        outcome = self.dispatcher.submit(request, now)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            self.outcomes[request.request_id].refused = refusal.reason.value
        self._poll(now)

    def _poll(self, now: float) -> None:
        """Polls the dispatcher, applies the result and schedules a wakeup."""
        started, expired = self.dispatcher.poll(now)
        for assignment in started:
            self._start(assignment, now)
        for expiry in expired:
            self.outcomes[
                expiry.request_id
            ].refused = expiry.refusal.reason.value
        wakeup_at = self.dispatcher.next_wakeup(now)
        if wakeup_at is None:
            return
        if self._wakeup_at is None or wakeup_at < self._wakeup_at - 1e-6:
            self._wakeup_at = max(wakeup_at, now + 1e-4)
            self.schedule(self._wakeup_at, self._on_wakeup)

    def _on_wakeup(self, now: float) -> None:
        """Polls the dispatcher at the wakeup time that it asked for."""
        if self._wakeup_at is not None and now >= self._wakeup_at:
            self._wakeup_at = None
            self._poll(now)

    def _start(self, assignment: dispatching.Assignment, now: float) -> None:
        """Sends an assigned request to its first engine."""
        outcome = self.outcomes[assignment.request_id]
        outcome.start_count += 1
        outcome.target_id = assignment.target_id
        running = _RunningRequest(outcome, assignment)
        self._running[assignment.request_id] = running
        self.schedule(
            now + self._link_s, lambda t: self._submit_to_engine(running, t)
        )
        deadline = outcome.arrival.request.deadline
        self.schedule(deadline, lambda t: self._cancel_at_deadline(running, t))

    def _submit_to_engine(self, running: _RunningRequest, now: float) -> None:
        """Submits a request's current prompt part to its engine."""
        arrival = running.outcome.arrival
        request = arrival.request
        if request.request_id not in self._running:
            return
        hops = running.assignment.hops
        start = (
            hops[running.hop_index - 1].prompt_tokens
            if running.hop_index
            else 0
        )
        is_last = running.hop_index == len(hops)
        job = engine_model.Job(
            request_id=request.request_id,
            start=start,
            end=request.prompt_tokens
            if is_last
            else hops[running.hop_index].prompt_tokens,
            output_tokens=arrival.output_tokens if is_last else 0,
            urgency=request.urgency,
            hashes=request.prefix_hashes if not hops else (),
        )
        target_id = running.engines[running.hop_index]
        self._advance(target_id, now)
        self.engines[target_id].submit(job, now)
        self._schedule_engine_event(target_id)

    def _cancel_at_deadline(self, running: _RunningRequest, now: float) -> None:
        """Cancels a request that has not ended by its deadline."""
        request_id = running.assignment.request_id
        if self._running.pop(request_id, None) is None:
            return
        for target_id in running.engines[: running.hop_index + 1]:
            self._advance(target_id, now)
            self.engines[target_id].release(request_id)
            self._schedule_engine_event(target_id)
        self.dispatcher.finished(request_id, now, 0)
        self._poll(now)

    def _schedule_engine_event(self, target_id: identifiers.TargetId) -> None:
        """Schedules the engine's next event if its time has changed."""
        event_at = self.engines[target_id].next_event()
        if event_at is not None and event_at != self._next_event_at.get(
            target_id
        ):
            self._next_event_at[target_id] = event_at
            self.schedule(
                event_at, lambda t: self._on_engine_event(target_id, t)
            )

    def _on_engine_event(
        self, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Advances an engine to its event unless it was rescheduled."""
        if self._next_event_at.get(target_id) == now:
            self._next_event_at[target_id] = None
            self._advance(target_id, now)
            self._schedule_engine_event(target_id)

    def _advance(self, target_id: identifiers.TargetId, now: float) -> None:
        """Advances an engine and handles the events that it returns."""
        for event in self.engines[target_id].advance(now):
            running = self._running.get(event.request_id)
            if running is None:
                continue
            if event.kind is engine_model.EventKind.DONE:
                self.schedule(
                    event.at + self._link_s,
                    functools.partial(self._on_done, running),
                )
            elif running.hop_index < len(running.assignment.hops):
                self._move_to_next_engine(running, event.at)
            else:
                self.schedule(
                    event.at + self._link_s,
                    functools.partial(self._on_first_token, running),
                )

    def _move_to_next_engine(
        self, running: _RunningRequest, now: float
    ) -> None:
        """Transfers a request and its KV cache to its next engine."""
        tokens = running.assignment.hops[running.hop_index].prompt_tokens
        running.hop_index += 1
        delay = 2 * self._link_s + tokens / KV_TRANSFER_TOKENS_PER_S
        self.schedule(now + delay, lambda t: self._submit_to_engine(running, t))

    def _on_first_token(self, running: _RunningRequest, now: float) -> None:
        """Records that the first token has reached the caller."""
        if running.assignment.request_id in self._running:
            running.outcome.first_token_at = now
            self.dispatcher.first_token(running.assignment.request_id, now)
            self._poll(now)

    def _on_done(self, running: _RunningRequest, now: float) -> None:
        """Records that the last token has reached the caller."""
        request_id = running.assignment.request_id
        if self._running.pop(request_id, None) is None:
            return
        running.outcome.done_at = now
        for target_id in running.engines[:-1]:
            self._advance(target_id, now)
            self.engines[target_id].release(request_id)
            self._schedule_engine_event(target_id)
        self.dispatcher.finished(
            request_id, now, running.outcome.arrival.output_tokens
        )
        self._poll(now)

    def _schedule_first_reports(self) -> None:
        """Schedules each engine's first load report and cache event."""
        for target_id in self.engines:
            phase = self._rng.random()
            self.schedule(
                phase * REPORT_PERIOD_S,
                functools.partial(self._send_load_report, target_id),
            )
            self.schedule(
                phase * CACHE_EVENT_PERIOD_S,
                functools.partial(self._send_cache_event, target_id),
            )

    def _send_load_report(
        self, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Sends an engine's load report and schedules the next one."""
        self._advance(target_id, now)
        self._schedule_engine_event(target_id)
        report = self.engines[target_id].load_report(target_id, now)
        self.schedule(
            now + REPORT_DELAY_S,
            lambda t: self.dispatcher.observe_load(report, t),
        )
        if now < self._last_arrival_at:
            self.schedule(
                now + REPORT_PERIOD_S,
                lambda t: self._send_load_report(target_id, t),
            )

    def _send_cache_event(
        self, target_id: identifiers.TargetId, now: float
    ) -> None:
        """Sends an engine's cache event, which may be lost."""
        event = self.engines[target_id].pop_cache_event(target_id)
        if event is not None and self._rng.random() >= CACHE_EVENT_LOSS_RATIO:
            self.schedule(
                now + CACHE_EVENT_DELAY_S,
                lambda t: self._deliver_cache_event(event, t),
            )
        if now < self._last_arrival_at:
            self.schedule(
                now + CACHE_EVENT_PERIOD_S,
                lambda t: self._send_cache_event(target_id, t),
            )

    def _deliver_cache_event(
        self, event: targets.CacheEvent, now: float
    ) -> None:
        """Delivers a cache event; sends a snapshot if it is rejected."""
        if self.dispatcher.observe_cache(event):
            return
        target_id = event.target_id
        snapshot = self.engines[target_id].cache_snapshot(target_id)
        self.schedule(
            now + CACHE_EVENT_DELAY_S,
            lambda t: self._deliver_cache_event(snapshot, t),
        )
