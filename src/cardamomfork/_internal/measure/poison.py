"""Targets lost to a request body that crashes them, with and without a guard.

A discrete-event simulation of instances that gossip, targets that run batches,
harmless requests, and one caller that resends the crashing body after each
failure.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import poison_gossip
from cardamomfork._internal.requests import suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

UNGUARDED = "none"
GOSSIPED = "gossip"
PUSHED = "pushed"
INSTANCE_COUNTS = (3, 9, 31, 62)
SEED_COUNT = 40
TARGET_COUNT = 20
SLOTS_PER_TARGET = 16
LOAD_FRACTION = 0.6
MEAN_RUN_S = 4.0
CRASH_DELAY_S = 0.3
RESTART_S = 15.0
DEADLINE_S = 60.0
END_S = 120.0
POISON_AT_S = 15.0
MAX_RESENDS = 8
MEAN_RESEND_DELAY_S = 0.5
IMPATIENT_RESEND_S = 1.0
GOSSIP_INTERVAL_S = 1.0
GOSSIP_FANOUT = 2
GOSSIP_PAYLOAD_BYTES = 1200
ONE_WAY_S = 0.005
RETRY_DELAY_S = 0.01
MAX_TRIES_UNGUARDED = 4
POLL_S = 0.1


@attrs.define(eq=False)
class _Request:
    """A request at its entry instance.

    Attributes:
        fingerprint: Fingerprint of the body.
        instance: Index of the instance.
        arrived_at: Arrival time in seconds.
        is_poisonous: Whether the body crashes the target that runs it.
        attempt_count: Number of attempts started.
        target_index: Target of the latest attempt; -1 before the first one.
        resends: How often the caller has sent the body before.
        has_ended: Whether the request is done, or the caller has resent it.
    """

    fingerprint: bytes
    instance: int
    arrived_at: float
    is_poisonous: bool = False
    attempt_count: int = 0
    target_index: int = -1
    resends: int = 0
    has_ended: bool = False


@attrs.define
class _RunResult:
    """Results of one run.

    Attributes:
        killed: Targets crashed by the body.
        affected_count: Harmless requests that ran on a target when it crashed.
        unfinished: Affected requests that did not finish in time.
        refused: Harmless requests refused because they were quarantined.
        delays_s: Seconds from the crash to the end of each affected request
            that finished.
    """

    killed: int = 0
    affected_count: int = 0
    unfinished: int = 0
    refused: int = 0
    delays_s: list[float] = attrs.field(factory=list)


class _Simulation:
    """Simulation of one run."""

    def __init__(
        self, instances: int, mode: str, impatient: bool, seed: int
    ) -> None:
        """Initializes the instances and targets.

        Args:
            instances: Number of entry instances.
            mode: `UNGUARDED`, `GOSSIPED` or `PUSHED`: how instances share
                suspicions, if at all.
            impatient: Whether the caller resends the body before it receives
                an answer.
            seed: Seed of all random generators.
        """
        self._rng = random.Random(seed)
        self._guarded = mode != UNGUARDED
        self._pushes = mode == PUSHED
        self._impatient = impatient
        round_trip_s = poison.GOSSIP_ROUND_TRIP_S
        if self._pushes:
            round_trip_s = poison.PUSH_ROUND_TRIP_S
        self._guards = [
            poison.PoisonGuard(random.Random(self._rng.random()), round_trip_s)
            for _ in range(instances)
        ]
        self._gossips = [poison_gossip.PoisonGossip(g) for g in self._guards]
        self._running: list[set[_Request] | None] = [
            set() for _ in range(TARGET_COUNT)
        ]
        self._lost_at: dict[_Request, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self._result = _RunResult()

    def run(self) -> _RunResult:
        """Processes events until the end time and returns the results."""
        self._schedule(0.0, self._arrive)
        for instance in range(len(self._guards)):
            self._schedule(
                self._rng.random() * GOSSIP_INTERVAL_S,
                functools.partial(self._gossip, instance),
            )
        self._schedule(POISON_AT_S, lambda: self._send_poison(0))
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > END_S:
                break
            event()
        self._result.affected_count = len(self._lost_at)
        self._result.unfinished = sum(not r.has_ended for r in self._lost_at)
        return self._result

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedules an event after a delay."""
        heapq.heappush(
            self._events,
            (self._now + seconds, next(self._event_numbers), event),
        )

    def _arrive(self) -> None:
        """Admits a harmless request and schedules the next arrival."""
        rate = LOAD_FRACTION * TARGET_COUNT * SLOTS_PER_TARGET / MEAN_RUN_S
        self._schedule(self._rng.expovariate(rate), self._arrive)
        if self._now > END_S - DEADLINE_S:
            return
        self._admit(
            _Request(
                self._rng.randbytes(16),
                self._rng.randrange(len(self._guards)),
                self._now,
            )
        )

    def _send_poison(self, resends: int) -> None:
        """Sends the crashing body to a random instance."""
        request = _Request(
            b"poison" + bytes(10),
            self._rng.randrange(len(self._guards)),
            self._now,
            is_poisonous=True,
            resends=resends,
        )
        self._admit(request)
        if self._impatient:
            self._schedule(IMPATIENT_RESEND_S, lambda: self._resend(request))

    def _resend(self, request: _Request) -> None:
        """Schedules a resend of the body, at most once per request."""
        if not request.has_ended and request.resends < MAX_RESENDS:
            request.has_ended = True
            wait_s = self._rng.expovariate(1 / MEAN_RESEND_DELAY_S)
            self._schedule(
                wait_s, lambda: self._send_poison(request.resends + 1)
            )

    def _admit(self, request: _Request) -> None:
        """Starts a request, or delays or refuses it as the guard decides."""
        is_late = self._now > request.arrived_at + DEADLINE_S
        if is_late or (request.has_ended and not request.is_poisonous):
            return
        guard = self._guards[request.instance]
        admission = suspicion.UNRESTRICTED
        if self._guarded:
            admission = guard.admit(request.fingerprint, self._now)
        if admission.verdict is suspicion.Verdict.QUARANTINED:
            self._refuse(request)
            return
        if admission.verdict is suspicion.Verdict.WAIT:
            wait_s = max(admission.retry_at - self._now, POLL_S)
            self._schedule(wait_s, lambda: self._admit(request))
            return
        target_index = self._choose_target(request, admission)
        if target_index is None:
            self._schedule(POLL_S, lambda: self._admit(request))
            return
        self._start(request, target_index)

    def _choose_target(
        self, request: _Request, admission: suspicion.Decision
    ) -> int | None:
        """Chooses a target with a free slot that may run the request."""
        free_targets = [
            target_index
            for target_index, running in enumerate(self._running)
            if running is not None and len(running) < SLOTS_PER_TARGET
        ]
        if admission.verdict is suspicion.Verdict.ISOLATED:
            running_targets = frozenset(
                _target_id(target_index)
                for target_index, running in enumerate(self._running)
                if running is not None
            )
            target = self._guards[request.instance].isolation_target(
                request.fingerprint, running_targets, self._now
            )
            free_targets = [
                target_index
                for target_index in free_targets
                if _target_id(target_index) == target
            ]
        return self._rng.choice(free_targets) if free_targets else None

    def _start(self, request: _Request, target_index: int) -> None:
        """Starts a request on a target."""
        running = self._running[target_index]
        if running is None:
            return
        running.add(request)
        request.attempt_count += 1
        request.target_index = target_index
        guard = self._guards[request.instance]
        guard.started(request.fingerprint, _target_id(target_index), self._now)
        self._push_urgent_updates(request.instance)
        attempt_count = request.attempt_count
        if request.is_poisonous:
            self._schedule(
                CRASH_DELAY_S,
                lambda: self._crash_target(request, attempt_count),
            )
        else:
            run_s = self._rng.expovariate(1 / MEAN_RUN_S)
            self._schedule(run_s, lambda: self._finish(request, attempt_count))

    def _finish(self, request: _Request, attempt_count: int) -> None:
        """Ends a harmless request unless its attempt was lost."""
        running = self._running[request.target_index]
        if (
            request.attempt_count != attempt_count
            or not running
            or request not in running
        ):
            return
        running.discard(request)
        request.has_ended = True
        self._guards[request.instance].ended(
            request.fingerprint,
            _target_id(request.target_index),
            self._now,
            True,
        )
        lost_at = self._lost_at.get(request)
        if lost_at is not None:
            self._result.delays_s.append(self._now - lost_at)

    def _crash_target(self, request: _Request, attempt_count: int) -> None:
        """Crashes the target that runs the body."""
        target_index = request.target_index
        running = self._running[target_index]
        if (
            request.attempt_count != attempt_count
            or not running
            or request not in running
        ):
            return
        self._result.killed += 1
        self._running[target_index] = None
        self._schedule(RESTART_S, lambda: self._restart_target(target_index))
        self._schedule(
            ONE_WAY_S, lambda: self._report_losses(running, target_index)
        )

    def _restart_target(self, target_index: int) -> None:
        """Restarts a crashed target."""
        self._running[target_index] = set()

    def _report_losses(self, lost: set[_Request], target_index: int) -> None:
        """Reports the broken streams to their instances."""
        for request in lost:
            guard = self._guards[request.instance]
            guard.ended(
                request.fingerprint, _target_id(target_index), self._now, False
            )
            if not request.is_poisonous:
                self._lost_at.setdefault(request, self._now)
            self._schedule(
                RETRY_DELAY_S, functools.partial(self._retry_lost, request)
            )
        for instance in sorted({r.instance for r in lost}):
            self._guards[instance].target_died(
                _target_id(target_index), self._now
            )
            self._push_urgent_updates(instance)

    def _retry_lost(self, request: _Request) -> None:
        """Retries a lost request, unguarded at most a fixed number of times."""
        if not self._guarded and request.attempt_count >= MAX_TRIES_UNGUARDED:
            self._resend(request)
            return
        self._admit(request)

    def _refuse(self, request: _Request) -> None:
        """Refuses a quarantined request; the caller resends the body later."""
        if not request.is_poisonous:
            self._result.refused += 1
            return
        guard = self._guards[request.instance]
        retry_at = guard.retry_at(request.fingerprint, self._now)
        self._schedule(retry_at - self._now, lambda: self._resend(request))

    def _gossip(self, instance: int) -> None:
        """Sends updates to random peers, and schedules the next round."""
        self._schedule(GOSSIP_INTERVAL_S, lambda: self._gossip(instance))
        self._send_updates(instance, GOSSIP_FANOUT)

    def _push_urgent_updates(self, instance: int) -> None:
        """Sends urgent updates to all peers immediately if pushes are on."""
        if self._pushes and self._gossips[instance].urgent:
            self._gossips[instance].pushed()
            self._send_updates(instance, len(self._guards))

    def _send_updates(self, instance: int, fanout: int) -> None:
        """Sends updates to a number of random peers."""
        peers = [i for i in range(len(self._guards)) if i != instance]
        for peer in self._rng.sample(peers, min(fanout, len(peers))):
            payload = self._gossips[instance].collect(
                identifiers.InstanceId(str(peer)),
                gossip.Scope.DATA_CENTRE,
                GOSSIP_PAYLOAD_BYTES,
                self._now,
            )
            if payload:
                self._schedule(
                    ONE_WAY_S,
                    functools.partial(
                        self._receive_update, instance, peer, payload
                    ),
                )

    def _receive_update(self, sender: int, peer: int, payload: bytes) -> None:
        """Delivers an update to a peer."""
        self._gossips[peer].absorb(
            identifiers.InstanceId(str(sender)), payload, self._now
        )


def _target_id(target_index: int) -> identifiers.TargetId:
    """Returns the id of a target."""
    return identifiers.TargetId(f"engine-{target_index}")


def measure(options: reports.Options) -> reports.Report:
    """Measures by mode, number of instances and behaviour of the caller."""
    sizes = INSTANCE_COUNTS[:1] if options.smallest else INSTANCE_COUNTS
    seeds = 5 if options.smallest else SEED_COUNT
    modes = [
        (PUSHED, False, sizes),
        (PUSHED, True, sizes),
        (GOSSIPED, False, sizes[1:3]),
        (GOSSIPED, True, sizes[1:3]),
        (UNGUARDED, False, sizes[:1]),
    ]
    rows = []
    for mode, impatient, counts in modes:
        for count in counts:
            runs = [
                _Simulation(count, mode, impatient, options.seed + seed).run()
                for seed in range(seeds)
            ]
            rows.append(_make_row(mode, impatient, count, runs))
    table = reports.Table(
        f"One body, {seeds} seeds a row; the caller sends it up to"
        f" {MAX_RESENDS} more times; {TARGET_COUNT} targets"
        f" of {SLOTS_PER_TARGET} slots"
        f" at {LOAD_FRACTION:.0%} load",
        (
            "news",
            "caller",
            "instances",
            "lost mean",
            "lost most",
            "runs over 2",
            "beside it",
            "unfinished",
            "refused",
            "p50 delay s",
            "p99 delay s",
        ),
        tuple(rows),
    )
    return reports.Report("poison", (table,))


def _make_row(
    mode: str, impatient: bool, instance_count: int, runs: list[_RunResult]
) -> tuple[str, ...]:
    """Returns the table row of a group of runs."""
    killed = [run.killed for run in runs]
    delays_s = sorted(delay for run in runs for delay in run.delays_s)
    return (
        mode,
        "impatient" if impatient else "waits",
        str(instance_count),
        f"{sum(killed) / len(runs):.2f}",
        str(max(killed)),
        str(sum(count > 2 for count in killed)),
        str(sum(run.affected_count for run in runs)),
        str(sum(run.unfinished for run in runs)),
        str(sum(run.refused for run in runs)),
        f"{delays_s[len(delays_s) // 2]:.2f}",
        f"{delays_s[len(delays_s) * 99 // 100]:.2f}",
    )
