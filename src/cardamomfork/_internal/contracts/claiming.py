"""At-most-once execution: claims on idempotency keys."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import outcomes

MAX_STORED_ANSWER_BYTES = 4096


@attrs.frozen
class StoredOutcome:
    """Stored result of a claimed request.

    Attributes:
        outcome: What is known about its run.
        status: HTTP status of the answer, or 0.
        answer: Body of the answer if it is at most `MAX_STORED_ANSWER_BYTES`
            long, else empty.
        whole: Whether `answer` is the whole body.
    """

    outcome: outcomes.Outcome
    status: int = 0
    answer: bytes = attrs.field(default=b"", repr=False)
    whole: bool = False


@attrs.frozen
class Claim:
    """The exclusive right to run a request, held by one call at a time.

    Attributes:
        account: The client account.
        key: The caller's idempotency key.
        token: Unique token of the holder.
    """

    account: identifiers.AccountName
    key: str = attrs.field(repr=False)
    token: str


class ClaimLedger(Protocol):
    """Grants and settles claims, which are kept in the platform's store."""

    async def claim(
        self,
        account: identifiers.AccountName,
        key: str,
        fingerprint: bytes,
        time_left_s: float,
    ) -> result.Result[Claim | StoredOutcome, outcomes.Refusal]:
        """Claims a key; must be called before anything is sent to a target.

        Args:
            account: The client account.
            key: The caller's idempotency key.
            fingerprint: Hash of the request body.
            time_left_s: Time until the request's deadline, in seconds.

        Returns:
            The claim, or the stored outcome of an earlier run with the same
            body, or a refusal. The refusal's outcome is `not_run`. While
            another call holds the claim, it is `unknown`, with the reason
            `in_progress`.
        """
        ...

    async def settle(
        self, claim: Claim, stored: StoredOutcome, time_left_s: float
    ) -> bool:
        """Stores the outcome of a run; `not_run` frees the key.

        A claim that is never settled has the outcome `unknown` for every later
        call, once its deadline has passed.

        Returns:
            Whether the outcome was stored in time.
        """
        ...
