"""Interface for enforcing the limits of client accounts."""

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
    """Permission for one request; must be released when the request ends."""

    account: identifiers.AccountName
    prompt_tokens: int


class Limiter(Protocol):
    """Enforces this instance's share of the fleet-wide limits."""

    def apply_account(self, account: configuration.ClientAccount) -> None:
        """Adds an account or updates its limits."""
        ...

    def remove_account(self, name: identifiers.AccountName) -> None:
        """Removes an account."""
        ...

    def admit(
        self, account: identifiers.AccountName, prompt_tokens: int, now: float
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Admits a request, or refuses it with a time after which to retry."""
        ...

    def release(self, grant: Grant, now: float) -> None:
        """Releases the concurrency held by a grant."""
        ...
