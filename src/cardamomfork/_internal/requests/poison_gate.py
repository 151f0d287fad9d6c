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

TURN_S = 0.25
"""Pause before a suspect asks again for its turn, in seconds."""
CHECK_PAUSE_S = 0.2
CHECKS = 2
"""Failed checks after which a target counts as dead."""
MAX_UNCHECKED = 1024
FORGET_PERIOD_S = 60.0
DOWN_S = 30.0
"""Seconds for which a target found dead is no place for suspects."""

_LOSSES = (targets.FaultKind.LOST, targets.FaultKind.SILENT)
_NEVER_RAN = (targets.FaultKind.UNREACHABLE, targets.FaultKind.REFUSED)


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
        connects: Callable[[targets.Target], Awaitable[bool]],
        boot_of: Callable[
            [identifiers.TargetId], identifiers.BootId | None
        ] = lambda _: None,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        """Takes its collaborators.

        Args:
            guard: Knows the suspects.
            clock: The loop's clock.
            targets_of: Returns the targets of a service that take work.
            connects: Tells whether a target takes a new connection.
            boot_of: Returns the life of a target that was last heard.
            on_news: Called when peers should hear of a death at once.
        """
        self._guard = guard
        self._clock = clock
        self._targets_of = targets_of
        self._boot_of = boot_of
        self._on_news = on_news
        self._connects = connects
        self._down: dict[identifiers.TargetId, float] = {}
        self._checking: set[identifiers.TargetId] = set()
        self._unchecked: collections.deque[GuardedAttempt] = collections.deque(
            maxlen=MAX_UNCHECKED
        )
        self._check_wanted = anyio.Event()

    async def admit(
        self, request: requests.Request
    ) -> result.Result[frozenset[identifiers.TargetId], outcomes.Refusal]:
        """Waits until a request may run; returns the targets to keep off.

        Returns at once for a request that is under no suspicion.
        """
        while True:
            now = self._clock.monotonic()
            admission = self._guard.admit(request.fingerprint, now)
            if admission.verdict is suspicion.Verdict.FREE:
                return result.Ok(frozenset())
            if admission.verdict is suspicion.Verdict.QUARANTINED:
                return result.Err(_quarantined(admission.retry_at - now))
            if admission.verdict is suspicion.Verdict.ALONE:
                served = self._targets_of(request.service)
                place = self._guard.isolation_target(
                    request.fingerprint, self._without_down(served, now), now
                )
                if place is not None:
                    return result.Ok(served - {place})
            wait_s = max(admission.retry_at - now, TURN_S)
            await anyio.sleep(min(wait_s, suspicion.SUSPECT_S))

    def retry_after_s(self, request: requests.Request) -> float:
        """Returns the seconds after which a caller should resend."""
        now = self._clock.monotonic()
        return self._guard.retry_at(request.fingerprint, now) - now

    def enter(
        self, request: requests.Request, link: target_link.TargetLink
    ) -> GuardedAttempt:
        """Notes that an attempt is sent to a target."""
        target_id = link.target.target_id
        now = self._clock.monotonic()
        self._guard.started(request.fingerprint, target_id, now)
        return GuardedAttempt(
            request.fingerprint, link, self._boot_of(target_id)
        )

    def leave(
        self, guarded: GuardedAttempt, fault: targets.TargetFault | None
    ) -> None:
        """Notes how an attempt ended; `run` looks at a target that lost one.

        The guard holds the request back meanwhile, so nothing waits here.
        """
        target_id = guarded.link.target.target_id
        now = self._clock.monotonic()
        if fault is None:
            self._down.pop(target_id, None)
        elif fault.kind is targets.FaultKind.UNREACHABLE:
            self._down[target_id] = now + DOWN_S
        if fault is not None and fault.kind in _NEVER_RAN:
            self._guard.withdrawn(guarded.fingerprint, target_id)
            return
        lost = fault is not None and fault.kind in _LOSSES
        self._guard.ended(guarded.fingerprint, target_id, now, not lost)
        if lost:
            self._unchecked.append(guarded)
            self._check_wanted.set()
        self._on_news()

    def abandon(self, guarded: GuardedAttempt) -> None:
        """Notes that an attempt was given up while its target was well."""
        self._guard.withdrawn(
            guarded.fingerprint, guarded.link.target.target_id
        )

    async def run(self) -> None:
        """Looks at targets that lost a request, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                with anyio.move_on_after(FORGET_PERIOD_S):
                    await self._check_wanted.wait()
                self._check_wanted = anyio.Event()
                self._guard.forget_old(self._clock.monotonic())
                while self._unchecked:
                    guarded = self._unchecked.popleft()
                    target_id = guarded.link.target.target_id
                    if target_id not in self._checking:
                        self._checking.add(target_id)
                        tasks.start_soon(self._check, guarded)

    async def _check(self, guarded: GuardedAttempt) -> None:
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
            self._down[target_id] = now + DOWN_S
            self._guard.target_died(target_id, now)
        self._on_news()

    async def _is_alive(self, guarded: GuardedAttempt) -> bool:
        """Looks at a target, twice before it counts as dead."""
        for attempt in range(CHECKS):
            if attempt:
                await anyio.sleep(CHECK_PAUSE_S)
            if await self._answers(guarded):
                return True
        return False

    async def _answers(self, guarded: GuardedAttempt) -> bool:
        """Asks an engine for its load; only connects to a plain service.

        Whatever else is sent to a plain service might run there.
        """
        target = guarded.link.target
        if target.kind is targets.TargetKind.PLAIN:
            return await self._connects(target)
        report = await guarded.link.load()
        if isinstance(report, result.Err):
            return report.err_value.kind is targets.FaultKind.REJECTED
        return guarded.boot_id in (None, report.ok_value.boot_id)

    def _without_down(
        self, served: frozenset[identifiers.TargetId], now: float
    ) -> frozenset[identifiers.TargetId]:
        """Returns the targets that were not found dead of late, else all."""
        for target_id in [t for t, until in self._down.items() if until <= now]:
            del self._down[target_id]
        return served.difference(self._down) or served


def _quarantined(left_s: float) -> outcomes.Refusal:
    """Makes the refusal of a request whose body is in quarantine."""
    return outcomes.refuse(
        outcomes.RefusalReason.QUARANTINED,
        "Targets died while they ran this body. This call did not run.",
        left_s,
    )
