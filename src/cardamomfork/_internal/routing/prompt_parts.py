"""Splits a prompt that exceeds one engine's memory over several engines.

Each engine except the last computes one part of the prompt, holds that part's
KV cache under the request's reservation until the request ends, and exports
it to the following engines. The last engine computes the remaining prompt and
generates the answer.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.contracts import dispatching

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests

MAX_PARTS = 8


@attrs.frozen
class EngineCapacity:
    """KV memory that an engine has available for one request.

    Attributes:
        target_id: The engine.
        tokens: Available KV memory, in tokens.
    """

    target_id: identifiers.TargetId
    tokens: int


@attrs.frozen
class Plan:
    """The assignment of the parts of a request to engines.

    Attributes:
        target_id: Engine that computes the last part and answers.
        hops: Engines that compute the earlier parts, in order.
    """

    target_id: identifiers.TargetId
    hops: tuple[dispatching.PromptPart, ...] = ()

    def memory_by_engine(
        self, request: requests.Request
    ) -> tuple[tuple[identifiers.TargetId, int], ...]:
        """Returns each engine and the KV tokens that it holds."""
        memory = []
        start = 0
        for hop in self.hops:
            memory.append((hop.target_id, hop.prompt_tokens - start))
            start = hop.prompt_tokens
        remaining = request.prompt_tokens - start + request.max_tokens
        memory.append((self.target_id, remaining))
        return tuple(memory)


def plan(
    request: requests.Request, capacities: Sequence[EngineCapacity]
) -> Plan | None:
    """Plans a request on the fewest engines in order of preference.

    Args:
        request: The request.
        capacities: Engines in order of preference, with their free KV memory.

    Returns:
        The plan, or None if the request doesn't fit into the memory of the
        first `MAX_PARTS` engines.
    """
    needed_tokens = request.prompt_tokens + request.max_tokens
    chosen: list[EngineCapacity] = []
    for capacity in capacities[:MAX_PARTS]:
        chosen.append(capacity)
        if sum(part.tokens for part in chosen) >= needed_tokens:
            return _fill_evenly(request, chosen)
    return None


def _fill_evenly(
    request: requests.Request, capacities: Sequence[EngineCapacity]
) -> Plan | None:
    """Splits a request so that it uses the same fraction of each memory.

    The memory that remains on each engine stays available to other requests.
    """
    needed_tokens = request.prompt_tokens + request.max_tokens
    fraction = needed_tokens / sum(capacity.tokens for capacity in capacities)
    hops = []
    computed = 0
    for capacity in capacities[:-1]:
        computed += math.ceil(capacity.tokens * fraction)
        computed = min(computed, request.prompt_tokens - 1)
        hops.append(dispatching.PromptPart(capacity.target_id, computed))
    remaining = request.prompt_tokens - computed + request.max_tokens
    if remaining > capacities[-1].tokens:
        return None
    return Plan(capacities[-1].target_id, tuple(hops))
