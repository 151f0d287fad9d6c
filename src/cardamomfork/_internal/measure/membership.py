"""How fast dead instances and leaving targets become known, and gossip's cost.

Fleets of real components run under virtual time over a stand-in network.
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

FLEET_SIZES = ((3,), (9,), (31,), (31, 31, 31), (31,) * 11)
SEED_COUNT = 5
SETTLE_S = 15.0
IDLE_S = 30.0
CUT_OFF_ROUNDS = 10
CUT_OFF_DURATIONS_S = (1.0, 2.0, 3.0, 4.0)
TRAFFIC_BOUND_BYTES_PER_S = 6000.0
PROCESSOR_BOUND_CORES = 0.044
SPREAD_BOUND_S = 5.0
OBSERVATION_LIMIT_S = 60.0
REQUIRED_INSTANCE_COUNT = 340


@attrs.define
class RunResult:
    """Results of one fleet's run.

    Attributes:
        bytes_per_s: Bytes per second sent by the busiest instance of an idle
            fleet.
        processor: Fraction of a core that an idle instance uses.
        memory_bytes: Memory of one instance's components.
        first_detection_s: Seconds until the first peer considers a killed
            instance dead.
        full_detection_s: Seconds until all peers in its data centre do.
        spread_s: Seconds until every instance knows that a target is leaving.
        suspicions: Suspicions raised by all instances, including those that
            an instance raises while it is cut off.
        declared_dead: Suspicions that ended in a declaration of death.
        cut_offs: Number of times that an instance is cut off.
    """

    bytes_per_s: float = 0.0
    processor: float = 0.0
    memory_bytes: float = 0.0
    first_detection_s: float = 0.0
    full_detection_s: float = 0.0
    spread_s: float = 0.0
    suspicions: int = 0
    declared_dead: int = 0
    cut_offs: int = 0


def measure(options: reports.Options) -> reports.Report:
    """Measures cost, detection, spread and false suspicions by fleet size."""
    sizes = FLEET_SIZES[:1] if options.smallest else FLEET_SIZES
    runs: dict[int, list[RunResult]] = {}
    for size in sizes:
        use_one_seed = options.smallest or sum(size) > 50
        count = 1 if use_one_seed else SEED_COUNT
        runs[sum(size)] = [_run(size, options.seed + n) for n in range(count)]
    rows = tuple(_make_row(count, results) for count, results in runs.items())
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table("worst of the seeds", _COLUMNS, rows)
    ]
    if len(runs) > 1:
        parts += _make_slopes(runs)
        parts.append(_tabulate_cut_offs(options.seed))
    worst_spread_s = max(
        run.spread_s for results in runs.values() for run in results
    )
    verdict = "met" if worst_spread_s <= SPREAD_BOUND_S else "NOT met"
    parts.append(
        f"leaving target known everywhere within {SPREAD_BOUND_S:g} s:"
        f" {verdict} (worst {worst_spread_s:.2f} s)"
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


def _make_row(count: int, results: list[RunResult]) -> tuple[str, ...]:
    """Returns the table row of a fleet size: the worst value of its runs."""
    return (
        str(count),
        str(len(results)),
        f"{max(run.bytes_per_s for run in results):.0f}",
        f"{max(run.processor for run in results):.4f}",
        f"{max(run.memory_bytes for run in results):.0f}",
        f"{max(run.first_detection_s for run in results):.1f}",
        f"{max(run.full_detection_s for run in results):.1f}",
        f"{max(run.spread_s for run in results):.2f}",
    )


def _make_slopes(runs: dict[int, list[RunResult]]) -> list[reports.Slope]:
    """Returns how the results grow with the number of instances."""

    def slope(quantity: str, field: str, bound: float) -> reports.Slope:
        points = tuple(
            (float(count), max(getattr(run, field) for run in results))
            for count, results in sorted(runs.items())
        )
        return reports.Slope(
            quantity, "instances", points, bound, REQUIRED_INSTANCE_COUNT
        )

    return [
        slope(
            "bytes/s the busiest sends",
            "bytes_per_s",
            TRAFFIC_BOUND_BYTES_PER_S,
        ),
        slope("share of a core, idle", "processor", PROCESSOR_BOUND_CORES),
        slope("mark known everywhere, s", "spread_s", SPREAD_BOUND_S),
    ]


def _run(sizes: tuple[int, ...], seed: int) -> RunResult:
    """Runs one fleet under virtual time."""
    return virtual_time.run(
        _run_fleet,
        sizes,
        seed,
        seed=seed,
    )


def _make_fleet(
    sizes: tuple[int, ...], seed: int
) -> tuple[fleet.Fleet, dict[str, leaving.LeavingTargets]]:
    """Makes a fleet whose instances also gossip about leaving targets."""
    leaving_targets: dict[str, leaving.LeavingTargets] = {}

    def participants(
        members: membership.Membership,
        _others: summaries.DataCentreSummaries,
    ) -> list[gossip.Participant]:
        name = members.me.instance.instance_id
        leaving_targets[name] = leaving.LeavingTargets()
        return [leaving_targets[name]]

    simulated_fleet = fleet.Fleet(sizes, seed, participants)
    for member in simulated_fleet.members:
        _spread_marks_at_once(
            leaving_targets[member.instance.instance_id], member
        )
    return simulated_fleet, leaving_targets


def _spread_marks_at_once(
    leaving_table: leaving.LeavingTargets, member: fleet.Member
) -> None:
    """Spreads each change of a mark immediately, as the daemon does."""

    def spread_marks(_target: identifiers.TargetId, _leaving: bool) -> None:
        member.peering.spread(leaving_table.topic)

    leaving_table.subscribe(spread_marks)


async def _run_fleet(sizes: tuple[int, ...], seed: int) -> RunResult:
    """Measures an idle fleet, the spread of a mark, and a killed instance."""
    rng = random.Random(seed)
    run = RunResult()
    tracemalloc.start()
    simulated_fleet, leaving_targets = _make_fleet(sizes, seed)
    async with anyio.create_task_group() as group:
        simulated_fleet.start(group)
        await anyio.sleep(SETTLE_S)
        run.memory_bytes = tracemalloc.get_traced_memory()[0] / len(
            simulated_fleet.members
        )
        tracemalloc.stop()
        bytes_before = dict(simulated_fleet.network.bytes_by_sender)
        start = time.process_time()
        await anyio.sleep(IDLE_S)
        processor_s = time.process_time() - start
        run.processor = processor_s / IDLE_S / len(simulated_fleet.members)
        run.bytes_per_s = max(
            (sent - bytes_before.get(name, 0)) / IDLE_S
            for name, sent in simulated_fleet.network.bytes_by_sender.items()
        )
        run.spread_s = await _measure_spread(
            simulated_fleet, leaving_targets, rng
        )
        await _measure_detection(simulated_fleet, rng, run)
        group.cancel_scope.cancel()
    return run


async def _measure_spread(
    simulated_fleet: fleet.Fleet,
    leaving_targets: dict[str, leaving.LeavingTargets],
    rng: random.Random,
) -> float:
    """Marks a target as leaving on one instance.

    Returns:
        Seconds until all instances have the mark, at most the observation
        limit.
    """
    target = identifiers.TargetId("engine-1")
    name = rng.choice(simulated_fleet.members).instance.instance_id
    start = anyio.current_time()
    leaving_targets[name].mark(
        target, leaving.Cause.SAID, identifiers.BootId("b1")
    )
    while anyio.current_time() - start < OBSERVATION_LIMIT_S:
        if all(
            leaving_table.is_leaving(target)
            for leaving_table in leaving_targets.values()
        ):
            break
        await anyio.sleep(0.02)
    return anyio.current_time() - start


async def _measure_detection(
    simulated_fleet: fleet.Fleet, rng: random.Random, run: RunResult
) -> None:
    """Kills an instance and records when its peers consider it dead."""
    killed_member = rng.choice(simulated_fleet.members)
    name = killed_member.instance.instance_id
    data_centre_peers = [
        member
        for member in simulated_fleet.members
        if member is not killed_member
        and member.instance.data_centre == killed_member.instance.data_centre
    ]
    start = anyio.current_time()
    simulated_fleet.kill(killed_member)
    while anyio.current_time() - start < OBSERVATION_LIMIT_S:
        await anyio.sleep(0.1)
        alive = sum(
            any(
                instance.instance_id == name
                for instance in member.members.live()
            )
            for member in data_centre_peers
        )
        if alive < len(data_centre_peers) and not run.first_detection_s:
            run.first_detection_s = anyio.current_time() - start
        if not alive:
            break
    run.full_detection_s = anyio.current_time() - start


def _tabulate_cut_offs(seed: int) -> reports.Table:
    """Counts false suspicions by the duration of a cut-off."""
    rows = []
    for cut_off_s in CUT_OFF_DURATIONS_S:
        runs = [_run_cut_offs(cut_off_s, seed + n) for n in range(SEED_COUNT)]
        rows.append(
            (
                f"{cut_off_s:g}",
                str(sum(run.cut_offs for run in runs)),
                str(sum(run.suspicions for run in runs)),
                str(sum(run.declared_dead for run in runs)),
            )
        )
    return reports.Table(
        f"one of 31 instances cut off for a short while, {SEED_COUNT} seeds",
        ("cut off s", "times", "suspicions", "declared dead"),
        tuple(rows),
    )


def _run_cut_offs(cut_off_s: float, seed: int) -> RunResult:
    """Runs a fleet in which single instances are cut off temporarily."""
    return virtual_time.run(
        _run_cut_off_fleet,
        cut_off_s,
        seed,
        seed=seed,
    )


async def _run_cut_off_fleet(cut_off_s: float, seed: int) -> RunResult:
    """Cuts off one random instance after another in both directions."""
    rng = random.Random(seed)
    simulated_fleet, _ = _make_fleet((31,), seed)
    run = RunResult(cut_offs=CUT_OFF_ROUNDS)
    async with anyio.create_task_group() as group:
        simulated_fleet.start(group)
        await anyio.sleep(SETTLE_S)
        for _ in range(CUT_OFF_ROUNDS):
            name = rng.choice(simulated_fleet.members).instance.instance_id
            simulated_fleet.network.down.add(name)
            await anyio.sleep(cut_off_s)
            simulated_fleet.network.down.discard(name)
            await anyio.sleep(SETTLE_S)
        group.cancel_scope.cancel()
    counters = [member.members.counters for member in simulated_fleet.members]
    run.suspicions = sum(counter.suspected for counter in counters)
    run.declared_dead = sum(counter.declared_dead for counter in counters)
    return run
