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

from cardamomfork._internal.gateway import demands
from cardamomfork._internal.gateway import engine_law
from cardamomfork._internal.gateway import place_costs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway import load_view
    from cardamomfork._internal.gateway import target_table
    from cardamomfork._internal.models import fleet

PARTS_CHOICES = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for reading one prompt."""
MIN_PART_S = 0.1
"""Parts shorter than this gain nothing over the cost of their setup."""
RESERVATION_COST = 0.02
"""Cost of an order that reserves memory, and of its renewals."""
MEMORY_SHARE = 0.97
"""Part of an engine's memory that is planned with."""
NO_TARGET_S = 1.0
"""Time to the next look where no target is known: entries of targets that
lapsed are back within about two seconds."""
TYPICAL_CALL_S = 0.1
"""Time of a call to a plain service, where nothing better is known."""


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
        is_for_all: Whether no other request finds room at these targets.
    """

    reason: str
    room_in_s: float
    is_for_all: bool = False


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

    def choose(self, demand: demands.Demand, now: float) -> Placement | NoRoom:
        """Chooses a place, or says when there may be one."""
        listed = self._table.list_service(demand.service.name, now)
        # Where all have failed, one of them may still do better this time.
        others = [
            target
            for target in listed
            if target.record.target_id not in demand.excluded
        ]
        candidates = [
            demands.Candidate(
                target,
                self._load.load(target.record.target_id, now),
                target.pace(now),
            )
            for target in others or listed
        ]
        if not candidates:
            return NoRoom("no target", NO_TARGET_S, is_for_all=True)
        costs = place_costs.PlaceCosts(
            self._data_centre, self._source, self._count_instances()
        )
        if demand.service.law is None:
            return self._choose_plain(costs, candidates, now)
        return self._choose_engine(
            costs, demand, demand.service.law, candidates, now
        )

    def _choose_plain(
        self,
        costs: place_costs.PlaceCosts,
        candidates: list[demands.Candidate],
        now: float,
    ) -> Placement | NoRoom:
        """Chooses a target of a plain service: the least loaded one."""
        free = _list_free(candidates)
        if not free:
            return _no_room("all targets are full", candidates, is_for_all=True)
        least, best = min(
            ((costs.call(candidate, now), candidate) for candidate in free),
            key=lambda pair: pair[0],
        )
        expected = TYPICAL_CALL_S * best.pace
        return Placement(best.target, (), expected, expected, least)

    def _choose_engine(
        self,
        costs: place_costs.PlaceCosts,
        demand: demands.Demand,
        law: fleet.EngineLaw,
        candidates: list[demands.Candidate],
        now: float,
    ) -> Placement | NoRoom:
        """Chooses an engine, and helpers where they shorten the reading."""
        size = demand.prompt_tokens + demand.output_tokens
        if size > law.memory_tokens * MEMORY_SHARE * len(candidates):
            return NoRoom("larger than all engines' memory", math.inf)
        free = _list_free(candidates)
        if not free:
            return _no_room("all engines are full", candidates, is_for_all=True)
        free = [
            candidate
            for candidate in free
            if _free_tokens(law, candidate) >= demand.output_tokens
        ]
        if not free:
            return _no_room("all engines are full", candidates)
        whole_s = engine_law.reading_s(law, demand.prompt_tokens)
        best: Placement | None = None
        for parts in PARTS_CHOICES:
            if parts > 1 and whole_s / parts < MIN_PART_S:
                break
            found = self._place_in_parts(
                costs, demand, law, free, candidates, parts, now
            )
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        return best or _no_room("all engines are full", candidates)

    def _place_in_parts(
        self,
        costs: place_costs.PlaceCosts,
        demand: demands.Demand,
        law: fleet.EngineLaw,
        free: list[demands.Candidate],
        candidates: list[demands.Candidate],
        parts: int,
        now: float,
    ) -> Placement | None:
        """Returns the best place for reading in so many parts, if any."""
        part_s = engine_law.reading_s(law, demand.prompt_tokens, parts)
        beside = {
            candidate.target_id: costs.beside(
                demand, law, candidate, part_s, now
            )
            for candidate in candidates
        }

        def place_cost(candidate: demands.Candidate) -> float:
            return beside[candidate.target_id] + costs.own_loss(
                demand, _first_token_s(law, candidate, part_s, demand)
            )

        size = demand.prompt_tokens + demand.output_tokens
        if parts == 1:
            # Nobody else holds a part of the prompt.
            free = [one for one in free if _free_tokens(law, one) >= size]
            if not free:
                return None
        first = min(free, key=place_cost)
        helpers: list[demands.Candidate] = []
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
        cost = costs.own_loss(demand, first_token) + sum(
            beside[candidate.target_id] for candidate in (first, *helpers)
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


def _list_free(candidates: list[demands.Candidate]) -> list[demands.Candidate]:
    """Returns those that have a place left."""
    return [
        candidate
        for candidate in candidates
        if candidate.load.running < candidate.target.record.slots
    ]


def _free_tokens(law: fleet.EngineLaw, candidate: demands.Candidate) -> int:
    """Returns the memory that is free on an engine."""
    planned = int(law.memory_tokens * MEMORY_SHARE)
    return planned - candidate.load.memory_tokens


def _share_out(
    law: fleet.EngineLaw,
    size: int,
    first: demands.Candidate,
    helpers: list[demands.Candidate],
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
    law: fleet.EngineLaw, candidate: demands.Candidate, part_s: float
) -> float:
    """Returns when a part has been read there."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    wait = engine_law.pass_s(law, contexts) / 2
    return candidate.load.reading_left_s + candidate.pace * (part_s + wait)


def _first_token_s(
    law: fleet.EngineLaw,
    candidate: demands.Candidate,
    part_s: float,
    demand: demands.Demand,
) -> float:
    """Returns when the first event comes: a pass after the reading."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    contexts.append(demand.prompt_tokens)
    own_pass = candidate.pace * engine_law.pass_s(law, contexts)
    return _part_done_s(law, candidate, part_s) + own_pass


def _no_room(
    reason: str,
    candidates: list[demands.Candidate],
    *,
    is_for_all: bool = False,
) -> NoRoom:
    """Returns when the first of the targets frees a place."""
    room_in_s = min(candidate.load.frees_in_s for candidate in candidates)
    return NoRoom(reason, room_in_s, is_for_all)
