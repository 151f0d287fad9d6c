"""Latency and store load of claims: every instance writes, or shard owners do.

The simulation runs in virtual time. The store serves one operation at a time,
at most 400 writes or 2,000 reads a second. A call that takes longer than the
store timeout fails at the caller, but a late write still takes effect.
"""

from __future__ import annotations

import random
import statistics
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
import attrs
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.contracts import store as store_contract
from cardamomfork._internal.data_centres import rendezvous
from cardamomfork._internal.measure import reports
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests.claims import committer
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import ledger
from cardamomfork._internal.standins import store as store_standin
from cardamomfork._internal.standins import strict_supervision
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

CLAIMS_PER_S = 340.0
STORE_WRITE_S = 1 / 400
STORE_READ_S = 1 / 2000
STORE_ONE_WAY_S = 0.001
STORE_TIMEOUT_S = 2.0
PEER_ONE_WAY_S = 0.001
REQUEST_RUN_S = 0.2
CLAIM_TIMEOUT_S = 10.0
WARM_UP_FRACTION = 0.15
MEASURED_S = 20.0
FLEET_SIZES = (3, 9, 31, 340)
SHARD_COUNTS = (1, 2, 4, 8, 16)

T = TypeVar("T")


@attrs.define
class _StoreQueue:
    """Single-server queue of the store's operations.

    Attributes:
        idle_at: Time in seconds at which all queued operations are done.
    """

    idle_at: float = 0.0

    async def wait_until_served(self, seconds: float) -> bool:
        """Waits until an operation of this length has been served.

        Args:
            seconds: Service time of the operation.

        Returns:
            False if the store timeout expired first.
        """
        now = anyio.current_time()
        self.idle_at = max(self.idle_at, now) + seconds
        done_at = self.idle_at + 2 * STORE_ONE_WAY_S
        await anyio.sleep(min(done_at - now, STORE_TIMEOUT_S))
        return done_at - now <= STORE_TIMEOUT_S


class _LimitedSession(store_standin.StoreSession):
    """Store session whose operations wait in the store's queue."""

    def __init__(
        self, store: store_standin.MemoryStore, queue: _StoreQueue
    ) -> None:
        """Initializes the session."""
        super().__init__(store)
        self._queue = queue

    async def get(
        self, key: str
    ) -> result.Result[store_contract.Entry | None, store_contract.StoreFault]:
        """Reads a key after waiting in the queue."""
        if not await self._queue.wait_until_served(STORE_READ_S):
            return result.Err(_make_timeout_fault(key, writes=False))
        return await super().get(key)

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[
        store_contract.Entry,
        store_contract.CompareFailed | store_contract.StoreFault,
    ]:
        """Writes a key after waiting in the queue.

        A write that times out takes effect, but its result is indeterminate.
        """
        in_time = await self._queue.wait_until_served(STORE_WRITE_S)
        written = await super().put(key, value, expected=expected, lease=lease)
        return (
            written
            if in_time
            else result.Err(_make_timeout_fault(key, writes=True))
        )


@attrs.define
class _Fleet:
    """The simulated instances.

    Attributes:
        ledgers: Claim ledger of each instance.
    """

    ledgers: dict[identifiers.InstanceId, ledger.StoreClaimLedger] = (
        attrs.field(factory=dict)
    )


@attrs.frozen
class _Routes:
    """Routes from one instance to the owners of the shards."""

    local_id: identifiers.InstanceId
    fleet: _Fleet
    owners: tuple[identifiers.InstanceId, ...]

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None if this instance owns it."""
        owner = self.owners[shard]
        return None if owner == self.local_id else owner

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Forwards an operation to the owner, with network delay both ways.

        Returns:
            The owner's reply; None if it did not arrive within the timeout.
        """
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(PEER_ONE_WAY_S)
            reply = await self.fleet.ledgers[owner].serve(payload)
            await anyio.sleep(PEER_ONE_WAY_S)
            return reply
        return None


@attrs.frozen
class _Scenario:
    """Parameters of one run.

    Attributes:
        name: Name in the tables.
        has_owners: Whether each shard has an owner that writes it. Otherwise
            every instance writes every shard.
        instances: Number of entry instances.
        shards: Number of records per time bucket.
        interval_s: Minimum time between two writes of one record.
        seed: Seed of arrivals and jitter.
        seconds: Measured time; a proportional warm-up precedes it.
    """

    name: str
    has_owners: bool
    instances: int
    shards: int
    interval_s: float
    seed: int
    seconds: float


@attrs.define
class _Totals:
    """Totals of the measured part of a run.

    Attributes:
        latencies_s: Latency of each claim as its caller sees it, including
            refused claims.
        refused_count: Number of refused claims.
        writes: Number of store writes.
        conflicts: Number of failed compare-and-swap writes.
        largest_record_bytes: Size of the largest claim record at the end.
    """

    latencies_s: list[float] = attrs.field(factory=list)
    refused_count: int = 0
    writes: int = 0
    conflicts: int = 0
    largest_record_bytes: int = 0


class _ClaimRun:
    """One run of a scenario."""

    def __init__(self, scenario: _Scenario) -> None:
        """Initializes the run with an empty store."""
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._clock = virtual_time.VirtualClock()
        self._store = store_standin.MemoryStore(self._clock)
        self._queue = _StoreQueue()
        self._fleet = _Fleet()
        self._totals = _Totals()
        self._measuring = False

    async def run(self) -> _Totals:
        """Makes calls at the fleet's rate and returns the totals."""
        async with anyio.create_task_group() as tasks:
            await self._start_instances(tasks)
            await self._generate_calls(
                tasks, self._scenario.seconds * WARM_UP_FRACTION
            )
            counters = self._store.counters
            writes, conflicts = counters.writes, counters.conflicts
            self._measuring = True
            await self._generate_calls(tasks, self._scenario.seconds)
            self._measuring = False
            self._totals.writes = counters.writes - writes
            self._totals.conflicts = counters.conflicts - conflicts
            tasks.cancel_scope.cancel()
        entries = self._store.read_prefix("claims/").entries
        self._totals.largest_record_bytes = max(len(e.value) for e in entries)
        return self._totals

    async def _start_instances(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the committer and the ledger of each instance."""
        scenario = self._scenario
        claim_policy = keys.ClaimPolicy(shards=scenario.shards)
        instance_ids = [
            identifiers.InstanceId(f"i{n}") for n in range(scenario.instances)
        ]
        owners = tuple(
            identifiers.InstanceId(
                rendezvous.owner(f"claims/{shard}", instance_ids) or ""
            )
            for shard in range(scenario.shards)
        )
        for instance_id in instance_ids:
            group_committer = committer.GroupCommitter(
                _LimitedSession(self._store, self._queue),
                self._clock,
                random.Random(self._rng.random()),
                claim_policy.retention_s,
                committer.CommitTiming(interval_s=scenario.interval_s),
                strict_supervision.StrictSupervisor(),
            )
            await tasks.start(group_committer.run)
            routes = (
                _Routes(instance_id, self._fleet, owners)
                if scenario.has_owners
                else None
            )
            self._fleet.ledgers[instance_id] = ledger.StoreClaimLedger(
                group_committer,
                self._clock,
                claim_policy,
                routes,
                self._new_token,
            )

    async def _generate_calls(
        self, tasks: anyio.abc.TaskGroup, seconds: float
    ) -> None:
        """Starts calls at random instances as a Poisson process."""
        end = anyio.current_time() + seconds
        ledgers = list(self._fleet.ledgers.values())
        while anyio.current_time() < end:
            tasks.start_soon(self._make_call, self._rng.choice(ledgers))
            await anyio.sleep(self._rng.expovariate(CLAIMS_PER_S))

    def _new_token(self) -> str:
        """Returns a random 64-bit token."""
        return f"{self._rng.getrandbits(64):016x}"

    async def _make_call(self, claim_ledger: ledger.StoreClaimLedger) -> None:
        """Claims a new key, waits for the execution time and settles."""
        account = identifiers.AccountName("a")
        key = f"{self._clock.wall():.0f}-{self._new_token()}"
        is_measured = self._measuring
        started = anyio.current_time()
        claimed = await claim_ledger.claim(
            account, key, b"f" * 16, CLAIM_TIMEOUT_S
        )
        latency_s = anyio.current_time() - started
        claim = claimed.ok()
        if is_measured:
            self._totals.latencies_s.append(latency_s)
            self._totals.refused_count += claim is None
        if isinstance(claim, claiming.Claim):
            await anyio.sleep(REQUEST_RUN_S)
            stored = claiming.StoredOutcome(outcomes.Outcome.DONE, 200)
            await claim_ledger.settle(claim, stored, CLAIM_TIMEOUT_S)


def measure(options: reports.Options) -> reports.Report:
    """Compares both ways by fleet size, and shard owners by number of shards.

    The latency of a claim is measured at its caller and includes refused
    claims.
    """
    fleet_sizes = FLEET_SIZES[:1] if options.smallest else FLEET_SIZES
    seconds = 1.5 if options.smallest else MEASURED_S
    rows = []
    points = []
    for instance_count in fleet_sizes:
        for name, has_owners, interval_s in (
            ("every instance writes", False, 0.02),
            ("every instance writes", False, 0.2),
            ("an owner a shard", True, 0.02),
        ):
            scenario = _Scenario(
                name,
                has_owners,
                instance_count,
                4,
                interval_s,
                options.seed,
                seconds,
            )
            measured = _run_in_virtual_time(_ClaimRun(scenario).run)
            rows.append(_make_row(scenario, measured))
            if has_owners:
                points.append(
                    (float(instance_count), measured.writes / seconds)
                )
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table(
            f"{CLAIMS_PER_S:g} claims/s, each settled"
            f" {REQUEST_RUN_S:g} s later",
            _COLUMNS,
            tuple(rows),
        ),
        reports.Slope(
            "store writes/s with owners",
            "instances",
            tuple(points),
            bound=1 / STORE_WRITE_S,
            target_size=340.0,
        ),
    ]
    if not options.smallest:
        parts.append(_tabulate_by_shards(options.seed))
    return reports.Report("claims", tuple(parts))


_COLUMNS = (
    "way",
    "instances",
    "shards",
    "interval ms",
    "writes/s",
    "conflicts/s",
    "p50 ms",
    "p95 ms",
    "refused",
    "largest record B",
)


def _tabulate_by_shards(seed: int) -> reports.Table:
    """Measures shard owners at 31 instances by the number of shards."""
    rows = []
    for shards in SHARD_COUNTS:
        scenario = _Scenario(
            "an owner a shard", True, 31, shards, 0.02, seed, MEASURED_S
        )
        rows.append(
            _make_row(scenario, _run_in_virtual_time(_ClaimRun(scenario).run))
        )
    return reports.Table("By shards", _COLUMNS, tuple(rows))


def _make_row(scenario: _Scenario, measured: _Totals) -> tuple[str, ...]:
    """Returns the table row of a run."""
    quantiles = statistics.quantiles(measured.latencies_s, n=20)
    refused_fraction = measured.refused_count / len(measured.latencies_s)
    return (
        scenario.name,
        str(scenario.instances),
        str(scenario.shards),
        f"{scenario.interval_s * 1000:g}",
        f"{measured.writes / scenario.seconds:.1f}",
        f"{measured.conflicts / scenario.seconds:.1f}",
        f"{quantiles[9] * 1000:.1f}",
        f"{quantiles[18] * 1000:.1f}",
        f"{refused_fraction:.1%}",
        str(measured.largest_record_bytes),
    )


def _run_in_virtual_time(function: Callable[[], Awaitable[T]]) -> T:
    """Runs a coroutine function in virtual time."""
    return virtual_time.run(function)


def _make_timeout_fault(key: str, writes: bool) -> store_contract.StoreFault:
    """Returns the fault of a store call that timed out."""
    kind = store_contract.StoreFaultKind.UNAVAILABLE
    if writes:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    return store_contract.StoreFault(kind, key, "The store was too slow.")
