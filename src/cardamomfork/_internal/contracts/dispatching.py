"""Interface of the dispatcher, which queues and routes requests.

A dispatcher only makes decisions and performs no I/O: its user reports events
to it and polls it for the requests to start. All times are monotonic time in
seconds and are passed in.
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
    """An earlier part of a long prompt, computed on another engine.

    Attributes:
        target_id: Engine that computes the part and exports its KV cache.
        prompt_tokens: Number of prompt tokens up to the end of the part.
    """

    target_id: identifiers.TargetId
    prompt_tokens: int


@attrs.frozen
class Assignment:
    """Decision to start a request on a target.

    Attributes:
        request_id: The request.
        target_id: The target that answers it.
        expected_first_token_s: Predicted time to first token, in seconds from
            now.
        hops: Prompt parts to compute on other engines first; empty unless the
            prompt exceeds the memory of one engine.
    """

    request_id: identifiers.RequestId
    target_id: identifiers.TargetId
    expected_first_token_s: float
    hops: tuple[PromptPart, ...] = ()


@attrs.frozen
class Expiry:
    """Decision to end a queued request that has not run."""

    request_id: identifiers.RequestId
    refusal: outcomes.Refusal


class Dispatcher(Protocol):
    """Decides when and where requests run."""

    def apply_service(self, service: configuration.Service) -> None:
        """Adds or updates a service and its targets."""
        ...

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service; its queued requests expire."""
        ...

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Sets whether a target is leaving and is given no new requests."""
        ...

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request, or refuses it if it cannot end in time.

        Args:
            request: The request.
            now: Current time.
            avoid: Targets to which it must not be assigned.
        """
        ...

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Removes a queued request."""
        ...

    def poll(self, now: float) -> tuple[Sequence[Assignment], Sequence[Expiry]]:
        """Returns the requests that start and those that expire now."""
        ...

    def next_wakeup(self, now: float) -> float | None:
        """Returns when to poll next if no event occurs earlier, or None."""
        ...

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Records the first token of an assigned request."""
        ...

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,
        generated_tokens: int,
        fault: targets.TargetFault | None = None,
    ) -> None:
        """Records that an assigned request has ended on its target."""
        ...

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Records a load report, which may be delayed."""
        ...

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Records a (possibly delayed) cache event; False requests a resync."""
        ...
