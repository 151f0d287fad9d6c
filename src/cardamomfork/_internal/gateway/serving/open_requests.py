"""Requests of callers that are not answered yet, and their end at a stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from cardamomfork._internal.gateway.choice import service_times
from cardamomfork._internal.gateway.state import stopping
from cardamomfork._internal.models import forwarding

if TYPE_CHECKING:
    from collections.abc import Callable

    from cardamomfork._internal.gateway.state import routes

NO_GENERATION = forwarding.Generation(0, 0)
"""Size of a request that is not to a model engine."""


@attrs.define(eq=False)
class OpenRequest:
    """A request that has not been answered completely.

    Attributes:
        match: Its route and service.
        request: Its head.
        deadline: Monotonic time by which its final answer must be sent.
        scope: Cancels what is being done for it.
        is_ended: Whether it was ended because the process stops.
        is_reading: Whether its body is being read.
        closed: Set once it has been answered, or its answer was cut.
    """

    match: routes.Match
    request: forwarding.CallerRequest
    deadline: float
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    is_ended: bool = False
    is_reading: bool = True
    closed: anyio.Event = attrs.field(factory=anyio.Event)

    def end(self) -> None:
        """Cancels what is being done; its task answers if it still can."""
        self.is_ended = True
        self.scope.cancel()


class OpenRequests:
    """The open requests of one process."""

    def __init__(
        self, stop: stopping.StopState, clock: Callable[[], float]
    ) -> None:
        """Initializes an empty set.

        Args:
            stop: Whether the process is stopping.
            clock: Monotonic time.
        """
        self._stop = stop
        self._clock = clock
        self._requests: set[OpenRequest] = set()

    @property
    def count(self) -> int:
        """Number of open requests."""
        return len(self._requests)

    def add(self, one: OpenRequest) -> None:
        """Adds a request."""
        self._requests.add(one)

    def close(self, one: OpenRequest) -> None:
        """Removes a request that has been answered, or can't be any more."""
        self._requests.discard(one)
        one.closed.set()

    def end_incomplete(self) -> None:
        """Ends requests whose body would be complete too late to send them."""
        now = self._clock()
        for one in self._requests:
            if one.is_reading and not self._may_send(one, now):
                one.end()

    async def end_all(self) -> None:
        """Ends all requests and waits until they are closed."""
        requests = tuple(self._requests)
        for one in requests:
            one.end()
        for one in requests:
            await one.closed.wait()

    def _may_send(self, one: OpenRequest, now: float) -> bool:
        """Returns whether a stopping process may still send a request."""
        generation = one.request.generation or NO_GENERATION
        times = stopping.RequestTimes(
            one.deadline - now,
            service_times.min_service_s(
                one.match.service,
                generation.prompt_tokens,
                generation.expected_output_tokens,
            ),
        )
        return self._stop.may_send(times, now)
