"""The cost of a placement to the request and to concurrent requests.

Costs are in the unit of `demands.request_value`: losing a request with a prompt
of `demands.VALUE_SCALE_TOKENS` tokens costs 1.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from cardamomfork._internal.gateway.choice import engine_timing

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.models import fleet

SAFE_OBJECTIVE_FRACTION = 0.6
"""Fraction of the objective up to which a predicted first token has no lateness
cost."""
SAFE_GAP_FRACTION = 0.7
"""Fraction of the maximum gap up to which a predicted gap has no lateness
cost."""
LATE_LOSS_FRACTION = 0.75
"""Fraction of its value that a late answer loses."""
FIRST_TOKEN_COST = 0.05
"""Cost of a first token just within the objective, relative to an immediate
one, as a fraction of the request's value."""
IDLE_TARGET_COST = 0.3
MIN_IDLE_TARGET_COST = 0.1
"""Cost of using an idle engine, which then isn't available to a long prompt
alone. The first value applies to a single instance. The lower one applies to
many instances: with a high cost, all of them would choose the same busy
engines before they learn of each other's placements."""
MIXED_CLASS_COST = 0.3
"""Cost of joining streams with another maximum gap."""
FILL_ORDER_COST = 0.1
"""Cost of the last engine in the order in which a length class fills engines,
relative to the first one."""
SHORT_PREFILL_S = 0.1
"""Prefill time up to which a prompt counts as short."""
REMOTE_COST = 0.05
"""Cost of a target in another data centre."""
MIN_RANDOM_COST = 0.02
MAX_RANDOM_COST = 0.4
"""Upper bounds of the random cost that keeps instances from all choosing the
same engine: for a single instance, and for many instances."""
MAX_RANDOM_COST_INSTANCES = 30
"""Number of instances from which the costs for many instances apply."""
MIN_CALL_RANDOM_COST = 0.02
MAX_CALL_RANDOM_COST = 0.3
"""The same for calls to plain services."""
MAX_CROWDING_INSTANCES = 60
"""Number of instances from which the costs of plain services for many instances
apply."""
CROWDING_COST = 0.4
UNCROWDED_FRACTION = 0.5
"""With many instances, others are likely to choose the same target at the same
time. The cost applies to the last free slot of a target, and is 0 while at most
the given fraction of the slots is in use. A request beyond the slots waits
until another one ends, which makes half of the short prompts late."""
ENGINE_UNCROWDED_FRACTION = 0.8
"""The same fraction for engines. With 0.5, short prompts spread so far that
long ones found fewer idle engines, and their worth on time fell."""
MIN_CROWDED_ENGINE_INSTANCES = 13
"""Number of instances from which that cost applies to engines. Fewer ones see
each other's placements before they choose the same slot."""
PREFILL_DELAY_COST_PER_S = 0.1
"""Cost of a delay to a request that waits for its first token, as a fraction of
its value."""
SAFE_SLACK_FRACTION = 0.3
"""Fraction of a reader's slack that a delay may use without a lateness cost."""
MAX_FILL_POSITIONS = 8192
COLD_COST = 0.3
"""Cost of a cold target, as a multiple of the request's value, and for calls as
a fraction of a target's slots. Warm targets are preferred until their load
costs more than this; a request that is late loses 0.75 of its value."""
FAILURE_COST = 2.0
"""Cost of a target whose attempts all fail, as a multiple of the request's
value."""


@attrs.frozen
class EvaluatedCandidate:
    """A candidate for one request, for any number of parts of its prefill.

    Attributes:
        candidate: The candidate.
        fixed_cost: Cost that does not depend on the length of the part,
            including the risk that the target fails.
        event_interval_s: Time between two events of its streams.
        own_event_interval_s: The same with the request among them.
        max_prefill_step_s: Longest time by which the request's prefill delays
            an event.
    """

    candidate: demands.Candidate
    fixed_cost: float
    event_interval_s: float
    own_event_interval_s: float
    max_prefill_step_s: float

    @property
    def target_id(self) -> str:
        """The target's id."""
        return self.candidate.target_id

    def cost(self, part_s: float) -> float:
        """Returns the cost of a part apart from the request's lateness.

        It includes the loss of the requests that the target already has.

        Args:
            part_s: Prefill time of the part.
        """
        load = self.candidate.load
        slowdown = self.candidate.slowdown
        cost = self.fixed_cost
        if load.readers:
            cost += _delay_cost(load, part_s * slowdown)
        if not load.writers:
            return cost
        gap_before_s = slowdown * self.event_interval_s + min(
            load.reading_left_s, self.max_prefill_step_s
        )
        gap_after_s = slowdown * self.event_interval_s + min(
            load.reading_left_s + slowdown * part_s, self.max_prefill_step_s
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
        return cost

    def part_end_s(self, part_s: float) -> float:
        """Returns the predicted time until the engine has computed a part."""
        return self.candidate.load.reading_left_s + self.candidate.slowdown * (
            part_s + self.event_interval_s / 2
        )

    def first_token_s(self, part_s: float) -> float:
        """Returns the predicted time to the first event.

        It is sent one event interval after the end of the prefill.
        """
        return (
            self.part_end_s(part_s)
            + self.candidate.slowdown * self.own_event_interval_s
        )


class PlacementCosts:
    """Costs of the candidates for one request, as this instance sees them."""

    def __init__(
        self, data_centre: str, rng: random.Random, instances: int
    ) -> None:
        """Initializes the costs.

        Args:
            data_centre: The data centre of this instance.
            rng: Random generator for tie-breaking.
            instances: Number of instances that place requests.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._crowding_ratio = min(instances / MAX_CROWDING_INSTANCES, 1.0)
        self._has_crowded_engines = instances >= MIN_CROWDED_ENGINE_INSTANCES
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
        """Returns the loss of the request for a predicted first token time."""
        if first_token_s >= demand.time_left_s:
            return demand.value
        objective = max(demand.objective_left_s, 1e-3)
        time_ratio = first_token_s / objective
        return demand.value * (
            FIRST_TOKEN_COST * min(time_ratio, 1.0)
            + LATE_LOSS_FRACTION * ramp(time_ratio, SAFE_OBJECTIVE_FRACTION)
        )

    def evaluate(
        self,
        demand: demands.Demand,
        cost_model: fleet.EngineCostModel,
        candidate: demands.Candidate,
        now: float,
    ) -> EvaluatedCandidate:
        """Works out what does not depend on the number of parts."""
        load = candidate.load
        contexts = [writer.context_tokens for writer in load.writers]
        event_interval_s = engine_timing.event_interval_s(cost_model, contexts)
        fixed_cost = (
            FAILURE_COST
            * demand.value
            * candidate.target.decayed_failure_rate(now)
            + self._remote_cost(candidate)
            + self._max_random_cost * self._rng.random()
            + _fill_order_cost(cost_model, demand, candidate)
        )
        if self._has_crowded_engines:
            fixed_cost += self._crowding_cost(
                candidate, ENGINE_UNCROWDED_FRACTION
            )
        if candidate.target.is_cold(now):
            fixed_cost += COLD_COST * demand.value
        max_prefill_step_s = 0.0
        if load.writers:
            max_prefill_step_s = cost_model.steps_per_event * _max_chunk_s(
                cost_model, demand.prompt_tokens
            )
            fixed_cost += (
                LATE_LOSS_FRACTION
                * demand.value
                * ramp(
                    candidate.slowdown * event_interval_s / demand.max_gap_s,
                    SAFE_GAP_FRACTION,
                )
            )
            if any(
                writer.max_gap_s != demand.max_gap_s for writer in load.writers
            ):
                fixed_cost += MIXED_CLASS_COST
        elif not load.running and demand.max_gap_s < math.inf:
            fixed_cost += self._idle_target_cost
        contexts.append(demand.prompt_tokens)
        return EvaluatedCandidate(
            candidate,
            fixed_cost,
            event_interval_s,
            engine_timing.event_interval_s(cost_model, contexts),
            max_prefill_step_s,
        )

    def call_cost(self, candidate: demands.Candidate, now: float) -> float:
        """Returns the cost of a call to a target of a plain service."""
        record = candidate.target.record
        random_cost = max(
            MIN_CALL_RANDOM_COST, MAX_CALL_RANDOM_COST * self._crowding_ratio
        )
        return (
            candidate.load.running / record.slots
            + FAILURE_COST * candidate.target.decayed_failure_rate(now)
            + (COLD_COST if candidate.target.is_cold(now) else 0.0)
            + (candidate.slowdown - 1.0)
            + self._remote_cost(candidate)
            + random_cost * self._rng.random()
            + self._crowding_cost(candidate, UNCROWDED_FRACTION)
        )

    def _crowding_cost(
        self, candidate: demands.Candidate, uncrowded_fraction: float
    ) -> float:
        """Returns the cost of a slot that others may choose now as well."""
        occupied_fraction = (
            candidate.load.running + 1
        ) / candidate.target.record.slots
        return (
            CROWDING_COST
            * self._crowding_ratio
            * ramp(occupied_fraction, uncrowded_fraction)
        )

    def _remote_cost(self, candidate: demands.Candidate) -> float:
        """Returns the cost of the target's distance."""
        is_local = candidate.target.record.data_centre == self._data_centre
        return 0.0 if is_local else REMOTE_COST


def ramp(fraction: float, safe_fraction: float) -> float:
    """Returns 0 up to the safe fraction, 1 from 1 on, linear in between."""
    if fraction <= safe_fraction:
        return 0.0
    return min((fraction - safe_fraction) / (1.0 - safe_fraction), 1.0)


def _max_chunk_s(
    cost_model: fleet.EngineCostModel, prompt_tokens: int
) -> float:
    """Returns the longest time that a prefill chunk adds to a step."""
    return cost_model.chunk_tokens * (
        1 / cost_model.prefill_rate_tokens_per_s
        + prompt_tokens * cost_model.attention_pair_s
    )


def _delay_cost(load: load_view.TargetLoad, delay_s: float) -> float:
    """Returns the loss of a target's requests in prefill from a delay."""
    cost = 0.0
    for reader in load.readers:
        cost += PREFILL_DELAY_COST_PER_S * reader.value * delay_s
        # A further delay costs a reader nothing more once it is late.
        if reader.slack_s > 0:
            delay_ratio = delay_s / reader.slack_s
            cost += (
                LATE_LOSS_FRACTION
                * reader.value
                * ramp(delay_ratio, SAFE_SLACK_FRACTION)
            )
    return cost


@functools.lru_cache(maxsize=MAX_FILL_POSITIONS)
def _fill_position(target_id: str) -> float:
    """Returns a target's position in the fill order, from 0 to 1."""
    return float(xxhash.xxh3_64_intdigest(target_id.encode()) / 2**64)


def _fill_order_cost(
    cost_model: fleet.EngineCostModel,
    demand: demands.Demand,
    candidate: demands.Candidate,
) -> float:
    """Returns the cost of an engine's position in the fill order.

    All instances fill engines in the same order. Short prompts start from one
    end and long prompts from the other, so that they seldom share an engine.
    """
    position = _fill_position(candidate.target_id)
    is_short = (
        engine_timing.prefill_s(cost_model, demand.prompt_tokens)
        <= SHORT_PREFILL_S
    )
    return FILL_ORDER_COST * (position if is_short else 1.0 - position)
