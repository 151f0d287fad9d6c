"""Queues requests until a target has capacity, or refuses them.

The queue absorbs short peaks, in which slots become free within the time that
a request has left. A request that can't start in time is refused at once, with
the predicted time until there is capacity. Jitter on that time keeps callers
from all retrying together.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import engine_timing
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.choice import placement_costs
from cardamomfork._internal.gateway.choice import service_times
from cardamomfork._internal.gateway.queueing import admission
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import stopping

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway.queueing import fair_order

MS_PER_S = 1000.0
MAX_WAITING_REQUESTS = 2000
"""Bound of the queue of one instance; further requests are refused."""
MAX_RECHECK_INTERVAL_S = 0.05
"""Longest time between two attempts to place the waiting requests."""
MIN_UPDATE_RECHECK_INTERVAL_S = 0.01
"""Least time between two attempts after updates from peers: each attempt
compares all engines for all waiting requests."""
SHARE_REASON = "its account has used its share"
"""Reason of a refusal that makes room for requests of other accounts."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
MAX_STATED_RETRY_AFTER_S = 30.0
"""The same for times that targets have stated, rather than predictions."""
RETRY_AFTER_JITTER_FRACTION = 0.5
"""Retry-after times are lengthened by a random fraction up to this one."""


@attrs.frozen
class Refusal:
    """The decision not to serve a request.

    Attributes:
        reason: The reason, as logged and sent to the caller.
        retry_after_s: Time until there is likely capacity.
    """

    reason: str
    retry_after_s: float


@attrs.define(eq=False)
class _Waiter:
    """A request in the queue.

    Attributes:
        demand: Its requirements; times left count from `enqueued_at`.
        priority: Priority; 0 goes first.
        enqueued_at: Monotonic time at which it joined the queue.
        account_id: Fingerprint of its client account.
        predicted_s: Predicted wait with which it was admitted, or None.
        is_above_share: Whether its account was above its share then.
        decision: Its placement or refusal; None before the decision.
        decided: Set together with the decision.
    """

    demand: demands.Demand
    priority: int
    enqueued_at: float
    account_id: int = 0
    predicted_s: float | None = None
    is_above_share: bool = False
    decision: placement.Placement | Refusal | None = None
    decided: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sorts by priority, then by the time at which it becomes late."""
        return (self.priority, self.enqueued_at + self.demand.objective_left_s)

    def demand_at(self, now: float) -> demands.Demand:
        """Returns the demand with the times left at a given time."""
        waited_s = now - self.enqueued_at
        find_allowed = self.demand.find_allowed
        return attrs.evolve(
            self.demand,
            allowed_data_centres=find_allowed()
            if find_allowed is not None
            else self.demand.allowed_data_centres,
            objective_left_s=self.demand.objective_left_s - waited_s,
            time_left_s=self.demand.time_left_s - waited_s,
        )


_NoCapacityByGroup = dict[
    tuple[str, frozenset[str], frozenset[str] | None], placement.NoCapacity
]
"""Results without capacity for any request, by service, excluded targets and
allowed data centres."""


class Scheduler:
    """Places requests in queue order; there is one per process."""

    def __init__(
        self,
        placer: placement.Placer,
        commit: Callable[
            [demands.Demand, placement.Placement, float, int], None
        ],
        withdraw: Callable[[str], None],
        clock: Callable[[], float],
        rng: random.Random,
        order: fair_order.FairOrder | None = None,
        admitter: admission.Admission | None = None,
        count_instances: Callable[[], int] = lambda: 1,
        stop: stopping.StopState | None = None,
    ) -> None:
        """Initializes the scheduler.

        Args:
            placer: Chooses placements.
            commit: Called with each placement, and the fingerprint of the
                request's account, before the next choice.
            withdraw: Called with the id of each job whose slot is free again.
            clock: Monotonic time.
            rng: Random generator for retry-after jitter.
            order: Shares scarce capacity among accounts; None to order by
                priority and time alone.
            admitter: Decides which requests may wait; None to let all wait
                until no target is predicted to be free in time.
            count_instances: Returns the number of instances.
            stop: Whether the process is stopping; None if it never does.
        """
        self._placer = placer
        self._commit = commit
        self._withdraw = withdraw
        self._clock = clock
        self._rng = rng
        self._order = order
        self._admission = admitter
        self._count_instances = count_instances
        self._stop = stop or stopping.StopState()
        self._waiters: list[_Waiter] = []
        self._last_dispatch_at = -MAX_RECHECK_INTERVAL_S

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    def list_waiting(self) -> tuple[peer_queues.WaitingClass, ...]:
        """Returns the numbers of waiting requests for the digest.

        Requests of accounts above their share aren't counted, since peers keep
        slots free for the others.
        """
        now = self._clock()
        if self._order is not None:
            self._order.record_waiting(self._waiters, now)
        elif self._admission is None:
            return ()
        counts: dict[tuple[str, bool], tuple[int, float]] = {}
        for waiter in self._waiters:
            service = waiter.demand.service
            if self._is_above_share(waiter, now):
                continue
            prefill_s = (
                engine_timing.prefill_s(
                    service.cost_model, waiter.demand.prompt_tokens
                )
                if service.cost_model is not None
                else 0.0
            )
            key = (service.name, prefill_s > placement_costs.SHORT_PREFILL_S)
            count, sum_s = counts.get(key, (0, 0.0))
            counts[key] = (count + 1, sum_s + prefill_s)
        return tuple(
            peer_queues.WaitingClass(
                name, is_long, count, round(sum_s * MS_PER_S)
            )
            for (name, is_long), (count, sum_s) in counts.items()
        )[: peer_queues.MAX_CLASSES]

    async def acquire(
        self, demand: demands.Demand, priority: int, account_id: int = 0
    ) -> placement.Placement | Refusal:
        """Returns a placement, if need be after a wait, or a refusal.

        Args:
            demand: The requirements of the request.
            priority: Its priority; 0 goes first.
            account_id: Fingerprint of its client account.
        """
        waiter = _Waiter(demand, priority, self._clock(), account_id)
        if self._waiters or not self._try_decide(
            waiter, waiter.enqueued_at, {}
        ):
            if len(
                self._waiters
            ) >= MAX_WAITING_REQUESTS and not self._make_room(account_id):
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
            # A placement may have been made between the cancellation and the
            # next run of this task.
            if isinstance(waiter.decision, placement.Placement):
                self.release(demand.job_id)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.decision

    def release(self, job_id: str) -> None:
        """Frees the slot of an ended job and places waiting requests."""
        self._withdraw(job_id)
        self.dispatch_waiting()

    def receive_update(self) -> None:
        """Places waiting requests after an update from a peer."""
        self._dispatch_if_due(MIN_UPDATE_RECHECK_INTERVAL_S)

    def dispatch_waiting(self) -> None:
        """Places waiting requests in order, as far as there is capacity."""
        now = self._clock()
        self._last_dispatch_at = now
        no_capacity: _NoCapacityByGroup = {}
        if self._order is None:
            for waiter in list(self._waiters):
                self._dispatch(waiter, now, no_capacity)
            return
        shared = self._order.start_pass(self._waiters, now)
        for waiter in shared:
            self._dispatch(waiter, now, no_capacity)
            if isinstance(waiter.decision, placement.Placement):
                shared.record_placed(waiter)

    def _dispatch(
        self, waiter: _Waiter, now: float, no_capacity: _NoCapacityByGroup
    ) -> None:
        """Places or refuses a waiting request, if that is possible now."""
        if self._try_decide(waiter, now, no_capacity):
            self._waiters.remove(waiter)
            waiter.decided.set()

    def _make_room(self, account_id: int) -> bool:
        """Refuses a request of the account that has most in the full queue.

        Returns:
            Whether there is room for a request of an account.
        """
        if self._order is None:
            return False
        counts = collections.Counter(
            waiter.account_id for waiter in self._waiters
        )
        most, count = counts.most_common(1)[0]
        if counts[account_id] + 1 >= count:
            return False
        # The newest one has waited least in vain.
        refused = max(
            (one for one in self._waiters if one.account_id == most),
            key=lambda one: one.enqueued_at,
        )
        refused.decision = self._refuse(SHARE_REASON, 1.0)
        self._waiters.remove(refused)
        refused.decided.set()
        return True

    def _dispatch_if_due(self, min_interval_s: float) -> None:
        """Places waiting requests if the last attempt is long enough ago."""
        if self._clock() - self._last_dispatch_at >= min_interval_s:
            self.dispatch_waiting()

    def _try_decide(
        self, waiter: _Waiter, now: float, no_capacity: _NoCapacityByGroup
    ) -> bool:
        """Places or refuses a request; returns False if it has to wait.

        Args:
            waiter: The request.
            now: Monotonic time.
            no_capacity: Results of this pass over the queue without capacity
                for any request; a new one is added.
        """
        demand = waiter.demand_at(now)
        if self._try_refuse_by_exit(waiter, demand, 0.0, now):
            return True
        candidate_set = (
            demand.service.name,
            demand.excluded,
            demand.allowed_data_centres,
        )
        chosen: placement.Placement | placement.NoCapacity
        if self._order is not None and self._order.must_yield(
            demand.service, waiter.account_id, now
        ):
            chosen = placement.NoCapacity(SHARE_REASON, MAX_RECHECK_INTERVAL_S)
        else:
            chosen = no_capacity.get(candidate_set) or self._placer.choose(
                demand, now
            )
        if isinstance(chosen, placement.Placement):
            self._commit(demand, chosen, now, waiter.account_id)
            if self._order is not None:
                self._order.add(waiter, now)
            waiter.decision = chosen
            self._record_wait(waiter, now)
            return True
        if chosen.is_for_all_requests:
            no_capacity[candidate_set] = chosen
        if self._try_refuse_by_exit(waiter, demand, chosen.capacity_in_s, now):
            return True
        min_service_s = _min_service_s(demand)
        if (
            self._admission is not None
            and chosen.may_wait
            and math.isfinite(chosen.capacity_in_s)
        ):
            return self._try_refuse(
                self._admission, waiter, demand, chosen.reason, now
            )
        if (
            not chosen.may_wait
            or chosen.capacity_in_s + min_service_s > demand.time_left_s
        ):
            waiter.decision = self._refuse(
                chosen.reason,
                chosen.capacity_in_s,
                MAX_RETRY_AFTER_S
                if chosen.may_wait
                else MAX_STATED_RETRY_AFTER_S,
            )
            return True
        return False

    def _try_refuse_by_exit(
        self,
        waiter: _Waiter,
        demand: demands.Demand,
        wait_s: float,
        now: float,
    ) -> bool:
        """Refuses a request that would not end before the process exits.

        Args:
            waiter: The request.
            demand: Its requirements at this time.
            wait_s: Time until there is capacity, in seconds.
            now: Monotonic time.

        Returns:
            Whether it was refused.
        """
        if not self._stop.is_stopping or math.isinf(wait_s):
            return False
        times = service_times.request_times(demand, demand.time_left_s - wait_s)
        if self._stop.may_send(times, now + wait_s):
            return False
        waiter.decision = Refusal(
            stopping.REFUSAL_REASON, stopping.RETRY_AFTER_S
        )
        return True

    def _try_refuse(
        self,
        admitter: admission.Admission,
        waiter: _Waiter,
        demand: demands.Demand,
        reason: str,
        now: float,
    ) -> bool:
        """Refuses a request by the predicted wait; returns whether it did.

        A request that was admitted is only refused once it can't be served any
        more, since it has lost the time to ask elsewhere.
        """
        min_service_s = _min_service_s(demand)
        if waiter.predicted_s is not None:
            if min_service_s <= demand.time_left_s:
                return False
            self._record_wait(waiter, now)
            wait_s = math.inf
        else:
            ahead = self._ahead(waiter, now)
            verdict = admitter.decide(demand, ahead, min_service_s, now)
            if verdict.may_wait:
                waiter.predicted_s = verdict.wait_s
                waiter.is_above_share = ahead.is_above_share
                return False
            wait_s = verdict.wait_s
        waiter.decision = Refusal(
            reason, admitter.retry_after_s(wait_s, demand.time_left_s)
        )
        return True

    def _record_wait(self, waiter: _Waiter, now: float) -> None:
        """Records how long a request waited, if its wait was predicted."""
        if self._admission is not None and waiter.predicted_s is not None:
            self._admission.record_wait(
                waiter.predicted_s,
                now - waiter.enqueued_at,
                is_above_share=waiter.is_above_share,
            )

    def _ahead(self, waiter: _Waiter, now: float) -> admission.Ahead:
        """Returns the requests that wait ahead of a new one."""
        service = waiter.demand.service
        is_above = self._is_above_share(waiter, now)
        ahead = [
            one
            for one in self._waiters
            if one is not waiter
            and one.demand.service.name == service.name
            and one.sort_key <= waiter.sort_key
            and (is_above or not self._is_above_share(one, now))
        ]
        # Peers don't report requests above their accounts' shares; as many of
        # them are assumed at each peer as here.
        unreported = (
            sum(self._is_above_share(one, now) for one in ahead)
            * (self._count_instances() - 1)
            if is_above
            else 0
        )
        return admission.Ahead(
            len(ahead) + unreported,
            sum(
                one.demand.prompt_tokens + one.demand.output_tokens
                for one in ahead
            ),
            is_above,
        )

    def _is_above_share(self, waiter: _Waiter, now: float) -> bool:
        """Returns whether the account of a request is above its share."""
        return self._order is not None and self._order.is_above_share(
            waiter.demand.service, waiter.account_id, now
        )

    def _refuse(
        self,
        reason: str,
        capacity_in_s: float,
        max_retry_after_s: float = MAX_RETRY_AFTER_S,
    ) -> Refusal:
        """Returns a refusal with a retry-after time."""
        wait_s = capacity_in_s if math.isfinite(capacity_in_s) else 1.0
        jitter = 1.0 + RETRY_AFTER_JITTER_FRACTION * self._rng.random()
        delay_s = min(max(wait_s, MIN_RETRY_AFTER_S), max_retry_after_s)
        return Refusal(reason, delay_s * jitter)


def _min_service_s(demand: demands.Demand) -> float:
    """Returns the time that the request takes on idle targets."""
    service_s = service_times.min_service_s(
        demand.service, demand.prompt_tokens, demand.output_tokens
    )
    return placement.DEFAULT_CALL_S if service_s is None else service_s
