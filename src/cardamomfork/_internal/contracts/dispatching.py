"""Queueing and routing as the request service drives them.

A dispatcher decides and does nothing else: the service tells it what happened
and asks what to start. All times are monotonic seconds, passed in.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    import result

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import outcomes
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.models import targets


@attrs.frozen
class PromptPart:
    """A first part of a long prompt, computed on another engine.

    Attributes:
        target_id: Engine that computes the part and exports its KV cache.
        prompt_tokens: Tokens of the prompt up to the end of the part.
    """

    target_id: identifiers.TargetId
    prompt_tokens: int


@attrs.frozen
class Assignment:
    """A request that starts now.

    Attributes:
        request_id: The request.
        target_id: The target that answers it.
        expected_first_token_s: Predicted time to first token from now.
        hops: Engines that compute parts first; empty for all but prompts
            that exceed one engine's memory.
    """

    request_id: identifiers.RequestId
    target_id: identifiers.TargetId
    expected_first_token_s: float
    hops: tuple[PromptPart, ...] = ()


@attrs.frozen
class Expiry:
    """A queued request that ends now without having run."""

    request_id: identifiers.RequestId
    refusal: outcomes.Refusal


class Dispatcher(Protocol):
    """Decides when and where requests run."""

    def apply_service(self, service: configuration.Service) -> None:
        """Takes a service's current configuration, its targets included."""
        ...

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service; what is queued for it expires."""
        ...

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
        ...

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request, or refuses one that cannot end in time.

        Args:
            request: The request.
            now: Current time.
            avoid: Targets that it must not go to (again).
        """
        ...

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Takes a queued request back."""
        ...

    def poll(self, now: float) -> tuple[Sequence[Assignment], Sequence[Expiry]]:
        """Returns what starts and what expires now."""
        ...

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll again if nothing happens before."""
        ...

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Notes that an assigned request gave its first token."""
        ...

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,
        generated_tokens: int,
        fault: targets.TargetFault | None = None,
    ) -> None:
        """Notes that an assigned request left its target."""
        ...

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Takes a (late) load report."""
        ...

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Takes a (late) cache event; False asks for a resync."""
        ...
