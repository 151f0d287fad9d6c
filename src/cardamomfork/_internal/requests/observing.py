"""What the request path tells those who watch it; by default nobody."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import outcomes
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import records


class RequestObserver:
    """Is told a few things a request, nothing a token; does nothing."""

    def first_token(
        self,
        request: requests.Request,
        now: float,
        assigned_at: float,
        expected_s: float,
    ) -> None:
        """Takes the first bytes of an answer.

        Args:
            request: The request.
            now: Monotonic time in seconds.
            assigned_at: When it was last given to a target.
            expected_s: Time to first token predicted then, in seconds.
        """

    def resumed(self) -> None:
        """Takes an attempt that is asked for its rest."""

    def ended(
        self,
        request: requests.Request,
        record: records.Record,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None,
        now: float,
    ) -> None:
        """Takes a request's one end.

        Args:
            request: The request.
            record: Where it ran, and what it generated.
            outcome: What is known of its run.
            reason: Why it ended without a result; None else.
            now: Monotonic time in seconds.
        """

    def refused(self, service: str, refusal: outcomes.Refusal) -> None:
        """Takes a request that was refused before it was queued.

        Args:
            service: The service; empty for input that was not accepted, as
                callers choose its names.
            refusal: Why.
        """
