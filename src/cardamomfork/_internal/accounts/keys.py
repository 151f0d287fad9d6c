"""Verifies the keys that callers and operators present.

The first check of a key computes a scrypt digest. A fast keyed hash of the key
is then cached, so that later checks take microseconds. The rate of scrypt
digests is limited, so that a flood of wrong keys cannot overload the process.
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
    """Token-bucket limits on scrypt digests.

    Attributes:
        digests_per_s: Digests per second for all keys together.
        burst: Bucket size for all keys together, in digests.
        digests_per_key_s: Digests per second for one key id.
        key_burst: Bucket size for one key id, in digests.
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
        """Adds tokens for the elapsed time; none if the clock was set back."""
        added = rate * max(now - self.refilled_at, 0.0)
        self.tokens = min(self.tokens + added, burst)
        self.refilled_at = now


@attrs.define
class VerifierCounters:
    """Counts of the results of key checks.

    Attributes:
        fast: Keys accepted by their cached hash, without a digest.
        digests: Digests computed.
        refused: Keys refused as wrong, unknown or expired.
        over_budget: Checks refused because of the digest limits.
    """

    fast: int = 0
    digests: int = 0
    refused: int = 0
    over_budget: int = 0


_OwnedKey = tuple[identifiers.AccountName, "configuration.HashedKey"]


class KeyVerifier:
    """Finds the owner of a key with bounded memory and digest rate."""

    def __init__(
        self,
        budget: DigestBudget = DigestBudget(),
        *,
        max_keys: int = MAX_KEYS,
        max_verified: int = MAX_VERIFIED_KEYS,
    ) -> None:
        """Initializes the verifier without keys.

        Args:
            budget: Limits on scrypt digests.
            max_keys: Largest number of key ids held; keys with further ids
                are ignored.
            max_verified: Largest number of cached hashes of verified keys.
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
        """Size and bound of each table by name."""
        return {
            "keys": (len(self._owned_keys), self._max_keys),
            "verified": (len(self._verified_hashes), self._max_verified),
            "wrong": (len(self._wrong_hashes), MAX_WRONG_KEYS),
            "buckets": (len(self._buckets), MAX_BUCKETS),
        }

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Replaces an account's keys with its current ones."""
        self.apply_keys(account.name, account.keys)

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account and its keys."""
        self.apply_keys(name, ())

    def apply_keys(
        self,
        owner: identifiers.AccountName,
        keys: Iterable[configuration.HashedKey],
    ) -> None:
        """Replaces an owner's keys with its current ones."""
        for key_id in self._key_ids_by_owner.pop(owner, ()):
            self._drop_key(owner, key_id)
        key_ids = []
        for key in keys:
            has_capacity = len(self._owned_keys) < self._max_keys
            if not has_capacity and key.key_id not in self._owned_keys:
                continue
            owned_keys = (*self._owned_keys.get(key.key_id, ()), (owner, key))
            # If several owners have the same key id, every instance must
            # select the same owner.
            ordered = sorted(owned_keys, key=lambda owned_key: owned_key[0])
            self._owned_keys[key.key_id] = tuple(ordered)
            self._verified_hashes.pop(key.key_id, None)
            key_ids.append(key.key_id)
        if key_ids:
            self._key_ids_by_owner[owner] = tuple(key_ids)
        # A key that was wrong before may match one of the new keys.
        self._wrong_hashes.clear()

    def verify(
        self, bearer: str, now_wall: float
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Returns the owner of a key, or the refusal.

        Args:
            bearer: The key as presented, `KEY_ID.SECRET`.
            now_wall: Unix time in seconds.

        Returns:
            The owner; or a refusal with the reason `UNAUTHENTICATED`, or
            `OVER_LIMIT` if the check would exceed the digest limits.
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
        """Removes one key of an owner."""
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
        """Returns the fast hash of a key, keyed with a per-process secret."""
        return hashlib.blake2b(
            bearer.encode(),
            key=self._process_secret,
            digest_size=_FAST_HASH_BYTES,
        ).digest()

    def _record_verified(self, key_id: str, fast_hash: bytes) -> None:
        """Caches the hash of a verified key; evicts the least recently used."""
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
        """Caches the hash of a wrong key; evicts the oldest."""
        self._wrong_hashes[fast_hash] = None
        if len(self._wrong_hashes) > MAX_WRONG_KEYS:
            del self._wrong_hashes[next(iter(self._wrong_hashes))]

    def _spend_digest(self, key_id: str, now: float) -> bool:
        """Consumes one digest from the limits; returns False if exhausted."""
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
        """Refuses a key; the detail does not reveal which part is wrong."""
        self.counters.refused += 1
        return result.Err(
            outcomes.refuse(
                outcomes.RefusalReason.UNAUTHENTICATED,
                "The key is unknown, wrong or expired.",
            )
        )

    def _refuse_over_budget(self) -> result.Err[outcomes.Refusal]:
        """Refuses a key whose check would exceed the digest limits."""
        self.counters.over_budget += 1
        return result.Err(
            outcomes.refuse(
                outcomes.RefusalReason.OVER_LIMIT,
                "Too many keys are being checked.",
                RETRY_AFTER_S,
            )
        )
