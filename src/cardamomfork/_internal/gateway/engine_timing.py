"""Predictions from the timing that the configuration gives of engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet


def prefill_s(
    cost_model: fleet.EngineCostModel, tokens: int, parts: int = 1
) -> float:
    """Returns the time to read a prompt in even parts, without writers.

    Args:
        law: The engines' timing.
        tokens: Length of the whole prompt.
        parts: Engines that read at the same time.
    """
    attention_pairs = tokens * tokens / 2
    steps = math.ceil(tokens / parts / cost_model.chunk_tokens)
    work = (
        tokens / cost_model.read_tokens_per_s
        + attention_pairs * cost_model.pair_s
    )
    return work / parts + steps * cost_model.step_s


def decode_step_s(
    cost_model: fleet.EngineCostModel, contexts: Iterable[int]
) -> float:
    """Returns the time of a step in which sequences write.

    Args:
        law: The engine's timing.
        contexts: Tokens that each writer has in memory.
    """
    return cost_model.step_s + sum(
        cost_model.sequence_step_s + context * cost_model.context_step_s
        for context in contexts
    )


def event_interval_s(
    cost_model: fleet.EngineCostModel, contexts: list[int]
) -> float:
    """Returns the time of a pass, which is the pause between two events."""
    if not contexts:
        return cost_model.step_s
    return cost_model.stride_steps * decode_step_s(cost_model, contexts)


def decode_s(
    cost_model: fleet.EngineCostModel, tokens: int, contexts: list[int]
) -> float:
    """Returns the time to write an answer beside the writers named."""
    return tokens * decode_step_s(cost_model, contexts)
