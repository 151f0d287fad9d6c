"""At-most-once execution: a repeated booking runs only once."""

from __future__ import annotations

import random

import anyio
import result

from cardamomfork.coordination import claims
from cardamomfork.coordination import clocks
from cardamomfork.coordination import stores

ACCOUNT = "bench"
BODY_HASH = b"hash of the body"
TIMEOUT_S = 5.0


async def submit_booking(ledger: claims.StoreClaimLedger, key: str) -> None:
    """Submits a booking; a repeated key gets the stored answer."""
    answer = await ledger.claim(ACCOUNT, key, BODY_HASH, TIMEOUT_S)
    if isinstance(answer, result.Err):
        print("refused:", answer.err_value.reason.value)
        return
    if isinstance(answer.ok_value, claims.StoredOutcome):
        print("already done:", answer.ok_value.answer.decode())
        return
    print("booked now")
    stored_outcome = claims.StoredOutcome(
        claims.Outcome.DONE, 200, b"pickup 17", whole=True
    )
    await ledger.settle(answer.ok_value, stored_outcome, TIMEOUT_S)


async def main() -> None:
    """Uses one key three times, the last time with a different body."""
    clock = clocks.LoopClock()
    session = stores.StoreSession(stores.MemoryStore(clock))
    policy = claims.ClaimPolicy()
    committer = claims.GroupCommitter(
        session, clock, random.Random(1), policy.retention_s
    )
    ledger = claims.StoreClaimLedger(committer, clock, policy)
    key = claims.new_key()
    async with anyio.create_task_group() as group:
        await group.start(committer.run)
        await submit_booking(ledger, key)
        await submit_booking(ledger, key)
        reused = await ledger.claim(ACCOUNT, key, b"other body", TIMEOUT_S)
        print("another body:", reused.unwrap_err().reason.value)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
