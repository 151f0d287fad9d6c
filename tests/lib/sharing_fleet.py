"""Simulates instances that share the slots of a service, in virtual time.

Each instance knows the jobs of the others from digests that arrive late. A
target with more jobs than slots starts them in the order of their arrival.
"""

import random

import attrs
import trio
import trio.testing

from cardamomfork._internal.gateway.choice import demands
from cardamomfork._internal.gateway.choice import placement
from cardamomfork._internal.gateway.queueing import admission
from cardamomfork._internal.gateway.queueing import fair_order
from cardamomfork._internal.gateway.queueing import scheduling
from cardamomfork._internal.gateway.state import fingerprints
from cardamomfork._internal.gateway.state import load_view
from cardamomfork._internal.gateway.state import peer_queues
from cardamomfork._internal.gateway.state import target_table
from tests.lib import gateway_parts

MIN_DIGEST_DELAY_S = 0.01
MAX_DIGEST_DELAY_S = 0.15
DIGEST_INTERVAL_S = 0.05
OBJECTIVE_S = 0.32
TIME_LIMIT_S = 4.0
START_S = 1.0
END_S = 1.5
"""Requests of the first and last seconds of a run aren't counted; the first
find idle targets, the last could not end."""


@attrs.frozen
class Account:
    """The load of a client account.

    Attributes:
        name: Its name.
        rate_per_s: Rate of its requests.
        priority: Their priority.
        instances: Number of instances that it asks; None for all.
    """

    name: str
    rate_per_s: float
    priority: int = 0
    instances: int | None = None


@attrs.define
class Result:
    """What the callers of an account got.

    Attributes:
        asked: Requests, without those of the first and last seconds.
        served: Those of them that ended within their time limit.
        on_time: Those of them that began within their objective.
        completed: All requests that ended after the first second.
        refused: Those of `asked` that were refused.
        refused_late: Those of them that had waited for an eighth of their
            objective or more.
    """

    asked: int = 0
    served: int = 0
    on_time: int = 0
    completed: int = 0
    refused: int = 0
    refused_late: int = 0

    @property
    def served_share(self):
        return self.served / max(self.asked, 1)


class Instance:
    """An entry instance."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.load = load_view.LoadView()
        self.queues = peer_queues.PeerQueues()
        self.order = fair_order.FairOrder(fleet.table, self.load, self.queues)
        rng = random.Random(fleet.rng.random())
        self.scheduler = scheduling.Scheduler(
            placement.Placer(
                fleet.table, self.load, "a", rng, lambda: fleet.count
            ),
            self.commit,
            self.release,
            trio.current_time,
            rng,
            self.order if fleet.is_fair else None,
            admission.Admission(fleet.table, self.load, self.queues, rng)
            if fleet.is_predicting
            else None,
            lambda: fleet.count,
        )
        self.has_changed = False
        self.is_alive = True
        self.scopes = set()

    def commit(self, demand, chosen, now, account_id):
        self.load.start(
            load_view.Job(
                f"{self.number}#{demand.job_id}",
                chosen.target.record.target_id,
                (),
                0,
                0,
                demand.max_gap_s,
                1.0,
                now + self.fleet.service_s,
                ends_at=now + self.fleet.service_s,
                account_id=account_id,
            )
        )
        self.has_changed = True

    def release(self, job_id):
        self.load.end(f"{self.number}#{job_id}")
        self.has_changed = True


class SharingFleet:
    """Instances in front of the targets of one plain service."""

    def __init__(
        self,
        instances,
        seed,
        *,
        is_fair=True,
        targets=12,
        slots=6,
        service_s=0.5,
    ):
        self.rng = random.Random(seed)
        self.count = instances
        self.is_fair = is_fair
        self.service_s = service_s
        self.capacity_per_s = targets * slots / service_s
        self.table = target_table.TargetTable(lambda _: None, seed)
        self.limiters = {}
        self.slots = slots
        for number in range(targets):
            record = gateway_parts.make_record(number, "plain", slots=slots)
            self.table.put(record)
        self.results = {}
        self.instances = []
        self.groups = None
        self.dies_at = None
        self.is_predicting = False
        self.started_at = self.seconds = 0.0

    def play(self, accounts, seconds):
        """Returns what each account got."""
        self.results = {account.name: Result() for account in accounts}
        trio.run(
            self._play,
            accounts,
            seconds,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        return self.results

    def reaches(self, one, other):
        """Returns whether digests of an instance reach another."""
        return self.groups is None or (
            one.number % self.groups == other.number % self.groups
        )

    async def _play(self, accounts, seconds):
        self.limiters = {
            target.record.target_id: trio.CapacityLimiter(self.slots)
            for target in self.table.list_all()
        }
        self.started_at = trio.current_time()
        self.seconds = seconds
        self.instances = [Instance(self, n) for n in range(self.count)]
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as tasks:
                for instance in self.instances:
                    tasks.start_soon(self._send_digests, instance, tasks)
                for account in accounts:
                    tasks.start_soon(self._ask, account, tasks)
                if self.dies_at is not None:
                    tasks.start_soon(self._kill, self.instances[0])

    async def _kill(self, instance):
        await trio.sleep(self.dies_at)
        instance.is_alive = False
        for scope in tuple(instance.scopes):
            scope.cancel()

    async def _send_digests(self, instance, tasks):
        await trio.sleep(self.rng.random() * DIGEST_INTERVAL_S)
        while instance.is_alive:
            if instance.has_changed:
                instance.has_changed = False
                jobs = tuple(attrs.evolve(j) for j in instance.load.local_jobs)
                waiting = instance.scheduler.list_waiting()
                tasks.start_soon(self._deliver, instance, jobs, waiting)
            await trio.sleep(DIGEST_INTERVAL_S)

    async def _deliver(self, sender, jobs, waiting):
        await trio.sleep(
            self.rng.uniform(MIN_DIGEST_DELAY_S, MAX_DIGEST_DELAY_S)
        )
        now = trio.current_time()
        for instance in self.instances:
            if instance is not sender and self.reaches(sender, instance):
                instance.load.expire_peers(now)
                instance.load.replace_peer_jobs(str(sender.number), jobs, now)
                instance.queues.replace(str(sender.number), waiting, now)
                instance.scheduler.receive_update()

    async def _ask(self, account, tasks):
        number = 0
        while True:
            await trio.sleep(self.rng.expovariate(account.rate_per_s))
            instance = self.rng.choice(self.instances[: account.instances])
            if instance.is_alive:
                number += 1
                tasks.start_soon(
                    self._call, account, instance, f"{account.name}{number}"
                )

    async def _call(self, account, instance, job_id):
        asked_at = trio.current_time()
        answer = Result()
        if START_S <= asked_at - self.started_at <= self.seconds - END_S:
            answer = self.results[account.name]
        answer.asked += 1
        demand = demands.Demand(
            job_id,
            gateway_parts.PLAIN,
            0,
            0,
            0.0,
            OBJECTIVE_S,
            TIME_LIMIT_S,
        )
        with trio.CancelScope() as scope:
            instance.scopes.add(scope)
            chosen = await instance.scheduler.acquire(
                demand,
                account.priority,
                fingerprints.of_account(account.name),
            )
        instance.scopes.discard(scope)
        if scope.cancelled_caught:
            return
        waited_s = trio.current_time() - asked_at
        if not isinstance(chosen, placement.Placement):
            answer.refused += 1
            answer.refused_late += waited_s > OBJECTIVE_S / 8
            return
        async with self.limiters[chosen.target.record.target_id]:
            started_s = trio.current_time() - asked_at
            await trio.sleep(self.service_s)
        if trio.current_time() - self.started_at >= START_S:
            self.results[account.name].completed += 1
        if started_s + self.service_s <= TIME_LIMIT_S:
            answer.served += 1
            answer.on_time += started_s <= OBJECTIVE_S
        instance.scheduler.release(job_id)
