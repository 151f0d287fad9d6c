"""The requirements of a request, and the targets that may meet them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import engine_timing

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet

VALUE_SCALE_TOKENS = 5000
VALUE_EXPONENT = 0.7
"""The value of a request grows with its prompt length, but less than
linearly."""


def request_value(prompt_tokens: int) -> float:
    """Returns the value of a request relative to others."""
    return float(max(prompt_tokens / VALUE_SCALE_TOKENS, 0.1) ** VALUE_EXPONENT)


def expected_decode_s(demand: Demand) -> float:
    """Returns the time to decode a request's answer on an idle engine."""
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
        service: The service that serves it.
        prompt_tokens: Length of its prompt; 0 for a plain service.
        output_tokens: Expected length of its answer.
        max_gap_s: Longest gap between events that is on time.
        objective_left_s: Time left until its first token is late.
        time_left_s: Time left until the caller stops waiting.
        excluded: Ids of the targets to avoid.
        allowed_data_centres: Data centres of the targets and helpers that may
            serve it; None for all.
        find_allowed: Returns these data centres anew, since they change with
            the configuration while the request waits; None if they don't.
        may_have_run: Whether an earlier attempt may have run it.
    """

    job_id: str
    service: fleet.Service
    prompt_tokens: int
    output_tokens: int
    max_gap_s: float
    objective_left_s: float
    time_left_s: float
    excluded: frozenset[str] = frozenset()
    allowed_data_centres: frozenset[str] | None = None
    find_allowed: Callable[[], frozenset[str] | None] | None = attrs.field(
        default=None, eq=False, repr=False
    )
    may_have_run: bool = False

    def allows(self, data_centre: str) -> bool:
        """Returns whether targets of a data centre may serve the request."""
        return (
            self.allowed_data_centres is None
            or data_centre in self.allowed_data_centres
        )

    @property
    def value(self) -> float:
        """Value relative to other requests."""
        return request_value(self.prompt_tokens)


@attrs.frozen
class Candidate:
    """A target with its load and its slowdown factor."""

    target: target_table.Target
    load: load_view.TargetLoad
    slowdown: float

    @property
    def target_id(self) -> str:
        """The target's id."""
        return self.target.record.target_id
