"""Claim ledger over the platform's store.

An operation is forwarded to the owner of its shard, which commits the
operations of the whole fleet. If there is no other owner, or it does not
answer, the operation is committed locally. Ownership only reduces the number
of writes; the store is the only authority on claims.
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

from cardamomfork._internal import decoding
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
"""With less time left, an operation is committed without the owner."""
OWNER_SKIP_S = 3.0
"""Time for which a shard's owner is skipped after it did not answer."""
SETTLE_RETRY_WINDOW_S = 300.0
"""Time for which storing an outcome is retried during a store outage."""
IN_PROGRESS_RETRY_AFTER_S = 1.0
STORE_RETRY_AFTER_S = 2.0


class ClaimRoutes(Protocol):
    """Finds and calls the owners of shards."""

    def owner(self, shard: int) -> identifiers.InstanceId | None:
        """Returns the owner of a shard; None if it is this instance."""
        ...

    async def forward(
        self, owner: identifiers.InstanceId, payload: bytes, timeout_s: float
    ) -> bytes | None:
        """Calls `StoreClaimLedger.serve` on the owner.

        Returns its answer, or None if there was no answer for any reason.
        """
        ...


class ForwardedOperation(msgspec.Struct, array_like=True, frozen=True):
    """Payload that forwards an operation to the owner of its shard."""

    record: str
    operation: records.AnyOperation
    wait_s: float
    keep_s: float


@attrs.define
class LedgerCounters:
    """Counts of claim results and of forwarded operations.

    Attributes:
        granted: Claims granted.
        replayed: Calls answered with the outcome of an earlier run.
        refused: Calls refused.
        forwarded: Operations sent to shard owners.
        fallbacks: Operations committed locally because the owner did not
            answer.
        freed: Claims freed because their call could not confirm them.
    """

    granted: int = 0
    replayed: int = 0
    refused: int = 0
    forwarded: int = 0
    fallbacks: int = 0
    freed: int = 0


_decode_forwarded = decoding.msgpack_decoder(
    "forwarded operation", ForwardedOperation
)
_decode_operation_result = decoding.msgpack_decoder(
    "result of an operation", records.OperationResult
)


class StoreClaimLedger:
    """Implements `ClaimLedger` over the platform's store."""

    def __init__(
        self,
        group_committer: committer.GroupCommitter,
        clock: clock_contract.Clock,
        policy: keys.ClaimPolicy = keys.ClaimPolicy(),  # noqa: B008
        routes: ClaimRoutes | None = None,
        new_token: Callable[[], str] = lambda: secrets.token_hex(8),
    ) -> None:
        """Initializes the ledger.

        Args:
            group_committer: Writes the records; must be created with the
                policy's retention.
            clock: Clock for key ages and deadlines.
            policy: Retention and distribution of claims; must be the same on
                every instance.
            routes: Calls the owners of shards; None to commit everything
                locally.
            new_token: Returns a token that is unique to one claim attempt.
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
        """Claims a key; see `ClaimLedger.claim`.

        If the result is unknown, because of a fault, a timeout or a
        cancellation, the claim is freed in the background, since it may have
        been granted.
        """
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
        """Stores the outcome of a claimed run; see `ClaimLedger.settle`.

        After False, storing it is retried for `SETTLE_RETRY_WINDOW_S`.
        """
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

        Returns:
            The result; empty if the payload can't be decoded.
        """
        decoded = _decode_forwarded(payload)
        if isinstance(decoded, result.Err):
            return b""
        forwarded = decoded.ok_value
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
        """Commits an operation through the shard's owner, or else locally."""
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
        """Forwards an operation; `UNAVAILABLE` means to commit it locally."""
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
        """Frees the claim of a call that has ended without sending anything.

        The claim may have been granted, or may yet be. Only the instance that
        serves the call may free it, since only that instance knows that it
        sends nothing to a target.
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
        """Returns the answer to a call that was not granted the claim.

        A claim that is still held after its deadline plus the clock skew is
        treated as abandoned by its holder: its outcome is unknown.
        """
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
        """Returns the location of a granted claim, even if its key expired."""
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
    """Returns the outcome stored in the entry of a result."""
    entry = operation_result.entry
    outcome = operation_result.outcome
    if entry is None or outcome is None:
        return claiming.StoredOutcome(outcomes.Outcome.UNKNOWN)
    return claiming.StoredOutcome(
        outcome, entry.status, entry.answer, entry.whole
    )


def _decode_result(answer: bytes | None) -> records.OperationResult:
    """Decodes an owner's answer; `UNAVAILABLE` if that is impossible."""
    if answer is None:
        return records.UNAVAILABLE
    return _decode_operation_result(answer).unwrap_or(records.UNAVAILABLE)
