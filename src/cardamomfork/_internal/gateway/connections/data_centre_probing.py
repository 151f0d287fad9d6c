"""Probes data centres of which it is in doubt whether they are reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from cardamomfork._internal import supervision
from cardamomfork._internal.gateway.state import data_centre_reach

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from cardamomfork._internal.gateway.state import target_table
    from cardamomfork._internal.models import fleet

TASK = "data centre prober"
"""Name under which probes that fail are counted."""
INACTIVE_INTERVAL_S = 0.5
"""Interval at which a small fleet is checked for its size."""


class DataCentreProber:
    """Drives the decision which data centres are reached."""

    def __init__(
        self,
        reach: data_centre_reach.DataCentreReach,
        table: target_table.TargetTable,
        connect: Callable[[fleet.TargetRecord], Awaitable[object | None]],
        count_instances: Callable[[], int],
        count_known_instances: Callable[[], int],
        clock: Callable[[], float],
        rng: random.Random,
        supervisor: supervision.Supervisor | None = None,
        is_configured: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Initializes the prober.

        Args:
            reach: The decision.
            table: The known targets.
            connect: Opens a connection to a target for a later request;
                returns None if that fails.
            count_instances: Returns the number of instances that are heard.
            count_known_instances: Returns the number of instances with those
                that have fallen silent.
            clock: Monotonic time.
            rng: Random generator that selects targets to probe.
            supervisor: Counts probes that fail; None for one of its own.
            is_configured: Returns whether the configuration names a service.
        """
        self._reach = reach
        self._table = table
        self._connect = connect
        self._count_instances = count_instances
        self._count_known_instances = count_known_instances
        self._clock = clock
        self._rng = rng
        self._supervisor = supervisor or supervision.Supervisor()
        self._is_configured = is_configured
        self._is_probing = False

    async def run(self) -> None:
        """Applies the passing of time and probes until it is cancelled."""
        self._is_probing = False
        async with anyio.create_task_group() as tasks:
            while True:
                now = self._clock()
                self._reach.tick(
                    now, self._count_instances(), self._count_known_instances()
                )
                if not self._is_probing:
                    data_centre = self._reach.next_probe(now)
                    if data_centre is not None:
                        self._is_probing = True
                        tasks.start_soon(
                            self._supervisor.run_once,
                            TASK,
                            self._probe,
                            data_centre,
                        )
                await anyio.sleep(
                    data_centre_reach.TICK_INTERVAL_S
                    if self._reach.is_active
                    else INACTIVE_INTERVAL_S
                )

    async def _probe(self, data_centre: str) -> None:
        """Opens a connection to one target of a data centre."""
        started_at = self._clock()
        self._reach.start_probe(data_centre, started_at)
        record = self._select(data_centre, started_at)
        connection = None
        is_complete = False
        try:
            if record is not None:
                with anyio.move_on_after(data_centre_reach.PROBE_LIMIT_S):
                    connection = await self._connect(record)
            is_complete = True
        finally:
            self._is_probing = False
            if not is_complete:
                self._reach.abandon_probe(data_centre, self._clock())
        self._reach.end_probe(
            data_centre,
            started_at,
            self._clock(),
            is_open=connection is not None,
            has_target=record is not None,
        )

    def _select(
        self, data_centre: str, now: float
    ) -> fleet.TargetRecord | None:
        """Returns a target to probe, one that has not failed if possible."""
        targets = [
            target
            for target in self._table.list_all()
            if target.record.data_centre == data_centre
            and self._is_configured(target.record.service)
        ]
        failed = self._reach.failed_targets(data_centre, now)
        preferred = [
            target
            for target in targets
            if target.is_usable(now) and target.record.target_id not in failed
        ]
        if not targets:
            return None
        return self._rng.choice(preferred or targets).record
