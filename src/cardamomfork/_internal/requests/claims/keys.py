"""Idempotency keys with a timestamp, and the records that hold their claims.

The record of a claim is derived from the timestamp in the key. A repeat thus
finds the claim regardless of when it arrives, and a record can be deleted once
the acceptance window of its keys is over.
"""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract

MAX_KEY_LENGTH = 128
_DIGEST_BYTES = 16
_TIMESTAMPED_KEY = re.compile(r"(\d{10})-[\x21-\x7e]+")
_KEY_FORMATS = "a UUIDv7, or the Unix time in seconds, a hyphen and a name"


@attrs.frozen
class ClaimPolicy:
    """Retention of claims and their distribution over records.

    Attributes:
        window_s: Maximum age, in seconds, of an accepted key.
        skew_s: Maximum difference, in seconds, between any two clocks of
            callers and instances.
        bucket_s: Range of key timestamps, in seconds, that share a bucket.
        shards: Number of records in a bucket.
    """

    window_s: float = 3600.0
    skew_s: float = 30.0
    bucket_s: float = 2.0
    shards: int = 4

    @property
    def retention_s(self) -> float:
        """Minimum lifetime of a record, in seconds.

        A key may be ahead by `skew_s` of the clock of the instance that creates
        its record, and the last instance that reads the record may be behind by
        `skew_s`.
        """
        return self.window_s + 2.0 * self.skew_s + self.bucket_s


@attrs.frozen
class Location:
    """Record that holds the claim on a key.

    Attributes:
        record: Store key of the record.
        shard: Number of the shard, whose owner writes the record.
        digest: Hash of account and key (16 bytes).
    """

    record: str
    shard: int
    digest: bytes = attrs.field(repr=False)


class AdvancingWallClock:
    """Wall clock that never goes back, even if the system clock is set back.

    Otherwise an expired key would be accepted again.
    """

    def __init__(self, clock: clock_contract.Clock) -> None:
        """Initializes the clock with the current wall time."""
        self._clock = clock
        self._wall_offset_s = clock.wall() - clock.monotonic()

    def now(self) -> float:
        """Returns Unix time in seconds."""
        monotonic = self._clock.monotonic()
        self._wall_offset_s = max(
            self._wall_offset_s, self._clock.wall() - monotonic
        )
        return monotonic + self._wall_offset_s


def time_of_key(key: str) -> float | None:
    """Returns the Unix time, in seconds, in a key; None if it has none."""
    match = _TIMESTAMPED_KEY.fullmatch(key)
    if match is not None:
        return float(match[1])
    return identifiers.timestamp_of_id(key)


def locate(
    policy: ClaimPolicy,
    account: identifiers.AccountName,
    key: str,
    now: float,
) -> result.Result[Location, outcomes.Refusal]:
    """Returns the location of a key's claim, or refuses the key.

    A key is refused if its timestamp is missing, too old or in the future.

    Args:
        policy: Retention and distribution of claims.
        account: The client account.
        key: The caller's idempotency key.
        now: Unix time in seconds.
    """
    issued_at = time_of_key(key) if len(key) <= MAX_KEY_LENGTH else None
    if issued_at is None:
        return _refuse(
            outcomes.RefusalReason.INVALID,
            f"The idempotency key must be {_KEY_FORMATS}.",
        )
    if now - issued_at > policy.window_s:
        return _refuse(
            outcomes.RefusalReason.KEY_EXPIRED,
            f"The idempotency key is older than {policy.window_s:g} s. This"
            " call did not run; an earlier one with the key may have.",
        )
    if issued_at - now > policy.skew_s:
        return _refuse(
            outcomes.RefusalReason.INVALID,
            "The idempotency key carries a time that is still to come.",
        )
    digest = hashlib.blake2b(
        f"{account}\0{key}".encode(), digest_size=_DIGEST_BYTES
    ).digest()
    bucket = int(issued_at // policy.bucket_s)
    shard = int.from_bytes(digest[:4], "big") % policy.shards
    return result.Ok(Location(f"claims/{bucket}/{shard}", shard, digest))


def _refuse(
    reason: outcomes.RefusalReason, detail: str
) -> result.Result[Location, outcomes.Refusal]:
    """Returns a refusal as an error."""
    return result.Err(outcomes.refuse(reason, detail))
