"""Finds out whether this instance is cut off from all targets.

A failed connection raises a doubt. Connections to a few targets, opened one
shortly after the other, then decide: if none opens, it is this instance that is
cut off, since targets rarely end all at once. While it is cut off, a probe a
second finds out when that is over, so that no caller waits for a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cardamomfork._internal import supervision

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from cardamomfork._internal.models import fleet

TASK = "target reach"
"""Name under which probes that fail are counted."""
MAX_PROBES = 4
"""Targets that are tried before this instance counts as cut off."""
PROBE_STAGGER_S = 0.1
"""Time after which the next target is tried beside the previous one."""
MIN_ROUND_INTERVAL_S = 0.25
"""Least time between two rounds of probes while targets are reached."""
ISOLATED_PROBE_INTERVAL_S = 1.0
MAX_CONFIRM_ROUNDS = 3
MAX_ROUND_S = 2.0
"""A round that takes longer was interrupted, for example by a freeze of the
process, and its time-outs show nothing."""


class TargetReach:
    """Decides whether this instance reaches any target."""

    def __init__(
        self,
        list_targets: Callable[[], list[fleet.TargetRecord]],
        connect: Callable[[fleet.TargetRecord], Awaitable[object | None]],
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[], None],
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the state of an instance that reaches its targets.

        Args:
            list_targets: Returns the targets that should be reachable.
            connect: Opens a connection to a target; returns None if that
                fails.
            clock: Monotonic time.
            rng: Random generator that selects targets to probe.
            on_change: Called after `is_isolated` has changed.
            supervisor: Counts probes that fail; None for one of its own.
        """
        self._list_targets = list_targets
        self._connect = connect
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._supervisor = supervisor or supervision.Supervisor()
        self._is_isolated = False
        self._changed_at = clock()
        self._failed_at: float | None = None
        self._connected_at = -1.0
        self._wake = anyio.Event()
        self._has_result = anyio.Event()

    @property
    def is_isolated(self) -> bool:
        """Whether this instance is cut off from all targets."""
        return self._is_isolated

    @property
    def doubted_since(self) -> float:
        """Time of the failure that led to the present state or doubt."""
        return self._changed_at if self._failed_at is None else self._failed_at

    def record_failure(self) -> None:
        """Records that a connection to a target failed or was lost."""
        if not self._is_isolated:
            if self._failed_at is None:
                self._failed_at = self._clock()
            self._wake.set()

    def record_connection(self) -> None:
        """Records that a connection to a target was opened."""
        self._connected_at = self._clock()
        self._failed_at = None
        self._set_isolated(False)
        self._notify_waiters()

    def probe_soon(self) -> None:
        """Probes targets again at once if this instance is cut off."""
        if self._is_isolated:
            self._wake.set()

    async def confirm(self) -> bool:
        """Returns whether a new connection to some target opens."""
        since = self._clock()
        for _ in range(MAX_CONFIRM_ROUNDS):
            if self._connected_at >= since or self._is_isolated:
                break
            self.record_failure()
            await self._has_result.wait()
        return self._connected_at >= since

    async def run(self) -> None:
        """Probes targets when there is a doubt, until cancelled."""
        if self._failed_at is not None:
            # A round that was interrupted by a failure is repeated.
            self._wake.set()
        while True:
            with anyio.move_on_after(
                ISOLATED_PROBE_INTERVAL_S if self._is_isolated else None
            ):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._failed_at is None and not self._is_isolated:
                # A connection was opened after the failure.
                continue
            await self._run_round()
            self._notify_waiters()
            if not self._is_isolated:
                await anyio.sleep(MIN_ROUND_INTERVAL_S)

    async def _run_round(self) -> None:
        """Probes targets until one is reached or all have failed."""
        records = self._select()
        if not records:
            self._failed_at = None
            return
        started_at = self._clock()
        failed_count = 0
        async with anyio.create_task_group() as tasks:

            async def probe(record: fleet.TargetRecord) -> None:
                nonlocal failed_count
                if await self._connect(record) is None:
                    failed_count += 1
                    return
                self.record_connection()
                tasks.cancel_scope.cancel()

            for record in records:
                tasks.start_soon(self._supervisor.run_once, TASK, probe, record)
                await anyio.sleep(PROBE_STAGGER_S)
        if self._connected_at >= started_at:
            return
        if not failed_count:
            # Probes that ended with an exception show nothing.
            self._failed_at = None
            return
        if self._clock() - started_at > MAX_ROUND_S:
            self._wake.set()
            return
        self._set_isolated(True)

    def _select(self) -> list[fleet.TargetRecord]:
        """Returns random targets to probe, of all services in turn."""
        records = self._list_targets()
        self._rng.shuffle(records)
        first_of_service = {record.service: record for record in records}
        first = list(first_of_service.values())
        others = [record for record in records if record not in first]
        return (first + others)[:MAX_PROBES]

    def _notify_waiters(self) -> None:
        """Wakes the callers of `confirm`."""
        self._has_result.set()
        self._has_result = anyio.Event()

    def _set_isolated(self, is_isolated: bool) -> None:
        """Changes the state."""
        if is_isolated == self._is_isolated:
            return
        now = self._clock()
        logger.warning(
            "cut off from targets" if is_isolated else "targets reached again",
            seconds=round(now - self.doubted_since, 3),
        )
        self._is_isolated = is_isolated
        self._changed_at = now
        self._on_change()
