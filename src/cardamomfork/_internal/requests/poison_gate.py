"""Holds suspects back and reports the outcome of attempts to the guard."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import anyio
import attrs
import result

from cardamomfork._internal import supervision
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
"""Interval at which a waiting suspect checks whether it may run."""
LIVENESS_RECHECK_DELAY_S = 0.2
MAX_LIVENESS_CHECKS = 2
"""Consecutive failed checks after which a target counts as dead."""
MAX_PENDING_CHECKS = 1024
TASK_NAME = "target checks"
CLEANUP_INTERVAL_S = 60.0
DOWN_TARGET_EXCLUSION_S = 30.0
"""Time for which no suspect is sent to a target that was found dead."""

_LOST_KINDS = (targets.FaultKind.LOST, targets.FaultKind.SILENT)
_NOT_RUN_KINDS = (targets.FaultKind.UNREACHABLE, targets.FaultKind.REFUSED)


@attrs.define
class GuardedAttempt:
    """An attempt that was reported to the guard.

    Attributes:
        fingerprint: Fingerprint of the request.
        link: Link to the target.
        boot_id: Boot id of the target when the attempt began, if known.
    """

    fingerprint: bytes
    link: target_link.TargetLink
    boot_id: identifiers.BootId | None


class PoisonGate:
    """Delays and isolates suspects, and checks targets that lost attempts."""

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
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the gate.

        Args:
            guard: Guard that tracks the suspects.
            clock: Clock of the event loop.
            targets_of: Returns the targets of a service that accept work.
            can_connect: Returns whether a target accepts a new connection.
            boot_id_of: Returns the boot id last received from a target.
            on_update: Called when there may be an urgent update for the
                peers, such as a target's death.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._guard = guard
        self._clock = clock
        self._targets_of = targets_of
        self._boot_id_of = boot_id_of
        self._on_update = on_update
        self._can_connect = can_connect
        self._down_until: dict[identifiers.TargetId, float] = {}
        self._checking: dict[identifiers.TargetId, GuardedAttempt] = {}
        self._pending_checks: collections.deque[GuardedAttempt] = (
            collections.deque(maxlen=MAX_PENDING_CHECKS)
        )
        self._check_requested = anyio.Event()

    async def admit(
        self, request: requests.Request
    ) -> result.Result[frozenset[identifiers.TargetId], outcomes.Refusal]:
        """Waits until a request may run.

        Returns immediately for a request that is no suspect.

        Returns:
            The targets on which the request must not run, or the refusal of a
            quarantined request.
        """
        while True:
            now = self._clock.monotonic()
            decision = self._guard.admit(request.fingerprint, now)
            if decision.verdict is suspicion.Verdict.UNRESTRICTED:
                return result.Ok(frozenset())
            if decision.verdict is suspicion.Verdict.QUARANTINED:
                return result.Err(_quarantine_refusal(decision.retry_at - now))
            if decision.verdict is suspicion.Verdict.ISOLATED:
                candidates = self._targets_of(request.service)
                isolation_target = self._guard.isolation_target(
                    request.fingerprint,
                    self._exclude_down(candidates, now),
                    now,
                )
                if isolation_target is not None:
                    return result.Ok(candidates - {isolation_target})
            wait_s = max(decision.retry_at - now, SUSPECT_POLL_INTERVAL_S)
            await anyio.sleep(min(wait_s, suspicion.SUSPICION_TTL_S))

    def retry_after_s(self, request: requests.Request) -> float:
        """Returns the time until a caller should resend, in seconds."""
        now = self._clock.monotonic()
        return self._guard.retry_at(request.fingerprint, now) - now

    def attempt_started(
        self, request: requests.Request, link: target_link.TargetLink
    ) -> GuardedAttempt:
        """Records that an attempt is sent to a target."""
        target_id = link.target.target_id
        now = self._clock.monotonic()
        self._guard.started(request.fingerprint, target_id, now)
        return GuardedAttempt(
            request.fingerprint, link, self._boot_id_of(target_id)
        )

    def attempt_ended(
        self, guarded: GuardedAttempt, fault: targets.TargetFault | None
    ) -> None:
        """Records how an attempt ended.

        If the attempt was lost, `run` checks its target in the background.
        The guard holds the request back until that check has ended.
        """
        target_id = guarded.link.target.target_id
        now = self._clock.monotonic()
        if fault is None:
            self._down_until.pop(target_id, None)
        elif fault.kind is targets.FaultKind.UNREACHABLE:
            self._down_until[target_id] = now + DOWN_TARGET_EXCLUSION_S
        if fault is not None and fault.kind in _NOT_RUN_KINDS:
            self._guard.attempt_discarded(guarded.fingerprint, target_id)
            if (
                fault.kind is targets.FaultKind.UNREACHABLE
                and self._guard.has_lost_attempts(target_id)
            ):
                self._request_check(guarded)
            return
        is_lost = fault is not None and fault.kind in _LOST_KINDS
        self._guard.ended(guarded.fingerprint, target_id, now, not is_lost)
        if is_lost:
            self._request_check(guarded)
        self._on_update()

    def attempt_abandoned(self, guarded: GuardedAttempt) -> None:
        """Records that an attempt was abandoned without a target fault."""
        self._guard.attempt_abandoned(
            guarded.fingerprint,
            guarded.link.target.target_id,
            self._clock.monotonic(),
        )

    async def run(self) -> None:
        """Checks targets that lost an attempt, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._check_requested = anyio.Event()
                self._guard.drop_expired(self._clock.monotonic())
                while self._pending_checks:
                    guarded = self._pending_checks.popleft()
                    target_id = guarded.link.target.target_id
                    if target_id not in self._checking:
                        tasks.start_soon(
                            self._supervisor.run_once,
                            TASK_NAME,
                            self._check_target,
                            target_id,
                        )
                    self._checking[target_id] = guarded
                with anyio.move_on_after(CLEANUP_INTERVAL_S):
                    await self._check_requested.wait()

    def _request_check(self, guarded: GuardedAttempt) -> None:
        """Schedules a check of an attempt's target by `run`."""
        self._pending_checks.append(guarded)
        self._check_requested.set()

    async def _check_target(self, target_id: identifiers.TargetId) -> None:
        """Checks a target's liveness and reports the result to the guard.

        The check is repeated if another attempt is lost during it.
        """
        try:
            is_alive = True
            checked: GuardedAttempt | None = None
            while is_alive and checked is not self._checking[target_id]:
                checked = self._checking[target_id]
                is_alive = await self._is_alive(checked)
        except BaseException:
            # Nothing is known of the target yet: `run` checks it again at the
            # next lost attempt, or after a restart or the cleanup interval.
            self._pending_checks.append(self._checking[target_id])
            raise
        finally:
            del self._checking[target_id]
        if is_alive:
            self._guard.target_survived(target_id)
        else:
            now = self._clock.monotonic()
            self._down_until[target_id] = now + DOWN_TARGET_EXCLUSION_S
            self._guard.target_died(target_id, now)
        self._on_update()

    async def _is_alive(self, guarded: GuardedAttempt) -> bool:
        """Returns whether a target responds to one of several checks."""
        for attempt in range(MAX_LIVENESS_CHECKS):
            if attempt:
                await anyio.sleep(LIVENESS_RECHECK_DELAY_S)
            if await self._responds(guarded):
                return True
        return False

    async def _responds(self, guarded: GuardedAttempt) -> bool:
        """Returns whether a target responds to a single check.

        An engine is queried for its load. For a plain service only a
        connection is opened, because it might execute any request sent to it.
        """
        target = guarded.link.target
        if target.kind is targets.TargetKind.PLAIN:
            return await self._can_connect(target)
        report = await guarded.link.load()
        if isinstance(report, result.Err):
            return report.err_value.kind is targets.FaultKind.REJECTED
        return guarded.boot_id in (None, report.ok_value.boot_id)

    def _exclude_down(
        self, candidates: frozenset[identifiers.TargetId], now: float
    ) -> frozenset[identifiers.TargetId]:
        """Excludes the targets that were recently found dead.

        Returns all targets if none would remain.
        """
        for target_id in [
            t for t, until in self._down_until.items() if until <= now
        ]:
            del self._down_until[target_id]
        return candidates.difference(self._down_until) or candidates


def _quarantine_refusal(left_s: float) -> outcomes.Refusal:
    """Returns the refusal of a request that is in quarantine."""
    return outcomes.refuse(
        outcomes.RefusalReason.QUARANTINED,
        "Targets died while they ran this body. This call did not run.",
        left_s,
    )
