"""Where a request runs: the choice of a target and of its helpers.

The choice is made for mixed loads, in which prompts of a thousand tokens
share engines with prompts of a hundred thousand. An engine reads prompts
between the tokens of its writers, so a long read stretches the pause between
the events of every stream beside it. The cost of a place is what the request
is expected to lose there plus what it takes from the requests beside it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal.gateway import engine_law
from cardamomfork._internal.gateway import load_view

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway import target_table
    from cardamomfork._internal.models import fleet

PARTS_CHOICES = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for reading one prompt."""
MIN_PART_S = 0.1
"""Parts shorter than this gain nothing over the cost of their setup."""
OBJECTIVE_MARGIN = 0.6
"""Part of the objective up to which a first token is surely on time."""
GAP_MARGIN = 0.7
"""Part of the longest pause up to which an event is surely on time."""
LATE_LOSS = 0.75
"""Part of its value that a late answer loses."""
SPEED_WEIGHT = 0.05
"""Cost of a first token at the end of the objective against one at once."""
EMPTY_TARGET_COST = 0.3
"""Cost of taking an idle engine, which a long prompt could use alone; less
among many instances, which would all gather on the same engines before they
see each other's placements."""
MIXED_TARGET_COST = 0.3
"""Cost of joining streams of another length class."""
ORDER_COST = 0.1
"""Cost of the engine at the far end of the order in which a length class
fills engines, against the one at its near end."""
SHORT_READING_S = 0.1
"""Reading time up to which a prompt counts as short."""
REMOTE_COST = 0.05
"""Cost of a target in another data centre."""
NOISE_COST = 0.02
MAX_NOISE_COST = 0.3
"""Random cost that keeps instances from all choosing the same target: of one
instance alone, and among many."""
CROWDED_INSTANCES = 60
CROWDING_COST = 0.4
CROWDING_MARGIN = 0.5
"""Cost of the last place of a target where so many instances choose that
others surely choose it too, and the part of its places that is free of it."""
READERS_WEIGHT = 0.1
"""Cost of a second's delay to requests that wait for their first token."""
SLACK_MARGIN = 0.3
"""Part of a reader's slack that a further part of a prompt may take."""
RESERVATION_COST = 0.02
"""Cost of an order that reserves memory, and of its renewals."""
FAILURE_COST = 2.0
"""Cost of a target whose attempts all fail, in values of the request."""
MEMORY_SHARE = 0.97
"""Part of an engine's memory that is planned with."""
VALUE_TOKENS = 5000
VALUE_EXPONENT = 0.7
"""A longer prompt is worth more, though less than its length says."""
NO_TARGET_S = 1.0
"""Time to the next look where no target is known: entries of targets that
lapsed are back within about two seconds."""
TYPICAL_CALL_S = 0.1
"""Time of a call to a plain service, where nothing better is known."""


def value_of(prompt_tokens: int) -> float:
    """Returns what a request is worth beside others."""
    return float(max(prompt_tokens / VALUE_TOKENS, 0.1) ** VALUE_EXPONENT)


def expected_writing_s(demand: Demand) -> float:
    """Returns the time to write a request's answer alone on an engine."""
    law = demand.service.law
    if law is None:
        return 0.0
    return engine_law.writing_s(
        law, demand.output_tokens, [demand.prompt_tokens]
    )


@attrs.frozen
class Demand:
    """A request that needs a target.

    Attributes:
        job_id: Unique among all instances.
        service: The service that it goes to.
        prompt_tokens: Length of its prompt; 0 for a plain service.
        output_tokens: Tokens expected in its answer.
        max_gap_s: Longest pause between events that is on time.
        objective_left_s: Time left until its first token is late.
        time_left_s: Time left until its caller leaves.
        excluded: Targets that it must not go to.
    """

    job_id: str
    service: fleet.Service
    prompt_tokens: int
    output_tokens: int
    max_gap_s: float
    objective_left_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()

    @property
    def value(self) -> float:
        """What it is worth beside others."""
        return value_of(self.prompt_tokens)


@attrs.frozen
class Helper:
    """A target that reads a part of a prompt.

    Attributes:
        target: The target.
        reserved_tokens: Memory to reserve there for the prompt.
    """

    target: target_table.Target
    reserved_tokens: int = 0


@attrs.frozen
class Placement:
    """A place for a request.

    Attributes:
        target: Where it runs.
        helpers: Targets that read parts of its prompt.
        first_token_s: Predicted time to the first token.
        reading_s: Predicted time until the prompt is read.
        cost: Expected loss, in values.
    """

    target: target_table.Target
    helpers: tuple[Helper, ...]
    first_token_s: float
    reading_s: float
    cost: float


@attrs.frozen
class NoRoom:
    """No target can take the request now.

    Attributes:
        reason: Why.
        room_in_s: Predicted time until one can; infinite if none ever can.
    """

    reason: str
    room_in_s: float


@attrs.frozen
class _Candidate:
    """A target with its load and speed."""

    target: target_table.Target
    load: load_view.TargetLoad
    pace: float

    @property
    def target_id(self) -> str:
        """The target's id."""
        return self.target.record.target_id


class Placer:
    """Chooses places from the view of the fleet's load."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        data_centre: str,
        source: random.Random,
        count_instances: Callable[[], int] = lambda: 1,
    ) -> None:
        """Takes the views that it reads, and randomness to break ties.

        Args:
            table: Targets.
            load: What runs on them.
            data_centre: Where this instance runs.
            source: Randomness.
            count_instances: Returns how many instances place requests.
        """
        self._table = table
        self._load = load
        self._data_centre = data_centre
        self._source = source
        self._count_instances = count_instances

    def choose(self, demand: Demand, now: float) -> Placement | NoRoom:
        """Chooses a place, or says when there may be one."""
        listed = self._table.list_service(demand.service.name, now)
        # Where all have failed, one of them may still do better this time.
        others = [
            target
            for target in listed
            if target.record.target_id not in demand.excluded
        ]
        candidates = [
            _Candidate(
                target,
                self._load.load(target.record.target_id, now),
                target.pace(now),
            )
            for target in others or listed
        ]
        if not candidates:
            return NoRoom("no target", NO_TARGET_S)
        if demand.service.law is None:
            return self._choose_plain(candidates, now)
        return self._choose_engine(demand, demand.service.law, candidates, now)

    def _choose_plain(
        self, candidates: list[_Candidate], now: float
    ) -> Placement | NoRoom:
        """Chooses a target of a plain service: the least loaded one."""
        free = [
            candidate
            for candidate in candidates
            if candidate.load.running < candidate.target.record.slots
        ]
        if not free:
            return _no_room("all targets are full", candidates)

        def cost(candidate: _Candidate) -> float:
            record = candidate.target.record
            return (
                candidate.load.running / record.slots
                + FAILURE_COST * candidate.target.failure_share(now)
                + (candidate.pace - 1.0)
                + self._distance(candidate)
                + self._noise()
                + self._crowding(candidate)
            )

        best = min(free, key=cost)
        expected = TYPICAL_CALL_S * best.pace
        return Placement(best.target, (), expected, expected, cost(best))

    def _choose_engine(
        self,
        demand: Demand,
        law: fleet.EngineLaw,
        candidates: list[_Candidate],
        now: float,
    ) -> Placement | NoRoom:
        """Chooses an engine, and helpers where they shorten the reading."""
        size = demand.prompt_tokens + demand.output_tokens
        if size > law.memory_tokens * MEMORY_SHARE * len(candidates):
            return NoRoom("larger than all engines' memory", math.inf)
        free = [
            candidate
            for candidate in candidates
            if candidate.load.running < candidate.target.record.slots
            and _free_tokens(law, candidate) >= demand.output_tokens
        ]
        if not free:
            return _no_room("all engines are full", candidates)
        whole_s = engine_law.reading_s(law, demand.prompt_tokens)
        best: Placement | None = None
        for parts in PARTS_CHOICES:
            if parts > 1 and whole_s / parts < MIN_PART_S:
                break
            found = self._place_in_parts(
                demand, law, free, candidates, parts, now
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        return best or _no_room("all engines are full", candidates)

    def _place_in_parts(
        self,
        demand: Demand,
        law: fleet.EngineLaw,
        free: list[_Candidate],
        candidates: list[_Candidate],
        parts: int,
        now: float,
    ) -> Placement | None:
        """Returns the best place for reading in so many parts, if any."""
        part_s = engine_law.reading_s(law, demand.prompt_tokens, parts)

        def place_cost(candidate: _Candidate) -> float:
            return self._cost_beside(
                demand, law, candidate, part_s, now
            ) + self._own_loss(
                demand, _first_token_s(law, candidate, part_s, demand)
            )

        size = demand.prompt_tokens + demand.output_tokens
        if parts == 1:
            # Nobody else holds a part of the prompt.
            free = [one for one in free if _free_tokens(law, one) >= size]
            if not free:
                return None
        first = min(free, key=place_cost)
        helpers: list[_Candidate] = []
        if parts > 1:
            others = [
                candidate
                for candidate in candidates
                if candidate.target_id != first.target_id
                and candidate.load.helping < candidate.target.record.slots
            ]
            if len(others) < parts - 1:
                return None
            others.sort(key=place_cost)
            helpers = others[: parts - 1]
        reading = max(
            _part_done_s(law, candidate, part_s)
            for candidate in (first, *helpers)
        )
        first_token = max(_first_token_s(law, first, part_s, demand), reading)
        reserved = _share_out(law, size, first, helpers)
        if reserved is None:
            return None
        cost = self._own_loss(demand, first_token) + sum(
            self._cost_beside(demand, law, candidate, part_s, now)
            for candidate in (first, *helpers)
        )
        cost += RESERVATION_COST * sum(1 for tokens in reserved if tokens)
        return Placement(
            first.target,
            tuple(
                Helper(helper.target, tokens)
                for helper, tokens in zip(helpers, reserved, strict=True)
            ),
            first_token,
            reading,
            cost,
        )

    def _own_loss(self, demand: Demand, first_token_s: float) -> float:
        """Returns what the request loses by its first token's time."""
        if first_token_s >= demand.time_left_s:
            return demand.value
        objective = max(demand.objective_left_s, 1e-3)
        share = first_token_s / objective
        return demand.value * (
            SPEED_WEIGHT * min(share, 1.0)
            + LATE_LOSS * _ramp(share, OBJECTIVE_MARGIN)
        )

    def _cost_beside(
        self,
        demand: Demand,
        law: fleet.EngineLaw,
        candidate: _Candidate,
        part_s: float,
        now: float,
    ) -> float:
        """Returns what reading there costs others, and the place's risks."""
        load = candidate.load
        cost = FAILURE_COST * demand.value * candidate.target.failure_share(now)
        cost += self._distance(candidate)
        cost += _delay_cost(load, part_s * candidate.pace)
        cost += self._noise()
        cost += self._crowding(candidate)
        cost += _order_cost(law, demand, candidate)
        if not load.writers:
            if not load.running and demand.max_gap_s < math.inf:
                cost += EMPTY_TARGET_COST * (1.0 - self._crowd()) ** 2
            return cost
        contexts = [writer.context_tokens for writer in load.writers]
        own_pass = candidate.pace * engine_law.pass_s(law, contexts)
        longest_read = law.stride_steps * _chunk_s(law, demand.prompt_tokens)
        before = own_pass + min(load.reading_left_s, longest_read)
        after = own_pass + min(
            load.reading_left_s + candidate.pace * part_s, longest_read
        )
        for writer in load.writers:
            cost += (
                LATE_LOSS
                * writer.value
                * (
                    _ramp(after / writer.max_gap_s, GAP_MARGIN)
                    - _ramp(before / writer.max_gap_s, GAP_MARGIN)
                )
            )
        cost += (
            LATE_LOSS
            * demand.value
            * _ramp(own_pass / demand.max_gap_s, GAP_MARGIN)
        )
        if any(writer.max_gap_s != demand.max_gap_s for writer in load.writers):
            cost += MIXED_TARGET_COST
        return cost

    def _noise(self) -> float:
        """Returns a random cost, larger among more instances."""
        most = max(NOISE_COST, MAX_NOISE_COST * self._crowd())
        return most * self._source.random()

    def _crowd(self) -> float:
        """Returns how many instances choose at once, 1 for many."""
        return min(self._count_instances() / CROWDED_INSTANCES, 1.0)

    def _crowding(self, candidate: _Candidate) -> float:
        """Returns the cost of places that others are about to take."""
        taken = (candidate.load.running + 1) / candidate.target.record.slots
        return CROWDING_COST * self._crowd() * _ramp(taken, CROWDING_MARGIN)

    def _distance(self, candidate: _Candidate) -> float:
        """Returns the cost of another data centre."""
        is_near = candidate.target.record.data_centre == self._data_centre
        return 0.0 if is_near else REMOTE_COST


def _chunk_s(law: fleet.EngineLaw, prompt_tokens: int) -> float:
    """Returns the longest time of the reading in one step."""
    return law.chunk_tokens * (
        1 / law.read_tokens_per_s + prompt_tokens * law.pair_s
    )


def _delay_cost(load: load_view.TargetLoad, delay_s: float) -> float:
    """Returns what the requests that read there lose by a delay."""
    cost = 0.0
    for reader in load.readers:
        cost += READERS_WEIGHT * reader.value * delay_s
        # A reader that is late already has lost what it can lose.
        if reader.slack_s > 0:
            share = delay_s / reader.slack_s
            cost += LATE_LOSS * reader.value * _ramp(share, SLACK_MARGIN)
    return cost


def _order_cost(
    law: fleet.EngineLaw, demand: Demand, candidate: _Candidate
) -> float:
    """Returns the cost of an engine's place in the order of filling.

    All instances fill engines in one order, short prompts from one end and
    long ones from the other, so that the two seldom share an engine.
    """
    digest = xxhash.xxh3_64_intdigest(candidate.target_id.encode())
    place = digest / 2**64
    is_short = (
        engine_law.reading_s(law, demand.prompt_tokens) <= SHORT_READING_S
    )
    return ORDER_COST * (place if is_short else 1.0 - place)


def _free_tokens(law: fleet.EngineLaw, candidate: _Candidate) -> int:
    """Returns the memory that is free on an engine."""
    planned = int(law.memory_tokens * MEMORY_SHARE)
    return planned - candidate.load.memory_tokens


def _share_out(
    law: fleet.EngineLaw,
    size: int,
    first: _Candidate,
    helpers: list[_Candidate],
) -> list[int] | None:
    """Returns the tokens to reserve at each helper; None if they don't fit.

    Memory is reserved elsewhere only for what the first engine can't hold.
    """
    missing = max(size - max(_free_tokens(law, first), 0), 0)
    reserved = []
    for helper in helpers:
        tokens = min(max(_free_tokens(law, helper), 0), missing)
        reserved.append(tokens)
        missing -= tokens
    return None if missing else reserved


def _part_done_s(
    law: fleet.EngineLaw, candidate: _Candidate, part_s: float
) -> float:
    """Returns when a part has been read there."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    wait = engine_law.pass_s(law, contexts) / 2
    return candidate.load.reading_left_s + candidate.pace * (part_s + wait)


def _first_token_s(
    law: fleet.EngineLaw,
    candidate: _Candidate,
    part_s: float,
    demand: Demand,
) -> float:
    """Returns when the first event comes: a pass after the reading."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    contexts.append(demand.prompt_tokens)
    own_pass = candidate.pace * engine_law.pass_s(law, contexts)
    return _part_done_s(law, candidate, part_s) + own_pass


def _ramp(share: float, margin: float) -> float:
    """Returns 0 up to the margin, 1 from the whole on, and between them."""
    if share <= margin:
        return 0.0
    return min((share - margin) / (1.0 - margin), 1.0)


def _no_room(reason: str, candidates: list[_Candidate]) -> NoRoom:
    """Returns when the first of the targets frees a place."""
    return NoRoom(
        reason, min(candidate.load.frees_in_s for candidate in candidates)
    )
