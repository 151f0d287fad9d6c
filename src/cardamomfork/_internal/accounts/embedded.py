"""Keys and limits of the embedded account, for trying out."""

from __future__ import annotations

import collections
import hmac
from typing import TYPE_CHECKING

import result

from cardamomfork._internal.contracts import limiting
from cardamomfork._internal.models import identifiers
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from cardamomfork._internal.accounts import keys
    from cardamomfork._internal.models import configuration


class EmbeddedKeys:
    """Knows one key of one account, before the configured ones."""

    def __init__(
        self,
        account: identifiers.AccountName,
        key: str,
        configured: keys.KeyVerifier,
    ) -> None:
        """Takes the account, its key and what checks all other keys."""
        self._account = account
        self._configured = configured
        self._key = key.encode()

    def verify(
        self,
        bearer: str,
        now_wall: float,
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Tells whose key it is."""
        if hmac.compare_digest(bearer.encode(errors="replace"), self._key):
            return result.Ok(self._account)
        return self._configured.verify(bearer, now_wall)


class LocalLimiter:
    """Limits the requests that run at once in this process."""

    def __init__(self) -> None:
        """Starts without accounts."""
        self._most: dict[identifiers.AccountName, int] = {}
        self._running: collections.Counter[identifiers.AccountName] = (
            collections.Counter()
        )

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes an account's current limits."""
        self._most[account.name] = account.max_concurrent

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account."""
        self._most.pop(name, None)

    def admit(
        self,
        account: identifiers.AccountName,
        prompt_tokens: int,
        now: float,  # noqa: ARG002
    ) -> result.Result[limiting.Grant, outcomes.Refusal]:
        """Takes one request's share, or refuses it with a retry time."""
        if self._running[account] >= self._most.get(account, 0):
            return result.Err(
                outcomes.refuse(
                    outcomes.RefusalReason.OVER_LIMIT,
                    "Too many requests of this account run at once.",
                    1.0,
                )
            )
        self._running[account] += 1
        return result.Ok(limiting.Grant(account, prompt_tokens))

    def release(self, grant: limiting.Grant, now: float) -> None:  # noqa: ARG002
        """Gives back the concurrency that a grant holds."""
        self._running[grant.account] -= 1
