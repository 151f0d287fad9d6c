"""How closely shares of account limits follow demand, and their cost.

Fleets of real limiters run under virtual time and are offered twice an
account's limit. The sum of shares includes the minimum shares of idle
instances.
"""

from __future__ import annotations

import math
import random
import time
import tracemalloc
from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.accounts import limit_claims
from cardamomfork._internal.accounts import limits
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.data_centres import reach
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import configuration
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.standins import fleet
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.instances import membership

FLEET_SIZES = ((1, 1, 1), (3, 3, 3), (11, 10, 10), (31,) * 11)
SEED_COUNT = 5
STEP_S = 0.1
SETTLE_S = 12.0
PARTITION_S = 60.0
AFTER_PARTITION_S = 30.0
REQUIRED_SHARE = 0.9
REQUIRED_WITHIN_S = 3.0
MAX_SHARE_SUM = 1.2
LIMIT_REQUESTS_PER_S = 200.0
ACCOUNT_COUNTS = (500, 1500, 3000, 6500)
TRAFFIC_BOUND_BYTES_PER_S = 6000.0
PROCESSOR_BOUND_CORES = 0.044
MEMORY_BOUND_BYTES = 64 * 1024 * 1024
REQUIRED_ACCOUNT_COUNT = 6500
EXCHANGES_PER_S = 2.0


@attrs.define
class OfferedLoad:
    """A fleet of limiters and the load that is offered to it.

    Attributes:
        simulated_fleet: The instances.
        limiters: Limiter of each instance.
        active_accounts: Accounts whose load each instance receives.
        largest_sums: Largest sum of shares over the fleet, by account.
        admitted_counts: Number of admitted requests, by account.
    """

    simulated_fleet: fleet.Fleet
    limiters: dict[str, limits.FleetLimiter]
    active_accounts: dict[str, set[str]] = attrs.field(factory=dict)
    largest_sums: dict[str, float] = attrs.field(factory=dict)
    admitted_counts: dict[str, int] = attrs.field(factory=dict)

    def share(self, member: fleet.Member, account: str) -> float:
        """Returns an instance's current share of an account's limit."""
        return self.limiters[member.instance.instance_id].share(
            identifiers.AccountName(account), anyio.current_time()
        )

    def set_busy_members(
        self, members: list[fleet.Member], account: str
    ) -> None:
        """Sends the load of an account to exactly these instances."""
        for accounts in self.active_accounts.values():
            accounts.discard(account)
        for member in members:
            name = member.instance.instance_id
            self.active_accounts.setdefault(name, set()).add(account)

    async def run(self) -> None:
        """Offers twice the limit at each busy instance until cancelled."""
        while True:
            now = anyio.current_time()
            for name, accounts in self.active_accounts.items():
                for account in accounts:
                    self._send(name, identifiers.AccountName(account), now)
            for account in {
                a for held in self.active_accounts.values() for a in held
            }:
                total = sum(
                    self.share(m, account) for m in self.simulated_fleet.members
                )
                self.largest_sums[account] = max(
                    self.largest_sums.get(account, 0.0), total
                )
            await anyio.sleep(STEP_S)

    def _send(
        self, name: str, account: identifiers.AccountName, now: float
    ) -> None:
        """Sends one step's requests to an instance; they end immediately."""
        limiter = self.limiters[name]
        for _ in range(int(2 * LIMIT_REQUESTS_PER_S * STEP_S)):
            grant = limiter.admit(account, 1, now)
            if grant.is_ok():
                self.admitted_counts[account] = (
                    self.admitted_counts.get(account, 0) + 1
                )
                limiter.release(grant.unwrap(), now)


def make_offered_load(sizes: tuple[int, ...], seed: int) -> OfferedLoad:
    """Makes a fleet whose limiters have the measured accounts."""
    limiters: dict[str, limits.FleetLimiter] = {}

    def participants(
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> list[gossip.Participant]:
        local_reach = reach.Reach(members, others)
        table = limit_claims.ClaimTable(local_reach)
        local_id = members.me.instance.instance_id
        limiter = limits.FleetLimiter(
            local_reach, table, lambda: request_exchange(local_id)
        )
        for name in ("before", "after", "only"):
            limiter.apply_account(make_account(name))
        limiters[local_id] = limiter
        return [
            limit_claims.LimitsGossip(local_id, limiter, table, local_reach)
        ]

    def request_exchange(name: str) -> None:
        for member in simulated_fleet.members:
            if member.instance.instance_id == name:
                member.peering.ask_delegate()

    simulated_fleet = fleet.Fleet(sizes, seed, participants)
    return OfferedLoad(simulated_fleet, limiters)


def make_account(name: str) -> configuration.ClientAccount:
    """Makes an account with the measured limits."""
    return configuration.ClientAccount(
        identifiers.AccountName(name), requests_per_s=LIMIT_REQUESTS_PER_S
    )


def measure(options: reports.Options) -> reports.Report:
    """Measures shares by fleet size and during a partition, and the cost."""
    sizes = FLEET_SIZES[:1] if options.smallest else FLEET_SIZES
    seeds = 1 if options.smallest else SEED_COUNT
    rows = []
    bytes_points = []
    for size in sizes:
        count = seeds if sum(size) < 100 else 1
        runs = [_run(size, options.seed + n) for n in range(count)]
        rows.append(_make_row(size, runs))
        worst = max(run.bytes_per_s for run in runs)
        bytes_points.append((float(sum(size)), worst))
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table(
            f"one busy instance (wanted: {REQUIRED_SHARE} of the limit within"
            f" {REQUIRED_WITHIN_S:g} s) and a data centre cut off for"
            f" {PARTITION_S:g} s (wanted: sum at most {MAX_SHARE_SUM});"
            " worst of the seeds",
            _COLUMNS,
            tuple(rows),
        )
    ]
    if not options.smallest:
        parts.append(
            reports.Slope(
                "bytes/s an instance sends, all topics",
                "instances",
                tuple(bytes_points),
                TRAFFIC_BOUND_BYTES_PER_S,
                340,
            )
        )
    counts = ACCOUNT_COUNTS[:1] if options.smallest else ACCOUNT_COUNTS
    parts += _make_cost_sections(counts, options.seed)
    return reports.Report("limits", tuple(parts))


@attrs.frozen
class RunResult:
    """Results of one fleet's run.

    Attributes:
        share_after_wait: Share of the single busy instance after the required
            time.
        reached_s: Seconds until it has the required share; inf if never.
        moved_s: The same after the load moves to another instance.
        moved_sum: Largest sum of shares while the load moves.
        known_sum: Largest sum during and after the partition for an account
            that is busy on both sides before it.
        new_sum: The same for an account that becomes busy on both sides
            during the partition.
        admitted_fraction: Requests of the latter account admitted during the
            partition, as a fraction of its limit.
        bytes_per_s: Bytes that an instance sends per second.
    """

    share_after_wait: float
    reached_s: float
    moved_s: float
    moved_sum: float
    known_sum: float
    new_sum: float
    admitted_fraction: float
    bytes_per_s: float


_COLUMNS = (
    "instances",
    "seeds",
    "share at 3 s",
    "0.9 after s",
    "0.9 after a move s",
    "sum in the move",
    "sum, old account",
    "sum, new account",
    "admitted of limit",
    "B/s an instance",
)


def _make_row(size: tuple[int, ...], runs: list[RunResult]) -> tuple[str, ...]:
    """Returns the table row of a fleet size: the worst value of its runs."""
    return (
        str(sum(size)),
        str(len(runs)),
        f"{min(run.share_after_wait for run in runs):.2f}",
        f"{max(run.reached_s for run in runs):.1f}",
        f"{max(run.moved_s for run in runs):.1f}",
        f"{max(run.moved_sum for run in runs):.2f}",
        f"{max(run.known_sum for run in runs):.2f}",
        f"{max(run.new_sum for run in runs):.2f}",
        f"{max(run.admitted_fraction for run in runs):.2f}",
        f"{max(run.bytes_per_s for run in runs):.0f}",
    )


def _run(sizes: tuple[int, ...], seed: int) -> RunResult:
    """Runs one fleet under virtual time."""
    return virtual_time.run(
        _run_fleet,
        sizes,
        seed,
        seed=seed,
    )


async def _run_fleet(sizes: tuple[int, ...], seed: int) -> RunResult:
    """Loads one instance, moves the load, then partitions a data centre."""
    rng = random.Random(seed)
    load = make_offered_load(sizes, seed)
    simulated_fleet = load.simulated_fleet
    cut_off_members, other_members = (
        simulated_fleet.members[: sizes[0]],
        simulated_fleet.members[sizes[0] :],
    )
    async with anyio.create_task_group() as group:
        simulated_fleet.start(group)
        await anyio.sleep(SETTLE_S)
        group.start_soon(load.run)
        first_member, second_member = rng.sample(simulated_fleet.members, 2)
        load.set_busy_members([first_member], "only")
        share_after_wait, reached_s = await _measure_share(load, first_member)
        load.largest_sums.clear()
        load.set_busy_members([second_member], "only")
        _, moved_s = await _measure_share(load, second_member)
        moved_sum = load.largest_sums["only"]
        load.set_busy_members([], "only")
        busy_pair = [rng.choice(cut_off_members), rng.choice(other_members)]
        load.set_busy_members(busy_pair, "before")
        await anyio.sleep(SETTLE_S)
        load.largest_sums.clear()
        for member in cut_off_members:
            simulated_fleet.network.sides[member.instance.instance_id] = 1
        await anyio.sleep(rng.uniform(0.0, 2.0))
        load.set_busy_members(busy_pair, "after")
        await anyio.sleep(PARTITION_S)
        admitted_fraction = load.admitted_counts["after"] / (
            LIMIT_REQUESTS_PER_S * PARTITION_S
        )
        simulated_fleet.network.sides.clear()
        await anyio.sleep(AFTER_PARTITION_S)
        seconds = anyio.current_time()
        group.cancel_scope.cancel()
    sent = sum(simulated_fleet.network.bytes_by_sender.values())
    return RunResult(
        share_after_wait,
        reached_s,
        moved_s,
        moved_sum,
        load.largest_sums["before"],
        load.largest_sums["after"],
        admitted_fraction,
        sent / seconds / len(simulated_fleet.members),
    )


async def _measure_share(
    load: OfferedLoad, member: fleet.Member
) -> tuple[float, float]:
    """Returns the share after the required time and when it was reached."""
    start = anyio.current_time()
    share_after_wait = 0.0
    reached_s = math.inf
    while anyio.current_time() - start < SETTLE_S:
        await anyio.sleep(STEP_S)
        share = load.share(member, "only")
        elapsed_s = anyio.current_time() - start
        if share >= REQUIRED_SHARE:
            reached_s = min(reached_s, elapsed_s)
        if elapsed_s <= REQUIRED_WITHIN_S + STEP_S / 2:
            share_after_wait = share
    return share_after_wait, reached_s


def _make_cost_sections(
    counts: tuple[int, ...], seed: int
) -> list[reports.Table | reports.Slope | str]:
    """Measures an instance's cost by the number of its active accounts."""
    points = [(count, *_measure_cost(count, seed)) for count in counts]
    if len(points) == 1:
        return [f"one exchange with 500 accounts: {points[0][1] * 1e3:.2f} ms"]
    return [
        reports.Slope(
            "processor time of two exchanges a second, share of a core",
            "active accounts",
            tuple((c, EXCHANGES_PER_S * seconds) for c, seconds, _ in points),
            PROCESSOR_BOUND_CORES,
            REQUIRED_ACCOUNT_COUNT,
        ),
        reports.Slope(
            "memory of limiter and claims, bytes",
            "active accounts",
            tuple((c, memory_bytes) for c, _, memory_bytes in points),
            MEMORY_BOUND_BYTES,
            REQUIRED_ACCOUNT_COUNT,
        ),
    ]


def _measure_cost(count: int, seed: int) -> tuple[float, float]:
    """Returns processor seconds per exchange, and memory in bytes."""
    return anyio.run(_measure_cost_async, count, seed)


async def _measure_cost_async(count: int, seed: int) -> tuple[float, float]:
    """Measures exchanges about many accounts between two of four instances."""
    load = make_offered_load((2, 2), seed)
    limiter_a = next(iter(load.limiters.values()))
    gossip_a = load.simulated_fleet.members[0].extra[0]
    gossip_b = load.simulated_fleet.members[1].extra[0]
    peer = load.simulated_fleet.members[1].instance.instance_id
    tracemalloc.start()
    start_bytes = tracemalloc.get_traced_memory()[0]
    limiter_b = list(load.limiters.values())[1]
    for number in range(count):
        account = make_account(f"account-{number:05d}")
        for each_limiter in (limiter_a, limiter_b):
            each_limiter.apply_account(account)
            each_limiter.admit(account.name, 1, 0.0).unwrap()
    rounds = 20
    for step in range(rounds):
        _exchange(gossip_a, gossip_b, peer, 0.1 * step)
    memory_bytes = (tracemalloc.get_traced_memory()[0] - start_bytes) / 2
    tracemalloc.stop()
    processor_s = 0.0
    for step in range(rounds):
        now = 2.0 + 0.5 * step
        for number in range(count):
            # Keeps each account active; not part of the measured exchange.
            name = identifiers.AccountName(f"account-{number:05d}")
            for each_limiter in (limiter_a, limiter_b):
                each_limiter.admit(name, 1, now)
        start = time.process_time()
        _exchange(gossip_a, gossip_b, peer, now)
        processor_s += time.process_time() - start
    # Both sides of the exchange run in this process.
    return processor_s / rounds / 2, memory_bytes


def _exchange(
    participant_a: gossip.Participant,
    participant_b: gossip.Participant,
    peer: identifiers.InstanceId,
    now: float,
) -> None:
    """Exchanges payloads between two participants once in each direction."""
    max_bytes = 1500
    scope = gossip.Scope.DATA_CENTRE
    participant_b.absorb(
        peer, participant_a.collect(peer, scope, max_bytes, now), now
    )
    participant_a.absorb(
        peer, participant_b.collect(peer, scope, max_bytes, now), now
    )
