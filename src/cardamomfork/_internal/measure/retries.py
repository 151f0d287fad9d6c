"""Amplification in a full outage, and recovery after it, by retry policy.

Callers come as a Poisson process to queues of targets that all go silent for
a while; a working target refuses at once what would wait past the idle bound.
A caller that is given up comes back once, after the advised time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import retries

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = identifiers.ServiceName("pool")
SHARE = 0.1
TARGETS = 20
SLOTS = 8
SERVICE_S = 0.3
LOAD = 0.75
DEADLINE_S = 8.0
IDLE_BOUND_S = 2.0
OUTAGE_START_S = 60.0
OUTAGE_S = 60.0
END_S = 240.0
HEALTHY_SHARE = 0.95
HEALTHY_WINDOWS = 5
INSTANCES = (1, 3, 9, 27)
NAIVE_TRIES = 4


@attrs.define
class _Call:
    """A caller's request; `returns` counts how often it came back."""

    instance: int
    deadline: float
    tries: int = 0
    returns: int = 0


@attrs.define
class _Totals:
    """What a run gave.

    Attributes:
        first: First tries during the outage.
        tries: All tries during the outage.
        held_s: Seconds from a request's arrival to its failure, in all.
        failed: Requests that failed in the outage.
        good: Requests done in time, by second of their arrival.
        arrived: Requests that arrived, by second.
    """

    first: int = 0
    tries: int = 0
    held_s: float = 0.0
    failed: int = 0
    good: dict[int, int] = attrs.field(factory=dict)
    arrived: dict[int, int] = attrs.field(factory=dict)


class _Simulation:
    """One run of one policy."""

    def __init__(self, policy: str, instances: int, seed: int) -> None:
        """Prepares the instances' policies.

        Args:
            policy: `budget`, `naive` or `to the deadline`.
            instances: Entry instances that share the load.
            seed: Seed of all that is random.
        """
        self._policy = policy
        self._rng = random.Random(seed)
        self._policies = [
            retries.RetryPolicy(random.Random(self._rng.random()))
            for _ in range(instances)
        ]
        self._free_at = [[0.0] * SLOTS for _ in range(TARGETS)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now = 0.0
        self._totals = _Totals()

    def run(self) -> _Totals:
        """Runs to the end."""
        self._at(0.0, self._arrive)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > END_S:
                break
            event()
        return self._totals

    def _at(self, time: float, event: Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(self._events, (time, next(self._count), event))

    def _arrive(self) -> None:
        """Takes a new caller and plans the next."""
        rate = LOAD * TARGETS * SLOTS / SERVICE_S
        self._at(self._now + self._rng.expovariate(rate), self._arrive)
        instance = self._rng.randrange(len(self._policies))
        self._begin(_Call(instance, self._now + DEADLINE_S))

    def _begin(self, call: _Call) -> None:
        """Begins a request's first try."""
        second = int(self._now)
        self._totals.arrived[second] = self._totals.arrived.get(second, 0) + 1
        if self._in_outage:
            self._totals.first += 1
        self._policies[call.instance].note_first_try(SERVICE, SHARE, self._now)
        self._try(call)

    def _try(self, call: _Call) -> None:
        """Sends one try to a target, which refuses what it can't serve."""
        call.tries += 1
        if self._in_outage:
            self._totals.tries += 1
        silent_until = OUTAGE_START_S + OUTAGE_S
        slots = self._free_at[self._rng.randrange(TARGETS)]
        start = max(slots[0], self._now)
        ends = start + SERVICE_S
        lost = OUTAGE_START_S <= start < silent_until
        bound = self._now + IDLE_BOUND_S
        if lost:
            self._at(bound, lambda: self._failed(call))
        elif ends > bound:
            self._at(self._now, lambda: self._failed(call))
        else:
            heapq.heapreplace(slots, ends)
            self._at(ends, lambda: self._done(call))

    def _done(self, call: _Call) -> None:
        """Counts a request that was served."""
        self._policies[call.instance].note_end(SERVICE, False)
        if self._now <= call.deadline:
            second = int(call.deadline - DEADLINE_S)
            self._totals.good[second] = self._totals.good.get(second, 0) + 1

    def _failed(self, call: _Call) -> None:
        """Lets the policy decide on a failed try."""
        self._policies[call.instance].note_end(SERVICE, True)
        left_s = call.deadline - self._now
        wait_s, back_s = self._decide(call, left_s)
        if wait_s is not None:
            self._at(self._now + wait_s, lambda: self._try(call))
            return
        if self._in_outage:
            self._totals.failed += 1
            self._totals.held_s += DEADLINE_S - max(left_s, 0.0)
        if call.returns == 0:
            again = _Call(call.instance, 0.0, returns=1)
            self._at(self._now + back_s, lambda: self._come_back(again))

    def _come_back(self, call: _Call) -> None:
        """Takes a caller that was told to come back."""
        call.deadline = self._now + DEADLINE_S
        self._begin(call)

    def _decide(self, call: _Call, left_s: float) -> tuple[float | None, float]:
        """Returns the wait before a retry (or None), and the advice."""
        if self._policy == "budget":
            failure = retries.Failure(
                SERVICE,
                targets.FaultKind.SILENT,
                call.tries,
                True,
                left_s,
                SERVICE_S,
            )
            decided = self._policies[call.instance].decide(failure)
            retry, given_up = decided.ok(), decided.err()
            advice_s = given_up.retry_after_s if given_up else None
            return (retry.wait_s if retry else None), advice_s or 1.0
        most = NAIVE_TRIES if self._policy == "naive" else 10**6
        if call.tries < most and left_s > SERVICE_S:
            return 0.05, 1.0
        return None, 1.0

    @property
    def _in_outage(self) -> bool:
        """Whether the targets are silent now."""
        return OUTAGE_START_S <= self._now < OUTAGE_START_S + OUTAGE_S


def measure(options: reports.Options) -> reports.Report:
    """Measures each policy, and the budget by number of instances."""
    instances = INSTANCES[:1] if options.smallest else INSTANCES
    rows = []
    points = []
    for policy in ("budget", "naive", "to the deadline"):
        if options.smallest and policy != "budget":
            continue
        for count in instances if policy == "budget" else (9,):
            totals = _Simulation(policy, count, options.seed).run()
            amplification = totals.tries / totals.first
            rows.append(
                (
                    policy,
                    str(count),
                    f"{amplification:.3f}",
                    f"{totals.held_s / totals.failed:.2f}",
                    _recovery(totals),
                )
            )
            if policy == "budget":
                points.append((float(count), amplification))
    table = reports.Table(
        f"Outage of {OUTAGE_S:g} s, every target silent;"
        f" {LOAD * TARGETS * SLOTS / SERVICE_S:g} requests/s"
        f" at {LOAD:.0%} load",
        (
            "policy",
            "instances",
            "tries a first try",
            "s to a failure",
            "s to recover",
        ),
        tuple(rows),
    )
    slope = reports.Slope(
        "tries a first try in the outage",
        "instances",
        tuple(points),
        bound=1.1,
    )
    return reports.Report("retries", (table, slope))


def _recovery(totals: _Totals) -> str:
    """Returns the seconds from the outage's end until it is healthy again.

    Healthy: of the callers that arrive in each of the next windows, nearly
    all are served in time.
    """
    over = int(OUTAGE_START_S + OUTAGE_S)
    healthy = 0
    for second in range(over, int(END_S - DEADLINE_S)):
        good = totals.good.get(second, 0)
        share = good / max(totals.arrived.get(second, 0), 1)
        healthy = healthy + 1 if share >= HEALTHY_SHARE else 0
        if healthy == HEALTHY_WINDOWS:
            return str(second + 1 - HEALTHY_WINDOWS - over)
    return "not within the run"
