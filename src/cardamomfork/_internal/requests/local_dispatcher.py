"""First come, first served, to the target with the fewest requests."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import result

from cardamomfork._internal.contracts import dispatching
from cardamomfork._internal.models import outcomes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cardamomfork._internal.models import configuration
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests
    from cardamomfork._internal.models import targets

MAX_QUEUED = 10_000


class LocalDispatcher:
    """Meets the `Dispatcher` contract by counts of running requests."""

    def __init__(self) -> None:
        """Starts without services."""
        self._services: dict[str, configuration.Service] = {}
        self._leaving: set[str] = set()
        self._queue: dict[
            identifiers.RequestId,
            tuple[requests.Request, frozenset[identifiers.TargetId]],
        ] = {}
        self._running: dict[identifiers.RequestId, str] = {}
        self._load: collections.Counter[str] = collections.Counter()

    def apply_service(self, service: configuration.Service) -> None:
        """Takes a service's current configuration."""
        self._services[service.name] = service

    def remove_service(self, name: identifiers.ServiceName) -> None:
        """Forgets a service."""
        self._services.pop(name, None)

    def set_leaving(
        self, target_id: identifiers.TargetId, leaving: bool
    ) -> None:
        """Marks a target that takes no new work."""
        if leaving:
            self._leaving.add(target_id)
        else:
            self._leaving.discard(target_id)

    def submit(
        self,
        request: requests.Request,
        now: float,
        avoid: frozenset[identifiers.TargetId] = frozenset(),
    ) -> result.Result[None, outcomes.Refusal]:
        """Queues a request."""
        if request.deadline <= now:
            reason = outcomes.RefusalReason.DEADLINE_EXCEEDED
            return result.Err(outcomes.refuse(reason, "Its time is over."))
        if len(self._queue) >= MAX_QUEUED:
            reason = outcomes.RefusalReason.QUEUE_FULL
            return result.Err(outcomes.refuse(reason, "Too many wait.", 1.0))
        if not self._open_targets(request, avoid):
            reason = outcomes.RefusalReason.NO_TARGET
            return result.Err(outcomes.refuse(reason, "No target.", 1.0))
        self._queue[request.request_id] = (request, avoid)
        return result.Ok(None)

    def withdraw(self, request_id: identifiers.RequestId) -> None:
        """Takes a queued request back."""
        self._queue.pop(request_id, None)

    def poll(
        self, now: float
    ) -> tuple[Sequence[dispatching.Assignment], Sequence[dispatching.Expiry]]:
        """Starts what finds room and ends what is out of time."""
        started = []
        expired = []
        for request, avoid in list(self._queue.values()):
            if request.deadline <= now:
                reason = outcomes.RefusalReason.DEADLINE_EXCEEDED
                refusal = outcomes.refuse(reason, "Its time is over.")
                expired.append(dispatching.Expiry(request.request_id, refusal))
                del self._queue[request.request_id]
                continue
            free = [
                target
                for target in self._open_targets(request, avoid)
                if self._load[target.target_id] < target.max_batch
            ]
            if free:
                best = min(free, key=lambda t: self._load[t.target_id])
                started.append(self._start(request, best))
        return started, expired

    def next_wakeup(self, now: float) -> float | None:
        """Returns the first deadline in the queue."""
        deadlines = [request.deadline for request, _ in self._queue.values()]
        return max(now, min(deadlines)) if deadlines else None

    def first_token(
        self, request_id: identifiers.RequestId, now: float
    ) -> None:
        """Learns nothing from it."""

    def finished(
        self,
        request_id: identifiers.RequestId,
        now: float,  # noqa: ARG002
        generated_tokens: int,  # noqa: ARG002
        fault: targets.TargetFault | None = None,  # noqa: ARG002
    ) -> None:
        """Takes a request off its target."""
        target_id = self._running.pop(request_id, None)
        if target_id is not None:
            self._load[target_id] -= 1

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Learns nothing from it."""

    def observe_cache(self, event: targets.CacheEvent) -> bool:  # noqa: ARG002
        """Learns nothing from it."""
        return True

    def _open_targets(
        self,
        request: requests.Request,
        avoid: frozenset[identifiers.TargetId],
    ) -> list[targets.Target]:
        """Returns the targets that a request may go to."""
        service = self._services.get(request.service)
        return [
            target
            for target in (service.targets if service else ())
            if target.target_id not in self._leaving | avoid
        ]

    def _start(
        self, request: requests.Request, target: targets.Target
    ) -> dispatching.Assignment:
        """Moves a request to a target."""
        del self._queue[request.request_id]
        self._running[request.request_id] = target.target_id
        self._load[target.target_id] += 1
        return dispatching.Assignment(request.request_id, target.target_id, 0.0)
