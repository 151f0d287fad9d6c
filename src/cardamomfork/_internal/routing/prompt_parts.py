"""Plans a prompt that exceeds one engine's memory over several engines.

Each engine but the last computes a part of the prompt, keeps that part's KV
cache under the request's reservation until the request ends, and exports it
to the engines after it. The last engine computes the rest and generates.
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
    """KV memory that an engine can give to one request.

    Attributes:
        target_id: The engine.
        tokens: Memory, in tokens.
    """

    target_id: identifiers.TargetId
    tokens: int


@attrs.frozen
class Plan:
    """Who computes which part.

    Attributes:
        target_id: Engine that computes the last part and answers.
        hops: Engines that compute the parts before it, in order.
    """

    target_id: identifiers.TargetId
    hops: tuple[dispatching.Hop, ...] = ()

    def memory_by_engine(
        self, request: requests.Request
    ) -> tuple[tuple[identifiers.TargetId, int], ...]:
        """Returns the tokens that the request holds on each engine."""
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
    """Spreads a request over as few of the engines as it needs.

    Args:
        request: The request.
        rooms: Engines in order of preference, each with its memory.

    Returns:
        The plan, or None if the engines together have too little memory.
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
    """Fills the engines in order, each to the same share of its memory.

    What is left on each serves other requests meanwhile.
    """
    needed_tokens = request.prompt_tokens + request.max_tokens
    fraction = needed_tokens / sum(capacity.tokens for capacity in capacities)
    hops = []
    computed = 0
    for capacity in capacities[:-1]:
        computed += math.ceil(capacity.tokens * fraction)
        computed = min(computed, request.prompt_tokens - 1)
        hops.append(dispatching.Hop(capacity.target_id, computed))
    remaining = request.prompt_tokens - computed + request.max_tokens
    if remaining > capacities[-1].tokens:
        return None
    return Plan(capacities[-1].target_id, tuple(hops))
