"""Permits for requests to targets that limit their rate.

A limit holds for all instances together. For each limited target, one instance
issues the permits: the owner, chosen by rendezvous hashing among the live
instances. An instance asks the owner for a permit before it sends a request to
such a target. Without an answer it sends nothing there.

An instance that the store does not answer may know an earlier process of a
target that has started again. Its requests reach the process that runs, so the
owner treats them like those for the process that it knows.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger
import result

from cardamomfork._internal.gateway.peers import cold_permits
from cardamomfork._internal.gateway.peers import permit_codec
from cardamomfork._internal.gateway.peers import permit_issuing
from cardamomfork._internal.gateway.store import entry_faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.peers import digest_codec
    from cardamomfork._internal.gateway.state import rate_limits
    from cardamomfork._internal.models import fleet

ANSWER_TIMEOUT_S = 0.1
"""Time limit for the owner's answer, many round trips between data centres."""
NO_ANSWER_WAIT_S = 0.5
"""Time without requests to a target whose owner did not answer."""


@attrs.frozen
class Permit:
    """A permit to send one request.

    Attributes:
        expires_at: Time until which the request may be sent to a cold target;
            minus infinity if the permit was not needed when it was acquired.
    """

    expires_at: float = -math.inf


@attrs.define
class _PendingRequest:
    """A request for a permit that the owner has not answered yet."""

    answered: anyio.Event = attrs.field(factory=anyio.Event)
    decision: permit_codec.PermitDecision | None = None


class RatePermits:
    """Acquires permits from owners, and issues those that this one owns."""

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        find_owner: Callable[[str], digest_codec.Peer | None],
        send: Callable[[bytes, tuple[str, int]], None],
        clock: Callable[[], float],
        cold: cold_permits.ColdPermits | None = None,
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
        self._issuer = permit_issuing.PermitIssuer()
        self._malformed = entry_faults.EntryFaults("datagram dropped")
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingRequest] = {}
        self._outdated_requests = 0

    @property
    def outdated_requests(self) -> int:
        """Number of peers' requests for an earlier process of a target."""
        return self._outdated_requests

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
        return Permit(
            asked_at + decision.wait_s + cold_permits.PERMIT_LIFETIME_S
        )

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

    def _update_request(
        self, request: permit_codec.PermitRequest
    ) -> permit_codec.PermitRequest:
        """Returns a peer's request with what is known here of its target.

        The process that started last is the one that receives the request. If
        the peer knows a later one, it knows more than this instance.
        """
        known = self._limits.find_process(request.target_id)
        if known is None or request.started_at_ms > known.started_at_ms:
            return request
        if request.started_at_ms < known.started_at_ms:
            self._outdated_requests += 1
        return attrs.evolve(
            request,
            started_at_ms=known.started_at_ms,
            rate_per_s=request.rate_per_s
            if known.rate_per_s is None
            else known.rate_per_s,
        )

    def receive_request(self, data: bytes, address: tuple[str, int]) -> None:
        """Answers a peer's request for a permit."""
        decoded = permit_codec.decode_request(data)
        if isinstance(decoded, result.Err):
            self._malformed.record(
                address[0], self._malformed.dropped, decoded.err_value
            )
            return
        request = self._update_request(decoded.ok_value)
        decision = self._issue(request)
        self._send(
            permit_codec.encode_decision(request.number, decision), address
        )

    def receive_answer(self, data: bytes) -> None:
        """Passes an owner's answer to the request that waits for it."""
        decoded = permit_codec.decode_decision(data)
        if isinstance(decoded, result.Err):
            self._malformed.record(
                "", self._malformed.dropped, decoded.err_value
            )
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
        try:
            self._send(
                permit_codec.encode_request(request), (owner.host, owner.port)
            )
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
