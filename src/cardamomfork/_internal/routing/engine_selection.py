"""Selects the engine for a request among a few candidates.

The score of an engine is the request's predicted time to first token plus
the delay that its prefill causes to other requests on that engine: sequences
that decode meanwhile, and a part of a long prompt that is planned there. The
remaining pause of an engine with reduced weight is added. The lowest score
wins.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import prompt_parts
from cardamomfork._internal.routing import size_classes

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import waiting_queue
    from cardamomfork._internal.targets import views

CANDIDATE_COUNT = 4
"""Free engines scored for each request."""
DECODE_DELAY_FRACTION = 0.02
"""Delay counted for each decoding sequence, relative to the prefill time."""
MAX_HOLDER_WAIT_RATIO = 0.8
"""A request waits for a busy prefix holder only if its time to first token
there is below this fraction of the best score among the free engines."""
RELAX_CLASS_AFTER_S = 20.0
"""Wait after which parts may also use engines of the next smaller class."""
ENGINES_PER_PART = 2
"""Engines considered for each engine that a split prompt needs."""


@attrs.define(eq=False)
class Selection:
    """The engines selected for a request.

    Attributes:
        plan: Engine that answers, and engines that compute earlier parts.
        prefill_s: Predicted prefill time on the engine, in seconds.
        first_token_s: Predicted time to first token, in seconds.
        uncached_tokens: Prompt tokens that the engine has to compute.
    """

    plan: prompt_parts.Plan
    prefill_s: float
    first_token_s: float
    uncached_tokens: float


@attrs.define(eq=False)
class _Candidate:
    """An engine with the predicted cost of the request and the score."""

    view: views.TargetView
    uncached_tokens: float
    prefill_s: float
    score: float


def select_engine(
    entry: waiting_queue.Entry, pool: pools.Pool, now: float, rng: random.Random
) -> Selection | None:
    """Returns the engine for a request, or None if it has to wait.

    A request prefers to wait for a busy engine that holds its prefix if it
    is expected to be faster there, but no longer than its own prefill takes.
    """
    best, wait_s = _best_holder(entry, pool, now)
    if now - entry.queued_at > entry.work_s:
        wait_s = math.inf
    needed_tokens = entry.request.prompt_tokens + entry.request.max_tokens
    tokens = float(entry.request.prompt_tokens)
    for view in pool.free(entry.size_class, CANDIDATE_COUNT, rng):
        if view.target.target_id in entry.avoid:
            continue
        if needed_tokens > view.free_tokens and not view.is_plain:
            continue
        candidate = _score(pool, view, tokens, entry.work_s, now)
        if best is None or candidate.score < best.score:
            best = candidate
    if best is None or wait_s < best.score * MAX_HOLDER_WAIT_RATIO:
        return None
    plan = prompt_parts.Plan(best.view.target.target_id)
    return Selection(plan, best.prefill_s, best.prefill_s, best.uncached_tokens)


def select_engines_for_parts(
    entry: waiting_queue.Entry, pool: pools.Pool, now: float
) -> Selection | None:
    """Returns engines for a prompt that is computed in parts, or None."""
    request = entry.request
    needed_tokens = request.prompt_tokens + request.max_tokens
    size_class = size_classes.CLASS_COUNT - 1
    if now - entry.queued_at > RELAX_CLASS_AFTER_S:
        size_class -= 1
    min_engines = ENGINES_PER_PART * math.ceil(
        needed_tokens / max(pool.largest_memory, 1)
    )
    eligible = [
        view
        for view in pool.engines_for_class(size_class, min_engines)
        if view.target.exports_kv
        and view.target_id not in entry.avoid
        and now >= view.health.probe_at
        and not view.health.is_probed
        and not view.has_part_between(now, now + entry.work_s)
    ]
    free_engines = [v for v in eligible if v.is_free(now, pool.s_per_token())]
    if not free_engines:
        return None
    eligible.sort(key=lambda view: -view.free_tokens)
    first_engine = max(free_engines, key=lambda view: view.free_tokens)
    eligible.remove(first_engine)
    ordered = (first_engine, *eligible)
    capacities = [
        prompt_parts.EngineCapacity(view.target_id, max(view.free_tokens, 0))
        for view in ordered
    ]
    plan = prompt_parts.plan(request, capacities)
    if plan is None:
        return None
    tokens = float(entry.request.prompt_tokens)
    return Selection(plan, entry.work_s, entry.work_s, tokens)


def _best_holder(
    entry: waiting_queue.Entry, pool: pools.Pool, now: float
) -> tuple[_Candidate | None, float]:
    """Returns the best free engine that holds a prefix of the prompt.

    Returns:
        The best free holder, or None; and the shortest time to first token,
        in seconds, from waiting for a busy holder, or infinity without one.
    """
    best: _Candidate | None = None
    wait_s = math.inf
    for target_id in entry.match.holders:
        view = pool.member(target_id)
        if view is None or target_id in entry.avoid:
            continue
        candidate = _score_holder(entry, pool, view, now)
        if candidate is None:
            continue
        if not view.is_free(now, pool.s_per_token()):
            free_at = view.free_at(now, pool.s_per_token())
            if free_at is not None:
                wait_s = min(wait_s, free_at - now + candidate.prefill_s)
        elif best is None or candidate.score < best.score:
            best = candidate
    return best, wait_s


def _score_holder(
    entry: waiting_queue.Entry,
    pool: pools.Pool,
    view: views.TargetView,
    now: float,
) -> _Candidate | None:
    """Scores an engine that holds a prefix; None if it can't run the request.

    The size class is that of the uncached tokens, so a long prompt may run on
    an engine for shorter prompts if that engine holds most of it.
    """
    request = entry.request
    uncached_tokens = request.prompt_tokens * (
        1.0 - entry.match.covered_fraction
    )
    uncached_tokens = max(uncached_tokens, 1.0)
    if size_classes.class_of(uncached_tokens) > pool.largest_class(
        view.target_id
    ):
        return None
    if request.prompt_tokens + request.max_tokens > view.free_tokens:
        return None
    base_s = pool.cost_model.prefill_s(uncached_tokens)
    return _score(pool, view, uncached_tokens, base_s, now)


def _score(
    pool: pools.Pool,
    view: views.TargetView,
    uncached_tokens: float,
    base_s: float,
    now: float,
) -> _Candidate:
    """Scores an engine.

    Args:
        pool: Pool of the engine.
        view: The engine.
        uncached_tokens: Prompt tokens to compute.
        base_s: Their prefill time in an empty batch, in seconds.
        now: Current time.
    """
    if view.target.kind is targets.TargetKind.PLAIN:
        call_s = pool.cost_model.call_s * view.health.ratio
        return _Candidate(view, 0.0, call_s, call_s * (1 + view.running))
    batch = view.batch
    prefill_s = base_s * pool.cost_model.batch_factor(batch) * view.health.ratio
    score = prefill_s + prefill_s * batch * DECODE_DELAY_FRACTION
    if view.throttled_until > now:
        score += view.throttled_until - now
    if view.part_windows and view.has_part_between(now, now + prefill_s):
        score += prefill_s
    return _Candidate(view, uncached_tokens, prefill_s, score)
