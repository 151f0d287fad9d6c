"""Observer interface of the request path, with methods that do nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import outcomes
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.requests import records


class RequestObserver:
    """Receives events of requests; subclasses override what they need.

    There are a few events for each request and none for each token.
    """

    def first_token(
        self,
        request: requests.Request,
        now: float,
        assigned_at: float,
        expected_s: float,
    ) -> None:
        """Called when the first bytes of an answer arrive.

        Args:
            request: The request.
            now: Monotonic time in seconds.
            assigned_at: Monotonic time at which it was last assigned to a
                target.
            expected_s: Time to first token, in seconds, predicted at that
                time.
        """

    def resumed(self) -> None:
        """Called before an attempt is resumed."""

    def ended(
        self,
        request: requests.Request,
        record: records.Record,
        outcome: outcomes.Outcome,
        reason: outcomes.RefusalReason | None,
        now: float,
    ) -> None:
        """Called once when a request ends.

        Args:
            request: The request.
            record: Its record, with its target and token count.
            outcome: What is known about its run.
            reason: Why it ended without a result, or None.
            now: Monotonic time in seconds.
        """

    def refused(self, service: str, refusal: outcomes.Refusal) -> None:
        """Called when a request is refused before it is queued.

        Args:
            service: The service; empty for invalid input, whose service name
                is arbitrary text from the caller.
            refusal: Why it was refused.
        """
