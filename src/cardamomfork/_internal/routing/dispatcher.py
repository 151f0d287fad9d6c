"""Decides when and where requests run on a fleet of unlike prompts.

Requests wait here and not at the engines: an engine gets the next prompt when
it has none left to compute. Size classes keep long prompts on few engines;
urgency, accounts' turns and deadlines order what waits; a request that can no
longer end in time ends at once.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import dispatching
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import requests
from cardamomfork._internal.routing import admission
from cardamomfork._internal.routing import choice as choice_module
from cardamomfork._internal.routing import fleet as fleet_module
from cardamomfork._internal.routing import prefixes
from cardamomfork._internal.routing import running as running_module
from cardamomfork._internal.routing import split
from cardamomfork._internal.routing import waiting

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets
    from cardamomfork._internal.routing import pools

DEFAULT_UTILISATION = 0.92
HEADS_TRIED = 3
SHARE_OF_ANSWER_NEEDED = 0.5
AGE_TO_NORMAL = 0.5
AGE_TO_URGENT = 0.8


@attrs.frozen
class PoolState:
    """A pool as the state dump shows it.

    Attributes:
        service: Its service.
        model: Its model.
        engines: Engines that take work.
        sizes: Engines that take each size class.
        queued: Requests that wait, by size class.
        running: Requests on its engines.
    """

    service: str
    model: str
    engines: int
    sizes: tuple[int, ...]
    queued: tuple[int, ...]
    running: int


@attrs.frozen
class DispatcherState:
    """What the state dump shows.

    Attributes:
        queued: Requests that wait.
        running: Requests under way.
        indexed_blocks: Blocks in the cache index.
        pools: The pools.
        weights: Weight of each target that lost some.
    """

    queued: int
    running: int
    indexed_blocks: int
    pools: tuple[PoolState, ...]
    weights: dict[str, float]


class FleetDispatcher:
    """Meets `contracts.dispatching.Dispatcher`."""

    def __init__(
        self,
        rng: random.Random,
        limits: admission.QueueLimits | None = None,
        utilisation: float = DEFAULT_UTILISATION,
    ) -> None:
        """Starts without services.

        Args:
            rng: Source of the candidates drawn.
            limits: Most requests that wait at once.
            utilisation: Share of their time that engines for long prompts
                are meant to be busy; the higher, the more engines are left
                to short prompts alone.
        """
        self._rng = rng
        self._limits = limits or admission.QueueLimits()
        self._fleet = fleet_module.Fleet(utilisation)
        self._running = running_module.RunningTable(self._fleet)
        self._prefixes = prefixes.PrefixIndex()
        self._entries: dict[identifiers.RequestId, waiting.Entry] = {}
        self._pools: dict[identifiers.RequestId, pools.Pool] = {}
        self._by_account: dict[identifiers.AccountName, int] = {}
        self._timers: list[tuple[float, int, waiting.Entry]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._may_have_orphans = False

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._entries)

    @property
    def running(self) -> int:
        """Requests under way."""
        return len(self._running)

    @property
    def fleet(self) -> fleet_module.Fleet:
        """Targets and pools, for the state dump and measurements."""
        return self._fleet

    def state(self) -> DispatcherState:
        """Returns what the state dump shows."""
        return DispatcherState(
            queued=self.queued,
            running=self.running,
            indexed_blocks=len(self._prefixes),
            pools=tuple(
                PoolState(
                    service,
                    model,
                    len(pool),
                    pool.split.sizes,
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
        )

    def apply_service(self, service: configuration.Service) -> None:
        """Takes a service's current configuration, its targets included."""
        self._fleet.apply(service, self._now)
        self._may_have_orphans = True

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service; what is queued for it expires."""
        self._fleet.remove(name)
        self._may_have_orphans = True

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
        self._fleet.set_drained(target_id, leaving, self._now)

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request, or refuses one that cannot end in time."""
        self._now = now
        exceptions.check_invariant(
            request.request_id not in self._entries
            and request.request_id not in self._running,
            "a request is queued once",
            request.request_id,
        )
        service = self._fleet.service(request.service)
        pool = self._fleet.pool_for(request)
        if service is None or pool is None:
            return result.Err(_unknown(request))
        entry = self._make_entry(request, avoid, pool, now)
        refusal = (
            admission.check_queue(
                self._limits,
                len(self._entries),
                self._by_account.get(request.account, 0),
            )
            or admission.check_size(request, service, avoid, pool)
            or admission.check_deadline(entry, pool, now)
        )
        if refusal is not None:
            return result.Err(refusal)
        self._enqueue(entry, pool, now)
        return result.Ok(None)

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Takes a queued request back."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._dequeue(entry, served=False)

    def poll(
        self, now: float
    ) -> tuple[Sequence[dispatching.Assignment], Sequence[dispatching.Expiry]]:
        """Returns what starts and what expires now."""
        self._now = now
        expired = [*self._expire_orphans(), *self._run_timers(now)]
        started: list[dispatching.Assignment] = []
        for _key, pool in self._fleet.all_pools:
            if pool.queued:
                self._fill(pool, now, started)
        return started, expired

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again if nothing happens before."""
        if not self._entries:
            return None
        times = [self._timers[0][0]] if self._timers else []
        for _, pool in self._fleet.all_pools:
            timer = pool.next_timer()
            if timer is not None and pool.queued:
                times.append(timer)
        return max(min(times), now) if times else None

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Notes that an assigned request gave its first token."""
        self._now = now
        self._running.first_token(request_id, now)

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,
        generated_tokens: int,
        fault: targets.TargetFault | None = None,
    ) -> None:
        """Notes that an assigned request left its target."""
        self._now = now
        self._running.finish(request_id, now, generated_tokens, fault)

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Takes a (late) load report."""
        self._now = now
        view = self._fleet.view(report.target_id)
        if view is None:
            return
        boot_id = view.boot_id
        if view.observe(report, now):
            self._fleet.rebuild_for(report.target_id, now)
        if boot_id not in (None, view.boot_id):
            self._prefixes.forget(report.target_id)
        self._fleet.refresh(view, now)

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Takes a (late) cache event; False asks for a resync."""
        if self._fleet.view(event.target_id) is None:
            return True
        return self._prefixes.observe(event)

    def _make_entry(
        self,
        request: requests.Request,
        avoid: frozenset[identifiers.TargetId],
        pool: pools.Pool,
        now: float,
    ) -> waiting.Entry:
        """Predicts what a request needs."""
        tokens = max(request.prompt_tokens, 1)
        work_s = pool.costs.prefill_s(tokens)
        answer_s = pool.costs.generation_s(request.max_tokens)
        match = self._prefixes.find(request.prefix_hashes)
        needed_s = work_s * (1.0 - match.share)
        needed_s += answer_s * SHARE_OF_ANSWER_NEEDED
        if not request.max_tokens:
            work_s = needed_s = pool.costs.call_s
        return waiting.Entry(
            request=request,
            avoid=avoid,
            size_class=split.class_of(tokens) if request.max_tokens else 0,
            work_s=work_s,
            answer_s=answer_s,
            latest_start=request.deadline - needed_s,
            match=match,
            urgency=request.urgency,
            queued_at=now,
        )

    def _enqueue(
        self, entry: waiting.Entry, pool: pools.Pool, now: float
    ) -> None:
        """Queues an admitted request."""
        request = entry.request
        self._entries[request.request_id] = entry
        self._pools[request.request_id] = pool
        account = request.account
        self._by_account[account] = self._by_account.get(account, 0) + 1
        pool.queues[entry.size_class].push(entry)
        pool.split.note(entry.size_class, _engine_s(entry, pool), now)
        self._set_timer(entry)

    def _dequeue(self, entry: waiting.Entry, *, served: bool) -> None:
        """Takes a request out of its queue."""
        request = entry.request
        del self._entries[request.request_id]
        pool = self._pools.pop(request.request_id)
        self._by_account[request.account] -= 1
        if not self._by_account[request.account]:
            del self._by_account[request.account]
        pool.queues[entry.size_class].take(entry, served=served)

    def _set_timer(self, entry: waiting.Entry) -> None:
        """Plans the next time that a waiting request must be looked at."""
        patience_s = entry.latest_start - entry.queued_at
        due = entry.latest_start
        if entry.urgency > requests.Urgency.NORMAL:
            due = entry.queued_at + AGE_TO_NORMAL * patience_s
        elif entry.urgency > requests.Urgency.INTERACTIVE:
            due = entry.queued_at + AGE_TO_URGENT * patience_s
        heapq.heappush(self._timers, (due, next(self._sequence), entry))

    def _run_timers(self, now: float) -> list[dispatching.Expiry]:
        """Raises the urgency of what waited long; expires what is too late."""
        expired = []
        while self._timers and self._timers[0][0] <= now:
            entry = heapq.heappop(self._timers)[2]
            if not entry.is_waiting:
                continue
            if entry.latest_start <= now:
                expired.append(self._expire(entry))
                continue
            urgency = requests.Urgency.INTERACTIVE
            if entry.urgency > requests.Urgency.NORMAL:
                urgency = requests.Urgency.NORMAL
            pool = self._pools[entry.request.request_id]
            pool.queues[entry.size_class].raise_urgency(entry, urgency)
            self._set_timer(entry)
        return expired

    def _expire_orphans(self) -> list[dispatching.Expiry]:
        """Ends what waits for a service or model that was removed."""
        if not self._may_have_orphans:
            return []
        self._may_have_orphans = False
        orphans = [e for e in self._entries.values() if self._is_orphan(e)]
        return [self._expire(entry) for entry in orphans]

    def _is_orphan(self, entry: waiting.Entry) -> bool:
        """Returns whether a request's pool is gone."""
        pool = self._fleet.pool_for(entry.request)
        return pool is not self._pools[entry.request.request_id]

    def _expire(self, entry: waiting.Entry) -> dispatching.Expiry:
        """Ends a waiting request that can no longer run in time."""
        refusal = outcomes.refuse(
            outcomes.RefusalReason.DEADLINE_EXCEEDED,
            "No target became free early enough to end the request in time.",
            admission.RETRY_S,
        )
        if self._is_orphan(entry):
            refusal = _unknown(entry.request)
        self._dequeue(entry, served=False)
        return dispatching.Expiry(entry.request.request_id, refusal)

    def _fill(
        self,
        pool: pools.Pool,
        now: float,
        started: list[dispatching.Assignment],
    ) -> None:
        """Starts what the pool's free engines can take."""
        pool.wake(now)
        open_classes = {
            size_class
            for size_class, queue in enumerate(pool.queues)
            if queue.count
        }
        while open_classes:
            heads = {c: self._heads(pool, c) for c in open_classes}
            size_class = min(open_classes, key=lambda c: _rank(heads[c], now))
            assignment = self._start_one(heads[size_class], pool, now)
            if assignment is not None:
                started.append(assignment)
            if assignment is None or not pool.queues[size_class].count:
                open_classes.discard(size_class)

    def _heads(self, pool: pools.Pool, size_class: int) -> list[waiting.Entry]:
        """Returns the requests of a class that are next."""
        heads = list(pool.queues[size_class].heads(HEADS_TRIED))
        if pool.has_free(size_class):
            return heads
        return [entry for entry in heads if entry.match.holders]

    def _start_one(
        self, heads: list[waiting.Entry], pool: pools.Pool, now: float
    ) -> dispatching.Assignment | None:
        """Starts the first of some requests that an engine can take."""
        for entry in heads:
            if entry.latest_start <= now:
                continue
            choice = self._choose(entry, pool, now)
            if choice is not None:
                return self._start(entry, pool, choice, now)
        return None

    def _choose(
        self, entry: waiting.Entry, pool: pools.Pool, now: float
    ) -> choice_module.Choice | None:
        """Returns where a request runs if it starts now, or None."""
        request = entry.request
        is_batch = entry.urgency >= requests.Urgency.BATCH
        if is_batch and not entry.size_class and pool.free_count(0) < 2:
            return None
        need = request.prompt_tokens + request.max_tokens
        if request.max_tokens and need > pool.largest_memory:
            return choice_module.choose_parts(entry, pool, now, self._rng)
        return choice_module.choose(entry, pool, now, self._rng)

    def _start(
        self,
        entry: waiting.Entry,
        pool: pools.Pool,
        choice: choice_module.Choice,
        now: float,
    ) -> dispatching.Assignment:
        """Moves a request from its queue to its engine."""
        request = entry.request
        self._dequeue(entry, served=True)
        self._running.start(entry, pool, choice, now)
        target_id = choice.plan.target_id
        if not choice.plan.hops:
            self._prefixes.note_sent(target_id, request.prefix_hashes)
        return dispatching.Assignment(
            request.request_id,
            target_id,
            choice.first_token_s,
            choice.plan.hops,
        )


def _rank(heads: list[waiting.Entry], now: float) -> tuple[int, float]:
    """Returns the order of a class: urgency, then time waited to serve."""
    if not heads:
        return 8, 0.0
    return heads[0].urgency, -heads[0].response_ratio(now)


def _engine_s(entry: waiting.Entry, pool: pools.Pool) -> float:
    """Returns the engine time that a request will take, in seconds.

    A long prompt keeps others out by its memory as well, for as long as its
    answer takes.
    """
    prefill_s = entry.work_s * pool.costs.batch_factor(pool.typical_batch)
    memory = max(pool.largest_memory, 1)
    share = entry.request.prompt_tokens / memory
    return max(prefill_s, (prefill_s + entry.answer_s) * share)


def _unknown(request: requests.Request) -> outcomes.Refusal:
    """Returns the refusal of a service or model that is not configured."""
    return outcomes.refuse(
        outcomes.RefusalReason.UNKNOWN_SERVICE,
        f"Service {request.service!r} with model {request.model!r} does not"
        " exist.",
    )
