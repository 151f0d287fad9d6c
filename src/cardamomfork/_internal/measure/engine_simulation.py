"""Plays loads on engines that follow their timing, in virtual time.

A pass with writers has `steps_per_event` steps, each with the reading of a
chunk at most; without writers it is one step. Parts of a joint read go before
an engine's other reads.
"""

from __future__ import annotations

import collections
import heapq
import math
import random
from typing import Any
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway import demands
from cardamomfork._internal.gateway import engine_timing
from cardamomfork._internal.gateway import load_view
from cardamomfork._internal.gateway import placement
from cardamomfork._internal.gateway import target_table
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

SERVICE = "engines"
DATA_CENTRE = "a"
TIME_LIMIT_S = 10.0
MIN_TIME_LEFT_S = 0.1
RETRY_S = 0.05
"""Time after which a request without a place looks again."""
MIN_TOKENS = 100
MAX_TOKENS = 290_000
TYPICAL_ANSWER_S = 2.0
MAX_READ_CHUNKS_PER_STEP = 2
"""Chunks' worth of reading time that a step may take; pairs cost extra."""
MAX_SIZE_FACTOR = 4.0
"""A longer prompt is worth more, up to so many times its kind's worth."""


@attrs.frozen
class Kind:
    """A kind of request, with what callers want of it.

    Attributes:
        name: Its name.
        tokens: Mean length of its prompts.
        spread: Standard deviation of the length over its mean.
        events: Events of an answer.
        objective_s: Time in which the first event is on time.
        max_gap_s: Longest pause between events that is on time.
        worth: Of a request of mean length.
        usual_rate_per_s: Usual rate on `USUAL_ENGINES` engines.
    """

    name: str
    tokens: float
    spread: float
    events: int
    objective_s: float
    max_gap_s: float
    worth: float
    usual_rate_per_s: float


USUAL_ENGINES = 23
KINDS = (
    Kind("short", 4960, 0.9, 33, 0.3, 0.25, 1.3, 23.5),
    Kind("medium", 45_000, 0.5, 20, 1.5, 0.6, 4.2, 1.2),
    Kind("long", 154_000, 0.55, 16, 3.0, 1.0, 21.0, 0.72),
)
"""The kinds of the users' deployments, as their sheets give them."""


@attrs.define(eq=False)
class Request:
    """A request, and what its caller has got.

    Attributes:
        name: Unique in its play.
        kind: What it is.
        tokens: Length of its prompt.
        sent_at: Time at which it came.
        unread_parts: Parts of its prompt that are not read yet.
        events_left: Events that are not written yet.
        first_event_at: Time of its first event.
        last_event_at: Time of its last event so far.
        longest_gap_s: Longest pause between two events.
        is_complete: Whether its answer has ended.
    """

    name: str
    kind: Kind
    tokens: int
    sent_at: float
    unread_parts: int = 0
    events_left: int = 0
    first_event_at: float = math.inf
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    is_complete: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether its caller got all of it in time."""
        return (
            self.is_complete
            and self.first_event_at - self.sent_at <= self.kind.objective_s
            and self.longest_gap_s <= self.kind.max_gap_s
        )

    @property
    def worth(self) -> float:
        """What it is worth on time."""
        size = self.tokens / self.kind.tokens
        return self.kind.worth * min(0.3 + 0.7 * size, MAX_SIZE_FACTOR)

    def record_event(self, now: float) -> None:
        """Takes an event of its answer."""
        if math.isinf(self.first_event_at):
            self.first_event_at = now
        else:
            gap = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap)
        self.last_event_at = now
        self.events_left -= 1


class Fleet:
    """Targets, what is believed of their load, and the placer's choice."""

    def __init__(
        self,
        cost_model: fleet.EngineCostModel,
        engines: int,
        instances: int,
        seed: int,
        service: str = SERVICE,
    ) -> None:
        """Starts idle.

        Args:
            cost_model: The engines' cost model.
            engines: How many targets there are.
            instances: How many instances place requests.
            seed: Of what the choice leaves to chance.
            service: The service that the targets belong to.
        """
        self.service = fleet.Service(service, 300, cost_model)
        self.table = target_table.TargetTable()
        self.load = load_view.LoadView()
        self.rng = random.Random(seed)
        self.placer = placement.Placer(
            self.table,
            self.load,
            DATA_CENTRE,
            self.rng,
            lambda: instances,
        )
        for number in range(engines):
            self.table.put(
                fleet.TargetRecord(
                    target_id=f"t{number}",
                    service=service,
                    host="127.0.0.1",
                    port=9000 + number,
                    data_centre=DATA_CENTRE,
                    slots=cost_model.slots,
                    is_leaving=False,
                    started_at_ms=1,
                )
            )

    def loads(
        self, now: float
    ) -> list[tuple[target_table.Target, load_view.TargetLoad]]:
        """Returns the targets with what is believed of their load."""
        return [
            (target, self.load.load(target.record.target_id, now))
            for target in self.table.list_service(SERVICE, now)
        ]


class Engine:
    """One engine."""

    def __init__(self, cost_model: fleet.EngineCostModel) -> None:
        """Starts idle."""
        self._cost_model = cost_model
        self.pending_reads: collections.deque[tuple[Any, float]] = (
            collections.deque()
        )
        self.writers: list[Request] = []
        self.is_busy = False
        self.stalled_until = 0.0

    def start_pass(self) -> tuple[float, list[Any]]:
        """Begins a pass; returns its length and what has been read in it."""
        cost_model = self._cost_model
        contexts = [request.tokens for request in self.writers]
        steps = cost_model.steps_per_event if contexts else 1
        chunk_read_s = (
            cost_model.chunk_tokens / cost_model.prefill_rate_tokens_per_s
        )
        read_time_left_s = steps * MAX_READ_CHUNKS_PER_STEP * chunk_read_s
        read_time_s = 0.0
        finished_reads = []
        while self.pending_reads and read_time_left_s > 0:
            part, work_s = self.pending_reads[0]
            used_s = min(work_s, read_time_left_s)
            read_time_left_s -= used_s
            read_time_s += used_s
            if used_s < work_s:
                self.pending_reads[0] = (part, work_s - used_s)
                break
            self.pending_reads.popleft()
            finished_reads.append(part)
        return engine_timing.event_interval_s(
            cost_model, contexts
        ) + read_time_s, finished_reads


class Simulation:
    """Plays a load with a policy that places each request."""

    def __init__(
        self,
        cost_model: fleet.EngineCostModel,
        engines: int,
        place: Callable[..., placement.Placement | placement.NoCapacity],
        seed: int,
        *,
        instances: int = 1,
        view_delay_s: float = 0.0,
    ) -> None:
        """Starts idle.

        Args:
            cost_model: The engines' cost model.
            engines: How many engines there are.
            place: Places a request, given the fleet, a demand and the time.
            seed: Of arrivals and sizes.
            instances: How many instances place requests.
            view_delay_s: Time after which a placement is seen by the others.
        """
        self.fleet = Fleet(cost_model, engines, instances, seed)
        self.engines = {
            f"t{number}": Engine(cost_model) for number in range(engines)
        }
        self.requests: list[Request] = []
        self._cost_model = cost_model
        self._view_delay_s = view_delay_s
        self._policy = place
        self._requests_by_name: dict[str, Request] = {}
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_count = 0

    def run(
        self, seconds: float, factors: Mapping[str, float]
    ) -> list[Request]:
        """Plays so many seconds; returns the requests.

        Args:
            seconds: Time in which requests come.
            factors: Rates of the kinds over their usual ones.
        """
        for kind in KINDS:
            rate = kind.usual_rate_per_s * factors.get(kind.name, 1.0)
            at = self._rng.expovariate(rate)
            while at < seconds:
                self._schedule(at, self._on_arrival, kind)
                at += self._rng.expovariate(rate)
        while self._events:
            now, _, call, argument = heapq.heappop(self._events)
            call(now, argument)
        return self.requests

    def stall(self, at: float, names: Iterable[str], seconds: float) -> None:
        """Lets engines stand still for a while."""
        for name in names:
            self._schedule(
                at, self._on_stall, (self.engines[name], at + seconds)
            )

    def _schedule(
        self, when: float, call: Callable[..., None], argument: Any
    ) -> None:
        """Calls something at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, call, argument))

    def _on_arrival(self, now: float, kind: Kind) -> None:
        """Takes a new request."""
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        tokens = kind.tokens * self._rng.lognormvariate(-(sigma**2) / 2, sigma)
        request = Request(
            f"r{len(self.requests)}",
            kind,
            int(min(max(tokens, MIN_TOKENS), MAX_TOKENS)),
            now,
            events_left=kind.events,
        )
        self.requests.append(request)
        self._requests_by_name[request.name] = request
        self._place_or_retry(now, request)

    def _place_or_retry(self, now: float, request: Request) -> None:
        """Gives a request a place, or lets it look again."""
        kind = request.kind
        waited = now - request.sent_at
        demand = demands.Demand(
            job_id=request.name,
            service=self.fleet.service,
            prompt_tokens=request.tokens,
            output_tokens=kind.events * self._cost_model.steps_per_event,
            max_gap_s=kind.max_gap_s,
            objective_left_s=kind.objective_s - waited,
            time_left_s=TIME_LIMIT_S - waited,
        )
        chosen = self._policy(self.fleet, demand, now)
        if isinstance(chosen, placement.NoCapacity):
            if demand.time_left_s > MIN_TIME_LEFT_S:
                self._schedule(now + RETRY_S, self._place_or_retry, request)
            return
        helpers = [helper.target.record.target_id for helper in chosen.helpers]
        main_target_id = chosen.target.record.target_id
        job = load_view.Job(
            request.name,
            main_target_id,
            tuple(load_view.Part(name) for name in helpers),
            request.tokens,
            demand.output_tokens,
            kind.max_gap_s,
            demand.value,
            reads_until=now + chosen.prefill_s,
            late_at=now + demand.objective_left_s,
            ends_at=now + chosen.first_token_s + TYPICAL_ANSWER_S,
        )
        self._schedule(now + self._view_delay_s, self._publish_placement, job)
        request.unread_parts = 1 + len(helpers)
        work_s = engine_timing.prefill_s(
            self._cost_model, request.tokens, request.unread_parts
        )
        for name in (main_target_id, *helpers):
            engine = self.engines[name]
            if name == main_target_id:
                engine.pending_reads.append(((request, main_target_id), work_s))
            else:
                engine.pending_reads.appendleft(
                    ((request, main_target_id), work_s)
                )
            self._start_next_pass(now, engine)

    def _publish_placement(self, now: float, job: load_view.Job) -> None:
        """Shows a placement to all who place."""
        del now
        request = self._requests_by_name[job.job_id]
        if request.is_complete:
            return
        self.fleet.load.start(job)
        if request.first_event_at < math.inf:
            self.fleet.load.mark_writing(job.job_id, request.first_event_at)

    def _on_stall(self, now: float, stall: tuple[Engine, float]) -> None:
        """Lets an engine stand still."""
        del now
        engine, until = stall
        engine.stalled_until = until

    def _start_next_pass(self, now: float, engine: Engine) -> None:
        """Begins a pass if there is work and none is under way."""
        if not engine.is_busy and (engine.pending_reads or engine.writers):
            engine.is_busy = True
            duration_s, finished_reads = engine.start_pass()
            starts_at = max(now, engine.stalled_until)
            self._schedule(
                starts_at + duration_s, self._end_pass, (engine, finished_reads)
            )

    def _end_pass(
        self, now: float, ended_pass: tuple[Engine, list[tuple[Request, str]]]
    ) -> None:
        """Ends a pass: an event for each writer, and prompts read."""
        engine, finished_reads = ended_pass
        for request in list(engine.writers):
            request.record_event(now)
            if request.events_left == 0:
                engine.writers.remove(request)
                request.is_complete = True
                self.fleet.load.end(request.name)
        for request, main_target_id in finished_reads:
            request.unread_parts -= 1
            if request.unread_parts == 0:
                self.engines[main_target_id].writers.append(request)
                self.fleet.load.mark_writing(request.name, now)
                self._start_next_pass(now, self.engines[main_target_id])
        engine.is_busy = False
        self._start_next_pass(now, engine)


def worth_on_time(
    requests: Iterable[Request], name: str | None = None
) -> float:
    """Returns the share of worth that was served on time, by size.

    Args:
        requests: Those of a play.
        name: Kind that is counted; None for all.
    """
    selected = [one for one in requests if name in (None, one.kind.name)]
    total_worth = sum(request.worth for request in selected)
    if not total_worth:
        return math.nan
    return sum(one.worth for one in selected if one.is_on_time) / total_worth
