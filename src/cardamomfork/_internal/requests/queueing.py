"""Queues requests at the dispatcher and awaits its decisions."""

from __future__ import annotations

import math
import typing
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import dispatching
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.models import targets

MIN_POLL_INTERVAL_S = 0.001

_Decision = result.Result[dispatching.Assignment, outcomes.Refusal]


@attrs.define
class _Waiter:
    """A queued request and the dispatcher's decision once there is one."""

    decided: anyio.Event = attrs.field(factory=anyio.Event)
    decision: _Decision | None = None


class DispatchQueue:
    """Delivers an assignment or a refusal to each queued request.

    The dispatcher is polled after each event that may free capacity. A timer
    polls it for decisions that depend only on time, such as expiries.
    """

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes an empty queue."""
        self._dispatcher = dispatcher
        self._clock = clock
        self._waiters: dict[identifiers.RequestId, _Waiter] = {}
        self._timer_reset = anyio.Event()

    @property
    def waiting(self) -> int:
        """The number of queued requests."""
        return len(self._waiters)

    async def wait(
        self,
        request: requests.Request,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> _Decision:
        """Queues a request and waits until it is assigned or refused."""
        now = self._clock.monotonic()
        submitted = self._dispatcher.submit(request, now, avoid)
        if isinstance(submitted, result.Err):
            return submitted
        waiter = _Waiter()
        self._waiters[request.request_id] = waiter
        self.poll()
        is_received = False
        try:
            await waiter.decided.wait()
            is_received = True
        finally:
            self._waiters.pop(request.request_id, None)
            if not is_received:
                self._undo_wait(request.request_id, waiter)
        exceptions.check_invariant(
            waiter.decision is not None, "a wait ends with a decision", request
        )
        return typing.cast("_Decision", waiter.decision)

    def first_token(self, request_id: identifiers.RequestId) -> None:
        """Records that a request produced its first token."""
        self._dispatcher.first_token(request_id, self._clock.monotonic())
        self.poll()

    def finished(
        self,
        request_id: identifiers.RequestId,
        generated_tokens: int,
        fault: targets.TargetFault | None = None,
    ) -> None:
        """Records that a request no longer runs on its target."""
        self._dispatcher.finished(
            request_id, self._clock.monotonic(), generated_tokens, fault
        )
        self.poll()

    def poll(self) -> None:
        """Delivers the assignments and expiries that are due now."""
        started, expired = self._dispatcher.poll(self._clock.monotonic())
        for assignment in started:
            self._deliver(assignment.request_id, result.Ok(assignment))
        for expiry in expired:
            self._deliver(expiry.request_id, result.Err(expiry.refusal))
        self._timer_reset.set()

    async def run(self) -> None:
        """Polls at the dispatcher's wake-up times until cancelled."""
        while True:
            self._timer_reset = anyio.Event()
            now = self._clock.monotonic()
            wakeup_at = self._dispatcher.next_wakeup(now)
            delay_s = (
                math.inf
                if wakeup_at is None
                else max(MIN_POLL_INTERVAL_S, wakeup_at - now)
            )
            with anyio.move_on_after(delay_s):
                await self._timer_reset.wait()
                continue
            self.poll()

    def _undo_wait(
        self, request_id: identifiers.RequestId, waiter: _Waiter
    ) -> None:
        """Withdraws or ends a request that was cancelled while it waited."""
        if waiter.decision is None:
            self._dispatcher.withdraw(request_id)
        elif waiter.decision.is_ok():
            self.finished(request_id, 0)

    def _deliver(
        self, request_id: identifiers.RequestId, decision: _Decision
    ) -> None:
        """Delivers a decision to its request.

        If the request no longer waits, its assignment is ended.
        """
        waiter = self._waiters.get(request_id)
        if waiter is not None:
            waiter.decision = decision
            waiter.decided.set()
        elif decision.is_ok():
            now = self._clock.monotonic()
            self._dispatcher.finished(request_id, now, 0)
