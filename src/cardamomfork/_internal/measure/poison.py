"""Targets lost to one body that kills what runs it, with and without a guard.

A small model in steps of events: instances that gossip, targets that batch,
innocent requests, and one caller that sends its body again whenever it fails.
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
INSTANCES = (3, 9, 31, 62)
SEEDS = 40
TARGETS = 20
SLOTS = 16
LOAD = 0.6
RUN_S = 4.0
KILL_S = 0.3
RESTART_S = 15.0
DEADLINE_S = 60.0
END_S = 120.0
POISON_AT_S = 15.0
RESENDS = 8
RESEND_S = 0.5
IMPATIENT_S = 1.0
GOSSIP_S = 1.0
FANOUT = 2
GOSSIP_BYTES = 1200
WAY_S = 0.005
CHECK_S = 0.01
TRIES_WITHOUT_GUARD = 4
POLL_S = 0.1


@attrs.define(eq=False)
class _Request:
    """A request at its instance."""

    fingerprint: bytes
    instance: int
    arrived: float
    poisonous: bool = False
    tries: int = 0
    place: int = -1
    resends: int = 0
    ended: bool = False


@attrs.define
class _Found:
    """What a run gave.

    Attributes:
        killed: Targets lost to the body.
        innocents: Innocent requests that ran beside it when a target died.
        unfinished: Those of them that did not finish in time.
        refused: Those of them that were taken for the culprit.
        delays: Seconds from the loss to the end, of those that finished.
    """

    killed: int = 0
    innocents: int = 0
    unfinished: int = 0
    refused: int = 0
    delays: list[float] = attrs.field(factory=list)


class _Simulation:
    """One run."""

    def __init__(
        self, instances: int, way: str, impatient: bool, seed: int
    ) -> None:
        """Prepares instances and targets.

        Args:
            instances: Entry instances.
            way: One of `WAYS`.
            impatient: Whether the caller sends the body again before it has
                an answer.
            seed: Seed of all that is random.
        """
        self._rng = random.Random(seed)
        self._guarded = way != UNGUARDED
        self._pushes = way == PUSHED
        self._impatient = impatient
        tell_s = poison.GOSSIP_ROUND_TRIP_S
        if self._pushes:
            tell_s = poison.PUSH_ROUND_TRIP_S
        self._guards = [
            poison.PoisonGuard(random.Random(self._rng.random()), tell_s)
            for _ in range(instances)
        ]
        self._gossips = [poison_gossip.PoisonGossip(g) for g in self._guards]
        self._running: list[set[_Request] | None] = [
            set() for _ in range(TARGETS)
        ]
        self._lost_at: dict[_Request, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._now = 0.0
        self._found = _Found()

    def run(self) -> _Found:
        """Runs to the end."""
        self._after(0.0, self._arrive)
        for instance in range(len(self._guards)):
            self._after(
                self._rng.random() * GOSSIP_S,
                functools.partial(self._tell, instance),
            )
        self._after(POISON_AT_S, lambda: self._send_poison(0))
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > END_S:
                break
            event()
        self._found.innocents = len(self._lost_at)
        self._found.unfinished = sum(not r.ended for r in self._lost_at)
        return self._found

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        """Plans an event."""
        heapq.heappush(
            self._events, (self._now + seconds, next(self._count), event)
        )

    def _arrive(self) -> None:
        """Takes an innocent request and plans the next."""
        rate = LOAD * TARGETS * SLOTS / RUN_S
        self._after(self._rng.expovariate(rate), self._arrive)
        if self._now > END_S - DEADLINE_S:
            return
        self._try(
            _Request(
                self._rng.randbytes(16),
                self._rng.randrange(len(self._guards)),
                self._now,
            )
        )

    def _send_poison(self, resends: int) -> None:
        """Sends the body, through any instance."""
        request = _Request(
            b"poison" + bytes(10),
            self._rng.randrange(len(self._guards)),
            self._now,
            poisonous=True,
            resends=resends,
        )
        self._try(request)
        if self._impatient:
            self._after(IMPATIENT_S, lambda: self._resend(request))

    def _resend(self, request: _Request) -> None:
        """Lets the caller send the body again, once a request."""
        if not request.ended and request.resends < RESENDS:
            request.ended = True
            wait_s = self._rng.expovariate(1 / RESEND_S)
            self._after(wait_s, lambda: self._send_poison(request.resends + 1))

    def _try(self, request: _Request) -> None:
        """Runs a request if its instance's guard lets it."""
        late = self._now > request.arrived + DEADLINE_S
        if late or (request.ended and not request.poisonous):
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
            self._after(wait_s, lambda: self._try(request))
            return
        place = self._choose(request, admission)
        if place is None:
            self._after(POLL_S, lambda: self._try(request))
            return
        self._start(request, place)

    def _choose(
        self, request: _Request, admission: suspicion.Decision
    ) -> int | None:
        """Picks a target with a free slot that may host the request."""
        free = [
            place
            for place, running in enumerate(self._running)
            if running is not None and len(running) < SLOTS
        ]
        if admission.verdict is suspicion.Verdict.ISOLATED:
            up = frozenset(
                _name(place)
                for place, running in enumerate(self._running)
                if running is not None
            )
            target = self._guards[request.instance].isolation_target(
                request.fingerprint, up, self._now
            )
            free = [place for place in free if _name(place) == target]
        return self._rng.choice(free) if free else None

    def _start(self, request: _Request, place: int) -> None:
        """Starts a request on a target."""
        running = self._running[place]
        if running is None:
            return
        running.add(request)
        request.tries += 1
        request.place = place
        guard = self._guards[request.instance]
        guard.started(request.fingerprint, _name(place), self._now)
        self._push(request.instance)
        tries = request.tries
        if request.poisonous:
            self._after(KILL_S, lambda: self._kill(request, tries))
        else:
            run_s = self._rng.expovariate(1 / RUN_S)
            self._after(run_s, lambda: self._finish(request, tries))

    def _finish(self, request: _Request, tries: int) -> None:
        """Ends an innocent request, unless it was lost meanwhile."""
        running = self._running[request.place]
        if request.tries != tries or not running or request not in running:
            return
        running.discard(request)
        request.ended = True
        self._guards[request.instance].ended(
            request.fingerprint, _name(request.place), self._now, True
        )
        lost_at = self._lost_at.get(request)
        if lost_at is not None:
            self._found.delays.append(self._now - lost_at)

    def _kill(self, request: _Request, tries: int) -> None:
        """Lets the body kill its target."""
        place = request.place
        running = self._running[place]
        if request.tries != tries or not running or request not in running:
            return
        self._found.killed += 1
        self._running[place] = None
        self._after(RESTART_S, lambda: self._restart(place))
        self._after(WAY_S, lambda: self._lose(running, place))

    def _restart(self, place: int) -> None:
        """Starts a dead target again."""
        self._running[place] = set()

    def _lose(self, lost: set[_Request], place: int) -> None:
        """Tells the instances that their streams broke."""
        for request in lost:
            guard = self._guards[request.instance]
            guard.ended(request.fingerprint, _name(place), self._now, False)
            if not request.poisonous:
                self._lost_at.setdefault(request, self._now)
            self._after(CHECK_S, functools.partial(self._retry, request))
        for instance in sorted({r.instance for r in lost}):
            self._guards[instance].target_died(_name(place), self._now)
            self._push(instance)

    def _retry(self, request: _Request) -> None:
        """Tries a lost request again."""
        if not self._guarded and request.tries >= TRIES_WITHOUT_GUARD:
            self._resend(request)
            return
        self._try(request)

    def _refuse(self, request: _Request) -> None:
        """Refuses a request that is quarantined."""
        if not request.poisonous:
            self._found.refused += 1
            return
        guard = self._guards[request.instance]
        retry_at = guard.retry_at(request.fingerprint, self._now)
        self._after(retry_at - self._now, lambda: self._resend(request))

    def _tell(self, instance: int) -> None:
        """Tells two peers the news."""
        self._after(GOSSIP_S, lambda: self._tell(instance))
        self._tell_peers(instance, FANOUT)

    def _push(self, instance: int) -> None:
        """Tells all peers at once what can't wait."""
        if self._pushes and self._gossips[instance].urgent:
            self._gossips[instance].pushed()
            self._tell_peers(instance, len(self._guards))

    def _tell_peers(self, instance: int, fanout: int) -> None:
        """Tells so many peers the news."""
        others = [i for i in range(len(self._guards)) if i != instance]
        for peer in self._rng.sample(others, min(fanout, len(others))):
            payload = self._gossips[instance].collect(
                identifiers.InstanceId(str(peer)),
                gossip.Scope.DATA_CENTRE,
                GOSSIP_BYTES,
                self._now,
            )
            if payload:
                self._after(
                    WAY_S,
                    functools.partial(self._hear, instance, peer, payload),
                )

    def _hear(self, sender: int, peer: int, payload: bytes) -> None:
        """Lets a peer take the news."""
        self._gossips[peer].absorb(
            identifiers.InstanceId(str(sender)), payload, self._now
        )


def _name(place: int) -> identifiers.TargetId:
    """Returns a target's name."""
    return identifiers.TargetId(f"engine-{place}")


def measure(options: reports.Options) -> reports.Report:
    """Measures by number of instances and by the caller's patience."""
    sizes = INSTANCES[:1] if options.smallest else INSTANCES
    seeds = 5 if options.smallest else SEEDS
    ways = [
        (PUSHED, False, sizes),
        (PUSHED, True, sizes),
        (GOSSIPED, False, sizes[1:3]),
        (GOSSIPED, True, sizes[1:3]),
        (UNGUARDED, False, sizes[:1]),
    ]
    rows = []
    for way, impatient, counts in ways:
        for count in counts:
            runs = [
                _Simulation(count, way, impatient, options.seed + seed).run()
                for seed in range(seeds)
            ]
            rows.append(_row(way, impatient, count, runs))
    table = reports.Table(
        f"One body, {seeds} seeds a row; the caller sends it up to"
        f" {RESENDS} more times; {TARGETS} targets of {SLOTS} slots"
        f" at {LOAD:.0%} load",
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


def _row(
    way: str, impatient: bool, size: int, runs: list[_Found]
) -> tuple[str, ...]:
    """Returns a line of the table."""
    killed = [run.killed for run in runs]
    delays = sorted(delay for run in runs for delay in run.delays)
    return (
        way,
        "impatient" if impatient else "waits",
        str(size),
        f"{sum(killed) / len(runs):.2f}",
        str(max(killed)),
        str(sum(count > 2 for count in killed)),
        str(sum(run.innocents for run in runs)),
        str(sum(run.unfinished for run in runs)),
        str(sum(run.refused for run in runs)),
        f"{delays[len(delays) // 2]:.2f}",
        f"{delays[len(delays) * 99 // 100]:.2f}",
    )
