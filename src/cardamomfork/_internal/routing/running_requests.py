"""Running requests: their use of engines, and the timings that they report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cardamomfork._internal import exceptions
from cardamomfork._internal.targets import views

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import targets
    from cardamomfork._internal.routing import engine_selection
    from cardamomfork._internal.routing import fleet as fleet_module
    from cardamomfork._internal.routing import pools
    from cardamomfork._internal.routing import waiting_queue

KV_TRANSFER_S_PER_TOKEN = 2e-6
"""Time to move the KV cache of one token between engines."""


@attrs.define(eq=False)
class RunningRequest:
    """An assigned request.

    Attributes:
        entry: The queue entry of the request.
        pool: The pool that it was queued for.
        shares: Its use of each engine, in the order of its parts.
        started_at: When it was assigned.
        batch: Sequences that its engine ran then.
        tokens: Uncached prompt tokens expected.
        first_token_at: When its first token arrived, or None.
    """

    entry: waiting_queue.Entry
    pool: pools.Pool
    shares: list[tuple[views.TargetView, views.RequestLoad]]
    started_at: float
    batch_size: int
    uncached_tokens: float
    first_token_at: float | None = None

    @property
    def view(self) -> views.TargetView:
        """The target that answers the request."""
        return self.shares[-1][0]


class RunningTable:
    """All running requests of this instance."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        """Initializes an empty table."""
        self._fleet = fleet
        self._running: dict[identifiers.RequestId, RunningRequest] = {}

    def __len__(self) -> int:
        """Returns the number of running requests."""
        return len(self._running)

    def __contains__(self, request_id: identifiers.RequestId) -> bool:
        """Returns whether a request is running."""
        return request_id in self._running

    def start(
        self,
        entry: waiting_queue.Entry,
        pool: pools.Pool,
        selection: engine_selection.Selection,
        now: float,
    ) -> None:
        """Records an assigned request on all of its engines."""
        request = entry.request
        exceptions.check_invariant(
            request.request_id not in self._running,
            "a request is assigned once",
            request.request_id,
        )
        exceptions.check_invariant(
            now < request.deadline,
            "nothing is assigned after its deadline",
            request.request_id,
        )
        shares = self._shares(entry, selection)
        batch = shares[-1][0].batch
        for view, share in shares:
            view.start(request.request_id, share, now)
            self._fleet.refresh(view, now)
        pool.running += 1
        self._running[request.request_id] = RunningRequest(
            entry, pool, shares, now, batch, selection.uncached_tokens
        )

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Records a request's first token and its prefill time."""
        running = self._running.get(request_id)
        if running is None or running.first_token_at is not None:
            return
        self._record_prefill(running, now)
        self._end_prefill(running, now)

    def finish(
        self,
        request_id: identifiers.RequestId,
        now: float,
        generated_tokens: int,
        fault: targets.TargetFault | None,
    ) -> None:
        """Removes a request and records its answer time or its fault."""
        running = self._running.pop(request_id, None)
        if running is None:
            return
        first_token_at = running.first_token_at
        if first_token_at is None:
            self._end_prefill(running, now)
        running.pool.running -= 1
        if fault is not None:
            self._record_fault(running, fault, now)
        elif running.view.is_plain or first_token_at is not None:
            running.view.health.record_success()
            self._record_answer(running, first_token_at, now, generated_tokens)
        for view, share in running.shares:
            view.end(share.reserved, now)
            self._fleet.refresh(view, now)

    def _shares(
        self, entry: waiting_queue.Entry, selection: engine_selection.Selection
    ) -> list[tuple[views.TargetView, views.RequestLoad]]:
        """Returns a request's use of each engine.

        Each part starts once the parts before it are computed and their KV
        cache is transferred.
        """
        request = entry.request
        shares = []
        starts_in_s = 0.0
        parts = selection.plan.memory_by_engine(request)
        for target_id, reserved in parts:
            view = self._fleet.view(target_id)
            if view is None:
                raise exceptions.InvariantViolationError(
                    "an assigned target exists", target_id
                )
            tokens = int(selection.uncached_tokens)
            prefill_s = selection.prefill_s
            if len(parts) > 1:
                tokens = min(reserved, request.prompt_tokens)
                prefill_s *= tokens / request.prompt_tokens
            is_part = len(parts) > 1
            share = views.RequestLoad(
                tokens, reserved, prefill_s, is_part, starts_in_s
            )
            if view.is_plain:
                share = views.RequestLoad(0, 0, prefill_s)
            shares.append((view, share))
            starts_in_s += prefill_s + tokens * KV_TRANSFER_S_PER_TOKEN
        return shares

    def _end_prefill(self, running: RunningRequest, now: float) -> None:
        """Ends the prefill, so that the engines can take the next prompt."""
        running.first_token_at = now
        for view, share in running.shares:
            view.end_prefill(running.entry.request.request_id, share, now)
            self._fleet.refresh(view, now)

    def _record_prefill(self, running: RunningRequest, now: float) -> None:
        """Updates cost model and health with a comparable prefill time.

        Plain calls, prompts in several parts, prefills beside a planned part
        and prompts with a cached prefix are skipped.
        """
        view = running.view
        if view.is_plain or len(running.shares) > 1:
            return
        if view.has_part_between(running.started_at, now):
            return
        if running.entry.match.covered_fraction > 0:
            return
        started_at = max(running.started_at, view.last_first_token_at)
        seconds = max(now - started_at, 1e-6)
        ratio = running.pool.cost_model.record_prefill(
            running.uncached_tokens, running.batch_size, seconds
        )
        view.health.record_ratio(ratio, now)

    def _record_answer(
        self,
        running: RunningRequest,
        first_token_at: float | None,
        now: float,
        generated_tokens: int,
    ) -> None:
        """Updates the cost model with the duration of an answer."""
        if running.view.is_plain:
            seconds = max(now - running.started_at, 1e-6)
            ratio = running.pool.cost_model.record_call(seconds)
            running.view.health.record_ratio(ratio, now)
        elif first_token_at is not None:
            running.pool.cost_model.record_generation(
                generated_tokens, now - first_token_at
            )

    def _record_fault(
        self, running: RunningRequest, fault: targets.TargetFault, now: float
    ) -> None:
        """Records a fault in the health of the target that caused it."""
        for view, _ in running.shares:
            if view.target_id == fault.target_id:
                view.health.record_fault(fault, now)
