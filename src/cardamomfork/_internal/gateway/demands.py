"""What a request needs of a place, and targets that may give it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway import engine_timing

if TYPE_CHECKING:
    from cardamomfork._internal.gateway import load_view
    from cardamomfork._internal.gateway import target_table
    from cardamomfork._internal.models import fleet

VALUE_SCALE_TOKENS = 5000
VALUE_EXPONENT = 0.7
"""A longer prompt is worth more, though less than its length says."""


def request_value(prompt_tokens: int) -> float:
    """Returns what a request is worth beside others."""
    return float(max(prompt_tokens / VALUE_SCALE_TOKENS, 0.1) ** VALUE_EXPONENT)


def expected_decode_s(demand: Demand) -> float:
    """Returns the time to write a request's answer alone on an engine."""
    cost_model = demand.service.cost_model
    if cost_model is None:
        return 0.0
    return engine_timing.decode_s(
        cost_model, demand.output_tokens, [demand.prompt_tokens]
    )


@attrs.frozen
class Demand:
    """A request that needs a target.

    Attributes:
        job_id: Unique among the jobs of this instance.
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
        return request_value(self.prompt_tokens)


@attrs.frozen
class Candidate:
    """A target with its load and speed."""

    target: target_table.Target
    load: load_view.TargetLoad
    slowdown: float

    @property
    def target_id(self) -> str:
        """The target's id."""
        return self.target.record.target_id
