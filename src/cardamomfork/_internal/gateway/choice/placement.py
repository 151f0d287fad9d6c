"""Chooses the target of a request, and the helpers that share its prefill.

The choice is made for mixed loads, in which prompts of a thousand tokens
share engines with prompts of a hundred thousand. An engine interleaves prefill
chunks with decode steps, so a long prefill lengthens the gap between the
events of every stream on the same engine. The cost of a placement is the
expected loss of the request itself plus the loss that it causes to the other
requests on its engines.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import candidate_sampling
from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement_costs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    import random

    from cardamomfork._internal.gateway.state import data_centre_reach
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet

PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are considered for the prefill of one prompt."""
MIN_PART_S = 0.1
"""Minimum prefill time of a part; shorter ones don't pay for their setup."""
RESERVATION_COST = 0.02
"""Cost of one memory reservation, its renewals included."""
PLANNED_MEMORY_FRACTION = 0.97
"""Fraction of an engine's memory that placements may fill."""
NO_TARGET_RETRY_S = 1.0
"""Assumed time until a target is available when a service has none. Targets
whose store entries lapsed register again within about two seconds."""
EXCLUDED_RETRY_S = 1.3
"""Time after which callers may come back if evacuations or allowed regions
leave no data centre. With the jitter of refusals it is spread over 1.3 to
1.95 s; evacuations last for seconds at least."""
GOOD_COST_FRACTION = 0.25
"""Cost up to which a placement on one of some targets is taken, as a fraction
of the request's value."""
DEFAULT_CALL_S = 0.1
"""Assumed duration of a call to a plain service."""


@attrs.frozen
class Helper:
    """A target that computes the prefill of a part of a prompt.

    Attributes:
        target: The target.
        reserved_tokens: Tokens of memory to reserve there for the prompt.
    """

    target: target_table.Target
    reserved_tokens: int = 0


@attrs.frozen
class Placement:
    """The targets that serve a request.

    Attributes:
        target: The target that runs the request.
        helpers: Targets that compute parts of its prefill.
        first_token_s: Predicted time to the first token.
        prefill_s: Predicted time until the prefill is complete.
        cost: Expected loss, in the unit of `demands.request_value`.
        max_permit_wait_s: Longest wait for a permit, if the target limits the
            rate of requests.
    """

    target: target_table.Target
    helpers: tuple[Helper, ...]
    first_token_s: float
    prefill_s: float
    cost: float
    max_permit_wait_s: float = 0.0


@attrs.frozen
class NoCapacity:
    """No target has capacity for the request now.

    Attributes:
        reason: The reason, as logged and sent to the caller.
        capacity_in_s: Predicted time until a target has capacity; infinite if
            no target can ever hold the request.
        is_for_all_requests: Whether these targets have no capacity for any
            request.
        may_wait: Whether the request may wait for the capacity.
    """

    reason: str
    capacity_in_s: float
    is_for_all_requests: bool = False
    may_wait: bool = True


class Placer:
    """Chooses placements by the known load of the targets."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        data_centre: str,
        rng: random.Random,
        count_instances: Callable[[], int] = lambda: 1,
        reach: data_centre_reach.DataCentreReach | None = None,
    ) -> None:
        """Initializes the placer.

        Args:
            table: The known targets.
            load: The load of each target.
            data_centre: The data centre of this instance.
            rng: Random generator for tie-breaking.
            count_instances: Returns the number of instances that place
                requests.
            reach: Which data centres are reached; None if all are.
        """
        self._table = table
        self._load = load
        self._data_centre = data_centre
        self._rng = rng
        self._count_instances = count_instances
        self._reach = reach
        self._sampler = candidate_sampling.CandidateSampler(
            table, load, data_centre, rng, self._unreachable
        )

    def choose(
        self, demand: demands.Demand, now: float
    ) -> Placement | NoCapacity:
        """Returns a placement, or the predicted time to free capacity.

        In a large fleet, some targets are compared first, and all of them only
        if none of these serves the request well.
        """
        sample = self._sampler.sample(demand, now)
        if sample is not None and sample.targets:
            chosen = self._choose_among(demand, sample.targets, now)
            if isinstance(chosen, Placement) and (
                not sample.is_random or _is_good(demand, chosen)
            ):
                return chosen
        return self._choose_among(
            demand,
            [
                target
                for target in self._table.list_service(demand.service.name, now)
                if demand.allows(target.record.data_centre)
            ],
            now,
        )

    def _unreachable(self, now: float) -> frozenset[str]:
        """Returns the data centres that are not reached."""
        return (
            frozenset() if self._reach is None else self._reach.unreachable(now)
        )

    def _choose_among(
        self,
        demand: demands.Demand,
        listed: list[target_table.Target],
        now: float,
    ) -> Placement | NoCapacity:
        """Returns the best placement on some targets, if there is any."""
        usable = [
            target
            for target in listed
            if not self._table.rest_left_s(target.record, now)
        ]
        if listed and not usable:
            return self._no_capacity_before_rest_ends(demand, listed, now)
        if not listed and (reason := self._find_exclusion(demand)) is not None:
            return NoCapacity(
                reason,
                EXCLUDED_RETRY_S,
                is_for_all_requests=True,
                may_wait=False,
            )
        unreachable = self._unreachable(now)
        if unreachable:
            # Without another target, one out of reach may still succeed.
            usable = [
                target
                for target in usable
                if target.record.data_centre not in unreachable
            ] or usable
        # If all targets are excluded, one of them may still succeed now.
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
        permitted, max_permit_wait_s = _filter_by_permit(
            demand, candidates, now
        )
        if not permitted:
            return NoCapacity(
                "all targets are at their rate limits",
                min(one.target.permit_wait_s(now) for one in candidates),
                may_wait=False,
            )
        costs = placement_costs.PlacementCosts(
            self._data_centre, self._rng, self._count_instances()
        )
        if demand.service.cost_model is None:
            chosen = self._choose_plain(costs, permitted, now)
        else:
            chosen = self._choose_engine(
                costs, demand, demand.service.cost_model, permitted, now
            )
        if isinstance(chosen, Placement):
            return attrs.evolve(chosen, max_permit_wait_s=max_permit_wait_s)
        return chosen

    def _find_exclusion(self, demand: demands.Demand) -> str | None:
        """Returns why no data centre may serve a request, or None if one may.

        It isn't for lack of usable targets, for which a request may wait.
        """
        allowed = demand.allowed_data_centres
        staying = self._table.staying_data_centres(demand.service.name)
        if allowed is not None and not allowed & staying:
            return "no target is in an allowed region"
        if not staying or not self._table.are_evacuated(
            staying if allowed is None else staying & allowed
        ):
            return None
        if allowed is None:
            return "all data centres of the service are evacuated"
        return "all allowed data centres of the service are evacuated"

    def _no_capacity_before_rest_ends(
        self,
        demand: demands.Demand,
        targets: list[target_table.Target],
        now: float,
    ) -> NoCapacity:
        """Returns the result for targets that have all asked for a rest.

        A request waits only for a rest that ends before it is late.
        """
        rest_s = min(
            self._table.rest_left_s(target.record, now) for target in targets
        )
        return NoCapacity(
            "all targets have asked for a rest",
            rest_s,
            may_wait=rest_s < demand.objective_left_s,
        )

    def _choose_plain(
        self,
        costs: placement_costs.PlacementCosts,
        candidates: list[demands.Candidate],
        now: float,
    ) -> Placement | NoCapacity:
        """Chooses the target of a plain service with the lowest cost."""
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
        """Chooses an engine, and helpers if they reduce the cost."""
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
        # Limited engines help only a request that fits nowhere else.
        unlimited = [
            candidate
            for candidate in candidates
            if candidate.target.rate_limit_per_s(now) is None
        ]
        pairs = {} if self._reach is None else self._reach.pairs_apart(now)

        def choose_parts(
            helpers: list[demands.Candidate], apart: Collection[frozenset[str]]
        ) -> Placement | None:
            return self._choose_parts(
                costs, demand, cost_model, open_candidates, helpers, apart, now
            )

        best = choose_parts(unlimited, pairs)
        if best is None and len(unlimited) < len(candidates):
            best = choose_parts(candidates, pairs)
        if best is None and pairs and choose_parts(candidates, ()):
            return NoCapacity(
                "helpers are out of reach of engines", max(pairs.values())
            )
        return best or _no_capacity("all engines are full", candidates)

    def _choose_parts(
        self,
        costs: placement_costs.PlacementCosts,
        demand: demands.Demand,
        cost_model: fleet.EngineCostModel,
        open_candidates: list[demands.Candidate],
        helper_candidates: list[demands.Candidate],
        apart: Collection[frozenset[str]],
        now: float,
    ) -> Placement | None:
        """Returns the best placement with any number of parts, if any."""
        whole_prefill_s = engine_timing.prefill_s(
            cost_model, demand.prompt_tokens
        )
        by_id = {
            one.target_id: costs.evaluate(demand, cost_model, one, now)
            for one in {
                one.target_id: one
                for one in (*helper_candidates, *open_candidates)
            }.values()
        }
        primaries = [by_id[one.target_id] for one in open_candidates]
        helpers = [by_id[one.target_id] for one in helper_candidates]
        best: Placement | None = None
        for parts in PART_COUNTS:
            if parts > 1 and whole_prefill_s / parts < MIN_PART_S:
                break
            for group in _group_primaries(primaries, apart):
                option = _place_in_parts(
                    costs, demand, cost_model, group, helpers, parts, apart
                )
                if option is not None and (
                    best is None or option.cost < best.cost
                ):
                    best = option
        return best


def _group_primaries(
    primaries: list[placement_costs.EvaluatedCandidate],
    apart: Collection[frozenset[str]],
) -> list[list[placement_costs.EvaluatedCandidate]]:
    """Returns the primaries in groups whose best ones are to be compared.

    Which helpers a primary may have depends on its data centre if some data
    centres are kept apart.
    """
    if not apart:
        return [primaries]
    groups: dict[str, list[placement_costs.EvaluatedCandidate]] = {}
    for one in primaries:
        groups.setdefault(_data_centre(one), []).append(one)
    return list(groups.values())


def _data_centre(one: placement_costs.EvaluatedCandidate) -> str:
    """Returns the data centre of a candidate."""
    return one.candidate.target.record.data_centre


def _place_in_parts(
    costs: placement_costs.PlacementCosts,
    demand: demands.Demand,
    cost_model: fleet.EngineCostModel,
    primaries: list[placement_costs.EvaluatedCandidate],
    possible_helpers: list[placement_costs.EvaluatedCandidate],
    parts: int,
    apart: Collection[frozenset[str]],
) -> Placement | None:
    """Returns the best placement with this number of parts, if any."""
    part_s = engine_timing.prefill_s(cost_model, demand.prompt_tokens, parts)

    def total_cost(one: placement_costs.EvaluatedCandidate) -> float:
        return one.cost(part_s) + costs.request_loss(
            demand, one.first_token_s(part_s)
        )

    size = demand.prompt_tokens + demand.output_tokens
    if parts == 1:
        # Without helpers, the whole request must fit into one engine.
        primaries = [
            one
            for one in primaries
            if _free_tokens(cost_model, one.candidate) >= size
        ]
        if not primaries:
            return None
    primary = min(primaries, key=total_cost)
    helpers: list[placement_costs.EvaluatedCandidate] = []
    if parts > 1:
        possible_helpers = [
            one
            for one in possible_helpers
            if one is not primary
            and one.candidate.load.helping < one.candidate.target.record.slots
            and frozenset((_data_centre(primary), _data_centre(one)))
            not in apart
        ]
        if len(possible_helpers) < parts - 1:
            return None
        helpers = heapq.nsmallest(parts - 1, possible_helpers, key=total_cost)
    prefill_end_s = max(one.part_end_s(part_s) for one in (primary, *helpers))
    first_token_s = max(primary.first_token_s(part_s), prefill_end_s)
    reserved = _split_reservation(
        cost_model,
        size,
        primary.candidate,
        [one.candidate for one in helpers],
    )
    if reserved is None:
        return None
    cost = costs.request_loss(demand, first_token_s) + sum(
        one.cost(part_s) for one in (primary, *helpers)
    )
    cost += RESERVATION_COST * sum(1 for tokens in reserved if tokens)
    return Placement(
        primary.candidate.target,
        tuple(
            Helper(helper.candidate.target, tokens)
            for helper, tokens in zip(helpers, reserved, strict=True)
        ),
        first_token_s,
        prefill_end_s,
        cost,
    )


def _is_good(demand: demands.Demand, chosen: Placement | NoCapacity) -> bool:
    """Returns whether a placement is on time and delays others little."""
    return (
        isinstance(chosen, Placement)
        and chosen.first_token_s
        <= placement_costs.SAFE_OBJECTIVE_FRACTION * demand.objective_left_s
        and chosen.cost <= GOOD_COST_FRACTION * max(demand.value, 1.0)
    )


def _filter_by_permit(
    demand: demands.Demand, candidates: list[demands.Candidate], now: float
) -> tuple[list[demands.Candidate], float]:
    """Returns the candidates for which a permit may be available.

    Only if all of them limit the rate of requests, a request waits for a
    permit, as long as its first token is still on time.

    Returns:
        The candidates and the longest wait for a permit, in seconds.
    """
    if any(one.target.rate_limit_per_s(now) is None for one in candidates):
        max_wait_s = 0.0
    else:
        cost_model = demand.service.cost_model
        service_s = (
            DEFAULT_CALL_S
            if cost_model is None
            else engine_timing.prefill_s(cost_model, demand.prompt_tokens)
        )
        max_wait_s = max(demand.objective_left_s - service_s, 0.0)
    return [
        one for one in candidates if one.target.permit_wait_s(now) <= max_wait_s
    ], max_wait_s


def _with_free_slots(
    candidates: list[demands.Candidate],
) -> list[demands.Candidate]:
    """Returns the candidates that have a free slot."""
    return [
        candidate
        for candidate in candidates
        if candidate.load.running < candidate.target.record.slots
    ]


def _free_tokens(
    cost_model: fleet.EngineCostModel, candidate: demands.Candidate
) -> int:
    """Returns the free memory of an engine in tokens."""
    usable_tokens = int(cost_model.memory_tokens * PLANNED_MEMORY_FRACTION)
    return usable_tokens - candidate.load.memory_tokens


def _split_reservation(
    cost_model: fleet.EngineCostModel,
    size: int,
    primary: demands.Candidate,
    helpers: list[demands.Candidate],
) -> list[int] | None:
    """Returns the tokens to reserve at each helper; None if they don't fit.

    Helpers reserve memory only for the tokens that the primary engine can't
    hold.
    """
    unplaced_tokens = max(size - max(_free_tokens(cost_model, primary), 0), 0)
    reserved = []
    for helper in helpers:
        tokens = min(max(_free_tokens(cost_model, helper), 0), unplaced_tokens)
        reserved.append(tokens)
        unplaced_tokens -= tokens
    return None if unplaced_tokens else reserved


def _no_capacity(
    reason: str,
    candidates: list[demands.Candidate],
    *,
    is_for_all_requests: bool = False,
) -> NoCapacity:
    """Returns a result with the time until the first target frees a slot."""
    capacity_in_s = min(candidate.load.frees_in_s for candidate in candidates)
    return NoCapacity(reason, capacity_in_s, is_for_all_requests)
