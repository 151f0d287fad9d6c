"""Plays loads on engines that follow their law, in virtual time.

Passes are played as the engines' pages tell: a pass with writers has `stride`
steps, each with the reading of a chunk at most; without writers it is one step.
"""

import collections
import heapq
import math
import random

import attrs

from cardamomfork._internal.gateway import engine_law
from cardamomfork._internal.gateway import load_view
from cardamomfork._internal.gateway import placement
from tests.lib import gateway_parts

LAW = gateway_parts.LAW


@attrs.frozen
class Kind:
    """A kind of request, with what callers want of it."""

    name: str
    tokens: float
    spread: float
    events: int
    objective_s: float
    max_gap_s: float
    worth: float
    per_s: float


KINDS = (
    Kind("short", 4960, 0.9, 33, 0.3, 0.25, 1.3, 23.5),
    Kind("medium", 45_000, 0.5, 20, 1.5, 0.6, 4.2, 1.2),
    Kind("long", 154_000, 0.55, 16, 3.0, 1.0, 21.0, 0.72),
)


@attrs.define(eq=False)
class Request:
    """A request, and what its caller has got."""

    name: str
    kind: Kind
    tokens: int
    sent_at: float
    parts_left: int = 0
    events_left: int = 0
    first_at: float = math.inf
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    is_whole: bool = False

    @property
    def is_on_time(self):
        return (
            self.is_whole
            and self.first_at - self.sent_at <= self.kind.objective_s
            and self.longest_gap_s <= self.kind.max_gap_s
        )

    def event(self, now):
        if math.isinf(self.first_at):
            self.first_at = now
        else:
            gap = now - self.last_at
            self.longest_gap_s = max(self.longest_gap_s, gap)
        self.last_at = now
        self.events_left -= 1


class Engine:
    """One engine."""

    def __init__(self):
        self.reads = collections.deque()
        self.writers = []
        self.is_busy = False
        self.stalled_until = 0.0

    def begin(self):
        """Begins a pass; returns its length and what has been read in it."""
        contexts = [request.tokens for request in self.writers]
        steps = LAW.stride_steps if contexts else 1
        chunk = LAW.chunk_tokens / LAW.read_tokens_per_s
        left = steps * 2 * chunk
        spent, done = 0.0, []
        while self.reads and left > 0:
            request, work = self.reads[0]
            used = min(work, left)
            left -= used
            spent += used
            if used < work:
                self.reads[0] = (request, work - used)
                break
            self.reads.popleft()
            done.append(request)
        return engine_law.pass_s(LAW, contexts) + spent, done


class Play:
    """Plays a load with a function that places each request."""

    def __init__(self, engines, place, seed, *, instances=1, view_s=0.0):
        """Starts idle.

        Args:
            engines: How many engines there are.
            place: Places a request.
            seed: Of arrivals and sizes.
            instances: How many instances place requests.
            view_s: Time after which a placement is seen by the others.
        """
        self.fleet = gateway_parts.Fleet(
            engines, seed=seed, instances=instances
        )
        self._view_s = view_s
        self.engines = {f"t{number}": Engine() for number in range(engines)}
        self.done = []
        self._by_name = {}
        self._place = place
        self._source = random.Random(seed)
        self._queue = []
        self._count = 0

    def run(self, seconds, factors):
        """Plays so many seconds; returns the requests."""
        for kind in KINDS:
            rate = kind.per_s * factors.get(kind.name, 1.0)
            at = self._source.expovariate(rate)
            while at < seconds:
                self._at(at, self._arrive, kind)
                at += self._source.expovariate(rate)
        while self._queue:
            now, _, call, argument = heapq.heappop(self._queue)
            call(now, argument)
        return self.done

    def _at(self, when, call, argument):
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, call, argument))

    def _arrive(self, now, kind):
        sigma = math.sqrt(math.log(1 + kind.spread**2))
        tokens = kind.tokens * self._source.lognormvariate(
            -(sigma**2) / 2, sigma
        )
        tokens = int(min(max(tokens, 100), 290_000))
        name = f"r{len(self.done)}"
        request = Request(name, kind, tokens, now, events_left=kind.events)
        self.done.append(request)
        self._by_name[name] = request
        self._try(now, request)

    def _try(self, now, request):
        kind = request.kind
        demand = gateway_parts.make_demand(
            request.tokens,
            job_id=request.name,
            output_tokens=kind.events * LAW.stride_steps,
            max_gap_s=kind.max_gap_s,
            objective_left_s=kind.objective_s - (now - request.sent_at),
            time_left_s=10.0 - (now - request.sent_at),
        )
        place = self._place(self.fleet, demand, now)
        if isinstance(place, placement.NoRoom):
            if demand.time_left_s > 0.1:
                self._at(now + 0.05, self._try, request)
            return
        helpers = [helper.target.record.target_id for helper in place.helpers]
        first = place.target.record.target_id
        self._at(
            now + self._view_s,
            self._see,
            load_view.Job(
                request.name,
                first,
                tuple(load_view.Part(name) for name in helpers),
                request.tokens,
                demand.output_tokens,
                kind.max_gap_s,
                demand.value,
                reads_until=now + place.reading_s,
                late_at=now + demand.objective_left_s,
                ends_at=now + place.first_token_s + 2.0,
            ),
        )
        request.parts_left = 1 + len(helpers)
        work = engine_law.reading_s(LAW, request.tokens, request.parts_left)
        for name in (first, *helpers):
            engine = self.engines[name]
            if name == first:
                engine.reads.append(((request, first), work))
            else:
                engine.reads.appendleft(((request, first), work))
            self._start(now, engine)

    def _see(self, now, job):
        del now
        request = self._by_name[job.job_id]
        if request.is_whole:
            return
        self.fleet.load.start(job)
        if request.first_at < math.inf:
            self.fleet.load.mark_writing(job.job_id, request.first_at)

    def stall(self, at, names, seconds):
        """Lets engines stand still for a while."""
        for name in names:
            self._at(at, self._stall, (self.engines[name], at + seconds))

    def _stall(self, now, stalled):
        del now
        engine, until = stalled
        engine.stalled_until = until

    def _start(self, now, engine):
        if not engine.is_busy and (engine.reads or engine.writers):
            engine.is_busy = True
            length, read = engine.begin()
            begins_at = max(now, engine.stalled_until)
            self._at(begins_at + length, self._pass_over, (engine, read))

    def _pass_over(self, now, passed):
        engine, read = passed
        for request in list(engine.writers):
            request.event(now)
            if request.events_left == 0:
                engine.writers.remove(request)
                request.is_whole = True
                self.fleet.load.end(request.name)
        for request, first in read:
            request.parts_left -= 1
            if request.parts_left == 0:
                self.engines[first].writers.append(request)
                self.fleet.load.mark_writing(request.name, now)
                self._start(now, self.engines[first])
        engine.is_busy = False
        self._start(now, engine)


def place_by_cost(fleet, demand, now):
    """The product's choice."""
    return fleet.placer.choose(demand, now)


def place_by_least_load(fleet, demand, now):
    """The engine with the fewest requests, whole."""
    targets = fleet.table.list_service("engines", now)
    loads = [fleet.load.load(one.record.target_id, now) for one in targets]
    fewest = min(load.running for load in loads)
    if fewest >= LAW.slots:
        return placement.NoRoom("full", 0.1)
    chosen = fleet.source.choice(
        [
            target
            for target, load in zip(targets, loads, strict=True)
            if load.running == fewest
        ]
    )
    reading = engine_law.reading_s(LAW, demand.prompt_tokens)
    return placement.Placement(chosen, (), reading, reading, 0.0)


def worth_on_time(requests, name=None):
    """Returns the share of worth that was served on time, by size."""
    counted = [r for r in requests if name in (None, r.kind.name)]
    owed = sum(_worth(request) for request in counted)
    earned = sum(_worth(request) for request in counted if request.is_on_time)
    return earned / owed


def _worth(request):
    size = request.tokens / request.kind.tokens
    return request.kind.worth * min(0.3 + 0.7 * size, 4.0)
