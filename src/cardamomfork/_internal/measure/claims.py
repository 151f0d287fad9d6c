"""Claims fleet-wide: every instance writes, against an owner a shard.

In virtual time, before a store that takes 400 writes and 2,000 reads a
second, one after the other, and loses track of callers that wait too long.
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
from cardamomfork._internal.standins import virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

CLAIMS_PER_S = 340.0
WRITE_S = 1 / 400
READ_S = 1 / 2000
STORE_WAY_S = 0.001
STORE_TIMEOUT_S = 2.0
PEER_WAY_S = 0.001
RUN_S = 0.2
CLAIM_TIME_S = 10.0
WARM_UP_SHARE = 0.15
MEASURED_S = 20.0
SIZES = (3, 9, 31, 340)
SHARDS = (1, 2, 4, 8, 16)

T = TypeVar("T")


@attrs.define
class _Server:
    """The store's one queue of work.

    Attributes:
        free_at: Time at which it has done all that it took.
    """

    free_at: float = 0.0

    async def work(self, seconds: float) -> bool:
        """Waits for one's turn; False if the caller's time limit came first."""
        now = anyio.current_time()
        self.free_at = max(self.free_at, now) + seconds
        done_at = self.free_at + 2 * STORE_WAY_S
        await anyio.sleep(min(done_at - now, STORE_TIMEOUT_S))
        return done_at - now <= STORE_TIMEOUT_S


class _LimitedSession(store_standin.StoreSession):
    """A session whose calls queue at the store."""

    def __init__(
        self, store: store_standin.MemoryStore, server: _Server
    ) -> None:
        """Keeps the server."""
        super().__init__(store)
        self._server = server

    async def get(
        self, key: str
    ) -> result.Result[store_contract.Entry | None, store_contract.StoreFault]:
        """Reads one key in its turn."""
        if not await self._server.work(READ_S):
            return result.Err(_late(key, writes=False))
        return await super().get(key)

    async def put(
        self, key: str, value: bytes, *, expected: int, lease: int = 0
    ) -> result.Result[
        store_contract.Entry,
        store_contract.CompareFailed | store_contract.StoreFault,
    ]:
        """Writes a key in its turn; a late write takes effect unseen."""
        in_time = await self._server.work(WRITE_S)
        written = await super().put(key, value, expected=expected, lease=lease)
        return written if in_time else result.Err(_late(key, writes=True))


@attrs.define
class _Fleet:
    """Who owns which shard, and the way there.

    Attributes:
        ledgers: The ledger of each instance.
    """

    ledgers: dict[identifiers.InstanceId, ledger.StoreClaimLedger] = (
        attrs.field(factory=dict)
    )


@attrs.frozen
class _Routes:
    """One instance's way to the owners of shards."""

    me: identifiers.InstanceId
    fleet: _Fleet
    owners: tuple[identifiers.InstanceId, ...]

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None if it is this instance."""
        owner = self.owners[shard]
        return None if owner == self.me else owner

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Has the owner answer, both ways counted."""
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(PEER_WAY_S)
            answer = await self.fleet.ledgers[owner].serve(payload)
            await anyio.sleep(PEER_WAY_S)
            return answer
        return None


@attrs.frozen
class _Way:
    """One way to claim, of one size.

    Attributes:
        name: Its name in the tables.
        owners: Whether shards have owners.
        instances: Entry instances.
        shards: Records a bucket of time.
        interval_s: Least time between two writes of one record.
        seed: Seed of arrivals and jitter.
        seconds: Measured time, after a warm-up in proportion.
    """

    name: str
    owners: bool
    instances: int
    shards: int
    interval_s: float
    seed: int
    seconds: float


@attrs.define
class _Result:
    """What a run gave; latencies in seconds."""

    latencies: list[float] = attrs.field(factory=list)
    refused: int = 0
    writes: int = 0
    conflicts: int = 0
    largest: int = 0


class _Run:
    """One run of one way."""

    def __init__(self, way: _Way) -> None:
        """Prepares the store."""
        self._way = way
        self._rng = random.Random(way.seed)
        self._clock = virtual_time.VirtualClock()
        self._store = store_standin.MemoryStore(self._clock)
        self._server = _Server()
        self._fleet = _Fleet()
        self._result = _Result()
        self._counting = False

    async def run(self) -> _Result:
        """Makes calls at the fleet's rate and returns what was seen."""
        async with anyio.create_task_group() as tasks:
            await self._start_instances(tasks)
            await self._arrive(tasks, self._way.seconds * WARM_UP_SHARE)
            counters = self._store.counters
            writes, conflicts = counters.writes, counters.conflicts
            self._counting = True
            await self._arrive(tasks, self._way.seconds)
            self._counting = False
            self._result.writes = counters.writes - writes
            self._result.conflicts = counters.conflicts - conflicts
            tasks.cancel_scope.cancel()
        entries = self._store.read_prefix("claims/").entries
        self._result.largest = max(len(e.value) for e in entries)
        return self._result

    async def _start_instances(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the fleet."""
        way = self._way
        policy = keys.ClaimPolicy(shards=way.shards)
        names = [identifiers.InstanceId(f"i{n}") for n in range(way.instances)]
        owners = tuple(
            identifiers.InstanceId(
                rendezvous.owner(f"claims/{shard}", names) or ""
            )
            for shard in range(way.shards)
        )
        for name in names:
            writer = committer.GroupCommitter(
                _LimitedSession(self._store, self._server),
                self._clock,
                random.Random(self._rng.random()),
                policy.retention_s,
                committer.CommitTiming(interval_s=way.interval_s),
            )
            await tasks.start(writer.run)
            routes = _Routes(name, self._fleet, owners) if way.owners else None
            self._fleet.ledgers[name] = ledger.StoreClaimLedger(
                writer, self._clock, policy, routes, self._new_token
            )

    async def _arrive(self, tasks: anyio.abc.TaskGroup, seconds: float) -> None:
        """Lets calls arrive at random instances, as a Poisson process."""
        end = anyio.current_time() + seconds
        ledgers = list(self._fleet.ledgers.values())
        while anyio.current_time() < end:
            tasks.start_soon(self._call, self._rng.choice(ledgers))
            await anyio.sleep(self._rng.expovariate(CLAIMS_PER_S))

    def _new_token(self) -> str:
        """Returns a name that no other call has."""
        return f"{self._rng.getrandbits(64):016x}"

    async def _call(self, one: ledger.StoreClaimLedger) -> None:
        """Claims a new key, runs and settles."""
        account = identifiers.AccountName("a")
        key = f"{self._clock.wall():.0f}-{self._new_token()}"
        counted = self._counting
        started = anyio.current_time()
        claimed = await one.claim(account, key, b"f" * 16, CLAIM_TIME_S)
        took = anyio.current_time() - started
        claim = claimed.ok()
        if counted:
            self._result.latencies.append(took)
            self._result.refused += claim is None
        if isinstance(claim, claiming.Claim):
            await anyio.sleep(RUN_S)
            stored = claiming.StoredOutcome(outcomes.Outcome.DONE, 200)
            await one.settle(claim, stored, CLAIM_TIME_S)


def measure(options: reports.Options) -> reports.Report:
    """Measures both ways by fleet size, and owners by shards.

    Latency is that of a claim as its caller sees it, refused ones included.
    """
    sizes = SIZES[:1] if options.smallest else SIZES
    seconds = 1.5 if options.smallest else MEASURED_S
    rows = []
    points = []
    for size in sizes:
        for name, owners, interval_s in (
            ("every instance writes", False, 0.02),
            ("every instance writes", False, 0.2),
            ("an owner a shard", True, 0.02),
        ):
            way = _Way(name, owners, size, 4, interval_s, options.seed, seconds)
            found = _run(_Run(way).run)
            rows.append(_row(way, found))
            if owners:
                points.append((float(size), found.writes / seconds))
    parts: list[reports.Table | reports.Slope | str] = [
        reports.Table(
            f"{CLAIMS_PER_S:g} claims/s, each settled {RUN_S:g} s later",
            _COLUMNS,
            tuple(rows),
        ),
        reports.Slope(
            "store writes/s with owners",
            "instances",
            tuple(points),
            bound=1 / WRITE_S,
            target_size=340.0,
        ),
    ]
    if not options.smallest:
        parts.append(_by_shards(options.seed))
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


def _by_shards(seed: int) -> reports.Table:
    """Measures owners at 31 instances by the number of shards."""
    rows = []
    for shards in SHARDS:
        way = _Way("an owner a shard", True, 31, shards, 0.02, seed, MEASURED_S)
        rows.append(_row(way, _run(_Run(way).run)))
    return reports.Table("By shards", _COLUMNS, tuple(rows))


def _row(way: _Way, found: _Result) -> tuple[str, ...]:
    """Returns a run's line of the table."""
    cuts = statistics.quantiles(found.latencies, n=20)
    refused = found.refused / len(found.latencies)
    return (
        way.name,
        str(way.instances),
        str(way.shards),
        f"{way.interval_s * 1000:g}",
        f"{found.writes / way.seconds:.1f}",
        f"{found.conflicts / way.seconds:.1f}",
        f"{cuts[9] * 1000:.1f}",
        f"{cuts[18] * 1000:.1f}",
        f"{refused:.1%}",
        str(found.largest),
    )


def _run(function: Callable[[], Awaitable[T]]) -> T:
    """Runs a coroutine function in virtual time."""
    return virtual_time.run(function)


def _late(key: str, writes: bool) -> store_contract.StoreFault:
    """Makes the fault of a call that waited too long."""
    kind = store_contract.StoreFaultKind.UNAVAILABLE
    if writes:
        kind = store_contract.StoreFaultKind.INDETERMINATE
    return store_contract.StoreFault(kind, key, "The store was too slow.")
