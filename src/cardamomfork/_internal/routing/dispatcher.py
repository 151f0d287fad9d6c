"""Dispatcher that queues requests and assigns them to engines.

Requests are queued here and not at the engines: an engine gets the next
prompt when it has none left to compute. Size classes keep long prompts on a
few engines. Queued requests are ordered by urgency, fair queueing between
accounts, and deadline. A request that can no longer end before its deadline
expires at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import dispatching
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.routing import admission
from cardamomfork._internal.routing import backlog
from cardamomfork._internal.routing import dispatcher_state
from cardamomfork._internal.routing import engine_selection
from cardamomfork._internal.routing import fleet as fleet_module
from cardamomfork._internal.routing import prefixes
from cardamomfork._internal.routing import running_requests
from cardamomfork._internal.routing import size_classes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets
    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import waiting_queue

# Planned load of each engine that accepts long prompts, as a ratio of its
# capacity: the minimum applies if short prompts have no weight, and a large
# weight adds up to the span.
MIN_PLANNED_LOAD = 0.85
PLANNED_LOAD_SPAN = 0.4
MAX_HEADS_TRIED = 3
"""Requests of a queue that are tried if the first finds no engine."""
RECHECK_S = 0.01
"""Time until a request that found no engine is tried again."""


class FleetDispatcher:
    """Implements `contracts.dispatching.Dispatcher` for a fleet of engines.

    Attributes:
        limits: Limits on the number of queued requests.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: admission.QueueLimits | None = None,
        short_weight: float = 1.0,
        *,
        adjusts_weights: bool = True,
    ) -> None:
        """Initializes the dispatcher without services.

        Args:
            rng: Random generator for the sampling of candidate engines.
            limits: Limits on the number of queued requests.
            short_weight: Weight of a delay of short prompts relative to a
                delay of long prompts. A higher weight leaves more engines to
                short prompts alone.
            adjusts_weights: Whether a target whose speed declines slowly
                loses weight.
        """
        self._rng = rng
        self.limits = limits or admission.QueueLimits()
        planned_load = MIN_PLANNED_LOAD + PLANNED_LOAD_SPAN * short_weight / (
            1.0 + short_weight
        )
        self._fleet = fleet_module.Fleet(
            planned_load, adjusts_weights=adjusts_weights
        )
        self._running = running_requests.RunningTable(self._fleet)
        self._prefixes = prefixes.PrefixIndex()
        self._backlog = backlog.Backlog()
        self._now = 0.0
        self._may_have_orphans = False

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._backlog)

    @property
    def waiting_entries(self) -> Iterable[waiting_queue.Entry]:
        """The queued requests, for the state dump."""
        return self._backlog.entries

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def fleet(self) -> fleet_module.Fleet:
        """The targets and pools, for the state dump and measurements."""
        return self._fleet

    def state(self) -> dispatcher_state.DispatcherState:
        """Returns the state for the state dump."""
        return dispatcher_state.DispatcherState(
            queued=self.queued,
            running=self.running,
            indexed_blocks=len(self._prefixes),
            pools=tuple(
                dispatcher_state.PoolState(
                    service,
                    model,
                    len(pool),
                    pool.engine_groups.sizes,
                    tuple(queue.count for queue in pool.queues),
                    pool.running,
                )
                for (service, model), pool in self._fleet.all_pools
            ),
            weights={
                view.target_id: round(view.health.weight, 3)
                for view in self._fleet.all_views
                if view.health.weight < 1.0
            },
            trust={
                view.target_id: round(view.health.trust, 3)
                for view in self._fleet.all_views
                if view.health.trust < 1.0
            },
        )

    def apply_service(self, service: configuration.Service) -> None:
        """Applies a service's current configuration, including its targets."""
        self._fleet.apply(service, self._now)
        self._may_have_orphans = True

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service; its queued requests expire."""
        self._fleet.remove(name)
        self._may_have_orphans = True

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks whether a target is leaving and accepts no new work."""
        self._fleet.set_drained(target_id, leaving, self._now)

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request, or refuses it if it can't end in time."""
        self._now = now
        exceptions.check_invariant(
            request.request_id not in self._backlog
            and request.request_id not in self._running,
            "a request is queued once",
            request.request_id,
        )
        service = self._fleet.service(request.service)
        pool = self._fleet.pool_for(request)
        if service is None or pool is None:
            return result.Err(_refuse_unknown_service(request))
        match = self._prefixes.find(request.prefix_hashes)
        entry = backlog.make_entry(request, avoid, pool, match, now)
        refusal = (
            admission.check_queue(
                self.limits,
                len(self._backlog),
                self._backlog.account_count(request.account),
            )
            or admission.check_size(request, service, avoid, pool)
            or admission.check_deadline(entry, pool, now)
        )
        if refusal is not None:
            return result.Err(refusal)
        self._backlog.add(entry, pool, now)
        return result.Ok(None)

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Removes a request from the queue, if it is still there."""
        entry = self._backlog.entry(request_id)
        if entry is not None:
            self._backlog.remove(entry, served=False)

    def poll(
        self, now: float
    ) -> tuple[Sequence[dispatching.Assignment], Sequence[dispatching.Expiry]]:
        """Returns the requests that start and those that expire now."""
        self._now = now
        expired = self._expire_orphans()
        expired += map(self._expire, self._backlog.run_timers(now))
        started: list[dispatching.Assignment] = []
        for _key, pool in self._fleet.all_pools:
            if pool.queued:
                self._start_requests(pool, now, started)
        return started, expired

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again if no event occurs before, or None."""
        if not self._backlog:
            return None
        due = self._backlog.next_timer()
        times = [] if due is None else [due]
        for _, pool in self._fleet.all_pools:
            if pool.queued:
                times.extend(pool.next_times(now))
        return max(min(times), now) if times else None

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Records the first token of an assigned request."""
        self._now = now
        self._running.first_token(request_id, now)

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,
        generated_tokens: int,
        fault: targets.TargetFault | None = None,
    ) -> None:
        """Records that an assigned request ended on its target."""
        self._now = now
        self._running.finish(request_id, now, generated_tokens, fault)

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Applies a load report, which may be late."""
        self._now = now
        view = self._fleet.view(report.target_id)
        if view is None:
            return
        boot_id = view.boot_id
        if view.observe(report, now):
            self._fleet.rebuild_pools_of(report.target_id, now)
        if boot_id not in (None, view.boot_id):
            self._prefixes.remove_target(report.target_id)
        self._fleet.refresh(view, now)

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Applies a cache event, which may be late; False asks for a resync."""
        if self._fleet.view(event.target_id) is None:
            return True
        return self._prefixes.observe(event)

    def _expire_orphans(self) -> list[dispatching.Expiry]:
        """Expires requests whose service or model was removed."""
        if not self._may_have_orphans:
            return []
        self._may_have_orphans = False
        orphans = [e for e in self._backlog.entries if self._is_orphan(e)]
        return [self._expire(entry) for entry in orphans]

    def _is_orphan(self, entry: waiting_queue.Entry) -> bool:
        """Returns whether a request's pool was removed."""
        pool = self._fleet.pool_for(entry.request)
        return pool is not self._backlog.pool(entry)

    def _expire(self, entry: waiting_queue.Entry) -> dispatching.Expiry:
        """Removes a queued request that can no longer run."""
        refusal = outcomes.refuse(
            outcomes.RefusalReason.DEADLINE_EXCEEDED,
            "No target became free early enough to end the request in time.",
            admission.RETRY_AFTER_S,
        )
        if self._is_orphan(entry):
            refusal = _refuse_unknown_service(entry.request)
        self._backlog.remove(entry, served=False)
        return dispatching.Expiry(entry.request.request_id, refusal)

    def _start_requests(
        self,
        pool: pools.Pool,
        now: float,
        started: list[dispatching.Assignment],
    ) -> None:
        """Starts the requests that the pool's free engines can run."""
        pool.run_timers(now)
        heads = {}
        for size_class, queue in enumerate(pool.queues):
            if queue.count and self._may_start(pool, size_class, now):
                heads[size_class] = queue.first()
        while heads:
            size_class = _select_class(heads, now)
            queue = pool.queues[size_class]
            head = heads[size_class]
            assignment = self._try_start(head, pool, now)
            if assignment is None and queue.count > 1:
                assignment = self._start_any_head(queue, pool, now)
            if assignment is None:
                queue.pause.until = now + RECHECK_S
                ignores_freed = queue.count <= MAX_HEADS_TRIED or size_class > 1
                queue.pause.freed = None if ignores_freed else pool.freed
                pool.recheck_at = queue.pause.until
                del heads[size_class]
                continue
            started.append(assignment)
            if queue.count and self._may_start(pool, size_class, now):
                heads[size_class] = queue.first()
            else:
                del heads[size_class]

    def _may_start(self, pool: pools.Pool, size_class: int, now: float) -> bool:
        """Returns whether a request of a class could start now."""
        queue = pool.queues[size_class]
        if queue.pause.is_active(now, pool.freed):
            return False
        if pool.has_free(size_class):
            return True
        return queue.class_exempt_count > 0 and pool.has_free(0)

    def _start_any_head(
        self, queue: waiting_queue.WaitingQueue, pool: pools.Pool, now: float
    ) -> dispatching.Assignment | None:
        """Starts the first of the next requests that an engine can run."""
        for entry in queue.heads(MAX_HEADS_TRIED):
            assignment = self._try_start(entry, pool, now)
            if assignment is not None:
                return assignment
        return None

    def _try_start(
        self, entry: waiting_queue.Entry | None, pool: pools.Pool, now: float
    ) -> dispatching.Assignment | None:
        """Starts a request if an engine can run it now."""
        if entry is None or entry.latest_start <= now:
            return None
        if now < entry.recheck_at:
            return None
        if not (entry.is_class_exempt or pool.has_free(entry.size_class)):
            return None
        selection = self._select(entry, pool, now)
        if selection is not None:
            return self._start(entry, pool, selection, now)
        entry.recheck_at = now + RECHECK_S
        return None

    def _select(
        self, entry: waiting_queue.Entry, pool: pools.Pool, now: float
    ) -> engine_selection.Selection | None:
        """Returns the engines for a request, or None if it has to wait.

        The last free engine is not given to short batch requests.
        """
        is_batch = entry.urgency >= requests.Urgency.BATCH
        if is_batch and not entry.size_class and pool.free_count(0) < 2:
            return None
        if backlog.exceeds_one_engine(entry.request, pool):
            return engine_selection.select_engines_for_parts(entry, pool, now)
        selection = engine_selection.select_engine(entry, pool, now, self._rng)
        if (
            selection is None
            and entry.size_class == size_classes.CLASS_COUNT - 1
        ):
            return engine_selection.select_engines_for_parts(entry, pool, now)
        return selection

    def _start(
        self,
        entry: waiting_queue.Entry,
        pool: pools.Pool,
        selection: engine_selection.Selection,
        now: float,
    ) -> dispatching.Assignment:
        """Moves a request from the queue to its engines."""
        request = entry.request
        self._backlog.remove(entry, served=True)
        self._running.start(entry, pool, selection, now)
        target_id = selection.plan.target_id
        if not selection.plan.hops:
            self._prefixes.record_sent(target_id, request.prefix_hashes)
        return dispatching.Assignment(
            request.request_id,
            target_id,
            selection.first_token_s,
            selection.plan.hops,
        )


def _select_class(
    heads: dict[int, waiting_queue.Entry | None], now: float
) -> int:
    """Returns the class to serve next, by urgency, then response ratio."""
    if len(heads) == 1:
        return next(iter(heads))
    return min(
        heads, key=lambda size_class: _class_rank(heads[size_class], now)
    )


def _class_rank(
    head: waiting_queue.Entry | None, now: float
) -> tuple[int, float]:
    """Returns the sort key of a class, taken from its first request."""
    if head is None:
        return 8, 0.0
    return head.urgency, -head.response_ratio(now)


def _refuse_unknown_service(request: requests.Request) -> outcomes.Refusal:
    """Returns the refusal for a service or model that is not configured."""
    return outcomes.refuse(
        outcomes.RefusalReason.UNKNOWN_SERVICE,
        f"Service {request.service!r} with model {request.model!r} does not"
        " exist.",
    )
