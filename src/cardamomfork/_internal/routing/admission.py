"""Refuses requests that can't be queued or can't end before their deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.routing import prompt_parts
from cardamomfork._internal.routing import size_classes

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import waiting_queue

RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@attrs.frozen
class QueueLimits:
    """Limits on the number of queued requests.

    Attributes:
        total: Limit for all client accounts together.
        per_account: Limit for each client account.
    """

    total: int = 10_000
    per_account: int = 2_000


def check_queue(
    limits: QueueLimits, queued: int, queued_of_account: int
) -> outcomes.Refusal | None:
    """Returns a refusal if the queues are full."""
    if queued >= limits.total:
        detail = f"{limits.total} requests wait already."
    elif queued_of_account >= limits.per_account:
        detail = f"{limits.per_account} requests of the account wait already."
    else:
        return None
    reason = outcomes.RefusalReason.QUEUE_FULL
    return outcomes.refuse(reason, detail, RETRY_AFTER_S)


def check_size(
    request: requests.Request,
    service: configuration.Service,
    avoid: frozenset[identifiers.TargetId],
    pool: pools.Pool,
) -> outcomes.Refusal | None:
    """Returns a refusal if no targets have enough memory for the request."""
    needed_tokens = request.prompt_tokens + request.max_tokens
    is_within_limit = request.prompt_tokens <= service.max_prompt_tokens
    if not avoid and is_within_limit and needed_tokens <= pool.largest_memory:
        return None
    members = [v.target for v in pool.members if v.target_id not in avoid]
    if not members:
        return outcomes.refuse(
            outcomes.RefusalReason.NO_TARGET,
            f"No target of {service.name!r} can take the request now.",
            RETRY_AFTER_S,
        )
    if service.kind is configuration.ServiceKind.PLAIN:
        return None
    if request.prompt_tokens > service.max_prompt_tokens:
        return outcomes.refuse(
            outcomes.RefusalReason.PROMPT_TOO_LARGE,
            f"The prompt has {request.prompt_tokens} tokens;"
            f" {service.name!r} takes {service.max_prompt_tokens}.",
        )
    if needed_tokens <= max(target.memory_tokens for target in members):
        return None
    capacities = [
        prompt_parts.EngineCapacity(target.target_id, target.memory_tokens)
        for target in members
        if target.exports_kv
    ]
    capacities.sort(key=lambda capacity: -capacity.tokens)
    if prompt_parts.plan(request, capacities) is not None:
        return None
    return outcomes.refuse(
        outcomes.RefusalReason.PROMPT_TOO_LARGE,
        f"Prompt and answer need {needed_tokens} tokens of KV memory, more"
        f" than one engine of {service.name!r} has, and not enough engines"
        " export it.",
    )


def check_deadline(
    entry: waiting_queue.Entry, pool: pools.Pool, now: float
) -> outcomes.Refusal | None:
    """Returns a refusal if the request is not expected to end in time."""
    request = entry.request
    wait_s = expected_wait_s(entry, pool)
    late_s = now + wait_s - entry.latest_start
    if late_s <= 0:
        return None
    if request.deadline <= now:
        reason = outcomes.RefusalReason.DEADLINE_EXCEEDED
        return outcomes.refuse(reason, "The request's time is over.")
    return outcomes.refuse(
        outcomes.RefusalReason.DEADLINE_UNREACHABLE,
        f"The request would start in {wait_s:.1f} s at the earliest, too late"
        " to end in its time.",
        min(max(late_s, RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        if wait_s > 0
        else None,
    )


def expected_wait_s(entry: waiting_queue.Entry, pool: pools.Pool) -> float:
    """Returns the expected queueing time of a request, in seconds.

    It is the queued work of the same or higher urgency in its size class and
    the larger ones, divided by the engines that accept its class.
    """
    if pool.has_free(entry.size_class):
        return 0.0
    engines = max(pool.engine_groups.sizes[entry.size_class], 1)
    queued_ahead_s = sum(
        pool.queues[size_class].work_s(entry.urgency)
        for size_class in range(entry.size_class, size_classes.CLASS_COUNT)
    )
    return queued_ahead_s / engines
