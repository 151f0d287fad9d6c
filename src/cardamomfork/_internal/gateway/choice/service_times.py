"""Predicts how long a target takes for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.state import stopping

if TYPE_CHECKING:
    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.models import fleet


def min_service_s(
    service: fleet.Service, prompt_tokens: int, output_tokens: int
) -> float | None:
    """Returns the time that a request takes on idle targets, in seconds.

    Returns:
        The time, or None for a service without a cost model.
    """
    cost_model = service.cost_model
    if cost_model is None:
        return None
    return engine_timing.prefill_s(
        cost_model, prompt_tokens, placement.PART_COUNTS[-1]
    ) + engine_timing.decode_s(cost_model, output_tokens, [prompt_tokens])


def request_times(
    demand: demands.Demand, time_left_s: float
) -> stopping.RequestTimes:
    """Returns what a stopping process has to know of a request.

    Args:
        demand: Its requirements.
        time_left_s: Time left until its time limit, in seconds.
    """
    return stopping.RequestTimes(
        time_left_s,
        min_service_s(
            demand.service, demand.prompt_tokens, demand.output_tokens
        ),
        demand.may_have_run,
    )
