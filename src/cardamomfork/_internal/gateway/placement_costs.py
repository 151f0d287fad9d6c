"""What a place costs a request, and the requests beside it.

Costs are in values of requests: 1 is the loss of a short prompt's request.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from cardamomfork._internal.gateway import engine_timing

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway import demands
    from cardamomfork._internal.gateway import load_view
    from cardamomfork._internal.models import fleet

SAFE_OBJECTIVE_FRACTION = 0.6
"""Part of the objective up to which a first token is surely on time."""
SAFE_GAP_FRACTION = 0.7
"""Part of the longest pause up to which an event is surely on time."""
LATE_LOSS_FRACTION = 0.75
"""Part of its value that a late answer loses."""
FIRST_TOKEN_COST = 0.05
"""Cost of a first token at the end of the objective against one at once."""
IDLE_TARGET_COST = 0.3
MIN_IDLE_TARGET_COST = 0.1
"""Cost of taking an idle engine, which a long prompt could use alone: for one
instance alone, and among several, which would all gather on the same engines
before they see each other's placements."""
MIXED_CLASS_COST = 0.3
"""Cost of joining streams of another length class."""
FILL_ORDER_COST = 0.1
"""Cost of the engine at the far end of the order in which a length class
fills engines, against the one at its near end."""
SHORT_PREFILL_S = 0.1
"""Reading time up to which a prompt counts as short."""
REMOTE_COST = 0.05
"""Cost of a target in another data centre."""
MIN_RANDOM_COST = 0.02
MAX_RANDOM_COST = 0.4
"""Random cost that keeps instances from all choosing the same engine: of one
instance alone, and among several."""
MAX_RANDOM_COST_INSTANCES = 30
"""Instances from which on they count as several."""
MIN_CALL_RANDOM_COST = 0.02
MAX_CALL_RANDOM_COST = 0.3
"""The same for calls to plain services, of one instance and among many."""
MAX_CROWDING_INSTANCES = 60
"""Instances from which on they count as many."""
CROWDING_COST = 0.4
UNCROWDED_FRACTION = 0.5
"""Cost of the last place of a plain service's target where so many instances
choose that others surely choose it too, and the part of its places that is
free of it."""
PREFILL_DELAY_COST_PER_S = 0.1
"""Cost of a second's delay to requests that wait for their first token."""
SAFE_SLACK_FRACTION = 0.3
"""Part of a reader's slack that a further part of a prompt may take."""
FAILURE_COST = 2.0
"""Cost of a target whose attempts all fail, in values of the request."""


class PlacementCosts:
    """Costs of places for one choice, as one instance sees them."""

    def __init__(
        self, data_centre: str, rng: random.Random, instances: int
    ) -> None:
        """Takes what costs depend on beside the load.

        Args:
            data_centre: Where this instance runs.
            source: Randomness.
            instances: How many instances place requests.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._crowding_ratio = min(instances / MAX_CROWDING_INSTANCES, 1.0)
        extra_instances_ratio = min(
            (instances - 1) / (MAX_RANDOM_COST_INSTANCES - 1), 1.0
        )
        self._max_random_cost = max(
            MIN_RANDOM_COST, MAX_RANDOM_COST * extra_instances_ratio
        )
        self._idle_target_cost = (
            IDLE_TARGET_COST
            - (IDLE_TARGET_COST - MIN_IDLE_TARGET_COST) * extra_instances_ratio
        )

    def request_loss(
        self, demand: demands.Demand, first_token_s: float
    ) -> float:
        """Returns what the request loses by its first token's time."""
        if first_token_s >= demand.time_left_s:
            return demand.value
        objective = max(demand.objective_left_s, 1e-3)
        time_ratio = first_token_s / objective
        return demand.value * (
            FIRST_TOKEN_COST * min(time_ratio, 1.0)
            + LATE_LOSS_FRACTION * ramp(time_ratio, SAFE_OBJECTIVE_FRACTION)
        )

    def target_cost(
        self,
        demand: demands.Demand,
        cost_model: fleet.EngineCostModel,
        candidate: demands.Candidate,
        part_s: float,
        now: float,
    ) -> float:
        """Returns what reading there costs others, and the place's risks."""
        load = candidate.load
        cost = (
            FAILURE_COST
            * demand.value
            * candidate.target.decayed_failure_rate(now)
        )
        cost += self._remote_cost(candidate)
        cost += _delay_cost(load, part_s * candidate.slowdown)
        cost += self._max_random_cost * self._rng.random()
        cost += _fill_order_cost(cost_model, demand, candidate)
        if not load.writers:
            if not load.running and demand.max_gap_s < math.inf:
                cost += self._idle_target_cost
            return cost
        contexts = [writer.context_tokens for writer in load.writers]
        event_interval_s = candidate.slowdown * engine_timing.event_interval_s(
            cost_model, contexts
        )
        max_prefill_step_s = cost_model.stride_steps * _max_chunk_s(
            cost_model, demand.prompt_tokens
        )
        gap_before_s = event_interval_s + min(
            load.reading_left_s, max_prefill_step_s
        )
        gap_after_s = event_interval_s + min(
            load.reading_left_s + candidate.slowdown * part_s,
            max_prefill_step_s,
        )
        for writer in load.writers:
            cost += (
                LATE_LOSS_FRACTION
                * writer.value
                * (
                    ramp(gap_after_s / writer.max_gap_s, SAFE_GAP_FRACTION)
                    - ramp(gap_before_s / writer.max_gap_s, SAFE_GAP_FRACTION)
                )
            )
        cost += (
            LATE_LOSS_FRACTION
            * demand.value
            * ramp(event_interval_s / demand.max_gap_s, SAFE_GAP_FRACTION)
        )
        if any(writer.max_gap_s != demand.max_gap_s for writer in load.writers):
            cost += MIXED_CLASS_COST
        return cost

    def call_cost(self, candidate: demands.Candidate, now: float) -> float:
        """Returns what a call to a target of a plain service costs there."""
        record = candidate.target.record
        occupied_fraction = (candidate.load.running + 1) / record.slots
        random_cost = max(
            MIN_CALL_RANDOM_COST, MAX_CALL_RANDOM_COST * self._crowding_ratio
        )
        return (
            candidate.load.running / record.slots
            + FAILURE_COST * candidate.target.decayed_failure_rate(now)
            + (candidate.slowdown - 1.0)
            + self._remote_cost(candidate)
            + random_cost * self._rng.random()
            + CROWDING_COST
            * self._crowding_ratio
            * ramp(occupied_fraction, UNCROWDED_FRACTION)
        )

    def _remote_cost(self, candidate: demands.Candidate) -> float:
        """Returns the cost of another data centre."""
        is_local = candidate.target.record.data_centre == self._data_centre
        return 0.0 if is_local else REMOTE_COST


def ramp(fraction: float, safe_fraction: float) -> float:
    """Returns 0 up to the margin, 1 from the whole on, and between them."""
    if fraction <= safe_fraction:
        return 0.0
    return min((fraction - safe_fraction) / (1.0 - safe_fraction), 1.0)


def _max_chunk_s(
    cost_model: fleet.EngineCostModel, prompt_tokens: int
) -> float:
    """Returns the longest time of the reading in one step."""
    return cost_model.chunk_tokens * (
        1 / cost_model.read_tokens_per_s + prompt_tokens * cost_model.pair_s
    )


def _delay_cost(load: load_view.TargetLoad, delay_s: float) -> float:
    """Returns what the requests that read there lose by a delay."""
    cost = 0.0
    for reader in load.readers:
        cost += PREFILL_DELAY_COST_PER_S * reader.value * delay_s
        # A reader that is late already has lost what it can lose.
        if reader.slack_s > 0:
            delay_ratio = delay_s / reader.slack_s
            cost += (
                LATE_LOSS_FRACTION
                * reader.value
                * ramp(delay_ratio, SAFE_SLACK_FRACTION)
            )
    return cost


def _fill_order_cost(
    cost_model: fleet.EngineCostModel,
    demand: demands.Demand,
    candidate: demands.Candidate,
) -> float:
    """Returns the cost of an engine's place in the order of filling.

    All instances fill engines in one order, short prompts from one end and
    long ones from the other, so that the two seldom share an engine.
    """
    digest = xxhash.xxh3_64_intdigest(candidate.target_id.encode())
    position = digest / 2**64
    is_short = (
        engine_timing.prefill_s(cost_model, demand.prompt_tokens)
        <= SHORT_PREFILL_S
    )
    return FILL_ORDER_COST * (position if is_short else 1.0 - position)
