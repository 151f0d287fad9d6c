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
REPORT_DELAY_S = 0.5
CACHE_EVENT_PERIOD_S = 2.0
CACHE_EVENT_DELAY_S = 1.0
CACHE_EVENT_LOSS_RATIO = 0.05
KV_TRANSFER_TOKENS_PER_S = 500_000.0
DRAIN_S = 900.0


@attrs.define
class RequestOutcome:
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
    start_count: int = 0

    @property
    def ttft(self) -> float | None:
        """Time to first token, in seconds."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.request.arrived_at

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered whole, on time and once."""
        return (
            self.done_at is not None
            and self.done_at <= self.arrival.request.deadline
            and self.start_count == 1
        )


@attrs.define
class _RunningRequest:
    """An assigned request under way."""

    outcomes: RequestOutcome
    assignment: dispatching.Assignment
    hop_index: int = 0

    @property
    def engines(self) -> list[identifiers.TargetId]:
        """Engines in the order of their parts."""
        hops = [hop.target_id for hop in self.assignment.hops]
        return [*hops, self.assignment.target_id]


class DispatchSimulation:
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
    def end(self) -> float:
        """When the last request arrives."""
        return self._last_arrival_at

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def set_speed(
        self, target_id: identifiers.TargetId, speed: float, now: float
    ) -> None:
        """Changes an engine's speed."""
        self._advance(target_id, now)
        self.engines[target_id].set_speed(speed)
        self._schedule_engine_event(target_id)

    def run(self) -> list[RequestOutcome]:
        """Runs the trace to its end and returns what became of each."""
        self._schedule_first_reports()
        self._schedule_arrival()
        last = self._last_arrival_at + DRAIN_S
        while self._events and self._events[0][0] <= last:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return list(self.outcomes.values())

    def _schedule_arrival(self) -> None:
        """Plans the next request of the trace."""
        if self._next_arrival < len(self._trace):
            arrival = self._trace[self._next_arrival]
            self._next_arrival += 1
            self.schedule(arrival.request.arrived_at, self._on_arrival)

    def _on_arrival(self, now: float) -> None:
        """Submits the request that is due."""
        request = self._trace[self._next_arrival - 1].request
        self._schedule_arrival()
        outcome = self.dispatcher.submit(request, now)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            self.outcomes[request.request_id].refused = refusal.reason.value
        self._poll(now)

    def _poll(self, now: float) -> None:
        """Asks the dispatcher what starts and when to ask again."""
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
        """Polls because the dispatcher asked for it."""
        if self._wakeup_at is not None and now >= self._wakeup_at:
            self._wakeup_at = None
            self._poll(now)

    def _start(self, assignment: dispatching.Assignment, now: float) -> None:
        """Sends a request on its way."""
        outcomes = self.outcomes[assignment.request_id]
        outcomes.start_count += 1
        outcomes.target_id = assignment.target_id
        running = _RunningRequest(outcomes, assignment)
        self._running[assignment.request_id] = running
        self.schedule(
            now + self._link_s, lambda t: self._submit_to_engine(running, t)
        )
        deadline = outcomes.arrival.request.deadline
        self.schedule(deadline, lambda t: self._cancel_at_deadline(running, t))

    def _submit_to_engine(self, running: _RunningRequest, now: float) -> None:
        """Hands the current part of a request to its engine."""
        arrival = running.outcomes.arrival
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
        """Cancels a request whose time is over."""
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
        """Plans the engine's next event."""
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
        """Moves an engine to its planned event unless that has changed."""
        if self._next_event_at.get(target_id) == now:
            self._next_event_at[target_id] = None
            self._advance(target_id, now)
            self._schedule_engine_event(target_id)

    def _advance(self, target_id: identifiers.TargetId, now: float) -> None:
        """Moves an engine on and passes on what happened."""
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
        """Moves a request to its next engine, with its KV cache."""
        tokens = running.assignment.hops[running.hop_index].prompt_tokens
        running.hop_index += 1
        delay = 2 * self._link_s + tokens / KV_TRANSFER_TOKENS_PER_S
        self.schedule(now + delay, lambda t: self._submit_to_engine(running, t))

    def _on_first_token(self, running: _RunningRequest, now: float) -> None:
        """The caller has the first token."""
        if running.assignment.request_id in self._running:
            running.outcomes.first_token_at = now
            self.dispatcher.first_token(running.assignment.request_id, now)
            self._poll(now)

    def _on_done(self, running: _RunningRequest, now: float) -> None:
        """The caller has the last token."""
        request_id = running.assignment.request_id
        if self._running.pop(request_id, None) is None:
            return
        running.outcomes.done_at = now
        for target_id in running.engines[:-1]:
            self._advance(target_id, now)
            self.engines[target_id].release(request_id)
            self._schedule_engine_event(target_id)
        self.dispatcher.finished(
            request_id, now, running.outcomes.arrival.output_tokens
        )
        self._poll(now)

    def _schedule_first_reports(self) -> None:
        """Plans the first load report and cache event of each engine."""
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
        """Sends an engine's load report, which arrives late."""
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
        """Sends an engine's cache event, which arrives late or never."""
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
        """Gives a cache event to the dispatcher, which may ask for all."""
        if self.dispatcher.observe_cache(event):
            return
        target_id = event.target_id
        snapshot = self.engines[target_id].cache_snapshot(target_id)
        self.schedule(
            now + CACHE_EVENT_DELAY_S,
            lambda t: self._deliver_cache_event(snapshot, t),
        )
