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
from cardamomfork._internal.gateway import engine_timing
from cardamomfork._internal.gateway import placement_costs

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway import load_view
    from cardamomfork._internal.gateway import target_table
    from cardamomfork._internal.models import fleet

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for reading one prompt."""
MIN_PART_S = 0.1
"""Parts shorter than this gain nothing over the cost of their setup."""
RESERVATION_COST = 0.02
"""Cost of an order that reserves memory, and of its renewals."""
PLANNED_MEMORY_FRACTION = 0.97
"""Part of an engine's memory that is planned with."""
NO_TARGET_RETRY_S = 1.0
"""Time to the next look where no target is known: entries of targets that
lapsed are back within about two seconds."""
DEFAULT_CALL_S = 0.1
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
        prefill_s: Predicted time until the prompt is read.
        cost: Expected loss, in values.
    """

    target: target_table.Target
    helpers: tuple[Helper, ...]
    first_token_s: float
    prefill_s: float
    cost: float


@attrs.frozen
class NoCapacity:
    """No target can take the request now.

    Attributes:
        reason: Why.
        capacity_in_s: Predicted time until one can; infinite if none ever can.
        is_for_all_requests: Whether no other request finds room at these targets.
    """

    reason: str
    capacity_in_s: float
    is_for_all_requests: bool = False


class Placer:
    """Chooses places from the view of the fleet's load."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        data_centre: str,
        rng: random.Random,
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
        self._rng = rng
        self._count_instances = count_instances

    def choose(
        self, demand: demands.Demand, now: float
    ) -> Placement | NoCapacity:
        """Chooses a place, or says when there may be one."""
        usable = self._table.list_service(demand.service.name, now)
        # Where all have failed, one of them may still do better this time.
        untried = [
            target
            for target in usable
            if target.record.target_id not in demand.excluded
        ]
        candidates = [
            demands.Candidate(
                target,
                self._load.load(target.record.target_id, now),
                target.slowdown(now),
            )
            for target in untried or usable
        ]
        if not candidates:
            return NoCapacity(
                "no target", NO_TARGET_RETRY_S, is_for_all_requests=True
            )
        costs = placement_costs.PlacementCosts(
            self._data_centre, self._rng, self._count_instances()
        )
        if demand.service.cost_model is None:
            return self._choose_plain(costs, candidates, now)
        return self._choose_engine(
            costs, demand, demand.service.cost_model, candidates, now
        )

    def _choose_plain(
        self,
        costs: placement_costs.PlacementCosts,
        candidates: list[demands.Candidate],
        now: float,
    ) -> Placement | NoCapacity:
        """Chooses a target of a plain service: the least loaded one."""
        open_candidates = _with_free_slots(candidates)
        if not open_candidates:
            return _no_capacity(
                "all targets are full", candidates, is_for_all_requests=True
            )
        lowest_cost, best = min(
            (
                (costs.call_cost(candidate, now), candidate)
                for candidate in open_candidates
            ),
            key=lambda pair: pair[0],
        )
        expected_s = DEFAULT_CALL_S * best.slowdown
        return Placement(best.target, (), expected_s, expected_s, lowest_cost)

    def _choose_engine(
        self,
        costs: placement_costs.PlacementCosts,
        demand: demands.Demand,
        cost_model: fleet.EngineCostModel,
        candidates: list[demands.Candidate],
        now: float,
    ) -> Placement | NoCapacity:
        """Chooses an engine, and helpers where they shorten the reading."""
        size = demand.prompt_tokens + demand.output_tokens
        if size > cost_model.memory_tokens * PLANNED_MEMORY_FRACTION * len(
            candidates
        ):
            return NoCapacity("larger than all engines' memory", math.inf)
        open_candidates = _with_free_slots(candidates)
        if not open_candidates:
            return _no_capacity(
                "all engines are full", candidates, is_for_all_requests=True
            )
        open_candidates = [
            candidate
            for candidate in open_candidates
            if _free_tokens(cost_model, candidate) >= demand.output_tokens
        ]
        if not open_candidates:
            return _no_capacity("all engines are full", candidates)
        whole_prefill_s = engine_timing.prefill_s(
            cost_model, demand.prompt_tokens
        )
        best: Placement | None = None
        for parts in PART_COUNTS:
            if parts > 1 and whole_prefill_s / parts < MIN_PART_S:
                break
            option = self._place_in_parts(
                costs,
                demand,
                cost_model,
                open_candidates,
                candidates,
                parts,
                now,
            )
            if option is not None and (best is None or option.cost < best.cost):
                best = option
        return best or _no_capacity("all engines are full", candidates)

    def _place_in_parts(
        self,
        costs: placement_costs.PlacementCosts,
        demand: demands.Demand,
        cost_model: fleet.EngineCostModel,
        open_candidates: list[demands.Candidate],
        candidates: list[demands.Candidate],
        parts: int,
        now: float,
    ) -> Placement | None:
        """Returns the best place for reading in so many parts, if any."""
        part_s = engine_timing.prefill_s(
            cost_model, demand.prompt_tokens, parts
        )
        target_costs = {
            candidate.target_id: costs.target_cost(
                demand, cost_model, candidate, part_s, now
            )
            for candidate in candidates
        }

        def total_cost(candidate: demands.Candidate) -> float:
            return target_costs[candidate.target_id] + costs.request_loss(
                demand, _first_token_s(cost_model, candidate, part_s, demand)
            )

        size = demand.prompt_tokens + demand.output_tokens
        if parts == 1:
            # Nobody else holds a part of the prompt.
            open_candidates = [
                one
                for one in open_candidates
                if _free_tokens(cost_model, one) >= size
            ]
            if not open_candidates:
                return None
        primary = min(open_candidates, key=total_cost)
        helpers: list[demands.Candidate] = []
        if parts > 1:
            helper_candidates = [
                candidate
                for candidate in candidates
                if candidate.target_id != primary.target_id
                and candidate.load.helping < candidate.target.record.slots
            ]
            if len(helper_candidates) < parts - 1:
                return None
            helper_candidates.sort(key=total_cost)
            helpers = helper_candidates[: parts - 1]
        prefill_end_s = max(
            _part_end_s(cost_model, candidate, part_s)
            for candidate in (primary, *helpers)
        )
        first_token_s = max(
            _first_token_s(cost_model, primary, part_s, demand), prefill_end_s
        )
        reserved = _split_reservation(cost_model, size, primary, helpers)
        if reserved is None:
            return None
        cost = costs.request_loss(demand, first_token_s) + sum(
            target_costs[candidate.target_id]
            for candidate in (primary, *helpers)
        )
        cost += RESERVATION_COST * sum(1 for tokens in reserved if tokens)
        return Placement(
            primary.target,
            tuple(
                Helper(helper.target, tokens)
                for helper, tokens in zip(helpers, reserved, strict=True)
            ),
            first_token_s,
            prefill_end_s,
            cost,
        )


def _with_free_slots(
    candidates: list[demands.Candidate],
) -> list[demands.Candidate]:
    """Returns those that have a place left."""
    return [
        candidate
        for candidate in candidates
        if candidate.load.running < candidate.target.record.slots
    ]


def _free_tokens(
    cost_model: fleet.EngineCostModel, candidate: demands.Candidate
) -> int:
    """Returns the memory that is free on an engine."""
    usable_tokens = int(cost_model.memory_tokens * PLANNED_MEMORY_FRACTION)
    return usable_tokens - candidate.load.memory_tokens


def _split_reservation(
    cost_model: fleet.EngineCostModel,
    size: int,
    primary: demands.Candidate,
    helpers: list[demands.Candidate],
) -> list[int] | None:
    """Returns the tokens to reserve at each helper; None if they don't fit.

    Memory is reserved elsewhere only for what the first engine can't hold.
    """
    unplaced_tokens = max(size - max(_free_tokens(cost_model, primary), 0), 0)
    reserved = []
    for helper in helpers:
        tokens = min(max(_free_tokens(cost_model, helper), 0), unplaced_tokens)
        reserved.append(tokens)
        unplaced_tokens -= tokens
    return None if unplaced_tokens else reserved


def _part_end_s(
    cost_model: fleet.EngineCostModel,
    candidate: demands.Candidate,
    part_s: float,
) -> float:
    """Returns when a part has been read there."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    decode_wait_s = engine_timing.event_interval_s(cost_model, contexts) / 2
    return candidate.load.reading_left_s + candidate.slowdown * (
        part_s + decode_wait_s
    )


def _first_token_s(
    cost_model: fleet.EngineCostModel,
    candidate: demands.Candidate,
    part_s: float,
    demand: demands.Demand,
) -> float:
    """Returns when the first event comes: a pass after the reading."""
    contexts = [writer.context_tokens for writer in candidate.load.writers]
    contexts.append(demand.prompt_tokens)
    event_interval_s = candidate.slowdown * engine_timing.event_interval_s(
        cost_model, contexts
    )
    return _part_end_s(cost_model, candidate, part_s) + event_interval_s


def _no_capacity(
    reason: str,
    candidates: list[demands.Candidate],
    *,
    is_for_all_requests: bool = False,
) -> NoCapacity:
    """Returns when the first of the targets frees a place."""
    capacity_in_s = min(candidate.load.frees_in_s for candidate in candidates)
    return NoCapacity(reason, capacity_in_s, is_for_all_requests)
