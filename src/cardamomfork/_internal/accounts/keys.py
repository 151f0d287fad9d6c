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
MAX_VERIFIED_KEYS = 16_384
MAX_WRONG_KEYS = 1024
MAX_BUCKETS = 1024
RETRY_AFTER_S = 1.0
_FAST_HASH_BYTES = 16


@attrs.frozen
class DigestBudget:
    """Rates of scrypt digests, in digests a second and digests at once.

    Attributes:
        digests_per_s: For all keys together.
        burst: At once for all keys together.
        digests_per_key_s: For one key id.
        key_burst: At once for one key id.
    """

    digests_per_s: float = 30.0
    burst: float = 60.0
    digests_per_key_s: float = 1.0
    key_burst: float = 5.0


@attrs.define
class _Bucket:
    """A token bucket."""

    tokens: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Adds the tokens of the time gone by; a clock set back adds none."""
        added = rate * max(now - self.refilled_at, 0.0)
        self.tokens = min(self.tokens + added, burst)
        self.refilled_at = now


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


_OwnedKey = tuple[identifiers.AccountName, "configuration.HashedKey"]


class KeyVerifier:
    """Tells whose key is shown; bounded in memory and digests."""

    def __init__(
        self,
        budget: DigestBudget = DigestBudget(),
        *,
        max_keys: int = MAX_KEYS,
        max_verified: int = MAX_VERIFIED_KEYS,
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
        self._process_secret = secrets.token_bytes(32)
        self._owned_keys: dict[str, tuple[_OwnedKey, ...]] = {}
        self._key_ids_by_owner: dict[
            identifiers.AccountName, tuple[str, ...]
        ] = {}
        self._verified_hashes: dict[str, bytes] = {}
        self._wrong_hashes: dict[bytes, None] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._shared_bucket = _Bucket(budget.burst, 0.0)
        self.counters = VerifierCounters()

    @property
    def sizes(self) -> dict[str, tuple[int, int]]:
        """Size and bound of each table, by name."""
        return {
            "keys": (len(self._owned_keys), self._max_keys),
            "verified": (len(self._verified_hashes), self._max_verified),
            "wrong": (len(self._wrong_hashes), MAX_WRONG_KEYS),
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
        for key_id in self._key_ids_by_owner.pop(owner, ()):
            self._drop_key(owner, key_id)
        key_ids = []
        for key in keys:
            has_capacity = len(self._owned_keys) < self._max_keys
            if not has_capacity and key.key_id not in self._owned_keys:
                continue
            owned_keys = (*self._owned_keys.get(key.key_id, ()), (owner, key))
            # Every instance must prefer the same owner of a doubled key id.
            ordered = sorted(owned_keys, key=lambda owned_key: owned_key[0])
            self._owned_keys[key.key_id] = tuple(ordered)
            self._verified_hashes.pop(key.key_id, None)
            key_ids.append(key.key_id)
        if key_ids:
            self._key_ids_by_owner[owner] = tuple(key_ids)
        # A secret that was wrong may be right under the new keys.
        self._wrong_hashes.clear()

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
        parts = key_hashes.split_key(bearer)
        owned_keys = self._owned_keys.get(parts[0]) if parts else None
        if parts is None or owned_keys is None:
            return self._refuse()
        owner, hashed = owned_keys[0]
        if hashed.not_after is not None and now_wall > hashed.not_after:
            return self._refuse()
        key_id, secret = parts
        fast_hash = self._fast_hash(bearer)
        verified_hash = self._verified_hashes.get(key_id)
        if verified_hash is not None and hmac.compare_digest(
            verified_hash, fast_hash
        ):
            self.counters.fast += 1
            self._record_verified(key_id, fast_hash)
            return result.Ok(owner)
        if fast_hash in self._wrong_hashes:
            return self._refuse()
        if not self._spend_digest(key_id, now_wall):
            return self._refuse_over_budget()
        self.counters.digests += 1
        if not key_hashes.matches(secret, hashed):
            self._record_wrong(fast_hash)
            return self._refuse()
        self._record_verified(key_id, fast_hash)
        return result.Ok(owner)

    def _drop_key(self, owner: identifiers.AccountName, key_id: str) -> None:
        """Forgets one key of an owner."""
        remaining = tuple(
            owned_key
            for owned_key in self._owned_keys[key_id]
            if owned_key[0] != owner
        )
        if remaining:
            self._owned_keys[key_id] = remaining
        else:
            del self._owned_keys[key_id]
        self._verified_hashes.pop(key_id, None)

    def _fast_hash(self, bearer: str) -> bytes:
        """Returns the fast hash of a key, good within this process."""
        return hashlib.blake2b(
            bearer.encode(),
            key=self._process_secret,
            digest_size=_FAST_HASH_BYTES,
        ).digest()

    def _record_verified(self, key_id: str, fast_hash: bytes) -> None:
        """Puts a verified key last in the order of eviction."""
        self._verified_hashes.pop(key_id, None)
        self._verified_hashes[key_id] = fast_hash
        if len(self._verified_hashes) > self._max_verified:
            del self._verified_hashes[next(iter(self._verified_hashes))]
        exceptions.check_invariant(
            len(self._verified_hashes) <= self._max_verified,
            "verified keys stay within their bound",
            len(self._verified_hashes),
        )

    def _record_wrong(self, fast_hash: bytes) -> None:
        """Remembers a wrong key; the oldest makes room."""
        self._wrong_hashes[fast_hash] = None
        if len(self._wrong_hashes) > MAX_WRONG_KEYS:
            del self._wrong_hashes[next(iter(self._wrong_hashes))]

    def _spend_digest(self, key_id: str, now: float) -> bool:
        """Takes one digest from the rates, or returns False."""
        budget = self._budget
        bucket = self._buckets.pop(key_id, None)
        bucket = bucket or _Bucket(budget.key_burst, now)
        self._buckets[key_id] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        bucket.refill(budget.digests_per_key_s, budget.key_burst, now)
        self._shared_bucket.refill(budget.digests_per_s, budget.burst, now)
        if bucket.tokens < 1.0 or self._shared_bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        self._shared_bucket.tokens -= 1.0
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

    def _refuse_over_budget(self) -> result.Err[outcomes.Refusal]:
        """Refuses a key that can't be checked now."""
        self.counters.over_budget += 1
        return result.Err(
            outcomes.refuse(
                outcomes.RefusalReason.OVER_LIMIT,
                "Too many keys are being checked.",
                RETRY_AFTER_S,
            )
        )
