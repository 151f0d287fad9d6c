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
class Room:
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

    def memory(
        self, request: requests.Request
    ) -> tuple[tuple[identifiers.TargetId, int], ...]:
        """Returns the tokens that the request holds on each engine."""
        held = []
        start = 0
        for hop in self.hops:
            held.append((hop.target_id, hop.prompt_tokens - start))
            start = hop.prompt_tokens
        rest = request.prompt_tokens - start + request.max_tokens
        held.append((self.target_id, rest))
        return tuple(held)


def plan(request: requests.Request, rooms: Sequence[Room]) -> Plan | None:
    """Spreads a request over as few of the engines as it needs.

    Args:
        request: The request.
        rooms: Engines in order of preference, each with its memory.

    Returns:
        The plan, or None if the engines together have too little memory.
    """
    need = request.prompt_tokens + request.max_tokens
    chosen: list[Room] = []
    for room in rooms[:MAX_PARTS]:
        chosen.append(room)
        if sum(part.tokens for part in chosen) >= need:
            return _spread(request, chosen)
    return None


def _spread(request: requests.Request, rooms: Sequence[Room]) -> Plan | None:
    """Fills the engines in order, each to the same share of its memory.

    What is left on each serves other requests meanwhile.
    """
    need = request.prompt_tokens + request.max_tokens
    share = need / sum(room.tokens for room in rooms)
    hops = []
    done = 0
    for room in rooms[:-1]:
        done += math.ceil(room.tokens * share)
        done = min(done, request.prompt_tokens - 1)
        hops.append(dispatching.Hop(room.target_id, done))
    rest = request.prompt_tokens - done + request.max_tokens
    if rest > rooms[-1].tokens:
        return None
    return Plan(rooms[-1].target_id, tuple(hops))
