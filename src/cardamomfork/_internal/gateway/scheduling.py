"""Requests that wait for a place, and the refusal of those that can't wait.

Waiting is for short peaks: places free up within the time that a request
still has. A request that can't begin in time is refused at once, with the
predicted time until there is room, spread so that callers don't all return
together.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway import demands
from cardamomfork._internal.gateway import engine_timing
from cardamomfork._internal.gateway import placement

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

MAX_WAITING_REQUESTS = 2000
"""Requests that wait at one instance; more are refused."""
MAX_RECHECK_INTERVAL_S = 0.05
"""Longest time until waiting requests are looked at again."""
MIN_UPDATE_RECHECK_INTERVAL_S = 0.01
"""Least time between two looks that news of peers brings: each look weighs all
engines for all that wait."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Part by which the time to come back varies, so that returns spread."""


@attrs.frozen
class Refusal:
    """A request that gets no place.

    Attributes:
        reason: Why.
        retry_after_s: When there is likely room.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class _Waiter:
    """A request that waits.

    Attributes:
        demand: What it needs; times left count from `since`.
        priority: Rank; 0 goes first.
        since: Monotonic time of its arrival here.
        answer: What was decided, once it has been.
        decided: Set with the answer.
    """

    demand: demands.Demand
    priority: int
    enqueued_at: float
    decision: placement.Placement | Refusal | None = None
    decided: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sorts by rank, then by the time at which it becomes late."""
        return (self.priority, self.enqueued_at + self.demand.objective_left_s)

    def demand_at(self, now: float) -> demands.Demand:
        """Returns the demand with the times left now."""
        waited_s = now - self.enqueued_at
        return attrs.evolve(
            self.demand,
            objective_left_s=self.demand.objective_left_s - waited_s,
            time_left_s=self.demand.time_left_s - waited_s,
        )


_NoCapacityByGroup = dict[tuple[str, frozenset[str]], placement.NoCapacity]
"""Where no request finds room, by service and the targets that it excludes."""


class Scheduler:
    """Gives places to requests in order; one a process."""

    def __init__(
        self,
        placer: placement.Placer,
        commit: Callable[[demands.Demand, placement.Placement, float], None],
        withdraw: Callable[[str], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Takes what it decides with.

        Args:
            placer: Chooses places.
            commit: Called with each place given, before the next choice.
            withdraw: Called with the id of each job whose place is free again.
            clock: Monotonic time.
            source: Spreads the times to come back.
        """
        self._placer = placer
        self._commit = commit
        self._withdraw = withdraw
        self._clock = clock
        self._rng = rng
        self._waiters: list[_Waiter] = []
        self._last_dispatch_at = -MAX_RECHECK_INTERVAL_S

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    async def acquire(
        self, demand: demands.Demand, priority: int
    ) -> placement.Placement | Refusal:
        """Returns a place, after a wait if need be, or a refusal at once."""
        waiter = _Waiter(demand, priority, self._clock())
        if self._waiters or not self._try_decide(
            waiter, waiter.enqueued_at, {}
        ):
            if len(self._waiters) >= MAX_WAITING_REQUESTS:
                return self._refuse("too many requests wait", 1.0)
            self._waiters.append(waiter)
            self._waiters.sort(key=lambda one: one.sort_key)
            self.dispatch_waiting()
        try:
            while waiter.decision is None:
                with anyio.move_on_after(MAX_RECHECK_INTERVAL_S):
                    await waiter.decided.wait()
                if waiter.decision is None:
                    self._dispatch_if_due(MAX_RECHECK_INTERVAL_S)
        except anyio.get_cancelled_exc_class():
            # A place may be given between the cancellation and this turn.
            if isinstance(waiter.decision, placement.Placement):
                self.release(demand.job_id)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.decision

    def release(self, job_id: str) -> None:
        """Takes back the place of a job that has ended, and gives it on."""
        self._withdraw(job_id)
        self.dispatch_waiting()

    def receive_update(self) -> None:
        """Looks again after others' placements have changed."""
        self._dispatch_if_due(MIN_UPDATE_RECHECK_INTERVAL_S)

    def dispatch_waiting(self) -> None:
        """Gives places to those that wait, in order."""
        now = self._clock()
        self._last_dispatch_at = now
        no_capacity: _NoCapacityByGroup = {}
        for waiter in list(self._waiters):
            if self._try_decide(waiter, now, no_capacity):
                self._waiters.remove(waiter)
                waiter.decided.set()

    def _dispatch_if_due(self, min_interval_s: float) -> None:
        """Looks at those that wait, unless that was done a moment ago."""
        if self._clock() - self._last_dispatch_at >= min_interval_s:
            self.dispatch_waiting()

    def _try_decide(
        self, waiter: _Waiter, now: float, no_capacity: _NoCapacityByGroup
    ) -> bool:
        """Decides on one request if that can be done now.

        Args:
            waiter: The request.
            now: Monotonic time.
            full: Where nobody finds room in this look; it is added to.
        """
        demand = waiter.demand_at(now)
        candidate_set = (demand.service.name, demand.excluded)
        chosen = no_capacity.get(candidate_set) or self._placer.choose(
            demand, now
        )
        if isinstance(chosen, placement.Placement):
            self._commit(demand, chosen, now)
            waiter.decision = chosen
            return True
        if chosen.is_for_all_requests:
            no_capacity[candidate_set] = chosen
        min_service_s = _min_service_s(demand)
        if chosen.capacity_in_s + min_service_s > demand.time_left_s:
            waiter.decision = self._refuse(chosen.reason, chosen.capacity_in_s)
            return True
        return False

    def _refuse(self, reason: str, capacity_in_s: float) -> Refusal:
        """Returns a refusal with a time to come back."""
        wait_s = capacity_in_s if math.isfinite(capacity_in_s) else 1.0
        jitter = 1.0 + RETRY_AFTER_JITTER_FRACTION * self._rng.random()
        delay_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return Refusal(reason, delay_s * jitter)


def _min_service_s(demand: demands.Demand) -> float:
    """Returns the time that the request takes at an idle target."""
    cost_model = demand.service.cost_model
    if cost_model is None:
        return placement.DEFAULT_CALL_S
    return engine_timing.prefill_s(
        cost_model, demand.prompt_tokens, placement.PART_COUNTS[-1]
    ) + engine_timing.decode_s(
        cost_model, demand.output_tokens, [demand.prompt_tokens]
    )
