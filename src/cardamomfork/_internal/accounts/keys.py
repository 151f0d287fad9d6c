"""Checks the keys that callers and operators show.

A first check of a key costs a scrypt digest. After it, a fast keyed hash of
the secret is remembered, so that further checks take microseconds. Wrong keys
cannot make the process spend more than a set rate of scrypt digests.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.accounts import key_hashes
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomfork._internal.models import configuration

MAX_KEYS = 65_536
MAX_VERIFIED = 16_384
MAX_WRONG = 1024
MAX_BUCKETS = 1024
RETRY_AFTER_S = 1.0
_TAG_BYTES = 16


@attrs.frozen
class DigestBudget:
    """Rates of scrypt digests, in digests a second and digests at once.

    Attributes:
        per_s: For all keys together.
        burst: At once for all keys together.
        per_key_s: For one key id.
        key_burst: At once for one key id.
    """

    per_s: float = 30.0
    burst: float = 60.0
    per_key_s: float = 1.0
    key_burst: float = 5.0


@attrs.define
class _Bucket:
    """A token bucket."""

    tokens: float
    filled_at: float

    def fill(self, rate: float, burst: float, now: float) -> None:
        """Adds the tokens of the time gone by; a clock set back adds none."""
        added = rate * max(now - self.filled_at, 0.0)
        self.tokens = min(self.tokens + added, burst)
        self.filled_at = now


@attrs.define
class VerifierCounters:
    """What the checks gave.

    Attributes:
        fast: Accepted or refused without a digest.
        digests: Digests made.
        refused: Keys refused as wrong, unknown or expired.
        over_budget: Checks put off because digests were over their rate.
    """

    fast: int = 0
    digests: int = 0
    refused: int = 0
    over_budget: int = 0


_Record = tuple[identifiers.AccountName, "configuration.HashedKey"]


class KeyVerifier:
    """Tells whose key is shown; bounded in memory and digests."""

    def __init__(
        self,
        budget: DigestBudget = DigestBudget(),
        *,
        max_keys: int = MAX_KEYS,
        max_verified: int = MAX_VERIFIED,
    ) -> None:
        """Starts without keys.

        Args:
            budget: Rates of digests.
            max_keys: Most key ids held; further ones are refused.
            max_verified: Most keys remembered as verified.
        """
        self._budget = budget
        self._max_keys = max_keys
        self._max_verified = max_verified
        self._process_key = secrets.token_bytes(32)
        self._records: dict[str, tuple[_Record, ...]] = {}
        self._owned: dict[identifiers.AccountName, tuple[str, ...]] = {}
        self._verified: dict[str, bytes] = {}
        self._wrong: dict[bytes, None] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._all = _Bucket(budget.burst, 0.0)
        self.counters = VerifierCounters()

    @property
    def sizes(self) -> dict[str, tuple[int, int]]:
        """Size and bound of each table, by name."""
        return {
            "keys": (len(self._records), self._max_keys),
            "verified": (len(self._verified), self._max_verified),
            "wrong": (len(self._wrong), MAX_WRONG),
            "buckets": (len(self._buckets), MAX_BUCKETS),
        }

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes an account's current keys in place of its earlier ones."""
        self.apply_keys(account.name, account.keys)

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account and its keys."""
        self.apply_keys(name, ())

    def apply_keys(
        self,
        owner: identifiers.AccountName,
        keys: Iterable[configuration.HashedKey],
    ) -> None:
        """Takes an owner's current keys in place of its earlier ones."""
        for key_id in self._owned.pop(owner, ()):
            self._drop(owner, key_id)
        held = []
        for key in keys:
            room = len(self._records) < self._max_keys
            if not room and key.key_id not in self._records:
                continue
            records = (*self._records.get(key.key_id, ()), (owner, key))
            # Every instance must prefer the same owner of a doubled key id.
            ordered = sorted(records, key=lambda record: record[0])
            self._records[key.key_id] = tuple(ordered)
            self._verified.pop(key.key_id, None)
            held.append(key.key_id)
        if held:
            self._owned[owner] = tuple(held)
        # A secret that was wrong may be right under the new keys.
        self._wrong.clear()

    def verify(
        self, bearer: str, now_wall: float
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Tells whose key it is.

        Args:
            bearer: The key as shown, `KEY_ID.SECRET`.
            now_wall: Unix time in seconds.

        Returns:
            The owner; or `UNAUTHENTICATED`, or `OVER_LIMIT` while digests are
            over their rate.
        """
        parts = key_hashes.split(bearer)
        records = self._records.get(parts[0]) if parts else None
        if parts is None or records is None:
            return self._refuse()
        owner, hashed = records[0]
        if hashed.not_after is not None and now_wall > hashed.not_after:
            return self._refuse()
        key_id, secret = parts
        tag = self._tag(bearer)
        known = self._verified.get(key_id)
        if known is not None and hmac.compare_digest(known, tag):
            self.counters.fast += 1
            self._remember(key_id, tag)
            return result.Ok(owner)
        if tag in self._wrong:
            return self._refuse()
        if not self._take_digest(key_id, now_wall):
            return self._put_off()
        self.counters.digests += 1
        if not key_hashes.matches(secret, hashed):
            self._remember_wrong(tag)
            return self._refuse()
        self._remember(key_id, tag)
        return result.Ok(owner)

    def _drop(self, owner: identifiers.AccountName, key_id: str) -> None:
        """Forgets one key of an owner."""
        left = tuple(
            record for record in self._records[key_id] if record[0] != owner
        )
        if left:
            self._records[key_id] = left
        else:
            del self._records[key_id]
        self._verified.pop(key_id, None)

    def _tag(self, bearer: str) -> bytes:
        """Returns the fast hash of a key, good within this process."""
        return hashlib.blake2b(
            bearer.encode(), key=self._process_key, digest_size=_TAG_BYTES
        ).digest()

    def _remember(self, key_id: str, tag: bytes) -> None:
        """Puts a verified key last in the order of eviction."""
        self._verified.pop(key_id, None)
        self._verified[key_id] = tag
        if len(self._verified) > self._max_verified:
            del self._verified[next(iter(self._verified))]
        exceptions.check_invariant(
            len(self._verified) <= self._max_verified,
            "verified keys stay within their bound",
            len(self._verified),
        )

    def _remember_wrong(self, tag: bytes) -> None:
        """Remembers a wrong key; the oldest makes room."""
        self._wrong[tag] = None
        if len(self._wrong) > MAX_WRONG:
            del self._wrong[next(iter(self._wrong))]

    def _take_digest(self, key_id: str, now: float) -> bool:
        """Takes one digest from the rates, or returns False."""
        budget = self._budget
        bucket = self._buckets.pop(key_id, None)
        bucket = bucket or _Bucket(budget.key_burst, now)
        self._buckets[key_id] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        bucket.fill(budget.per_key_s, budget.key_burst, now)
        self._all.fill(budget.per_s, budget.burst, now)
        if bucket.tokens < 1.0 or self._all.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        self._all.tokens -= 1.0
        return True

    def _refuse(self) -> result.Err[outcomes.Refusal]:
        """Refuses a key; the text does not tell which part is wrong."""
        self.counters.refused += 1
        return result.Err(
            outcomes.refuse(
                outcomes.RefusalReason.UNAUTHENTICATED,
                "The key is unknown, wrong or expired.",
            )
        )

    def _put_off(self) -> result.Err[outcomes.Refusal]:
        """Refuses a key that can't be checked now."""
        self.counters.over_budget += 1
        return result.Err(
            outcomes.refuse(
                outcomes.RefusalReason.OVER_LIMIT,
                "Too many keys are being checked.",
                RETRY_AFTER_S,
            )
        )
