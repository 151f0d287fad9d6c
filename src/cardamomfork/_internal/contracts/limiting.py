"""Client accounts' limits as the request service asks for them."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import result

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import outcomes


@attrs.frozen
class Grant:
    """Permission for one request; give it back once the request has ended."""

    account: identifiers.AccountName
    prompt_tokens: int


class Limiter(Protocol):
    """Fleet-wide limits, held here as this instance's shares."""

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Takes an account's current limits."""
        ...

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Forgets an account."""
        ...

    def admit(
        self, account: identifiers.AccountName, prompt_tokens: int, now: float
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Takes one request's share, or refuses it with a retry time."""
        ...

    def release(self, grant: Grant, now: float) -> None:
        """Gives back the concurrency that a grant holds."""
        ...
