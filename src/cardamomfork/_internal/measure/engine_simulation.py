"""Simulates a load on engines that follow a cost model, in virtual time.

Reading is prefill and writing is decode. Engines work in passes: a pass with
writers has `steps_per_event` steps and ends with one event for each writer; a
pass without writers has one step. A step reads `MAX_READ_CHUNKS_PER_STEP`
chunks at most. If several engines read a prompt together, the helpers read
their parts before their other prompts.
"""

from __future__ import annotations

import collections
import heapq
import math
import random
from typing import Any
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import target_table
from cardamomfork._internal.measure import instance_views
from cardamomfork._internal.models import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

SERVICE = "engines"
DATA_CENTRE = "a"
TIME_LIMIT_S = 10.0
MIN_TIME_LEFT_S = 0.1
REFUSAL_S = 0.01
"""Time after which an instance learns that an engine had no room."""
SAMPLE_INTERVAL_S = 0.1
"""Interval of the samples of the engines' load."""
RETRY_S = 0.05
"""Time after which the placement of a waiting request is retried."""
MIN_TOKENS = 100
MAX_TOKENS = 290_000
TYPICAL_ANSWER_S = 2.0
MAX_READ_CHUNKS_PER_STEP = 2
"""Limit of the read time of a step, as a multiple of the read time of a chunk.
It exceeds 1 because attention adds to the read time of long prompts."""
MAX_SIZE_FACTOR = 4.0
"""Limit of the factor by which a long prompt increases a request's worth."""


@attrs.frozen
class Kind:
    """A kind of request, with its rate and latency objectives.

    Attributes:
        name: Its name.
        tokens: Mean length of its prompts, in tokens.
        spread: Standard deviation of the prompt length over its mean.
        events: Number of events in an answer.
        objective_s: Longest time to the first event that is on time.
        max_gap_s: Longest gap between events that is on time.
        worth: Worth of a request of mean length.
        usual_rate_per_s: Usual rate of arrivals on `USUAL_ENGINES` engines.
        max_tokens: Length of its longest prompts, in tokens.
    """

    name: str
    tokens: float
    spread: float
    events: int
    objective_s: float
    max_gap_s: float
    worth: float
    usual_rate_per_s: float
    max_tokens: int = MAX_TOKENS


USUAL_ENGINES = 23
KINDS = (
    Kind("short", 4960, 0.9, 33, 0.3, 0.25, 1.3, 23.5),
    Kind("medium", 45_000, 0.5, 20, 1.5, 0.6, 4.2, 1.2),
    Kind("long", 154_000, 0.55, 16, 3.0, 1.0, 21.0, 0.72),
)
"""The kinds of requests of the users' deployments, as in their data sheets."""


@attrs.define(eq=False)
class Request:
    """A request and the progress of its answer.

    Attributes:
        name: Name that is unique in its simulation.
        kind: Its kind.
        tokens: Length of its prompt, in tokens.
        sent_at: Time at which it arrived.
        unread_parts: Number of parts of its prompt that are not read yet.
        events_left: Number of events that are not written yet.
        first_event_at: Time of its first event.
        last_event_at: Time of its last event so far.
        longest_gap_s: Longest gap between two events so far.
        is_complete: Whether its answer has ended.
        instance: Number of the instance that places it.
        refused_by: Ids of the engines that had no room for it.
        placed_at: Time at which it was placed.
        predicted_s: Predicted time from there to its first event.
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
    instance: int = 0
    refused_by: frozenset[str] = frozenset()
    placed_at: float = 0.0
    predicted_s: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Whether it is complete and met the objectives of its kind."""
        return (
            self.is_complete
            and self.first_event_at - self.sent_at <= self.kind.objective_s
            and self.longest_gap_s <= self.kind.max_gap_s
        )

    @property
    def worth(self) -> float:
        """Its worth if it is on time; it grows with the prompt."""
        size = self.tokens / self.kind.tokens
        return self.kind.worth * min(0.3 + 0.7 * size, MAX_SIZE_FACTOR)

    def record_event(self, now: float) -> None:
        """Records an event of its answer."""
        if math.isinf(self.first_event_at):
            self.first_event_at = now
        else:
            gap = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap)
        self.last_event_at = now
        self.events_left -= 1


class Fleet:
    """Targets, the instances' view of their load, and their placers.

    Attributes:
        cost_model: The engines' cost model.
        instance: Number of the instance that places a request now.
    """

    def __init__(
        self,
        cost_model: fleet.EngineCostModel,
        engines: int,
        instances: int,
        seed: int,
        service: str = SERVICE,
        data_centres: Sequence[str] = (DATA_CENTRE,),
    ) -> None:
        """Initializes an idle fleet.

        Args:
            cost_model: The engines' cost model.
            engines: Number of targets.
            instances: Number of instances that place requests.
            seed: Seed of the random choices of the placer.
            service: The service that the targets belong to.
            data_centres: The data centres, over which targets and instances
                are spread evenly.
        """
        self.cost_model = cost_model
        self.service = fleet.Service(service, 300, cost_model)
        self.table = target_table.TargetTable()
        self.load = load_view.LoadView()
        self.rng = random.Random(seed)
        self.instance = 0
        self._placers = [
            placement.Placer(
                self.table,
                self.load,
                data_centre,
                self.rng,
                lambda: instances,
            )
            for data_centre in data_centres
        ]
        for number in range(engines):
            self.table.put(
                fleet.TargetRecord(
                    target_id=f"t{number}",
                    service=service,
                    host="127.0.0.1",
                    port=9000 + number,
                    data_centre=data_centres[number % len(data_centres)],
                    slots=cost_model.slots,
                    is_leaving=False,
                    started_at_ms=1,
                )
            )

    @property
    def placer(self) -> placement.Placer:
        """The placer of the instance that places a request now."""
        return self._placers[self.instance % len(self._placers)]

    def loads(
        self, now: float
    ) -> list[tuple[target_table.Target, load_view.TargetLoad]]:
        """Returns the targets with their load in the instances' view."""
        return [
            (target, self.load.load(target.record.target_id, now))
            for target in self.table.list_service(SERVICE, now)
        ]


class Engine:
    """A simulated engine.

    Attributes:
        target_id: Its id.
        pending_reads: Prompt parts to read, each with its read time left.
        writers: Requests whose answers it writes.
        is_busy: Whether a pass is under way.
        stalled_until: Time before which it starts no pass.
        memory_by_request: Tokens of memory of each request that it runs.
    """

    def __init__(
        self, cost_model: fleet.EngineCostModel, target_id: str
    ) -> None:
        """Initializes an idle engine."""
        self.target_id = target_id
        self._cost_model = cost_model
        self.pending_reads: collections.deque[tuple[Any, float]] = (
            collections.deque()
        )
        self.writers: list[Request] = []
        self.is_busy = False
        self.stalled_until = 0.0
        self.memory_by_request: dict[str, int] = {}

    def has_room(self, tokens: int) -> bool:
        """Returns whether it has a free slot and this much free memory."""
        held_tokens = sum(self.memory_by_request.values())
        return (
            len(self.memory_by_request) < self._cost_model.slots
            and held_tokens + tokens <= self._cost_model.memory_tokens
        )

    def start_pass(self) -> tuple[float, list[Any]]:
        """Starts a pass; returns its duration and the parts read to the end."""
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
    """Simulates a load with a placement policy.

    Attributes:
        fleet: The targets, and what the instances know.
        engines: The engines by target id.
        requests: The requests that have arrived.
        refusals: Number of attempts that engines without room refused.
        load_ratios: Highest over mean number of running requests of an engine,
            each `SAMPLE_INTERVAL_S`.
    """

    def __init__(
        self,
        cost_model: fleet.EngineCostModel,
        engines: int,
        place: Callable[..., placement.Placement | placement.NoCapacity],
        seed: int,
        *,
        instances: int = 1,
        view_delay_s: float = 0.0,
        digests: instance_views.DigestTiming | None = None,
        kinds: Sequence[Kind] = KINDS,
        data_centres: Sequence[str] = (DATA_CENTRE,),
        ask_s: float = 0.0,
        has_correction: bool = False,
    ) -> None:
        """Initializes an idle simulation.

        Args:
            cost_model: The engines' cost model.
            engines: Number of engines.
            place: Policy that places a request, given the fleet, a demand and
                the time.
            seed: Seed of arrivals and prompt lengths.
            instances: Number of instances that place requests.
            view_delay_s: Time after which instances see a placement, if they
                send no digests.
            digests: Timing of the digests by which each instance learns of the
                others' placements, or None if all share one view. With
                digests, engines also refuse what they have no room for.
            kinds: The kinds of requests.
            data_centres: The data centres of the fleet.
            ask_s: Time that passes before each placement.
            has_correction: Whether the instances correct their predictions by
                the time of first events.
        """
        self.fleet = Fleet(
            cost_model, engines, instances, seed, data_centres=data_centres
        )
        self.engines = {
            f"t{number}": Engine(cost_model, f"t{number}")
            for number in range(engines)
        }
        self.requests: list[Request] = []
        self.refusals = 0
        self.load_ratios: list[float] = []
        self._views = (
            None
            if digests is None
            else instance_views.InstanceViews(
                self.fleet.load,
                digests,
                random.Random(seed + 1),
                self._schedule,
            )
        )
        self._instances = instances
        self._ask_s = ask_s
        self._has_correction = has_correction
        self._kinds = kinds
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
        """Simulates a load until its last request ends; returns the requests.

        Args:
            seconds: Time during which requests arrive.
            factors: Arrival rates over the usual rates, by kind.
        """
        return self.run_phases(((seconds, factors),))

    def run_phases(
        self, phases: Iterable[tuple[float, Mapping[str, float]]]
    ) -> list[Request]:
        """Simulates phases of load, one after the other; returns the requests.

        Args:
            phases: Duration in seconds, and arrival rates over the usual rates
                by kind, of each phase.
        """
        start = 0.0
        for seconds, factors in phases:
            for kind in self._kinds:
                rate = kind.usual_rate_per_s * factors.get(kind.name, 1.0)
                at = start + self._rng.expovariate(rate)
                while at < start + seconds:
                    self._schedule(at, self._on_arrival, kind)
                    at += self._rng.expovariate(rate)
            start += seconds
        for number in range(1, int(start / SAMPLE_INTERVAL_S)):
            self._schedule(number * SAMPLE_INTERVAL_S, self._sample_load, None)
        while self._events:
            now, _, call, argument = heapq.heappop(self._events)
            call(now, argument)
        return self.requests

    def stall(self, at: float, names: Iterable[str], seconds: float) -> None:
        """Schedules a stall of engines.

        Args:
            at: Time at which the stall begins.
            names: The engines.
            seconds: Duration of the stall.
        """
        for name in names:
            self._schedule(
                at, self._on_stall, (self.engines[name], at + seconds)
            )

    def _schedule(
        self, when: float, call: Callable[..., None], argument: Any
    ) -> None:
        """Schedules a call in virtual time."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, call, argument))

    def _sample_load(self, now: float, argument: None) -> None:
        """Records the highest over the mean load of an engine."""
        del now, argument
        counts = [len(one.memory_by_request) for one in self.engines.values()]
        if any(counts):
            self.load_ratios.append(max(counts) * len(counts) / sum(counts))

    def _on_arrival(self, now: float, kind: Kind) -> None:
        """Creates a request of a kind and places it."""
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        tokens = kind.tokens * self._rng.lognormvariate(-(sigma**2) / 2, sigma)
        request = Request(
            f"r{len(self.requests)}",
            kind,
            int(min(max(tokens, MIN_TOKENS), kind.max_tokens)),
            now,
            events_left=kind.events,
            instance=(
                self._rng.randrange(self._instances) if self._views else 0
            ),
        )
        self.requests.append(request)
        self._requests_by_name[request.name] = request
        if self._ask_s:
            self._schedule(now + self._ask_s, self._place_or_retry, request)
        else:
            self._place_or_retry(now, request)

    def _place_or_retry(self, now: float, request: Request) -> None:
        """Places a request, or schedules a retry if there is no capacity."""
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
            excluded=request.refused_by,
        )
        chosen = self._choose(now, request, demand)
        if isinstance(chosen, placement.NoCapacity):
            if demand.time_left_s > MIN_TIME_LEFT_S:
                self._schedule(now + RETRY_S, self._place_or_retry, request)
            return
        helpers = [helper.target.record.target_id for helper in chosen.helpers]
        main_target_id = chosen.target.record.target_id
        job = load_view.Job(
            request.name,
            main_target_id,
            tuple(
                load_view.Part(
                    helper.target.record.target_id, helper.reserved_tokens
                )
                for helper in chosen.helpers
            ),
            request.tokens,
            demand.output_tokens,
            kind.max_gap_s,
            demand.value,
            reads_until=now + chosen.prefill_s,
            late_at=now + demand.objective_left_s,
            ends_at=now + chosen.first_token_s + TYPICAL_ANSWER_S,
        )
        engine = self.engines[main_target_id]
        if self._views and not engine.has_room(job.primary_tokens):
            self.refusals += 1
            request.refused_by |= {main_target_id}
            self._schedule(now + REFUSAL_S, self._place_or_retry, request)
            return
        engine.memory_by_request[request.name] = job.primary_tokens
        request.placed_at = now
        request.predicted_s = chosen.first_token_s
        if self._views:
            self._views.start(request.instance, job, now)
        else:
            self._schedule(
                now + self._view_delay_s, self._publish_placement, job
            )
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

    def _choose(
        self, now: float, request: Request, demand: demands.Demand
    ) -> placement.Placement | placement.NoCapacity:
        """Returns the policy's choice, by what the request's instance knows."""
        self.fleet.instance = request.instance
        if self._views is None:
            return self._policy(self.fleet, demand, now)
        with self._views.seen_by(request.instance, now):
            return self._policy(self.fleet, demand, now)

    def _publish_placement(self, now: float, job: load_view.Job) -> None:
        """Adds a placement to the instances' view of the load."""
        del now
        request = self._requests_by_name[job.job_id]
        if request.is_complete:
            return
        self.fleet.load.start(job)
        if request.first_event_at < math.inf:
            self.fleet.load.mark_writing(job.job_id, request.first_event_at)

    def _on_stall(self, now: float, stall: tuple[Engine, float]) -> None:
        """Stalls an engine: it starts no pass until a given time."""
        del now
        engine, until = stall
        engine.stalled_until = until

    def _start_next_pass(self, now: float, engine: Engine) -> None:
        """Starts a pass if the engine has work and is not in a pass."""
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
        """Ends a pass: records the writers' events and the parts read."""
        engine, finished_reads = ended_pass
        for request in list(engine.writers):
            is_first_event = math.isinf(request.first_event_at)
            request.record_event(now)
            if is_first_event and self._has_correction:
                self._correct(now, engine, request)
            if request.events_left == 0:
                engine.writers.remove(request)
                request.is_complete = True
                engine.memory_by_request.pop(request.name)
                if self._views:
                    self._views.end(request.instance, request.name, now)
                else:
                    self.fleet.load.end(request.name)
        for request, main_target_id in finished_reads:
            request.unread_parts -= 1
            if request.unread_parts == 0:
                self.engines[main_target_id].writers.append(request)
                if self._views:
                    self._views.mark_writing(
                        request.instance, request.name, now
                    )
                else:
                    self.fleet.load.mark_writing(request.name, now)
                self._start_next_pass(now, self.engines[main_target_id])
        engine.is_busy = False
        self._start_next_pass(now, engine)

    def _correct(self, now: float, engine: Engine, request: Request) -> None:
        """Records the observed over the predicted time of a first event."""
        observed_s = now - request.placed_at
        self.fleet.table.record_time_ratio(
            engine.target_id, observed_s / request.predicted_s, now
        )


def worth_on_time(
    requests: Iterable[Request], name: str | None = None
) -> float:
    """Returns the fraction of the worth that was served on time.

    Args:
        requests: Requests of a simulation.
        name: Name of the kind to count, or None to count all kinds.
    """
    selected = [one for one in requests if name in (None, one.kind.name)]
    total_worth = sum(request.worth for request in selected)
    if not total_worth:
        return math.nan
    return sum(one.worth for one in selected if one.is_on_time) / total_worth
