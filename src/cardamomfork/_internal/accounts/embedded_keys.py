"""Key of the account in embedded mode, which is meant for trials."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import result

if TYPE_CHECKING:
    from cardamomfork._internal.accounts import keys
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import outcomes


class EmbeddedKeys:
    """Checks one fixed key before the keys of configured accounts."""

    def __init__(
        self,
        account: identifiers.AccountName,
        key: str,
        verifier: keys.KeyVerifier,
    ) -> None:
        """Initializes the verifier.

        Args:
            account: Owner of the fixed key.
            key: The fixed key.
            verifier: Checks all other keys.
        """
        self._account = account
        self._verifier = verifier
        self._key = key.encode()

    def verify(
        self,
        bearer: str,
        now_wall: float,
    ) -> result.Result[identifiers.AccountName, outcomes.Refusal]:
        """Returns the owner of a key, or the refusal."""
        if hmac.compare_digest(bearer.encode(errors="replace"), self._key):
            return result.Ok(self._account)
        return self._verifier.verify(bearer, now_wall)
