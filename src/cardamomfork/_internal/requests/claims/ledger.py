"""The ledger of claims that the request service asks.

An operation goes to the owner of its shard, which commits for the whole
fleet, or is committed here where there is no owner or it does not answer.
Ownership only saves writes: what is true is what the store holds.
"""

from __future__ import annotations

import math
import secrets
from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import attrs
import msgspec
import result

from cardamomfork._internal.contracts import claiming
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.requests.claims import keys
from cardamomfork._internal.requests.claims import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests.claims import committer

FORWARD_TIMEOUT_S = 0.5
MIN_FORWARD_WAIT_S = 0.1
"""Least time left for which an owner is asked."""
OWNER_SKIP_S = 3.0
"""Seconds for which an owner that did not answer is left alone."""
SETTLE_RETRY_WINDOW_S = 300.0
"""Seconds for which an outcome is tried on when the store is away."""
IN_PROGRESS_RETRY_AFTER_S = 1.0
STORE_RETRY_AFTER_S = 2.0


class ClaimRoutes(Protocol):
    """The way to the owners of shards."""

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None if it is this instance."""
        ...

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Has `StoreClaimLedger.serve` of the owner answer a payload.

        Returns None if no answer came, whatever the reason.
        """
        ...


class ForwardedOperation(msgspec.Struct, array_like=True, frozen=True):
    """An operation on its way to the owner of its shard."""

    record: str
    operation: records.AnyOperation
    wait_s: float
    keep_s: float


@attrs.define
class LedgerCounters:
    """What became of claims.

    Attributes:
        granted: Claims granted.
        replayed: Calls that got a stored outcome.
        refused: Calls refused.
        forwarded: Operations sent to owners.
        fallbacks: Operations committed here since the owner did not answer.
        freed: Claims freed since their call had given up.
    """

    granted: int = 0
    replayed: int = 0
    refused: int = 0
    forwarded: int = 0
    fallbacks: int = 0
    freed: int = 0


class StoreClaimLedger:
    """Meets `ClaimLedger` over the platform's store."""

    def __init__(
        self,
        group_committer: committer.GroupCommitter,
        clock: clock_contract.Clock,
        policy: keys.ClaimPolicy = keys.ClaimPolicy(),  # noqa: B008
        routes: ClaimRoutes | None = None,
        new_token: Callable[[], str] = lambda: secrets.token_hex(8),
    ) -> None:
        """Keeps its collaborators.

        Args:
            group_committer: Writes the records; made with the policy's
                retention.
            clock: Source of time.
            policy: How claims are kept; the same on every instance.
            routes: The way to the owners of shards; None to write all here.
            new_token: Makes a token that no other attempt has.
        """
        self._committer = group_committer
        self._policy = policy
        self._routes = routes
        self._owner_skipped_until: dict[int, float] = {}
        self._wall = keys.AdvancingWallClock(clock)
        self._new_token = new_token
        self.counters = LedgerCounters()

    async def claim(
        self,
        account: identifiers.AccountName,
        key: str,
        fingerprint: bytes,
        time_left_s: float,
    ) -> result.Result[
        claiming.Claim | claiming.StoredOutcome, outcomes.Refusal
    ]:
        """Claims a key; see the contract."""
        now = self._wall.now()
        location_result = keys.locate(self._policy, account, key, now)
        if isinstance(location_result, result.Err):
            self.counters.refused += 1
            return location_result
        location = location_result.ok_value
        operation = records.ClaimOperation(
            location.digest,
            self._new_token(),
            fingerprint,
            math.ceil(now + time_left_s),
        )
        operation_result = records.UNAVAILABLE
        try:
            operation_result = await self._submit(
                location, operation, time_left_s, 0.0
            )
        finally:
            if operation_result.verdict is records.Verdict.UNAVAILABLE:
                self._free_claim(location, operation)
        if operation_result.verdict is records.Verdict.GRANTED:
            self.counters.granted += 1
            return result.Ok(claiming.Claim(account, key, operation.token))
        return self._resolve(operation_result)

    async def settle(
        self,
        claim: claiming.Claim,
        stored: claiming.StoredOutcome,
        time_left_s: float,
    ) -> bool:
        """Stores how it ended; goes on trying after False."""
        location = self._location_of(claim)
        answer = stored.answer
        is_storable = len(answer) <= claiming.MAX_STORED_ANSWER_BYTES
        operation = records.SettleOperation(
            location.digest,
            claim.token,
            stored.outcome.value,
            stored.status,
            answer if is_storable else b"",
            stored.whole and is_storable,
        )
        operation_result = await self._submit(
            location, operation, time_left_s, SETTLE_RETRY_WINDOW_S
        )
        return operation_result.verdict is records.Verdict.SETTLED

    async def serve(self, payload: bytes) -> bytes:
        """Commits an operation that another instance forwarded.

        Raises:
            msgspec.DecodeError: The payload is not a `ForwardedOperation`.
        """
        forwarded = msgspec.msgpack.decode(payload, type=ForwardedOperation)
        operation_result = await self._committer.submit(
            forwarded.record,
            forwarded.operation,
            forwarded.wait_s,
            forwarded.keep_s,
        )
        return msgspec.msgpack.encode(operation_result)

    async def _submit(
        self,
        location: keys.Location,
        operation: records.AnyOperation,
        wait_s: float,
        keep_s: float,
    ) -> records.OperationResult:
        """Has an operation committed by the owner, else here."""
        started_at = anyio.current_time()
        operation_result = await self._forward(location, operation, wait_s)
        if operation_result.verdict is not records.Verdict.UNAVAILABLE:
            return operation_result
        remaining_s = wait_s - (anyio.current_time() - started_at)
        return await self._committer.submit(
            location.record, operation, remaining_s, keep_s
        )

    async def _forward(
        self,
        location: keys.Location,
        operation: records.AnyOperation,
        wait_s: float,
    ) -> records.OperationResult:
        """Asks the shard's owner; `UNAVAILABLE` leaves it to us."""
        owner = self._routes.owner(location.shard) if self._routes else None
        if self._routes is None or owner is None or wait_s < MIN_FORWARD_WAIT_S:
            return records.UNAVAILABLE
        skipped_until = self._owner_skipped_until.get(
            location.shard, float("-inf")
        )
        if anyio.current_time() < skipped_until:
            return records.UNAVAILABLE
        self.counters.forwarded += 1
        owner_wait_s = min(FORWARD_TIMEOUT_S, wait_s / 2)
        payload = msgspec.msgpack.encode(
            ForwardedOperation(location.record, operation, owner_wait_s, 0.0)
        )
        operation_result = _decode_result(
            await self._routes.forward(owner, payload, owner_wait_s)
        )
        if operation_result.verdict is records.Verdict.UNAVAILABLE:
            self.counters.fallbacks += 1
            if owner_wait_s >= FORWARD_TIMEOUT_S:
                self._owner_skipped_until[location.shard] = (
                    anyio.current_time() + OWNER_SKIP_S
                )
        return operation_result

    def _free_claim(
        self, location: keys.Location, operation: records.ClaimOperation
    ) -> None:
        """Frees a claim whose call has ended, if it was or will be granted.

        Only the call's own instance does this, once it is sure that it sends
        nothing to a target.
        """
        self.counters.freed += 1
        self._committer.submit_later(
            location.record,
            records.SettleOperation(
                location.digest, operation.token, outcomes.Outcome.NOT_RUN.value
            ),
            SETTLE_RETRY_WINDOW_S,
        )

    def _resolve(
        self, operation_result: records.OperationResult
    ) -> result.Result[
        claiming.Claim | claiming.StoredOutcome, outcomes.Refusal
    ]:
        """Returns what a call gets that was not granted the claim."""
        if operation_result.verdict is records.Verdict.STORED:
            self.counters.replayed += 1
            return result.Ok(_to_stored_outcome(operation_result))
        if operation_result.verdict is records.Verdict.HELD:
            entry = operation_result.entry
            latest_expired_deadline = self._wall.now() - self._policy.skew_s
            if entry is not None and entry.deadline < latest_expired_deadline:
                self.counters.replayed += 1
                return result.Ok(
                    claiming.StoredOutcome(outcomes.Outcome.UNKNOWN)
                )
        self.counters.refused += 1
        return result.Err(_REFUSAL_BY_VERDICT[operation_result.verdict])

    def _location_of(self, claim: claiming.Claim) -> keys.Location:
        """Finds the record of a claim that is held, however old its key."""
        issued_at = keys.time_of_key(claim.key)
        location_result = keys.locate(
            self._policy, claim.account, claim.key, issued_at or 0.0
        )
        return location_result.unwrap()


_REFUSAL_BY_VERDICT = {
    records.Verdict.HELD: outcomes.Refusal(
        outcomes.Outcome.UNKNOWN,
        outcomes.RefusalReason.IN_PROGRESS,
        "Another call with this idempotency key is running.",
        IN_PROGRESS_RETRY_AFTER_S,
    ),
    records.Verdict.REUSED: outcomes.refuse(
        outcomes.RefusalReason.KEY_REUSED,
        "The idempotency key was used with another body.",
    ),
    records.Verdict.FULL: outcomes.refuse(
        outcomes.RefusalReason.OVER_LIMIT,
        "Too many idempotency keys carry this time; take a new one.",
        IN_PROGRESS_RETRY_AFTER_S,
    ),
    records.Verdict.UNAVAILABLE: outcomes.refuse(
        outcomes.RefusalReason.STORE_UNAVAILABLE,
        "The claim could not be written in time. This call did not run; an"
        " earlier one with the key may have.",
        STORE_RETRY_AFTER_S,
    ),
}


def _to_stored_outcome(
    operation_result: records.OperationResult,
) -> claiming.StoredOutcome:
    """Returns the stored outcome that a result rests on."""
    entry = operation_result.entry
    outcome = operation_result.outcome
    if entry is None or outcome is None:
        return claiming.StoredOutcome(outcomes.Outcome.UNKNOWN)
    return claiming.StoredOutcome(
        outcome, entry.status, entry.answer, entry.whole
    )


def _decode_result(answer: bytes | None) -> records.OperationResult:
    """Reads an owner's answer."""
    if answer is None:
        return records.UNAVAILABLE
    try:
        return msgspec.msgpack.decode(answer, type=records.OperationResult)
    except msgspec.DecodeError:
        return records.UNAVAILABLE
