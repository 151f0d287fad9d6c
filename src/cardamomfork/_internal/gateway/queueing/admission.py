"""Decides whether a request that can't be placed now may wait.

Addresses a load in which more requests wait than can be served in time. Judged
by the end of the first running request alone, all of them wait, and most are
refused when their callers have no time left to ask again. Here, a request waits
only if the running jobs that have to end before its turn end in time, given the
requests that wait ahead of it at all instances and, for a long prompt, the
memory that it needs. Otherwise it is refused at once.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.gateway.choice import placement

if TYPE_CHECKING:
    import random

    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import peer_queues
    from cardamomfork._internal.gateway.state import target_table

MIN_JOB_LEFT_S = 0.02
"""Assumed remaining time of a job that is overdue."""
WAIT_MARGIN = 1.25
"""Factor on the predicted wait. A request that is held and then refused costs
its caller more than one that is refused at once."""
IDLE_SLOT_FRACTION = 0.5
"""While fewer slots are taken and nothing waits, no request is refused that the
service can hold: a refusal then costs its caller most."""
HONOURED_TIME_FRACTION = 1 / 3
"""Callers honour Retry-After up to this fraction of the time that they have."""
MIN_COMPARED_WAIT_S = 0.1
"""Shorter predictions don't show whether predictions are right."""
FACTOR_WEIGHT = 0.1
"""Weight of one wait in the correction of predictions."""
MAX_FACTOR = 4.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
"""Longer predictions are too uncertain to be stated."""
SPREAD_FRACTION = 0.5
"""Retry-after times that aren't honoured in full are lengthened by a random
fraction up to this one."""


@attrs.frozen
class Ahead:
    """Requests to the same service that are served first.

    Attributes:
        count: Their number.
        tokens: Tokens of memory that they need.
        is_above_share: Whether the account of the request is above its share,
            so that later requests of others are served first too.
    """

    count: int = 0
    tokens: int = 0
    is_above_share: bool = False


@attrs.frozen
class Verdict:
    """Whether a request may wait.

    Attributes:
        may_wait: Whether it may.
        wait_s: Predicted time until it can be placed; may be infinite.
    """

    may_wait: bool
    wait_s: float


class Admission:
    """Predicts waits; there is one per process."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        queues: peer_queues.PeerQueues,
        rng: random.Random,
    ) -> None:
        """Initializes the admission.

        Args:
            table: The known targets.
            load: The running jobs of all instances.
            queues: Numbers of requests that wait at peers.
            rng: Random generator that spreads retry-after times.
        """
        self._table = table
        self._load = load
        self._queues = queues
        self._rng = rng
        self._factors = {False: 1.0, True: 1.0}

    def decide(
        self,
        demand: demands.Demand,
        ahead: Ahead,
        min_service_s: float,
        now: float,
    ) -> Verdict:
        """Decides about a request that no target has capacity for now.

        Args:
            demand: Its requirements.
            ahead: Requests that wait ahead of it at this instance.
            min_service_s: Time that it takes on idle targets.
            now: Monotonic time.
        """
        targets = self._table.list_service(demand.service.name, now)
        ends = sorted(
            max(job.ends_at - now, MIN_JOB_LEFT_S)
            for target in targets
            for job in self._load.jobs(target.record.target_id)
            if job.target_id == target.record.target_id
        )
        slots = sum(target.record.slots for target in targets)
        count_ahead = ahead.count + self._queues.count(demand.service.name, now)
        wait_s = max(
            _slot_wait_s(ends, slots, count_ahead),
            self._memory_wait_s(demand, ahead.tokens, targets, now),
        )
        if wait_s > 0:
            wait_s *= self._factors[ahead.is_above_share]
        is_idle = not count_ahead and len(ends) < IDLE_SLOT_FRACTION * slots
        if math.isinf(wait_s) or min_service_s > demand.time_left_s:
            return Verdict(False, wait_s)
        return Verdict(
            is_idle
            or WAIT_MARGIN * wait_s + min_service_s <= demand.time_left_s,
            wait_s,
        )

    def record_wait(
        self, predicted_s: float, waited_s: float, *, is_above_share: bool
    ) -> None:
        """Corrects predictions by how long an admitted request waited.

        Requests that come later may go first, and jobs may last longer than
        predicted.
        """
        if predicted_s < MIN_COMPARED_WAIT_S:
            return
        factor = self._factors[is_above_share]
        observed = factor * waited_s / predicted_s
        self._factors[is_above_share] = min(
            max(factor + FACTOR_WEIGHT * (observed - factor), 1.0), MAX_FACTOR
        )

    def retry_after_s(self, wait_s: float, time_left_s: float) -> float:
        """Returns the time after which a refused caller should come back.

        If capacity is likely before the caller stops honouring the time, it is
        spread over what remains until then.

        Args:
            wait_s: Predicted time until there is capacity.
            time_left_s: Time that the caller has left.
        """
        honoured_s = time_left_s * HONOURED_TIME_FRACTION
        shortest_s = max(wait_s, MIN_RETRY_AFTER_S)
        if shortest_s < min(honoured_s, MAX_RETRY_AFTER_S):
            longest_s = min(honoured_s, MAX_RETRY_AFTER_S)
            return self._rng.uniform(shortest_s, longest_s)
        return min(shortest_s, MAX_RETRY_AFTER_S) * (
            1.0 + SPREAD_FRACTION * self._rng.random()
        )

    def _memory_wait_s(
        self,
        demand: demands.Demand,
        tokens_ahead: int,
        targets: list[target_table.Target],
        now: float,
    ) -> float:
        """Returns the time until engines have the memory for a request.

        As many engines may hold it as may share its prefill.
        """
        cost_model = demand.service.cost_model
        if cost_model is None or not targets:
            return 0.0
        usable_tokens = int(
            cost_model.memory_tokens * placement.PLANNED_MEMORY_FRACTION
        )
        size = demand.prompt_tokens + demand.output_tokens
        if size > usable_tokens * min(len(targets), placement.PART_COUNTS[-1]):
            return math.inf
        free = {target.record.target_id: usable_tokens for target in targets}
        ends = []
        for target_id in free:
            for job in self._load.jobs(target_id):
                held = _held_tokens(job, target_id, usable_tokens)
                free[target_id] -= held
                ends.append(
                    (max(job.ends_at - now, MIN_JOB_LEFT_S), target_id, held)
                )
        needed = size + min(tokens_ahead, usable_tokens * len(targets) - size)
        if _has_memory(free, size, needed):
            return 0.0
        for end_s, target_id, held in sorted(ends):
            free[target_id] += held
            if _has_memory(free, size, needed):
                return end_s
        return math.inf


def _slot_wait_s(ends: list[float], slots: int, count_ahead: int) -> float:
    """Returns the time until a request gets a slot.

    Args:
        ends: Remaining times of the running jobs, shortest first.
        slots: Number of slots of the service.
        count_ahead: Number of requests that get a slot first.
    """
    if not slots:
        return placement.NO_TARGET_RETRY_S
    position = count_ahead - max(slots - len(ends), 0)
    if position < 0 or not ends:
        return 0.0
    # On average, half of a job is over when it is looked at.
    mean_hold_s = 2 * sum(ends) / len(ends)
    rounds, index = divmod(position, len(ends))
    return rounds * max(mean_hold_s, ends[-1] - ends[0]) + ends[index]


def _held_tokens(job: load_view.Job, target_id: str, limit: int) -> int:
    """Returns the memory that a job holds on a target, clamped to it."""
    if job.target_id == target_id:
        return min(job.primary_tokens, limit)
    held = sum(
        part.reserved_tokens
        for part in job.parts
        if part.target_id == target_id
    )
    return min(held, limit)


def _has_memory(free: dict[str, int], size: int, needed: int) -> bool:
    """Returns whether engines have memory for a request.

    Args:
        free: Free tokens of each engine.
        size: Tokens of the request.
        needed: The same, with the requests ahead of it.
    """
    if sum(max(tokens, 0) for tokens in free.values()) < needed:
        return False
    best = heapq.nlargest(placement.PART_COUNTS[-1], free.values())
    return sum(max(tokens, 0) for tokens in best) >= size
