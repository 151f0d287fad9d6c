"""Holds back requests under suspicion and tells the guard how runs ended."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal.models import outcomes
from cardamomfork._internal.models import targets
from cardamomfork._internal.requests import poison
from cardamomfork._internal.requests import suspicion

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import requests

SUSPECT_POLL_INTERVAL_S = 0.25
"""Pause before a suspect asks again for its turn, in seconds."""
LIVENESS_RECHECK_DELAY_S = 0.2
MAX_LIVENESS_CHECKS = 2
"""Failed checks after which a target counts as dead."""
MAX_PENDING_CHECKS = 1024
CLEANUP_INTERVAL_S = 60.0
DOWN_TARGET_EXCLUSION_S = 30.0
"""Seconds for which a target found dead is no place for suspects."""

_LOST_KINDS = (targets.FaultKind.LOST, targets.FaultKind.SILENT)
_NOT_RUN_KINDS = (targets.FaultKind.UNREACHABLE, targets.FaultKind.REFUSED)


@attrs.define
class GuardedAttempt:
    """One attempt that the guard counts.

    Attributes:
        fingerprint: The request.
        link: The link to its target.
        boot_id: The target's life when the attempt began, if known.
    """

    fingerprint: bytes
    link: target_link.TargetLink
    boot_id: identifiers.BootId | None


class PoisonGate:
    """Holds suspects back, keeps them apart and finds out who died."""

    def __init__(
        self,
        guard: poison.PoisonGuard,
        clock: clock_contract.Clock,
        targets_of: Callable[
            [identifiers.ServiceName], frozenset[identifiers.TargetId]
        ],
        can_connect: Callable[[targets.Target], Awaitable[bool]],
        boot_id_of: Callable[
            [identifiers.TargetId], identifiers.BootId | None
        ] = lambda _: None,
        on_update: Callable[[], None] = lambda: None,
    ) -> None:
        """Takes its collaborators.

        Args:
            guard: Knows the suspects.
            clock: The loop's clock.
            targets_of: Returns the targets of a service that take work.
            connects: Tells whether a target takes a new connection.
            boot_id_of: Returns the life of a target that was last heard.
            on_update: Called when peers should hear of a death at once.
        """
        self._guard = guard
        self._clock = clock
        self._targets_of = targets_of
        self._boot_id_of = boot_id_of
        self._on_update = on_update
        self._can_connect = can_connect
        self._down_until: dict[identifiers.TargetId, float] = {}
        self._checking: set[identifiers.TargetId] = set()
        self._pending_checks: collections.deque[GuardedAttempt] = (
            collections.deque(maxlen=MAX_PENDING_CHECKS)
        )
        self._check_requested = anyio.Event()

    async def admit(
        self, request: requests.Request
    ) -> result.Result[frozenset[identifiers.TargetId], outcomes.Refusal]:
        """Waits until a request may run; returns the targets to keep off.

        Returns at once for a request that is under no suspicion.
        """
        while True:
            now = self._clock.monotonic()
            decision = self._guard.admit(request.fingerprint, now)
            if decision.verdict is suspicion.Verdict.UNRESTRICTED:
                return result.Ok(frozenset())
            if decision.verdict is suspicion.Verdict.QUARANTINED:
                return result.Err(_quarantine_refusal(decision.retry_at - now))
            if decision.verdict is suspicion.Verdict.ISOLATED:
                served = self._targets_of(request.service)
                isolation_target = self._guard.isolation_target(
                    request.fingerprint, self._exclude_down(served, now), now
                )
                if isolation_target is not None:
                    return result.Ok(served - {isolation_target})
            wait_s = max(decision.retry_at - now, SUSPECT_POLL_INTERVAL_S)
            await anyio.sleep(min(wait_s, suspicion.SUSPICION_TTL_S))

    def retry_after_s(self, request: requests.Request) -> float:
        """Returns the seconds after which a caller should resend."""
        now = self._clock.monotonic()
        return self._guard.retry_at(request.fingerprint, now) - now

    def attempt_started(
        self, request: requests.Request, link: target_link.TargetLink
    ) -> GuardedAttempt:
        """Notes that an attempt is sent to a target."""
        target_id = link.target.target_id
        now = self._clock.monotonic()
        self._guard.started(request.fingerprint, target_id, now)
        return GuardedAttempt(
            request.fingerprint, link, self._boot_id_of(target_id)
        )

    def attempt_ended(
        self, guarded: GuardedAttempt, fault: targets.TargetFault | None
    ) -> None:
        """Notes how an attempt ended; `run` looks at a target that lost one.

        The guard holds the request back meanwhile, so nothing waits here.
        """
        target_id = guarded.link.target.target_id
        now = self._clock.monotonic()
        if fault is None:
            self._down_until.pop(target_id, None)
        elif fault.kind is targets.FaultKind.UNREACHABLE:
            self._down_until[target_id] = now + DOWN_TARGET_EXCLUSION_S
        if fault is not None and fault.kind in _NOT_RUN_KINDS:
            self._guard.attempt_discarded(guarded.fingerprint, target_id)
            return
        lost = fault is not None and fault.kind in _LOST_KINDS
        self._guard.ended(guarded.fingerprint, target_id, now, not lost)
        if lost:
            self._pending_checks.append(guarded)
            self._check_requested.set()
        self._on_update()

    def attempt_abandoned(self, guarded: GuardedAttempt) -> None:
        """Notes that an attempt was given up while its target was well."""
        self._guard.attempt_discarded(
            guarded.fingerprint, guarded.link.target.target_id
        )

    async def run(self) -> None:
        """Looks at targets that lost a request, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                with anyio.move_on_after(CLEANUP_INTERVAL_S):
                    await self._check_requested.wait()
                self._check_requested = anyio.Event()
                self._guard.drop_expired(self._clock.monotonic())
                while self._pending_checks:
                    guarded = self._pending_checks.popleft()
                    target_id = guarded.link.target.target_id
                    if target_id not in self._checking:
                        self._checking.add(target_id)
                        tasks.start_soon(self._check_target, guarded)

    async def _check_target(self, guarded: GuardedAttempt) -> None:
        """Finds out on a new connection whether a target died."""
        target_id = guarded.link.target.target_id
        try:
            alive = await self._is_alive(guarded)
        finally:
            self._checking.discard(target_id)
        if alive:
            self._guard.target_survived(target_id)
        else:
            now = self._clock.monotonic()
            self._down_until[target_id] = now + DOWN_TARGET_EXCLUSION_S
            self._guard.target_died(target_id, now)
        self._on_update()

    async def _is_alive(self, guarded: GuardedAttempt) -> bool:
        """Looks at a target, twice before it counts as dead."""
        for attempt in range(MAX_LIVENESS_CHECKS):
            if attempt:
                await anyio.sleep(LIVENESS_RECHECK_DELAY_S)
            if await self._responds(guarded):
                return True
        return False

    async def _responds(self, guarded: GuardedAttempt) -> bool:
        """Asks an engine for its load; only connects to a plain service.

        Whatever else is sent to a plain service might run there.
        """
        target = guarded.link.target
        if target.kind is targets.TargetKind.PLAIN:
            return await self._can_connect(target)
        report = await guarded.link.load()
        if isinstance(report, result.Err):
            return report.err_value.kind is targets.FaultKind.REJECTED
        return guarded.boot_id in (None, report.ok_value.boot_id)

    def _exclude_down(
        self, served: frozenset[identifiers.TargetId], now: float
    ) -> frozenset[identifiers.TargetId]:
        """Returns the targets that were not found dead of late, else all."""
        for target_id in [
            t for t, until in self._down_until.items() if until <= now
        ]:
            del self._down_until[target_id]
        return served.difference(self._down_until) or served


def _quarantine_refusal(left_s: float) -> outcomes.Refusal:
    """Makes the refusal of a request whose body is in quarantine."""
    return outcomes.refuse(
        outcomes.RefusalReason.QUARANTINED,
        "Targets died while they ran this body. This call did not run.",
        left_s,
    )
