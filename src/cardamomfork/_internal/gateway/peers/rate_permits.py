"""Permits for requests to targets that limit their rate.

A limit holds for all instances together. For each limited target, one instance
issues the permits: the owner, chosen by rendezvous hashing among the live
instances. An instance asks the owner for a permit before it sends a request to
such a target. Without an answer it sends nothing there.

Cold targets crash above their rate, so their owner keeps two more rules, also
while instances die, freeze or are cut off from each other. It issues nothing
until all peers see the earlier owner as gone, and half of the rate while an
instance that it knows is silent, since that one may be in another part of the
fleet which has an owner of its own.
"""

from __future__ import annotations

from collections import OrderedDict
import itertools
import math
from typing import Any
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal import bounded_tables
from cardamomfork._internal.gateway.peers import peer_table
from cardamomfork._internal.gateway.peers import permit_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.state import cold_targets
    from cardamomfork._internal.gateway.state import rate_limits
    from cardamomfork._internal.models import fleet

BURST_REQUESTS = 2
"""Requests that may follow each other without a pause."""
MIN_RATE_PER_S = 0.1
"""Least rate of permits. A target that gets no requests at all could not tell
that its limit has ended."""
MAX_ISSUED_TARGETS = 1000
ANSWER_TIMEOUT_S = 0.1
"""Time limit for the owner's answer, many round trips between data centres."""
NO_ANSWER_WAIT_S = 0.5
"""Time without requests to a target whose owner did not answer."""


MAX_COLD_WAIT_S = 3.0
"""Longest time that a permit for a cold target lies in the future. Below the
`PEER_TIMEOUT_S` for which the next owner issues none, so that the permits of an
owner that is gone are used before."""
PERMIT_LIFETIME_S = 0.4
"""Time within which a request for a cold target must be sent after the time of
its permit. With a burst of 2, all permits of 1.4 s at full rate may arrive
within one second: 1.4 times the rate and 2, or 4 for the two halves of a fleet.
That is within 1.5 times the rate and 5."""
COLD_PARTS = 2
"""Parts of a fleet that are cut off from each other, each with an owner."""
MAX_STALL_S = 2.5
"""Time without an observation after which the process counts as frozen. The
owner observes each second at least. Another instance issues permits 8 s after
the last digest of this one at the earliest."""
OTHER_OWNER_WAIT_S = 0.5
"""Time after which an instance asks again that has asked one that is not the
owner. A digest has then told it who is, or has told this one."""


@attrs.frozen
class Permit:
    """A permit to send one request.

    Attributes:
        expires_at: Time until which the request may be sent to a cold target;
            minus infinity if the permit was not needed when it was acquired.
    """

    expires_at: float = -math.inf


@attrs.frozen
class Authority:
    """What an instance may issue for a cold target.

    Attributes:
        rate_share: Share of the rate that it may issue: 0, 0.5 or 1.
        wait_s: If it may issue nothing, the time until it may.
    """

    rate_share: float
    wait_s: float = 0.0


class OwnerAuthority:
    """Decides what this instance may issue for cold targets.

    It addresses a change of the owner under load: an owner that dies, freezes
    or is cut off has issued permits, or still does, when the next one takes
    over.
    """

    def __init__(
        self,
        peers: peer_table.PeerTable,
        clock: Callable[[], float],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the decision; it begins to observe the fleet.

        Args:
            peers: The other instances.
            clock: Monotonic time.
            is_leaving: Returns whether this instance is about to stop.
        """
        self._peers = peers
        self._clock = clock
        self._is_leaving = is_leaving
        self._observing_since = self._observed_at = clock()

    def observe(self) -> None:
        """Records that this instance runs; call it each second at least."""
        now = self._clock()
        if now - self._observed_at > MAX_STALL_S:
            self._observing_since = now
        self._observed_at = now

    def find_owner(self, target_id: str) -> digest_codec.Peer | None:
        """Returns the peer to ask for permits; None for this instance."""
        return self._peers.find_owner(target_id, among_peers=self._is_leaving())

    def decide(self, target_id: str) -> Authority:
        """Returns what this instance may issue for a cold target."""
        self.observe()
        now = self._clock()
        if self._is_leaving() or self._peers.find_owner(target_id) is not None:
            return Authority(0.0, OTHER_OWNER_WAIT_S)
        issues_from = peer_table.PEER_TIMEOUT_S + max(
            self._peers.owned_from(target_id), self._observing_since
        )
        if now < issues_from:
            return Authority(0.0, issues_from - now)
        if self._peers.has_silence_since(now - peer_table.PEER_TIMEOUT_S):
            return Authority(1.0 / COLD_PARTS)
        return Authority(1.0)


def cold_rate_per_s(per_s: float, settings: fleet.EntrySettings) -> float:
    """Returns the rate of the permits for a cold target.

    It is what the target handles, or less if the settings allow less.

    Args:
        per_s: Requests a second that the target handles.
        settings: Settings with the bound.
    """
    allowed = per_s * settings.cold_ratio + settings.cold_reserve
    allowed_per_s = (allowed - COLD_PARTS * BURST_REQUESTS) / (
        1.0 + PERMIT_LIFETIME_S
    )
    return max(min(per_s, allowed_per_s), MIN_RATE_PER_S)


class ColdPermits:
    """Decides about permits for cold targets that this instance is asked for.

    Unlike `PermitIssuer`, a change of the rate frees no permit at once: the
    rate changes whenever an instance becomes silent or returns.
    """

    def __init__(
        self,
        cold: cold_targets.ColdTargets,
        authority: OwnerAuthority,
        settings: fleet.EntrySettings,
    ) -> None:
        """Initializes the decision without schedules.

        Args:
            cold: Decides until when targets are cold.
            authority: What this instance may issue.
            settings: Settings with the bound on requests to cold targets.
        """
        self._cold = cold
        self._authority = authority
        self._settings = settings
        self._available_at: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._issued = 0
        self._refused = 0

    @property
    def authority(self) -> OwnerAuthority:
        """What this instance may issue."""
        return self._authority

    @property
    def issued(self) -> int:
        """Number of permits that have been issued."""
        return self._issued

    @property
    def refused(self) -> int:
        """Number of permits that have been refused."""
        return self._refused

    def __len__(self) -> int:
        """Returns the number of targets with a schedule."""
        return len(self._available_at)

    def update_settings(self, settings: fleet.EntrySettings) -> None:
        """Applies new settings."""
        self._settings = settings

    def decide(
        self, request: permit_codec.PermitRequest, now: float
    ) -> permit_codec.PermitDecision | None:
        """Returns the decision about a request; None if its target is warm.

        A target that is not known here gets no permit, since its rate isn't
        known either.
        """
        if self._cold.is_unknown(request.target_id, request.started_at_ms):
            self._refused += 1
            return permit_codec.PermitDecision(False, ANSWER_TIMEOUT_S)
        per_s = self._cold.find_permit_rate(
            request.target_id, request.started_at_ms, request.rate_per_s
        )
        if per_s is None:
            return None
        authority = self._authority.decide(request.target_id)
        if not authority.rate_share:
            self._refused += 1
            return permit_codec.PermitDecision(False, authority.wait_s)
        decision = self._issue(
            request,
            cold_rate_per_s(per_s, self._settings) * authority.rate_share,
            now,
        )
        self._issued += decision.is_granted
        self._refused += not decision.is_granted
        return decision

    def dump(self) -> dict[str, Any]:
        """Returns the state for a dump."""
        return {
            "issued": self._issued,
            "refused": self._refused,
            "targets": [target_id for target_id, _ in self._available_at],
        }

    def _issue(
        self, request: permit_codec.PermitRequest, rate_per_s: float, now: float
    ) -> permit_codec.PermitDecision:
        """Grants a permit if its time is within the requested wait."""
        key = (request.target_id, request.started_at_ms)
        available_at = self._available_at.get(key, now)
        wait_s = max(available_at - now, 0.0)
        if wait_s > min(request.max_wait_s, MAX_COLD_WAIT_S):
            return permit_codec.PermitDecision(False, wait_s)
        burst_s = (BURST_REQUESTS - 1) / rate_per_s
        bounded_tables.put_newest(
            self._available_at,
            key,
            max(available_at, now - burst_s) + 1.0 / rate_per_s,
            MAX_ISSUED_TARGETS,
        )
        return permit_codec.PermitDecision(True, wait_s)


@attrs.define
class _Schedule:
    """Schedule of the permits of one target.

    Attributes:
        rate_per_s: Rate of the permits.
        available_at: Time from which the next permit may be used.
    """

    rate_per_s: float
    available_at: float


@attrs.define
class _PendingRequest:
    """A request for a permit that the owner has not answered yet."""

    answered: anyio.Event = attrs.field(factory=anyio.Event)
    decision: permit_codec.PermitDecision | None = None


class PermitIssuer:
    """Issues permits at the rate of each target's limit.

    A permit may be for a time in the future, so that requests that can wait
    are served in the order in which they asked.
    """

    def __init__(self) -> None:
        """Initializes the issuer without schedules."""
        self._schedules: dict[tuple[str, int], _Schedule] = {}

    def __len__(self) -> int:
        """Returns the number of targets with a schedule."""
        return len(self._schedules)

    def issue(
        self, request: permit_codec.PermitRequest, now: float
    ) -> permit_codec.PermitDecision:
        """Grants a permit if its time is within the requested wait."""
        rate_per_s = max(request.rate_per_s, MIN_RATE_PER_S)
        burst_s = (BURST_REQUESTS - 1) / rate_per_s
        schedule = self._find_schedule(request, rate_per_s, now)
        wait_s = max(schedule.available_at - now, 0.0)
        if wait_s > request.max_wait_s:
            return permit_codec.PermitDecision(False, wait_s)
        schedule.available_at = (
            max(schedule.available_at, now - burst_s) + 1.0 / rate_per_s
        )
        return permit_codec.PermitDecision(True, wait_s)

    def _find_schedule(
        self,
        request: permit_codec.PermitRequest,
        rate_per_s: float,
        now: float,
    ) -> _Schedule:
        """Returns the schedule of a target; a new one allows no burst."""
        key = (request.target_id, request.started_at_ms)
        schedule = self._schedules.get(key)
        if schedule is None:
            if len(self._schedules) >= MAX_ISSUED_TARGETS:
                self._schedules.pop(next(iter(self._schedules)))
            schedule = _Schedule(rate_per_s, now)
            self._schedules[key] = schedule
        elif schedule.rate_per_s != rate_per_s:
            schedule.rate_per_s = rate_per_s
            schedule.available_at = min(schedule.available_at, now)
        return schedule


class RatePermits:
    """Acquires permits from owners, and issues those that this one owns."""

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        find_owner: Callable[[str], digest_codec.Peer | None],
        send: Callable[[bytes, tuple[str, int]], None],
        clock: Callable[[], float],
        cold: ColdPermits | None = None,
    ) -> None:
        """Initializes the permits.

        Args:
            limits: Limits of the targets.
            find_owner: Returns the owner of a target by the target's id; None
                if it is this instance.
            send: Sends a datagram to a peer's address.
            clock: Monotonic time.
            cold: Decides about permits for cold targets; None if no target is
                ever cold.
        """
        self._cold = cold
        self._limits = limits
        self._find_owner = find_owner
        self._send = send
        self._clock = clock
        self._issuer = PermitIssuer()
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingRequest] = {}

    @property
    def issued_targets(self) -> int:
        """Number of targets for which this instance has issued permits."""
        return len(self._issuer)

    def observe(self) -> None:
        """Records that this instance runs; call it each second at least."""
        if self._cold is not None:
            self._cold.authority.observe()

    def may_send(self, record: fleet.TargetRecord, permit: Permit) -> bool:
        """Returns whether a request may be sent now.

        Its target may have turned cold since the permit was acquired, and a
        request that was held up must not arrive with those of later permits.
        """
        return not self._limits.is_cold(record) or (
            self._clock() <= permit.expires_at
        )

    async def acquire(
        self, record: fleet.TargetRecord, max_wait_s: float
    ) -> Permit | None:
        """Waits for a permit to send one request to a target.

        Args:
            record: The target.
            max_wait_s: Longest wait for the time of the permit.

        Returns:
            The permit. If it is None, the request may not be sent, and the
            target gets no requests from this instance until a permit may be
            available.
        """
        rate_per_s = self._limits.rate(record)
        if rate_per_s is None:
            return Permit()
        request = permit_codec.PermitRequest(
            next(self._numbers),
            record.target_id,
            record.started_at_ms,
            rate_per_s,
            max_wait_s,
        )
        asked_at = self._clock()
        owner = (
            self._cold.authority.find_owner(record.target_id)
            if self._cold is not None and self._limits.is_cold(record)
            else self._find_owner(record.target_id)
        )
        if owner is None:
            decision = self._issue(request)
        else:
            decision = await self._ask(owner, request)
        if not decision.is_granted:
            self._limits.record_refusal(record, decision.wait_s)
            return None
        if decision.wait_s:
            await anyio.sleep(decision.wait_s)
        # The permit's time is that of the owner's decision plus the wait, so it
        # expires no later than this.
        return Permit(asked_at + decision.wait_s + PERMIT_LIFETIME_S)

    def _issue(
        self, request: permit_codec.PermitRequest
    ) -> permit_codec.PermitDecision:
        """Decides about a request for a permit."""
        now = self._clock()
        if self._cold is not None:
            decision = self._cold.decide(request, now)
            if decision is not None:
                return decision
        return self._issuer.issue(request, now)

    def receive_request(self, data: bytes, address: tuple[str, int]) -> None:
        """Answers a peer's request for a permit."""
        decoded = permit_codec.decode_request(data)
        if isinstance(decoded, result.Err):
            logger.warning(
                "datagram dropped", peer=address[0], reason=decoded.err_value
            )
            return
        request = decoded.ok_value
        known_rate = self._limits.find_rate(
            request.target_id, request.started_at_ms
        )
        if known_rate is not None:
            request = attrs.evolve(request, rate_per_s=known_rate)
        decision = self._issue(request)
        self._send(
            permit_codec.encode_decision(request.number, decision), address
        )

    def receive_answer(self, data: bytes) -> None:
        """Passes an owner's answer to the request that waits for it."""
        decoded = permit_codec.decode_decision(data)
        if isinstance(decoded, result.Err):
            logger.warning("datagram dropped", reason=decoded.err_value)
            return
        number, decision = decoded.ok_value
        pending = self._pending.get(number)
        if pending is not None:
            pending.decision = decision
            pending.answered.set()

    async def _ask(
        self, owner: digest_codec.Peer, request: permit_codec.PermitRequest
    ) -> permit_codec.PermitDecision:
        """Asks the owner for a permit; no answer in time is a refusal."""
        pending = _PendingRequest()
        self._pending[request.number] = pending
        self._send(
            permit_codec.encode_request(request), (owner.host, owner.port)
        )
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                await pending.answered.wait()
        finally:
            del self._pending[request.number]
        if pending.decision is None:
            logger.info(
                "no permit",
                target_id=request.target_id,
                peer=owner.instance_id,
                reason="the owner did not answer",
            )
            return permit_codec.PermitDecision(False, NO_ANSWER_WAIT_S)
        return pending.decision
