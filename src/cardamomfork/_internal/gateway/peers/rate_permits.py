"""Permits for requests to targets that limit their rate.

A limit holds for all instances together. For each limited target, one instance
issues the permits: the owner, chosen by rendezvous hashing among the live
instances. An instance asks the owner for a permit before it sends a request to
such a target. Without an answer it sends nothing there.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.gateway.peers import permit_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.peers import digest_codec
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
    ) -> None:
        """Initializes the permits.

        Args:
            limits: Limits of the targets.
            find_owner: Returns the owner of a target by the target's id; None
                if it is this instance.
            send: Sends a datagram to a peer's address.
            clock: Monotonic time.
        """
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

    async def acquire(
        self, record: fleet.TargetRecord, max_wait_s: float
    ) -> bool:
        """Waits for a permit to send one request to a target.

        Args:
            record: The target.
            max_wait_s: Longest wait for the time of the permit.

        Returns:
            Whether the request may be sent. If not, the target gets no
            requests from this instance until a permit may be available.
        """
        rate_per_s = self._limits.rate(record)
        if rate_per_s is None:
            return True
        request = permit_codec.PermitRequest(
            next(self._numbers),
            record.target_id,
            record.started_at_ms,
            rate_per_s,
            max_wait_s,
        )
        owner = self._find_owner(record.target_id)
        if owner is None:
            decision = self._issuer.issue(request, self._clock())
        else:
            decision = await self._ask(owner, request)
        if not decision.is_granted:
            self._limits.record_refusal(record, decision.wait_s)
            return False
        if decision.wait_s:
            await anyio.sleep(decision.wait_s)
        return True

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
        decision = self._issuer.issue(request, self._clock())
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
