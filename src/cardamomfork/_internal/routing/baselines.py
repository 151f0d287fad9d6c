"""Three simple dispatchers, for comparison and as a fallback.

All three keep queued requests in one FIFO queue. Round robin and least load
assign each request at once. The shared queue assigns a request only to an
engine that has no prompt of this instance left to prefill.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal import exceptions
from cardamomfork._internal.contracts import dispatching
from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.routing import catalogue
from cardamomfork._internal.routing import prompt_parts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests

MAX_QUEUED = 10_000
FULL_QUEUE_RETRY_AFTER_S = 1.0


@attrs.frozen
class QueuedRequest:
    """A queued request.

    Attributes:
        request: The request.
        avoid: Targets that it must not run on.
    """

    request: requests.Request
    avoid: frozenset[identifiers.TargetId]


@attrs.define
class Outstanding:
    """Outstanding work of this instance on one target.

    Attributes:
        requests: Number of unfinished requests.
        prompt_tokens: Tokens of the requests that are still in prefill.
    """

    requests: int = 0
    prompt_tokens: int = 0


@attrs.define
class _AssignedRequest:
    """An assigned request and the tokens counted for each of its targets."""

    tokens_by_target: tuple[tuple[identifiers.TargetId, int], ...]
    prefilled: bool = False


class FifoDispatcher(abc.ABC):
    """Base class with the FIFO queue, outstanding work, and expiry.

    Subclasses define the order in which targets are preferred.
    """

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        """Initializes the dispatcher without services.

        Args:
            max_queued: Limit on the number of queued requests.
        """
        self._max_queued = max_queued
        self._catalogue = catalogue.Catalogue()
        self._queue: dict[identifiers.RequestId, QueuedRequest] = {}
        self._assigned: dict[identifiers.RequestId, _AssignedRequest] = {}
        self._outstanding: dict[identifiers.TargetId, Outstanding] = {}

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def apply_service(self, service: configuration.Service) -> None:
        """Applies a service's current configuration."""
        self._catalogue.apply(service)

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Removes a service; its queued requests expire."""
        self._catalogue.remove(name)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks whether a target is leaving and accepts no new work."""
        self._catalogue.set_leaving(target_id, leaving)

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request, or refuses it."""
        refusal = self._refusal(request, now, avoid)
        if refusal is not None:
            return result.Err(refusal)
        exceptions.check_invariant(
            request.request_id not in self._queue
            and request.request_id not in self._assigned,
            "a request is queued once",
            request.request_id,
        )
        self._queue[request.request_id] = QueuedRequest(request, avoid)
        return result.Ok(None)

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Removes a request from the queue, if it is still there."""
        self._queue.pop(request_id, None)

    def poll(
        self, now: float
    ) -> tuple[Sequence[dispatching.Assignment], Sequence[dispatching.Expiry]]:
        """Returns the requests that start and those that expire now."""
        expired = self._remove_expired(now)
        started = []
        for queued_request in list(self._queue.values()):
            plan = self._plan(queued_request)
            if plan is None:
                if self._has_head_of_line_blocking():
                    break
                continue
            started.append(self._start(queued_request.request, plan))
        return started, expired

    def next_wakeup(self, now: float) -> float | None:
        """Returns the earliest deadline of the queue, or None if empty."""
        if not self._queue:
            return None
        earliest = min(w.request.deadline for w in self._queue.values())
        return max(earliest, now)

    def first_token(
        self,
        request_id: identifiers.RequestId,
        now: float,  # noqa: ARG002
    ) -> None:
        """Records the first token of an assigned request."""
        assigned = self._assigned.get(request_id)
        if assigned is not None:
            self._end_prefill(assigned)

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,  # noqa: ARG002
        generated_tokens: int,  # noqa: ARG002
        fault: targets.TargetFault | None = None,  # noqa: ARG002
    ) -> None:
        """Records that an assigned request ended."""
        assigned = self._assigned.pop(request_id, None)
        if assigned is None:
            return
        self._end_prefill(assigned)
        for target_id, _ in assigned.tokens_by_target:
            outstanding = self._outstanding[target_id]
            outstanding.requests -= 1
            if outstanding.requests == 0:
                del self._outstanding[target_id]

    def observe_load(self, report: targets.LoadReport, now: float) -> None:  # noqa: ARG002
        """Applies a load report; only whether the target is leaving."""
        if report.leaving:
            self._catalogue.set_leaving(report.target_id, True)

    def observe_cache(self, event: targets.CacheEvent) -> bool:  # noqa: ARG002
        """Ignores a cache event."""
        return True

    def outstanding(self, target_id: identifiers.TargetId) -> Outstanding:
        """Returns the outstanding work of this instance on a target."""
        return self._outstanding.get(target_id, Outstanding())

    @abc.abstractmethod
    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Returns the targets that accept a request now, best first."""

    def _has_head_of_line_blocking(self) -> bool:
        """Returns whether a request without a target blocks later ones."""
        return False

    def _refusal(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId],
    ) -> outcomes.Refusal | None:
        """Returns the refusal of a request that can't be queued, or None."""
        reasons = outcomes.RefusalReason
        service = self._catalogue.service(request.service)
        if service is None:
            return outcomes.refuse(
                reasons.UNKNOWN_SERVICE,
                f"Service {request.service!r} does not exist.",
            )
        if request.deadline <= now:
            return outcomes.refuse(
                reasons.DEADLINE_EXCEEDED, "The request's time is over."
            )
        if len(self._queue) >= self._max_queued:
            return outcomes.refuse(
                reasons.QUEUE_FULL,
                f"{self._max_queued} requests wait already.",
                FULL_QUEUE_RETRY_AFTER_S,
            )
        candidates = self._catalogue.available_targets(request.service, avoid)
        if not candidates:
            return outcomes.refuse(
                reasons.NO_TARGET,
                f"No target of {request.service!r} takes new work.",
                FULL_QUEUE_RETRY_AFTER_S,
            )
        if make_plan(request, candidates) is None:
            return outcomes.refuse(
                reasons.PROMPT_TOO_LARGE,
                f"{request.prompt_tokens} prompt tokens exceed the memory of"
                f" the engines of {request.service!r}.",
            )
        return None

    def _remove_expired(self, now: float) -> list[dispatching.Expiry]:
        """Removes requests that can no longer run; returns their expiries."""
        expired = []
        for queued_request in self._queue.values():
            request = queued_request.request
            if self._catalogue.service(request.service) is None:
                reason = outcomes.RefusalReason.UNKNOWN_SERVICE
                detail = f"Service {request.service!r} was removed."
            elif request.deadline <= now:
                reason = outcomes.RefusalReason.DEADLINE_EXCEEDED
                detail = "The request's time ended while it waited."
            else:
                continue
            refusal = outcomes.refuse(reason, detail)
            expired.append(dispatching.Expiry(request.request_id, refusal))
        for expiry in expired:
            del self._queue[expiry.request_id]
        return expired

    def _plan(self, queued_request: QueuedRequest) -> prompt_parts.Plan | None:
        """Returns the plan of a request if it can start now, or None."""
        candidates = self._catalogue.available_targets(
            queued_request.request.service, queued_request.avoid
        )
        return make_plan(queued_request.request, self._order(candidates))

    def _start(
        self, request: requests.Request, plan: prompt_parts.Plan
    ) -> dispatching.Assignment:
        """Moves a request from the queue to its target."""
        del self._queue[request.request_id]
        tokens_by_target = plan.memory_by_engine(request)
        self._assigned[request.request_id] = _AssignedRequest(tokens_by_target)
        for target_id, tokens in tokens_by_target:
            outstanding = self._outstanding.setdefault(target_id, Outstanding())
            outstanding.requests += 1
            outstanding.prompt_tokens += tokens
        return dispatching.Assignment(
            request.request_id, plan.target_id, 0.0, plan.hops
        )

    def _end_prefill(self, assigned: _AssignedRequest) -> None:
        """Subtracts a request's tokens from its targets' work, once."""
        if assigned.prefilled:
            return
        assigned.prefilled = True
        for target_id, tokens in assigned.tokens_by_target:
            self._outstanding[target_id].prompt_tokens -= tokens


class RoundRobinDispatcher(FifoDispatcher):
    """Assigns each request to the next target in turn."""

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        """Initializes the dispatcher without services.

        Args:
            max_queued: Limit on the number of queued requests.
        """
        super().__init__(max_queued)
        self._next_index = 0

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Rotates the targets by one for each call."""
        if not candidates:
            return []
        start = self._next_index % len(candidates)
        self._next_index += 1
        return candidates[start:] + candidates[:start]


class LeastLoadDispatcher(FifoDispatcher):
    """Assigns each request to the target with the least outstanding work."""

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Sorts the targets by tokens in prefill, then by requests."""
        return sorted(candidates, key=self._load)

    def _load(self, target: targets.Target) -> tuple[int, int]:
        """Returns the sort key of a target."""
        outstanding = self.outstanding(target.target_id)
        return outstanding.prompt_tokens, outstanding.requests


class SharedQueueDispatcher(FifoDispatcher):
    """Keeps requests in the queue until a target has nothing to prefill."""

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Returns the targets without a prefill, fewest requests first."""
        free = [t for t in candidates if self._is_free(t)]
        return sorted(free, key=self._running)

    def _has_head_of_line_blocking(self) -> bool:
        """Returns True: later requests never overtake the head."""
        return True

    def _is_free(self, target: targets.Target) -> bool:
        """Returns whether a target can accept the next request."""
        outstanding = self.outstanding(target.target_id)
        return (
            outstanding.prompt_tokens == 0
            and outstanding.requests < target.max_batch
        )

    def _running(self, target: targets.Target) -> int:
        """Returns the number of this instance's requests on a target."""
        return self.outstanding(target.target_id).requests


def make_plan(
    request: requests.Request, candidates: Sequence[targets.Target]
) -> prompt_parts.Plan | None:
    """Plans a request on the first target, or in parts on several.

    Plain targets accept requests of any size.
    """
    if not candidates:
        return None
    first = candidates[0]
    needed_tokens = request.prompt_tokens + request.max_tokens
    if (
        first.kind is targets.TargetKind.PLAIN
        or needed_tokens <= first.memory_tokens
    ):
        return prompt_parts.Plan(first.target_id)
    capacities = [
        prompt_parts.EngineCapacity(target.target_id, target.memory_tokens)
        for target in candidates
        if target.exports_kv
    ]
    return prompt_parts.plan(request, capacities)
