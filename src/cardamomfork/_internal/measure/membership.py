"""How fast deaths and leaving targets are known, and what the talk costs.

Fleets of real parts run under virtual time over a stand-in network.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time
from cardamomfork._internal.targets import leaving

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import gossip
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.instances import membership

SIZES = ((3,), (9,), (31,), (31, 31, 31), (31,) * 11)
SEEDS = 5
SETTLE_S = 15.0
IDLE_S = 30.0
PAUSE_ROUNDS = 10
PAUSES_S = (1.0, 2.0, 3.0, 4.0)
BOUND_BYTES_PER_S = 6000.0
BOUND_PROCESSOR = 0.044
BOUND_SPREAD_S = 5.0
WATCH_S = 60.0
TARGET_INSTANCES = 340


@attrs.define
class Run:
    """What one fleet's run gave.

    Attributes:
        bytes_per_s: Most bytes that an instance sends a second, when idle.
        processor: Share of a core of an instance, when idle.
        memory: Bytes of an instance's parts.
        first_s: Seconds until a first peer held a killed one for dead.
        all_s: Seconds until all of its data centre did.
        spread_s: Seconds until every instance had a mark on a target.
        suspected: Suspicions while instances were cut off for a while, their
            own of the others among them.
        killed: Of these, the ones declared dead.
        pauses: Times that an instance was cut off.
    """

    bytes_per_s: float = 0.0
    processor: float = 0.0
    memory: float = 0.0
    first_s: float = 0.0
    all_s: float = 0.0
    spread_s: float = 0.0
    suspected: int = 0
    killed: int = 0
    pauses: int = 0


def measure(options: reports.Options) -> reports.Report:
    """Measures costs, detection, spread and false suspicions by size."""
    sizes = SIZES[:1] if options.smallest else SIZES
    runs: dict[int, list[Run]] = {}
    for size in sizes:
        few = options.smallest or sum(size) > 50
        count = 1 if few else SEEDS
        runs[sum(size)] = [_run(size, options.seed + n) for n in range(count)]
    rows = tuple(_row(count, found) for count, found in runs.items())
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table("worst of the seeds", _COLUMNS, rows)
    ]
    if len(runs) > 1:
        parts += _slopes(runs)
        parts.append(_pauses(options.seed))
    spread = max(run.spread_s for found in runs.values() for run in found)
    verdict = "met" if spread <= BOUND_SPREAD_S else "NOT met"
    parts.append(
        f"leaving target known everywhere within {BOUND_SPREAD_S:g} s:"
        f" {verdict} (worst {spread:.2f} s)"
    )
    return reports.Report("membership", tuple(parts))


_COLUMNS = (
    "instances",
    "seeds",
    "B/s an instance",
    "core share",
    "memory B",
    "dead at one s",
    "dead at all s",
    "mark at all s",
)


def _row(count: int, found: list[Run]) -> tuple[str, ...]:
    """Returns the worst of the runs of a size."""
    return (
        str(count),
        str(len(found)),
        f"{max(run.bytes_per_s for run in found):.0f}",
        f"{max(run.processor for run in found):.4f}",
        f"{max(run.memory for run in found):.0f}",
        f"{max(run.first_s for run in found):.1f}",
        f"{max(run.all_s for run in found):.1f}",
        f"{max(run.spread_s for run in found):.2f}",
    )


def _slopes(runs: dict[int, list[Run]]) -> list[reports.Slope]:
    """Returns the slopes over the sizes."""

    def slope(quantity: str, field: str, bound: float) -> reports.Slope:
        points = tuple(
            (float(count), max(getattr(run, field) for run in found))
            for count, found in sorted(runs.items())
        )
        return reports.Slope(
            quantity, "instances", points, bound, TARGET_INSTANCES
        )

    return [
        slope("bytes/s the busiest sends", "bytes_per_s", BOUND_BYTES_PER_S),
        slope("share of a core, idle", "processor", BOUND_PROCESSOR),
        slope("mark known everywhere, s", "spread_s", BOUND_SPREAD_S),
    ]


def _run(sizes: tuple[int, ...], seed: int) -> Run:
    """Runs one fleet under virtual time."""
    return virtual_time.run(
        _run_async,
        sizes,
        seed,
        seed=seed,
    )


def _make_fleet(
    sizes: tuple[int, ...], seed: int
) -> tuple[fleet.Fleet, dict[str, leaving.LeavingTargets]]:
    """Makes a fleet whose instances also mark targets."""
    marks: dict[str, leaving.LeavingTargets] = {}

    def participants(
        members: membership.Membership,
        _others: summaries.DataCentreSummaries,
    ) -> list[gossip.Participant]:
        name = members.me.instance.instance_id
        marks[name] = leaving.LeavingTargets()
        return [marks[name]]

    ran = fleet.Fleet(sizes, seed, participants)
    for member in ran.members:
        _hurry_on_marks(marks[member.instance.instance_id], member)
    return ran, marks


def _hurry_on_marks(held: leaving.LeavingTargets, member: fleet.Member) -> None:
    """Passes a change of marks on at once, as the daemon does."""

    def hurry(_target: identifiers.TargetId, _leaving: bool) -> None:
        member.peering.spread(held.topic)

    held.subscribe(hurry)


async def _run_async(sizes: tuple[int, ...], seed: int) -> Run:
    """Idles, marks a target, and kills an instance."""
    rng = random.Random(seed)
    run = Run()
    tracemalloc.start()
    ran, marks = _make_fleet(sizes, seed)
    async with anyio.create_task_group() as group:
        ran.start(group)
        await anyio.sleep(SETTLE_S)
        run.memory = tracemalloc.get_traced_memory()[0] / len(ran.members)
        tracemalloc.stop()
        before = dict(ran.network.bytes_by_sender)
        start = time.process_time()
        await anyio.sleep(IDLE_S)
        spent = time.process_time() - start
        run.processor = spent / IDLE_S / len(ran.members)
        run.bytes_per_s = max(
            (sent - before.get(name, 0)) / IDLE_S
            for name, sent in ran.network.bytes_by_sender.items()
        )
        run.spread_s = await _spread(ran, marks, rng)
        await _detect(ran, rng, run)
        group.cancel_scope.cancel()
    return run


async def _spread(
    ran: fleet.Fleet,
    marks: dict[str, leaving.LeavingTargets],
    rng: random.Random,
) -> float:
    """Marks a target on one instance; returns when all have the mark."""
    target = identifiers.TargetId("engine-1")
    name = rng.choice(ran.members).instance.instance_id
    start = anyio.current_time()
    marks[name].mark(target, leaving.Cause.SAID, identifiers.BootId("b1"))
    while anyio.current_time() - start < WATCH_S:
        if all(held.is_leaving(target) for held in marks.values()):
            break
        await anyio.sleep(0.02)
    return anyio.current_time() - start


async def _detect(ran: fleet.Fleet, rng: random.Random, run: Run) -> None:
    """Kills an instance and notes when the others hold it for dead."""
    victim = rng.choice(ran.members)
    name = victim.instance.instance_id
    near = [
        member
        for member in ran.members
        if member is not victim
        and member.instance.data_centre == victim.instance.data_centre
    ]
    start = anyio.current_time()
    ran.kill(victim)
    while anyio.current_time() - start < WATCH_S:
        await anyio.sleep(0.1)
        alive = sum(
            any(i.instance_id == name for i in member.members.live())
            for member in near
        )
        if alive < len(near) and not run.first_s:
            run.first_s = anyio.current_time() - start
        if not alive:
            break
    run.all_s = anyio.current_time() - start


def _pauses(seed: int) -> reports.Table:
    """Cuts single instances off for a while, over seeds."""
    rows = []
    for pause_s in PAUSES_S:
        runs = [_run_pauses(pause_s, seed + n) for n in range(SEEDS)]
        rows.append(
            (
                f"{pause_s:g}",
                str(sum(run.pauses for run in runs)),
                str(sum(run.suspected for run in runs)),
                str(sum(run.killed for run in runs)),
            )
        )
    return reports.Table(
        f"one of 31 instances cut off for a short while, {SEEDS} seeds",
        ("cut off s", "times", "suspicions", "declared dead"),
        tuple(rows),
    )


def _run_pauses(pause_s: float, seed: int) -> Run:
    """Runs a fleet in which instances stand still for a while."""
    return virtual_time.run(
        _run_pauses_async,
        pause_s,
        seed,
        seed=seed,
    )


async def _run_pauses_async(pause_s: float, seed: int) -> Run:
    """Makes one instance after another unreachable both ways."""
    rng = random.Random(seed)
    ran, _ = _make_fleet((31,), seed)
    run = Run(pauses=PAUSE_ROUNDS)
    async with anyio.create_task_group() as group:
        ran.start(group)
        await anyio.sleep(SETTLE_S)
        for _ in range(PAUSE_ROUNDS):
            name = rng.choice(ran.members).instance.instance_id
            ran.network.down.add(name)
            await anyio.sleep(pause_s)
            ran.network.down.discard(name)
            await anyio.sleep(SETTLE_S)
        group.cancel_scope.cancel()
    counters = [member.members.counters for member in ran.members]
    run.suspected = sum(held.suspected for held in counters)
    run.killed = sum(held.declared_dead for held in counters)
    return run
