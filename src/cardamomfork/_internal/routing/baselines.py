"""Three plain ways to route, for comparison and as a simple fallback.

All three keep what waits in one first-in-first-out queue. Round robin and
least load empty it at once; the shared queue lets a request go only to an
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
        avoid: Targets that it must not go to.
    """

    request: requests.Request
    avoid: frozenset[identifiers.TargetId]


@attrs.define
class Outstanding:
    """What this instance has on one target.

    Attributes:
        requests: Requests that have not left it.
        prompt_tokens: Prompt tokens of those without a first token.
    """

    requests: int = 0
    prompt_tokens: int = 0


@attrs.define
class _AssignedRequest:
    """An assigned request and the prompt tokens counted for each target."""

    tokens_by_target: tuple[tuple[identifiers.TargetId, int], ...]
    prefilled: bool = False


class FifoDispatcher(abc.ABC):
    """Queue, accounts of what is outstanding, and expiry.

    Subclasses choose the order of targets for the request at the head.
    """

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        """Starts empty.

        Args:
            max_queued: Most requests that wait at once.
        """
        self._max_queued = max_queued
        self._catalogue = catalogue.Catalogue()
        self._queue: dict[identifiers.RequestId, QueuedRequest] = {}
        self._assigned: dict[identifiers.RequestId, _AssignedRequest] = {}
        self._outstanding: dict[identifiers.TargetId, Outstanding] = {}

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def apply_service(self, service: configuration.Service) -> None:
        """Takes a service's current configuration."""
        self._catalogue.apply(service)

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service; what is queued for it expires."""
        self._catalogue.remove(name)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
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
        """Takes a queued request back."""
        self._queue.pop(request_id, None)

    def poll(
        self, now: float
    ) -> tuple[Sequence[dispatching.Assignment], Sequence[dispatching.Expiry]]:
        """Returns what starts and what expires now."""
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
        """Returns when the next queued request's deadline is over."""
        if not self._queue:
            return None
        earliest = min(w.request.deadline for w in self._queue.values())
        return max(earliest, now)

    def first_token(
        self,
        request_id: identifiers.RequestId,
        now: float,  # noqa: ARG002
    ) -> None:
        """Notes that an assigned request gave its first token."""
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
        """Notes that an assigned request left its target."""
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
        """Takes a load report; only its word that the target is leaving."""
        if report.leaving:
            self._catalogue.set_leaving(report.target_id, True)

    def observe_cache(self, event: targets.CacheEvent) -> bool:  # noqa: ARG002
        """Ignores a cache event."""
        return True

    def outstanding(self, target_id: identifiers.TargetId) -> Outstanding:
        """Returns what this instance has on a target."""
        return self._outstanding.get(target_id, Outstanding())

    @abc.abstractmethod
    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Returns the targets that may take a request now, best first."""

    def _has_head_of_line_blocking(self) -> bool:
        """Returns whether a head without a target holds back the rest."""
        return False

    def _refusal(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId],
    ) -> outcomes.Refusal | None:
        """Returns why a request can't be queued, or None."""
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
        """Removes what can no longer run and says why."""
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
        """Returns where a request runs if it starts now."""
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
        """Takes a request's prompt tokens off its targets, once."""
        if assigned.prefilled:
            return
        assigned.prefilled = True
        for target_id, tokens in assigned.tokens_by_target:
            self._outstanding[target_id].prompt_tokens -= tokens


class RoundRobinDispatcher(FifoDispatcher):
    """Gives each request to the next target in turn."""

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        """Starts with the first target."""
        super().__init__(max_queued)
        self._next_index = 0

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Starts after the target that had the last turn."""
        if not candidates:
            return []
        start = self._next_index % len(candidates)
        self._next_index += 1
        return candidates[start:] + candidates[:start]


class LeastLoadDispatcher(FifoDispatcher):
    """Gives each request to the target with the least outstanding work."""

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Sorts by prompt tokens left to prefill, then by requests."""
        return sorted(candidates, key=self._load)

    def _load(self, target: targets.Target) -> tuple[int, int]:
        """Returns what the targets are sorted by."""
        outstanding = self.outstanding(target.target_id)
        return outstanding.prompt_tokens, outstanding.requests


class SharedQueueDispatcher(FifoDispatcher):
    """Keeps requests in the queue until a target has nothing to prefill."""

    def _order(self, candidates: list[targets.Target]) -> list[targets.Target]:
        """Keeps the targets that have nothing to prefill."""
        free = [t for t in candidates if self._is_free(t)]
        return sorted(free, key=self._running)

    def _has_head_of_line_blocking(self) -> bool:
        """The head of the queue goes first."""
        return True

    def _is_free(self, target: targets.Target) -> bool:
        """Returns whether a target may take the next request."""
        outstanding = self.outstanding(target.target_id)
        return (
            outstanding.prompt_tokens == 0
            and outstanding.requests < target.max_batch
        )

    def _running(self, target: targets.Target) -> int:
        """Returns the requests that this instance has on a target."""
        return self.outstanding(target.target_id).requests


def make_plan(
    request: requests.Request, candidates: Sequence[targets.Target]
) -> prompt_parts.Plan | None:
    """Plans a request on the first targets; plain services take any size."""
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
