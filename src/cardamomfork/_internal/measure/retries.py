"""Amplification in a full outage, and recovery after it, by retry policy.

Calls arrive as a Poisson process at the queues of targets, all of which stop
answering during the outage. A working target refuses a request immediately if
it would wait longer than the idle timeout. A caller whose request fails calls
once more, after the advised time.
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
RETRY_FRACTION = 0.1
TARGET_COUNT = 20
SLOTS_PER_TARGET = 8
SERVICE_S = 0.3
LOAD_FRACTION = 0.75
DEADLINE_S = 8.0
IDLE_TIMEOUT_S = 2.0
OUTAGE_START_S = 60.0
OUTAGE_S = 60.0
END_S = 240.0
HEALTHY_FRACTION = 0.95
HEALTHY_DURATION_S = 5
INSTANCE_COUNTS = (1, 3, 9, 27)
NAIVE_MAX_TRIES = 4


@attrs.define
class _Call:
    """A caller's request.

    Attributes:
        instance: Index of the entry instance.
        deadline: Time in seconds.
        tries: Number of tries sent to targets.
        return_count: 1 if the caller's previous request failed, else 0.
    """

    instance: int
    deadline: float
    tries: int = 0
    return_count: int = 0


@attrs.define
class _Totals:
    """Totals of one run.

    Attributes:
        first_tries: Number of first tries during the outage.
        tries: Number of all tries during the outage.
        time_to_failure_s: Sum of the seconds from arrival to failure, for
            requests that failed during the outage.
        failed_count: Number of requests that failed during the outage.
        served: Requests served in time, by second of their arrival.
        arrivals: Requests that arrived, by second.
    """

    first_tries: int = 0
    tries: int = 0
    time_to_failure_s: float = 0.0
    failed_count: int = 0
    served: dict[int, int] = attrs.field(factory=dict)
    arrivals: dict[int, int] = attrs.field(factory=dict)


class _Simulation:
    """Simulation of one retry policy."""

    def __init__(self, policy: str, instances: int, seed: int) -> None:
        """Initializes the policy of each instance.

        Args:
            policy: `budget`, `naive` or `to the deadline`.
            instances: Number of entry instances that share the load.
            seed: Seed of all random generators.
        """
        self._policy = policy
        self._rng = random.Random(seed)
        self._policies = [
            retries.RetryPolicy(random.Random(self._rng.random()))
            for _ in range(instances)
        ]
        self._slots_idle_at = [
            [0.0] * SLOTS_PER_TARGET for _ in range(TARGET_COUNT)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self._totals = _Totals()

    def run(self) -> _Totals:
        """Processes events until the end time and returns the totals."""
        self._schedule(0.0, self._generate_calls)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > END_S:
                break
            event()
        return self._totals

    def _schedule(self, time: float, event: Callable[[], None]) -> None:
        """Schedules an event at a time."""
        heapq.heappush(self._events, (time, next(self._event_numbers), event))

    def _generate_calls(self) -> None:
        """Starts a call and schedules the next arrival."""
        rate = LOAD_FRACTION * TARGET_COUNT * SLOTS_PER_TARGET / SERVICE_S
        self._schedule(
            self._now + self._rng.expovariate(rate), self._generate_calls
        )
        instance = self._rng.randrange(len(self._policies))
        self._start_call(_Call(instance, self._now + DEADLINE_S))

    def _start_call(self, call: _Call) -> None:
        """Makes the first try of a request."""
        second = int(self._now)
        self._totals.arrivals[second] = self._totals.arrivals.get(second, 0) + 1
        if self._in_outage:
            self._totals.first_tries += 1
        self._policies[call.instance].note_first_try(
            SERVICE, RETRY_FRACTION, self._now
        )
        self._try(call)

    def _try(self, call: _Call) -> None:
        """Sends one try to a random target and schedules its end."""
        call.tries += 1
        if self._in_outage:
            self._totals.tries += 1
        outage_ends_at = OUTAGE_START_S + OUTAGE_S
        slots_idle_at = self._slots_idle_at[self._rng.randrange(TARGET_COUNT)]
        starts_at = max(slots_idle_at[0], self._now)
        ends_at = starts_at + SERVICE_S
        is_lost = OUTAGE_START_S <= starts_at < outage_ends_at
        idle_deadline = self._now + IDLE_TIMEOUT_S
        if is_lost:
            self._schedule(idle_deadline, lambda: self._on_failure(call))
        elif ends_at > idle_deadline:
            self._schedule(self._now, lambda: self._on_failure(call))
        else:
            heapq.heapreplace(slots_idle_at, ends_at)
            self._schedule(ends_at, lambda: self._on_success(call))

    def _on_success(self, call: _Call) -> None:
        """Counts a request that was served in time."""
        self._policies[call.instance].note_end(SERVICE, False)
        if self._now <= call.deadline:
            second = int(call.deadline - DEADLINE_S)
            self._totals.served[second] = self._totals.served.get(second, 0) + 1

    def _on_failure(self, call: _Call) -> None:
        """Retries after a failed try or gives the request up."""
        self._policies[call.instance].note_end(SERVICE, True)
        time_left_s = call.deadline - self._now
        wait_s, call_again_after_s = self._decide(call, time_left_s)
        if wait_s is not None:
            self._schedule(self._now + wait_s, lambda: self._try(call))
            return
        if self._in_outage:
            self._totals.failed_count += 1
            self._totals.time_to_failure_s += DEADLINE_S - max(time_left_s, 0.0)
        if call.return_count == 0:
            next_call = _Call(call.instance, 0.0, return_count=1)
            self._schedule(
                self._now + call_again_after_s,
                lambda: self._call_again(next_call),
            )

    def _call_again(self, call: _Call) -> None:
        """Starts the second request of a caller whose first one failed."""
        call.deadline = self._now + DEADLINE_S
        self._start_call(call)

    def _decide(
        self, call: _Call, time_left_s: float
    ) -> tuple[float | None, float]:
        """Decides on a retry.

        Returns:
            The wait in seconds before the retry, None for no retry; and the
            advised time in seconds after which the caller may call again.
        """
        if self._policy == "budget":
            failure = retries.Failure(
                SERVICE,
                targets.FaultKind.SILENT,
                call.tries,
                True,
                time_left_s,
                SERVICE_S,
            )
            decision = self._policies[call.instance].decide(failure)
            retry, given_up = decision.ok(), decision.err()
            advice_s = given_up.retry_after_s if given_up else None
            return (retry.wait_s if retry else None), advice_s or 1.0
        max_tries = NAIVE_MAX_TRIES if self._policy == "naive" else 10**6
        if call.tries < max_tries and time_left_s > SERVICE_S:
            return 0.05, 1.0
        return None, 1.0

    @property
    def _in_outage(self) -> bool:
        """Whether the outage is in progress."""
        return OUTAGE_START_S <= self._now < OUTAGE_START_S + OUTAGE_S


def measure(options: reports.Options) -> reports.Report:
    """Measures each policy, and the retry budget by number of instances."""
    instances = INSTANCE_COUNTS[:1] if options.smallest else INSTANCE_COUNTS
    rows = []
    points = []
    for policy in ("budget", "naive", "to the deadline"):
        if options.smallest and policy != "budget":
            continue
        for count in instances if policy == "budget" else (9,):
            totals = _Simulation(policy, count, options.seed).run()
            amplification = totals.tries / totals.first_tries
            rows.append(
                (
                    policy,
                    str(count),
                    f"{amplification:.3f}",
                    f"{totals.time_to_failure_s / totals.failed_count:.2f}",
                    _format_recovery(totals),
                )
            )
            if policy == "budget":
                points.append((float(count), amplification))
    table = reports.Table(
        f"Outage of {OUTAGE_S:g} s, every target silent;"
        f" {LOAD_FRACTION * TARGET_COUNT * SLOTS_PER_TARGET / SERVICE_S:g}"
        " requests/s"
        f" at {LOAD_FRACTION:.0%} load",
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


def _format_recovery(totals: _Totals) -> str:
    """Formats the seconds from the end of the outage to the recovery.

    The service has recovered at the first of several consecutive seconds in
    each of which nearly all arriving requests are served in time.
    """
    outage_end_s = int(OUTAGE_START_S + OUTAGE_S)
    healthy_count = 0
    for second in range(outage_end_s, int(END_S - DEADLINE_S)):
        served = totals.served.get(second, 0)
        served_fraction = served / max(totals.arrivals.get(second, 0), 1)
        healthy_count = (
            healthy_count + 1 if served_fraction >= HEALTHY_FRACTION else 0
        )
        if healthy_count == HEALTHY_DURATION_S:
            return str(second + 1 - HEALTHY_DURATION_S - outage_end_s)
    return "not within the run"
