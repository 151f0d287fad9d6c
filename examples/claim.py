"""A booking that must not run twice is sent twice."""

from __future__ import annotations

import random

import anyio
import result

from cardamomfork.coordination import claims
from cardamomfork.coordination import clocks
from cardamomfork.coordination import stores

ACCOUNT = "bench"
BODY_HASH = b"hash of the body"
PATIENCE_S = 5.0


async def book(ledger: claims.StoreClaimLedger, key: str) -> None:
    """Books once; a repeat gets the stored answer."""
    answer = await ledger.claim(ACCOUNT, key, BODY_HASH, PATIENCE_S)
    if isinstance(answer, result.Err):
        print("refused:", answer.err_value.reason.value)
        return
    if isinstance(answer.ok_value, claims.StoredOutcome):
        print("already done:", answer.ok_value.answer.decode())
        return
    print("booked now")
    stored = claims.StoredOutcome(
        claims.Outcome.DONE, 200, b"pickup 17", whole=True
    )
    await ledger.settle(answer.ok_value, stored, PATIENCE_S)


async def main() -> None:
    """Books with one key three times, the last with another body."""
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
        await book(ledger, key)
        await book(ledger, key)
        reused = await ledger.claim(ACCOUNT, key, b"other body", PATIENCE_S)
        print("another body:", reused.unwrap_err().reason.value)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main)
