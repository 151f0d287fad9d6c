"""Predictions from the timing that the configuration gives of engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import fleet


def reading_s(law: fleet.EngineLaw, tokens: int, parts: int = 1) -> float:
    """Returns the time to read a prompt in even parts, without writers.

    Args:
        law: The engines' timing.
        tokens: Length of the whole prompt.
        parts: Engines that read at the same time.
    """
    pairs = tokens * tokens / 2
    steps = math.ceil(tokens / parts / law.chunk_tokens)
    work = tokens / law.read_tokens_per_s + pairs * law.pair_s
    return work / parts + steps * law.step_s


def step_s(law: fleet.EngineLaw, contexts: Iterable[int]) -> float:
    """Returns the time of a step in which sequences write.

    Args:
        law: The engine's timing.
        contexts: Tokens that each writer has in memory.
    """
    return law.step_s + sum(
        law.sequence_step_s + context * law.context_step_s
        for context in contexts
    )


def pass_s(law: fleet.EngineLaw, contexts: list[int]) -> float:
    """Returns the time of a pass, which is the pause between two events."""
    if not contexts:
        return law.step_s
    return law.stride_steps * step_s(law, contexts)


def writing_s(law: fleet.EngineLaw, tokens: int, contexts: list[int]) -> float:
    """Returns the time to write an answer beside the writers named."""
    return tokens * step_s(law, contexts)
