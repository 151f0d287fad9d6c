"""At-most-once: claims on idempotency keys."""

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
    """How a claimed request ended.

    Attributes:
        outcome: What is known of its run.
        status: HTTP status of the answer, or 0.
        answer: The answer's body if it is short enough, else empty.
        whole: Whether `answer` is the whole body.
    """

    outcome: outcomes.Outcome
    status: int = 0
    answer: bytes = attrs.field(default=b"", repr=False)
    whole: bool = False


@attrs.frozen
class Claim:
    """The right to run a request once; held by one attempt at a time.

    Attributes:
        account: The client account.
        key: The caller's idempotency key.
        token: Names this holder; unique to it.
    """

    account: identifiers.AccountName
    key: str = attrs.field(repr=False)
    token: str


class ClaimLedger(Protocol):
    """Claims kept in the platform's store."""

    async def claim(
        self,
        account: identifiers.AccountName,
        key: str,
        fingerprint: bytes,
        time_left_s: float,
    ) -> result.Result[Claim | StoredOutcome, outcomes.Refusal]:
        """Claims a key before the first byte goes to a target.

        Returns the claim, the stored outcome of an earlier run with the same
        body, or a refusal (`not_run`; `in_progress` while another holds it).
        """
        ...

    async def settle(
        self, claim: Claim, stored: StoredOutcome, time_left_s: float
    ) -> bool:
        """Stores how it ended; `not_run` frees the key. False if not stored.

        An unsettled claim reads as `unknown` for every later call.
        """
        ...
