"""How closely shares of account limits follow demand, and what they cost.

Fleets of real limiters run under virtual time and are offered twice an
account's limit. A share counts for every instance, the idle ones' floors too.
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

SIZES = ((1, 1, 1), (3, 3, 3), (11, 10, 10), (31,) * 11)
SEEDS = 5
STEP_S = 0.1
SETTLE_S = 12.0
CUT_S = 60.0
HEAL_S = 30.0
WANTED_SHARE = 0.9
WANTED_WITHIN_S = 3.0
MOST_SUM = 1.2
REQUESTS_PER_S = 200.0
ACCOUNT_COUNTS = (500, 1500, 3000, 6500)
BOUND_BYTES_PER_S = 6000.0
BOUND_PROCESSOR = 0.044
BOUND_MEMORY = 64 * 1024 * 1024
TARGET_ACCOUNTS = 6500
EXCHANGES_PER_S = 2.0


@attrs.define
class Offers:
    """A fleet of limiters and the load that it is offered.

    Attributes:
        ran: The instances.
        limiters: Their limiters by instance.
        busy: Accounts offered to each instance.
        sums: Largest sum of shares seen, by account.
        admitted: Requests admitted, by account.
    """

    ran: fleet.Fleet
    limiters: dict[str, limits.FleetLimiter]
    busy: dict[str, set[str]] = attrs.field(factory=dict)
    sums: dict[str, float] = attrs.field(factory=dict)
    admitted: dict[str, int] = attrs.field(factory=dict)

    def share(self, member: fleet.Member, account: str) -> float:
        """Returns an instance's share now."""
        return self.limiters[member.instance.instance_id].share(
            identifiers.AccountName(account), anyio.current_time()
        )

    def offer(self, members: list[fleet.Member], account: str) -> None:
        """Makes these instances, and no others, busy for an account."""
        for accounts in self.busy.values():
            accounts.discard(account)
        for member in members:
            name = member.instance.instance_id
            self.busy.setdefault(name, set()).add(account)

    async def run(self) -> None:
        """Offers twice the limit, spread over the busy, until cancelled."""
        while True:
            now = anyio.current_time()
            for name, accounts in self.busy.items():
                for account in accounts:
                    self._send(name, identifiers.AccountName(account), now)
            for account in {a for held in self.busy.values() for a in held}:
                total = sum(self.share(m, account) for m in self.ran.members)
                self.sums[account] = max(self.sums.get(account, 0.0), total)
            await anyio.sleep(STEP_S)

    def _send(
        self, name: str, account: identifiers.AccountName, now: float
    ) -> None:
        """Sends one step's requests to an instance; they end at once."""
        limiter = self.limiters[name]
        for _ in range(int(2 * REQUESTS_PER_S * STEP_S)):
            grant = limiter.admit(account, 1, now)
            if grant.is_ok():
                self.admitted[account] = self.admitted.get(account, 0) + 1
                limiter.release(grant.unwrap(), now)


def make_offers(sizes: tuple[int, ...], seed: int) -> Offers:
    """Makes a fleet whose limiters know the measured accounts."""
    limiters: dict[str, limits.FleetLimiter] = {}

    def participants(
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> list[gossip.Participant]:
        side = reach.Reach(members, others)
        table = limit_claims.ClaimTable(side)
        me = members.me.instance.instance_id
        limiter = limits.FleetLimiter(side, table, lambda: hurry(me))
        for name in ("before", "after", "only"):
            limiter.apply_account(make_account(name))
        limiters[me] = limiter
        return [limit_claims.LimitsGossip(me, limiter, table, side)]

    def hurry(name: str) -> None:
        for member in ran.members:
            if member.instance.instance_id == name:
                member.peering.ask_delegate()

    ran = fleet.Fleet(sizes, seed, participants)
    return Offers(ran, limiters)


def make_account(name: str) -> configuration.ClientAccount:
    """Makes an account with the measured limits."""
    return configuration.ClientAccount(
        identifiers.AccountName(name), requests_per_s=REQUESTS_PER_S
    )


def measure(options: reports.Options) -> reports.Report:
    """Measures shares by size, through a partition, and costs."""
    sizes = SIZES[:1] if options.smallest else SIZES
    seeds = 1 if options.smallest else SEEDS
    rows = []
    bytes_points = []
    for size in sizes:
        count = seeds if sum(size) < 100 else 1
        found = [_run(size, options.seed + n) for n in range(count)]
        rows.append(_row(size, found))
        worst = max(run.bytes_per_s for run in found)
        bytes_points.append((float(sum(size)), worst))
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table(
            f"one busy instance (wanted: {WANTED_SHARE} of the limit within"
            f" {WANTED_WITHIN_S:g} s) and a data centre cut off for"
            f" {CUT_S:g} s (wanted: sum at most {MOST_SUM}); worst of the"
            " seeds",
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
                BOUND_BYTES_PER_S,
                340,
            )
        )
    counts = ACCOUNT_COUNTS[:1] if options.smallest else ACCOUNT_COUNTS
    parts += _costs(counts, options.seed)
    return reports.Report("limits", tuple(parts))


@attrs.frozen
class Run:
    """What one fleet's run gave.

    Attributes:
        share_at: Share of the single busy instance after the wanted time.
        reached_s: Seconds until it had the wanted share; inf for never.
        moved_s: The same after the load moved to another instance.
        moved_sum: Largest sum of shares while it moved.
        known_sum: Largest sum through the partition and its end, for an
            account that was busy on both sides before.
        new_sum: The same for one that became busy on both sides after.
        admitted: Requests admitted through the partition, as a part of the
            limit, for the new account.
        bytes_per_s: Bytes an instance sends a second.
    """

    share_at: float
    reached_s: float
    moved_s: float
    moved_sum: float
    known_sum: float
    new_sum: float
    admitted: float
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


def _row(size: tuple[int, ...], found: list[Run]) -> tuple[str, ...]:
    """Returns the worst of the runs of a size."""
    return (
        str(sum(size)),
        str(len(found)),
        f"{min(run.share_at for run in found):.2f}",
        f"{max(run.reached_s for run in found):.1f}",
        f"{max(run.moved_s for run in found):.1f}",
        f"{max(run.moved_sum for run in found):.2f}",
        f"{max(run.known_sum for run in found):.2f}",
        f"{max(run.new_sum for run in found):.2f}",
        f"{max(run.admitted for run in found):.2f}",
        f"{max(run.bytes_per_s for run in found):.0f}",
    )


def _run(sizes: tuple[int, ...], seed: int) -> Run:
    """Runs one fleet under virtual time."""
    return virtual_time.run(
        _run_async,
        sizes,
        seed,
        seed=seed,
    )


async def _run_async(sizes: tuple[int, ...], seed: int) -> Run:
    """Lets one instance be busy, moves the load, cuts a data centre off."""
    rng = random.Random(seed)
    offers = make_offers(sizes, seed)
    ran = offers.ran
    near, far = ran.members[: sizes[0]], ran.members[sizes[0] :]
    async with anyio.create_task_group() as group:
        ran.start(group)
        await anyio.sleep(SETTLE_S)
        group.start_soon(offers.run)
        first, second = rng.sample(ran.members, 2)
        offers.offer([first], "only")
        share_at, reached = await _time_to_share(offers, first)
        offers.sums.clear()
        offers.offer([second], "only")
        _, moved = await _time_to_share(offers, second)
        moved_sum = offers.sums["only"]
        offers.offer([], "only")
        both = [rng.choice(near), rng.choice(far)]
        offers.offer(both, "before")
        await anyio.sleep(SETTLE_S)
        offers.sums.clear()
        for member in near:
            ran.network.sides[member.instance.instance_id] = 1
        await anyio.sleep(rng.uniform(0.0, 2.0))
        offers.offer(both, "after")
        await anyio.sleep(CUT_S)
        admitted = offers.admitted["after"] / (REQUESTS_PER_S * CUT_S)
        ran.network.sides.clear()
        await anyio.sleep(HEAL_S)
        seconds = anyio.current_time()
        group.cancel_scope.cancel()
    sent = sum(ran.network.bytes_by_sender.values())
    return Run(
        share_at,
        reached,
        moved,
        moved_sum,
        offers.sums["before"],
        offers.sums["after"],
        admitted,
        sent / seconds / len(ran.members),
    )


async def _time_to_share(
    offers: Offers, member: fleet.Member
) -> tuple[float, float]:
    """Returns the share after the wanted time and when it sufficed."""
    start = anyio.current_time()
    share_at = 0.0
    reached = math.inf
    while anyio.current_time() - start < SETTLE_S:
        await anyio.sleep(STEP_S)
        share = offers.share(member, "only")
        passed = anyio.current_time() - start
        if share >= WANTED_SHARE:
            reached = min(reached, passed)
        if passed <= WANTED_WITHIN_S + STEP_S / 2:
            share_at = share
    return share_at, reached


def _costs(
    counts: tuple[int, ...], seed: int
) -> list[reports.Table | reports.Slope | str]:
    """Measures one instance's costs by its active accounts."""
    points = [(count, *_cost(count, seed)) for count in counts]
    if len(points) == 1:
        return [f"one exchange with 500 accounts: {points[0][1] * 1e3:.2f} ms"]
    return [
        reports.Slope(
            "processor time of two exchanges a second, share of a core",
            "active accounts",
            tuple((c, EXCHANGES_PER_S * seconds) for c, seconds, _ in points),
            BOUND_PROCESSOR,
            TARGET_ACCOUNTS,
        ),
        reports.Slope(
            "memory of limiter and claims, bytes",
            "active accounts",
            tuple((c, memory) for c, _, memory in points),
            BOUND_MEMORY,
            TARGET_ACCOUNTS,
        ),
    ]


def _cost(count: int, seed: int) -> tuple[float, float]:
    """Returns seconds of processor time an exchange, and bytes held."""
    return anyio.run(_cost_async, count, seed)


async def _cost_async(count: int, seed: int) -> tuple[float, float]:
    """Lets two of four instances tell each other of many accounts."""
    offers = make_offers((2, 2), seed)
    limiter = next(iter(offers.limiters.values()))
    talk = offers.ran.members[0].extra[0]
    other = offers.ran.members[1].extra[0]
    peer = offers.ran.members[1].instance.instance_id
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    far = list(offers.limiters.values())[1]
    for number in range(count):
        account = make_account(f"account-{number:05d}")
        for held in (limiter, far):
            held.apply_account(account)
            held.admit(account.name, 1, 0.0).unwrap()
    rounds = 20
    for step in range(rounds):
        _exchange(talk, other, peer, 0.1 * step)
    memory = (tracemalloc.get_traced_memory()[0] - before) / 2
    tracemalloc.stop()
    spent = 0.0
    for step in range(rounds):
        now = 2.0 + 0.5 * step
        for number in range(count):
            # Keeps each account active; not a part of the exchange.
            name = identifiers.AccountName(f"account-{number:05d}")
            for held in (limiter, far):
                held.admit(name, 1, now)
        start = time.process_time()
        _exchange(talk, other, peer, now)
        spent += time.process_time() - start
    # Both sides of the exchange ran here.
    return spent / rounds / 2, memory


def _exchange(
    one: gossip.Participant,
    other: gossip.Participant,
    peer: identifiers.InstanceId,
    now: float,
) -> None:
    """Lets two participants tell each other once."""
    room = 1500
    scope = gossip.Scope.DATA_CENTRE
    other.absorb(peer, one.collect(peer, scope, room, now), now)
    one.absorb(peer, other.collect(peer, scope, room, now), now)
