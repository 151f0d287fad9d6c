"""What a place costs a request, and the requests beside it.

Costs are in values of requests: 1 is the loss of a short prompt's request.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from cardamomfork._internal.gateway import engine_law

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway import demands
    from cardamomfork._internal.gateway import load_view
    from cardamomfork._internal.models import fleet

OBJECTIVE_MARGIN = 0.6
"""Part of the objective up to which a first token is surely on time."""
GAP_MARGIN = 0.7
"""Part of the longest pause up to which an event is surely on time."""
LATE_LOSS = 0.75
"""Part of its value that a late answer loses."""
SPEED_WEIGHT = 0.05
"""Cost of a first token at the end of the objective against one at once."""
EMPTY_TARGET_COST = 0.3
MIN_EMPTY_TARGET_COST = 0.1
"""Cost of taking an idle engine, which a long prompt could use alone: for one
instance alone, and among several, which would all gather on the same engines
before they see each other's placements."""
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
MAX_NOISE_COST = 0.4
"""Random cost that keeps instances from all choosing the same engine: of one
instance alone, and among several."""
SEVERAL_INSTANCES = 30
"""Instances from which on they count as several."""
CALL_NOISE_COST = 0.02
MAX_CALL_NOISE_COST = 0.3
"""The same for calls to plain services, of one instance and among many."""
MANY_INSTANCES = 60
"""Instances from which on they count as many."""
CROWDING_COST = 0.4
CROWDING_MARGIN = 0.5
"""Cost of the last place of a plain service's target where so many instances
choose that others surely choose it too, and the part of its places that is
free of it."""
READERS_WEIGHT = 0.1
"""Cost of a second's delay to requests that wait for their first token."""
SLACK_MARGIN = 0.3
"""Part of a reader's slack that a further part of a prompt may take."""
FAILURE_COST = 2.0
"""Cost of a target whose attempts all fail, in values of the request."""


class PlaceCosts:
    """Costs of places for one choice, as one instance sees them."""

    def __init__(
        self, data_centre: str, source: random.Random, instances: int
    ) -> None:
        """Takes what costs depend on beside the load.

        Args:
            data_centre: Where this instance runs.
            source: Randomness.
            instances: How many instances place requests.
        """
        self._data_centre = data_centre
        self._source = source
        self._crowd = min(instances / MANY_INSTANCES, 1.0)
        others = min((instances - 1) / (SEVERAL_INSTANCES - 1), 1.0)
        self._noise = max(NOISE_COST, MAX_NOISE_COST * others)
        self._empty_target = (
            EMPTY_TARGET_COST
            - (EMPTY_TARGET_COST - MIN_EMPTY_TARGET_COST) * others
        )

    def own_loss(self, demand: demands.Demand, first_token_s: float) -> float:
        """Returns what the request loses by its first token's time."""
        if first_token_s >= demand.time_left_s:
            return demand.value
        objective = max(demand.objective_left_s, 1e-3)
        share = first_token_s / objective
        return demand.value * (
            SPEED_WEIGHT * min(share, 1.0)
            + LATE_LOSS * ramp(share, OBJECTIVE_MARGIN)
        )

    def beside(
        self,
        demand: demands.Demand,
        law: fleet.EngineLaw,
        candidate: demands.Candidate,
        part_s: float,
        now: float,
    ) -> float:
        """Returns what reading there costs others, and the place's risks."""
        load = candidate.load
        cost = FAILURE_COST * demand.value * candidate.target.failure_share(now)
        cost += self._distance(candidate)
        cost += _delay_cost(load, part_s * candidate.pace)
        cost += self._noise * self._source.random()
        cost += _order_cost(law, demand, candidate)
        if not load.writers:
            if not load.running and demand.max_gap_s < math.inf:
                cost += self._empty_target
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
                    ramp(after / writer.max_gap_s, GAP_MARGIN)
                    - ramp(before / writer.max_gap_s, GAP_MARGIN)
                )
            )
        cost += (
            LATE_LOSS
            * demand.value
            * ramp(own_pass / demand.max_gap_s, GAP_MARGIN)
        )
        if any(writer.max_gap_s != demand.max_gap_s for writer in load.writers):
            cost += MIXED_TARGET_COST
        return cost

    def call(self, candidate: demands.Candidate, now: float) -> float:
        """Returns what a call to a target of a plain service costs there."""
        record = candidate.target.record
        taken = (candidate.load.running + 1) / record.slots
        noise = max(CALL_NOISE_COST, MAX_CALL_NOISE_COST * self._crowd)
        return (
            candidate.load.running / record.slots
            + FAILURE_COST * candidate.target.failure_share(now)
            + (candidate.pace - 1.0)
            + self._distance(candidate)
            + noise * self._source.random()
            + CROWDING_COST * self._crowd * ramp(taken, CROWDING_MARGIN)
        )

    def _distance(self, candidate: demands.Candidate) -> float:
        """Returns the cost of another data centre."""
        is_near = candidate.target.record.data_centre == self._data_centre
        return 0.0 if is_near else REMOTE_COST


def ramp(share: float, margin: float) -> float:
    """Returns 0 up to the margin, 1 from the whole on, and between them."""
    if share <= margin:
        return 0.0
    return min((share - margin) / (1.0 - margin), 1.0)


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
            cost += LATE_LOSS * reader.value * ramp(share, SLACK_MARGIN)
    return cost


def _order_cost(
    law: fleet.EngineLaw, demand: demands.Demand, candidate: demands.Candidate
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
