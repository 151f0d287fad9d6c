"""Idempotency keys that carry their time, and where their claims are kept.

A claim is kept in the record of the time that its key carries, so a repeat
finds it there however late it comes, and a record past the window can go.
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
    """How long claims are kept and how they are grouped.

    Attributes:
        window_s: Age up to which a key is accepted, in seconds.
        skew_s: Most that two clocks of callers and instances may differ.
        bucket_s: Seconds of key time that one record holds.
        shards: Records a bucket.
    """

    window_s: float = 3600.0
    skew_s: float = 30.0
    bucket_s: float = 2.0
    shards: int = 4

    @property
    def retention_s(self) -> float:
        """Seconds for which a record must outlive its creation.

        A key may be ahead of the clock that creates its record by the skew,
        and the clock that looks last may be behind by the skew.
        """
        return self.window_s + 2.0 * self.skew_s + self.bucket_s


@attrs.frozen
class Location:
    """Where a key's claim is kept.

    Attributes:
        record: Store key of the record.
        shard: Which shard; its owner writes the record.
        digest: Hash of account and key (16 bytes).
    """

    record: str
    shard: int
    digest: bytes = attrs.field(repr=False)


class AdvancingWallClock:
    """Wall time that never goes back, whatever is done to the wall's clock.

    A clock set back would make an expired key look fresh.
    """

    def __init__(self, clock: clock_contract.Clock) -> None:
        """Starts at the wall's time."""
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
    """Returns the Unix time in seconds that a key carries, or None."""
    match = _TIMESTAMPED_KEY.fullmatch(key)
    if match is not None:
        return float(match[1])
    return identifiers.time_of_id(key)


def locate(
    policy: ClaimPolicy,
    account: identifiers.AccountName,
    key: str,
    now: float,
) -> result.Result[Location, outcomes.Refusal]:
    """Finds a key's record, or refuses a key that none is kept for.

    Args:
        policy: How claims are kept.
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
    """Makes a refusal."""
    return result.Err(outcomes.refuse(reason, detail))
