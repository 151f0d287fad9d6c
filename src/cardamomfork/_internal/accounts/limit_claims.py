"""Stores and gossips the demands of the fleet on accounts' limits.

A claim is the demand of one source on one account, as a fraction of the
account's limit. A source is an instance of this data centre or another data
centre as a whole. Claims carry their age, so that the most recent one wins
without synchronized clocks. If a payload cannot hold all claims, those with
the highest demand are sent.
"""

from __future__ import annotations

import collections
import heapq
import math
from typing import TYPE_CHECKING

import attrs
import msgspec
import result

from cardamomfork._internal import decoding
from cardamomfork._internal.contracts import gossip
from cardamomfork._internal.instances import wire_ages
from cardamomfork._internal.models import identifiers

if TYPE_CHECKING:
    from cardamomfork._internal.accounts import limits
    from cardamomfork._internal.data_centres import reach

CLAIM_TTL_S = 12.0
MAX_RELAYED_AGE_S = 5.0
MAX_CLAIMS = 16_384
MAX_CLAIMS_PER_MESSAGE = 400
REFRESH_S_PER_ACCOUNT = 0.00015
"""Shortest interval between updates of the cached demands, per account."""
REMOTE_SOURCE_PREFIX = "@"
_DEMAND_SCALE = 10_000
_MIN_AGE_DIFFERENCE_S = 0.15
_HEADER_BYTES = 16


class _Payload(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True
):
    """Wire format of data-centre report ages and of claims by source.

    A claim is (account, age in deciseconds, demand in ten-thousandths).
    """

    ages: dict[str, int] = {}
    claims: dict[str, list[tuple[str, int, int]]] = {}


_decode_payload = decoding.msgpack_decoder("demands", _Payload)


@attrs.frozen
class _Claim:
    """A demand and the time on this clock at which its source reported it."""

    demand: float
    reported_at: float


class ClaimTable:
    """Table of the demands of other instances and data centres."""

    def __init__(self, side: reach.Reach, max_claims: int = MAX_CLAIMS) -> None:
        """Initializes an empty table.

        Args:
            side: Determines how long claims of a silent data centre stay
                valid.
            max_claims: Largest number of claims held; the least recently
                updated are evicted first.
        """
        self._reach = side
        self._max_claims = max_claims
        self._claims: collections.OrderedDict[tuple[str, str], _Claim] = (
            collections.OrderedDict()
        )
        self._by_account: dict[str, dict[str, _Claim]] = {}

    def __len__(self) -> int:
        """Returns the number of claims held."""
        return len(self._claims)

    def total(self, account: str, now: float) -> float:
        """Returns the sum of the valid demands on an account."""
        claims = self._by_account.get(account)
        if not claims:
            return 0.0
        return sum(
            claim.demand
            for source, claim in claims.items()
            if self._is_valid(source, claim, now)
        )

    def hear(
        self, source: str, account: str, demand: float, age_s: float, now: float
    ) -> None:
        """Stores a claim unless the held one is as recent or newer."""
        key = (account, source)
        reported_at = now - max(age_s, 0.0)
        held = self._claims.get(key)
        if held and reported_at <= held.reported_at + _MIN_AGE_DIFFERENCE_S:
            return
        claim = _Claim(demand, reported_at)
        self._claims[key] = claim
        self._claims.move_to_end(key)
        self._by_account.setdefault(account, {})[source] = claim
        while len(self._claims) > self._max_claims:
            self._drop(next(iter(self._claims)))

    def expire(self, now: float) -> None:
        """Removes expired claims from the old end of the table."""
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if self._is_valid(key[1], claim, now):
                return
            self._drop(key)

    def to_relay(
        self, now: float, remote_only: bool
    ) -> list[tuple[float, str, str, float]]:
        """Returns (demand, source, account, age) of the claims to relay."""
        relayed = []
        for (account, source), claim in reversed(self._claims.items()):
            age = now - claim.reported_at
            is_remote = source.startswith(REMOTE_SOURCE_PREFIX)
            if age <= MAX_RELAYED_AGE_S and (is_remote or not remote_only):
                relayed.append((claim.demand, source, account, age))
            if len(relayed) >= 4 * MAX_CLAIMS_PER_MESSAGE:
                break
        return relayed

    def home_totals(self, now: float) -> dict[str, float]:
        """Returns the demands of this data centre's instances by account."""
        totals: dict[str, float] = {}
        for (account, source), claim in self._claims.items():
            if not source.startswith(REMOTE_SOURCE_PREFIX) and self._is_valid(
                source, claim, now
            ):
                totals[account] = totals.get(account, 0.0) + claim.demand
        return totals

    def _is_valid(self, source: str, claim: _Claim, now: float) -> bool:
        """Returns whether a claim is still valid.

        Claims that were valid when a data centre became silent stay valid
        until it is forgotten. Otherwise this side of a partition would
        increase its share while the silent one still uses its own.
        """
        if now - claim.reported_at < CLAIM_TTL_S:
            return True
        if not source.startswith(REMOTE_SOURCE_PREFIX):
            return False
        name = identifiers.DataCentreId(
            source.removeprefix(REMOTE_SOURCE_PREFIX)
        )
        silent_since = self._reach.spoke_at(name)
        was_valid_at_silence = claim.reported_at + CLAIM_TTL_S >= silent_since
        return was_valid_at_silence and not self._reach.is_forgotten(name, now)

    def _drop(self, key: tuple[str, str]) -> None:
        """Removes a claim."""
        del self._claims[key]
        sources = self._by_account[key[0]]
        del sources[key[1]]
        if not sources:
            del self._by_account[key[0]]


class LimitsGossip:
    """Gossip participant that exchanges claims and report ages with peers."""

    def __init__(
        self,
        me: identifiers.InstanceId,
        limiter: limits.FleetLimiter,
        table: ClaimTable,
        side: reach.Reach,
    ) -> None:
        """Initializes the participant.

        Args:
            me: Id of this instance.
            limiter: Provides this instance's demands.
            table: Receives the claims of peers.
            side: Provides and receives the ages of the data centres' reports.
        """
        self._me = me
        self._limiter = limiter
        self._table = table
        self._reach = side
        self._cached_demands: dict[identifiers.AccountName, float] = {}
        self._cached_at = -math.inf
        self.unreadable = 0

    @property
    def topic(self) -> gossip.Topic:
        """Gossip topic of the payloads."""
        return gossip.Topic.LIMITS

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: gossip.Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns the ages and the highest claims that fit into the budget."""
        del peer
        self._reach.refresh(now)
        self._table.expire(now)
        ages = {
            name: wire_ages.to_wire(age)
            for name, age in self._reach.ages(now).items()
        }
        if scope is gossip.Scope.FLEET or self._reach.is_delegate:
            ages[self._reach.home] = 0
        bytes_left = budget_bytes - _HEADER_BYTES
        bytes_left -= sum(len(name) + 5 for name in ages)
        if bytes_left < 0:
            return b""
        rows: dict[str, list[tuple[str, int, int]]] = {}
        for demand, source, account, age in self._candidates(scope, now):
            size_bytes = len(account.encode()) + 9
            if source not in rows:
                size_bytes += len(source.encode()) + 5
            if size_bytes > bytes_left:
                break
            bytes_left -= size_bytes
            rows.setdefault(source, []).append(
                (
                    account,
                    wire_ages.to_wire(age) if age else 0,
                    min(round(demand * _DEMAND_SCALE), 0xFFFFFF),
                )
            )
        return msgspec.msgpack.encode((ages, rows))

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Stores the ages and claims in a peer's payload."""
        del sender
        decoded = _decode_payload(payload)
        if isinstance(decoded, result.Err):
            self.unreadable += 1
            return
        received = decoded.ok_value
        for source, claims in received.claims.items():
            if source in (self._me, REMOTE_SOURCE_PREFIX + self._reach.home):
                continue
            for account, age, demand in claims:
                age_s = wire_ages.to_seconds(age)
                self._table.hear(
                    source, account, demand / _DEMAND_SCALE, age_s, now
                )
        # The claims must be stored first: a report age confirms that the
        # claims in the same payload are known.
        self._reach.hear(
            {
                identifiers.DataCentreId(name): wire_ages.to_seconds(age)
                for name, age in received.ages.items()
            },
            now,
        )

    def _local_demands(
        self, now: float
    ) -> dict[identifiers.AccountName, float]:
        """Returns this instance's demands from a cache.

        The refresh interval grows with the number of accounts.
        """
        if now - self._cached_at >= REFRESH_S_PER_ACCOUNT * len(
            self._cached_demands
        ):
            self._cached_demands = self._limiter.demands(now)
            self._cached_at = now
        return self._cached_demands

    def _candidates(
        self, scope: gossip.Scope, now: float
    ) -> list[tuple[float, str, str, float]]:
        """Returns (demand, source, account, age), highest demand first."""
        demands = self._local_demands(now)
        if scope is gossip.Scope.FLEET:
            totals = self._table.home_totals(now)
            for account, demand in demands.items():
                totals[account] = totals.get(account, 0.0) + demand
            source = REMOTE_SOURCE_PREFIX + self._reach.home
            local = [(d, source, a, 0.0) for a, d in totals.items()]
        else:
            local = [(d, self._me, a, 0.0) for a, d in demands.items()]
        relayed = self._table.to_relay(now, scope is gossip.Scope.FLEET)
        return heapq.nlargest(MAX_CLAIMS_PER_MESSAGE, [*local, *relayed])
