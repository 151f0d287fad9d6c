"""Predicts prefill and decode times by the configured engine cost model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet


def prefill_s(
    cost_model: fleet.EngineCostModel, tokens: int, parts: int = 1
) -> float:
    """Returns the prefill time of a prompt on engines that decode nothing.

    Args:
        cost_model: The engines' cost model.
        tokens: Length of the whole prompt.
        parts: Number of engines that each compute an equal part.
    """
    attention_pairs = tokens * tokens / 2
    steps = math.ceil(tokens / parts / cost_model.chunk_tokens)
    work = (
        tokens / cost_model.prefill_rate_tokens_per_s
        + attention_pairs * cost_model.attention_pair_s
    )
    return work / parts + steps * cost_model.step_s


def decode_step_s(
    cost_model: fleet.EngineCostModel, contexts: Iterable[int]
) -> float:
    """Returns the time of one decode step.

    Args:
        cost_model: The engine's cost model.
        contexts: Context length of each sequence, in tokens.
    """
    return cost_model.step_s + sum(
        cost_model.sequence_step_s + context * cost_model.context_token_step_s
        for context in contexts
    )


def event_interval_s(
    cost_model: fleet.EngineCostModel, contexts: list[int]
) -> float:
    """Returns the time between two events of a stream.

    An engine sends an event for each pass of `steps_per_event` decode steps.
    """
    if not contexts:
        return cost_model.step_s
    return cost_model.steps_per_event * decode_step_s(cost_model, contexts)


def decode_s(
    cost_model: fleet.EngineCostModel, tokens: int, contexts: list[int]
) -> float:
    """Returns the time to decode an answer.

    Args:
        cost_model: The engine's cost model.
        tokens: Length of the answer.
        contexts: Context length of each sequence in the batch, in tokens.
    """
    return tokens * decode_step_s(cost_model, contexts)
