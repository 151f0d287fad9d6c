"""Chooses the engine for a request among a few candidates.

The score is the request's own time to first token plus the delay that it puts
on others there: the sequences that it slows while its prompt is computed, and
the requests that will arrive meanwhile.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import parts
from cardamomfork._internal.routing import split

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import waiting
    from cardamomfork._internal.targets import views

CANDIDATES = 4
DECODE_DELAY_SHARE = 0.02
HOLDER_PATIENCE = 0.8
PATIENCE_S = 20.0
"""Time after which parts may go to engines of the second longest group."""
PARTS_SPREAD = 2
"""Engines looked at for each that a prompt of several parts needs."""


@attrs.define(eq=False)
class Choice:
    """Where a request runs.

    Attributes:
        plan: Its engine, and those that compute parts first.
        prefill_s: Predicted prefill time on the engine, in seconds.
        first_token_s: Predicted time to first token, in seconds.
        tokens: Uncached prompt tokens on the engine.
    """

    plan: parts.Plan
    prefill_s: float
    first_token_s: float
    tokens: float


@attrs.define(eq=False)
class _Candidate:
    """An engine, what the request costs there, and its score."""

    view: views.TargetView
    tokens: float
    prefill_s: float
    score: float


def choose(
    entry: waiting.Entry, pool: pools.Pool, now: float, rng: random.Random
) -> Choice | None:
    """Returns where a request runs if it starts now, or None to wait."""
    best, wait_s = _best_holder(entry, pool, now)
    if now - entry.queued_at > entry.work_s:
        wait_s = math.inf
    need = entry.request.prompt_tokens + entry.request.max_tokens
    tokens = float(entry.request.prompt_tokens)
    for view in pool.free(entry.size_class, CANDIDATES, rng):
        if view.target.target_id in entry.avoid:
            continue
        if need > view.free_tokens and not view.is_plain:
            continue
        candidate = _weigh(pool, view, tokens, entry.work_s, now)
        if best is None or candidate.score < best.score:
            best = candidate
    if best is None or wait_s < best.score * HOLDER_PATIENCE:
        return None
    plan = parts.Plan(best.view.target.target_id)
    return Choice(plan, best.prefill_s, best.prefill_s, best.tokens)


def choose_parts(
    entry: waiting.Entry, pool: pools.Pool, now: float
) -> Choice | None:
    """Returns the engines for a prompt over one engine's memory, or None."""
    request = entry.request
    need = request.prompt_tokens + request.max_tokens
    size_class = split.CLASSES - 1
    if now - entry.queued_at > PATIENCE_S:
        size_class -= 1
    least = PARTS_SPREAD * math.ceil(need / max(pool.largest_memory, 1))
    able = [
        view
        for view in pool.group(size_class, least)
        if view.target.exports_kv
        and view.target_id not in entry.avoid
        and now >= view.health.probe_at
        and not view.health.is_probed
        and not view.claimed_between(now, now + entry.work_s)
    ]
    first = [v for v in able if v.is_free(now, pool.s_per_token())]
    if not first:
        return None
    able.sort(key=lambda view: -view.free_tokens)
    start = max(first, key=lambda view: view.free_tokens)
    able.remove(start)
    order = (start, *able)
    rooms = [
        parts.Room(view.target_id, max(view.free_tokens, 0)) for view in order
    ]
    plan = parts.plan(request, rooms)
    if plan is None:
        return None
    tokens = float(entry.request.prompt_tokens)
    return Choice(plan, entry.work_s, entry.work_s, tokens)


def _best_holder(
    entry: waiting.Entry, pool: pools.Pool, now: float
) -> tuple[_Candidate | None, float]:
    """Returns the best free engine that holds a prefix.

    Beside it stands the time to first token, in seconds, that waiting for a
    busy one would give; infinite if there is none.
    """
    best: _Candidate | None = None
    wait_s = math.inf
    for target_id in entry.match.holders:
        view = pool.member(target_id)
        if view is None or target_id in entry.avoid:
            continue
        held = _weigh_holder(entry, pool, view, now)
        if held is None:
            continue
        if not view.is_free(now, pool.s_per_token()):
            free_at = view.free_at(now, pool.s_per_token())
            if free_at is not None:
                wait_s = min(wait_s, free_at - now + held.prefill_s)
        elif best is None or held.score < best.score:
            best = held
    return best, wait_s


def _weigh_holder(
    entry: waiting.Entry,
    pool: pools.Pool,
    view: views.TargetView,
    now: float,
) -> _Candidate | None:
    """Scores an engine that holds a prefix; None if it may not take it."""
    request = entry.request
    tokens = request.prompt_tokens * (1.0 - entry.match.share)
    tokens = max(tokens, 1.0)
    if split.class_of(tokens) > pool.level(view.target_id):
        return None
    if request.prompt_tokens + request.max_tokens > view.free_tokens:
        return None
    base_s = pool.costs.prefill_s(tokens)
    return _weigh(pool, view, tokens, base_s, now)


def _weigh(
    pool: pools.Pool,
    view: views.TargetView,
    tokens: float,
    base_s: float,
    now: float,
) -> _Candidate:
    """Scores an engine."""
    if view.target.kind is targets.TargetKind.PLAIN:
        call_s = pool.costs.call_s * view.health.ratio
        return _Candidate(view, 0.0, call_s, call_s * (1 + view.running))
    batch = view.batch
    prefill_s = base_s * pool.costs.batch_factor(batch) * view.health.ratio
    score = prefill_s + prefill_s * batch * DECODE_DELAY_SHARE
    if view.rest_until > now:
        score += view.rest_until - now
    if view.claims and view.claimed_between(now, now + prefill_s):
        score += prefill_s
    return _Candidate(view, tokens, prefill_s, score)
