"""The key of the embedded account, for trying out."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import result

if TYPE_CHECKING:
    from cardamomfork._internal.accounts import keys
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import outcomes


class EmbeddedKeys:
    """Knows one key of one account, before the configured ones."""

    def __init__(
        self,
        account: identifiers.AccountName,
        key: str,
        verifier: keys.KeyVerifier,
    ) -> None:
        """Takes the account, its key and what checks all other keys."""
        self._account = account
        self._verifier = verifier
        self._key = key.encode()

    def verify(
        self,
        bearer: str,
        now_wall: float,
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Tells whose key it is."""
        if hmac.compare_digest(bearer.encode(errors="replace"), self._key):
            return result.Ok(self._account)
        return self._verifier.verify(bearer, now_wall)
