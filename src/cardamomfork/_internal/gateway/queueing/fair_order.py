"""Orders waiting requests so that client accounts get equal shares.

Addresses a load in which more requests wait than targets can serve, most of
them from one account. Ordered by arrival, that account gets slots in
proportion to its requests. Here, within a priority, the account goes first that
uses least of what the service has; so an account below its share waits only for
the next slots that become free, whatever another asks.

The use of an account is the larger of its fractions of the service's slots and
memory, taken by its running jobs at all instances. Held over time, these are
slot-seconds and memory-seconds. They need no history, so they are known again
as soon as peers have sent digests.

Each instance has a queue of its own, and a freed slot is taken before an
instance at which a small account waits hears of it. Therefore an account above
its equal share leaves some slots free for those below theirs: as many as
these have waiting at peers, and a margin for those about to arrive.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from typing import Generic
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cardamomfork._internal.gateway.choice import demands
    from cardamomfork._internal.gateway.state import load_view
    from cardamomfork._internal.gateway.state import peer_queues
    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet

MAX_ACCOUNTS = 4096
"""Bound of the table of a service; the accounts with least use are dropped,
which then count as using nothing."""
MAX_DUMPED_ACCOUNTS = 20
"""Accounts of each service in the state dump."""
USE_MAX_AGE_S = 0.05
"""Time for which the use of a service is kept. Digests of peers are older. It
takes 0.5 ms to compute with 60 engines, 1.8 ms with 195."""
HELD_BACK_OBJECTIVE_FRACTION = 0.5
"""A request is held back if it has waited for this fraction of the time that it
had left until it was late; then it can still be on time."""
HELD_BACK_INTERVAL = 4
"""Of this number of placements, one goes to a held back request, if any. A less
urgent kind thus gets a quarter of the slots at least."""
SLOTS_MAX_AGE_S = 1.0
"""Time for which the number of slots of a service is kept."""
RESERVED_DEVIATIONS = 2.0
"""Slots that are left free for requests about to arrive, in standard deviations
of the number that accounts below their share use. With one, 69 instances served
such an account hardly 0.93 as often as alone, and half of that on time."""
MAX_RESERVED_FRACTION = 0.25
"""Slots of a service that accounts above their share leave free, at most. It
bounds what a false digest can keep idle."""


class Waiting(Protocol):
    """What the order reads of a waiting request."""

    @property
    def demand(self) -> demands.Demand:
        """Its requirements; times left count from `enqueued_at`."""

    @property
    def priority(self) -> int:
        """Its priority; 0 goes first."""

    @property
    def enqueued_at(self) -> float:
        """Monotonic time at which it joined the queue."""

    @property
    def account_id(self) -> int:
        """Fingerprint of its client account."""


_W = TypeVar("_W", bound=Waiting)


@attrs.define
class _Use:
    """Fractions of a service's slots and memory that an account uses."""

    slots: float = 0.0
    memory: float = 0.0

    @property
    def dominant(self) -> float:
        """The larger fraction."""
        return max(self.slots, self.memory)


@attrs.define
class _ServiceUse:
    """The use of a service by account.

    Attributes:
        computed_at: Monotonic time at which it was computed.
        slots: Number of slots of the service.
        free_slots: Number of them that are free.
        memory_tokens: Memory of the service's engines.
        by_account: Use by fingerprint of the account.
    """

    computed_at: float
    slots: int
    free_slots: int
    memory_tokens: int
    by_account: dict[int, _Use]


class FairOrder:
    """Orders the waiting requests of an instance; there is one per process."""

    def __init__(
        self,
        table: target_table.TargetTable,
        load: load_view.LoadView,
        queues: peer_queues.PeerQueues,
    ) -> None:
        """Initializes the order.

        Args:
            table: The known targets.
            load: The running jobs of all instances.
            queues: Numbers of requests that wait at peers.
        """
        self._table = table
        self._load = load
        self._queues = queues
        self._by_service: dict[str, _ServiceUse] = {}
        self._placed_since_held_back = 0

    def use(self, service: fleet.Service, account_id: int, now: float) -> float:
        """Returns the fraction of a service that an account uses, 0 to 1."""
        use = self._service_use(service, now).by_account.get(account_id)
        return use.dominant if use is not None else 0.0

    def is_above_share(
        self, service: fleet.Service, account_id: int, now: float
    ) -> bool:
        """Returns whether an account uses more than its equal share.

        Shares are equal among the accounts that use the service and the given
        one.
        """
        known = self._service_use(service, now)
        use = known.by_account.get(account_id)
        return use is not None and use.dominant * len(known.by_account) > 1.0

    def must_yield(
        self, service: fleet.Service, account_id: int, now: float
    ) -> bool:
        """Returns whether an account must leave the free slots to others."""
        # Counts jobs of all services, so it saves a computation at low load.
        last = self._by_service.get(service.name)
        if (
            last is not None
            and now - last.computed_at <= SLOTS_MAX_AGE_S
            and self._load.job_count < (1 - MAX_RESERVED_FRACTION) * last.slots
        ):
            return False
        if not self.is_above_share(service, account_id, now):
            return False
        known = self._service_use(service, now)
        share = 1.0 / len(known.by_account)
        small_slots = sum(
            use.slots * known.slots
            for use in known.by_account.values()
            if use.dominant <= share
        )
        # The number of requests in service varies by about its square root.
        reserved = self._queues.count(
            service.name, now
        ) + RESERVED_DEVIATIONS * math.sqrt(small_slots)
        return known.free_slots <= min(
            reserved, MAX_RESERVED_FRACTION * known.slots
        )

    def highest_use(
        self, services: Iterable[fleet.Service], now: float
    ) -> float:
        """Returns the highest use that any account makes of a service."""
        return max(
            (
                use.dominant
                for service in services
                for use in self._service_use(service, now).by_account.values()
            ),
            default=0.0,
        )

    def dump(
        self, services: Iterable[fleet.Service], now: float
    ) -> dict[str, dict[str, float]]:
        """Returns the highest uses by service and account's fingerprint."""
        return {
            service.name: {
                f"{account_id:016x}": round(use.dominant, 4)
                for account_id, use in heapq.nlargest(
                    MAX_DUMPED_ACCOUNTS,
                    self._service_use(service, now).by_account.items(),
                    key=lambda item: item[1].dominant,
                )
            }
            for service in services
        }

    def start_pass(self, waiting: Iterable[_W], now: float) -> Pass[_W]:
        """Starts a pass over the queue.

        Args:
            waiting: The requests by priority and time at which they are late.
            now: Monotonic time.
        """
        listed = tuple(waiting)
        self.record_waiting(listed, now)
        return Pass(self, listed, now)

    def record_waiting(self, waiting: Iterable[Waiting], now: float) -> None:
        """Gives a share to accounts that only wait and run nothing."""
        for one in waiting:
            known = self._service_use(one.demand.service, now)
            if len(known.by_account) < MAX_ACCOUNTS:
                known.by_account.setdefault(one.account_id, _Use())

    def add(self, placed: Waiting, now: float) -> None:
        """Counts a request of a queue that has been placed."""
        known = self._service_use(placed.demand.service, now)
        use = known.by_account.setdefault(placed.account_id, _Use())
        size = placed.demand.prompt_tokens + placed.demand.output_tokens
        use.slots += 1 / max(known.slots, 1)
        known.free_slots = max(known.free_slots - 1, 0)
        if known.memory_tokens:
            use.memory += size / known.memory_tokens

    def count_placement(self, *, is_held_back: bool) -> None:
        """Counts a placement that several priorities waited for."""
        self._placed_since_held_back = (
            0 if is_held_back else self._placed_since_held_back + 1
        )

    @property
    def is_turn_of_held_back(self) -> bool:
        """Whether the next slot goes to a held back request, if any."""
        return self._placed_since_held_back >= HELD_BACK_INTERVAL - 1

    def _service_use(self, service: fleet.Service, now: float) -> _ServiceUse:
        """Returns the use of a service, which is computed if it is too old."""
        known = self._by_service.get(service.name)
        if known is None or now - known.computed_at > USE_MAX_AGE_S:
            known = self._compute(service, now)
            self._by_service = {
                name: one
                for name, one in self._by_service.items()
                if self._table.count_service(name)
            } | {service.name: known}
        return known

    def _compute(self, service: fleet.Service, now: float) -> _ServiceUse:
        """Computes the use of a service from the running jobs.

        What digests claim beyond the slots and memory of a target is scaled
        down to them.
        """
        targets = self._table.list_service(service.name, now)
        slots = sum(target.record.slots for target in targets)
        tokens = (
            service.cost_model.memory_tokens
            if service.cost_model is not None
            else 0
        )
        by_account: dict[int, _Use] = {}
        free_slots = 0
        for target in targets:
            target_id = target.record.target_id
            shares = [
                (job.account_id, *_held(job, target_id))
                for job in self._load.jobs(target_id)
            ]
            claimed_slots = sum(count for _, count, _ in shares)
            free_slots += max(target.record.slots - claimed_slots, 0)
            claimed_tokens = sum(held for _, _, held in shares)
            slot_share = target.record.slots / max(
                claimed_slots, target.record.slots, 1
            )
            memory_share = tokens / max(claimed_tokens, tokens, 1)
            for account_id, count, held in shares:
                use = by_account.setdefault(account_id, _Use())
                use.slots += count * slot_share / max(slots, 1)
                if tokens:
                    use.memory += held * memory_share / (tokens * len(targets))
        by_account.pop(0, None)
        if len(by_account) > MAX_ACCOUNTS:
            by_account = dict(
                heapq.nlargest(
                    MAX_ACCOUNTS,
                    by_account.items(),
                    key=lambda item: item[1].dominant,
                )
            )
        return _ServiceUse(
            now, slots, free_slots, tokens * len(targets), by_account
        )


class Pass(Generic[_W]):
    """One pass over the queue, in which each request comes up once."""

    def __init__(
        self, order: FairOrder, waiting: tuple[_W, ...], now: float
    ) -> None:
        """Initializes the pass.

        Args:
            order: The order.
            waiting: The requests by priority and time at which they are late.
            now: Monotonic time.
        """
        self._order = order
        self._waiting = waiting
        self._now = now
        self._is_shared = len({one.account_id for one in waiting}) > 1
        self._lowest_priority = min(
            (one.priority for one in waiting), default=0
        )
        self._highest_priority = max(
            (one.priority for one in waiting), default=0
        )

    def __iter__(self) -> Iterator[_W]:
        """Yields each request once.

        With requests of one account, the order is the given one.
        """
        if not self._is_shared:
            yield from self._waiting
            return
        held_back = iter(
            [one for one in self._waiting if self._is_held_back(one)]
        )
        yielded: set[int] = set()
        groups = itertools.groupby(self._waiting, lambda one: one.priority)
        for _, group in groups:
            for one in self._by_use(group):
                while self._order.is_turn_of_held_back:
                    first = next(
                        (two for two in held_back if id(two) not in yielded),
                        None,
                    )
                    if first is None:
                        break
                    yielded.add(id(first))
                    yield first
                if id(one) not in yielded:
                    yielded.add(id(one))
                    yield one

    def record_placed(self, placed: _W) -> None:
        """Counts a request that has just been yielded and was placed."""
        if not self._is_shared:
            return
        if self._highest_priority > self._lowest_priority:
            self._order.count_placement(is_held_back=self._is_held_back(placed))

    def _is_held_back(self, one: _W) -> bool:
        """Returns whether more urgent ones have held a request back."""
        return (
            one.priority > self._lowest_priority
            and self._now - one.enqueued_at
            >= HELD_BACK_OBJECTIVE_FRACTION
            * max(one.demand.objective_left_s, 0.0)
        )

    def _by_use(self, group: Iterable[_W]) -> Iterator[_W]:
        """Yields requests of a priority, the account with least use first.

        Use is read again after each request, since one may have been placed.
        """
        queues: dict[tuple[str, int], collections.deque[tuple[int, _W]]] = {}
        for position, one in enumerate(group):
            queues.setdefault(
                (one.demand.service.name, one.account_id), collections.deque()
            ).append((position, one))
        # At equal use, the order is the given one.
        heap = [
            (self._use(queue[0][1]), queue[0][0], key)
            for key, queue in queues.items()
        ]
        heapq.heapify(heap)
        while heap:
            _, _, key = heap[0]
            queue = queues[key]
            _, one = queue.popleft()
            yield one
            if queue:
                heapq.heapreplace(heap, (self._use(one), queue[0][0], key))
            else:
                heapq.heappop(heap)

    def _use(self, one: _W) -> float:
        """Returns the use of a request's account."""
        return self._order.use(one.demand.service, one.account_id, self._now)


def _held(job: load_view.Job, target_id: str) -> tuple[int, int]:
    """Returns the slots and tokens that a job holds on a target."""
    if job.target_id == target_id:
        return 1, job.primary_tokens
    return 0, sum(
        part.reserved_tokens
        for part in job.parts
        if part.target_id == target_id
    )
