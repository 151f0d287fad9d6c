"""Polls engines for load reports and cache events."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal import supervision
from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers

POLL_PERIOD_S = 1.0
MAX_CONCURRENT_POLLS = 32
TASK_NAME = "engine observer"
RESYNC_SEQUENCE = -1
"""Requests the whole cache, as one event, in place of later events."""


class TargetLinks(Protocol):
    """Provides the links to the targets."""

    @property
    def links(self) -> Sequence[target_link.TargetLink]:
        """All links."""
        ...


class EngineStateListener(Protocol):
    """Receives the state of engines."""

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Called with each load report."""
        ...

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Called with each cache event; returns False to request a resync."""
        ...

    def observe_fault(self, fault: targets.TargetFault) -> None:
        """Called when a load report could not be read."""
        ...


class EngineObserver:
    """Polls each observed engine once a period."""

    def __init__(
        self,
        links: TargetLinks,
        listener: EngineStateListener,
        clock: clock_contract.Clock,
        is_observed: Callable[[identifiers.TargetId], bool] = lambda _: True,
        period_s: float = POLL_PERIOD_S,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        """Initializes the observer.

        Args:
            links: Links to the targets.
            listener: Receives the state of the engines.
            clock: The event loop's clock.
            is_observed: Returns whether this instance polls an engine.
            period_s: Pause between two rounds, in seconds.
            supervisor: Contains failures of single parts; None for one of its
                own.
        """
        self._supervisor = supervisor or supervision.Supervisor()
        self._links = links
        self._listener = listener
        self._clock = clock
        self._is_observed = is_observed
        self._period_s = period_s
        self._sequences: dict[
            identifiers.TargetId, tuple[identifiers.BootId, int]
        ] = {}

    async def run(self) -> None:
        """Polls the engines once a period until cancelled."""
        while True:
            await self.poll_all()
            await anyio.sleep(self._period_s)

    async def poll_all(self) -> None:
        """Polls every engine that this instance observes."""
        links = [
            link
            for link in self._links.links
            if link.target.kind is targets.TargetKind.ENGINE
            and self._is_observed(link.target.target_id)
        ]
        observed_ids = {link.target.target_id for link in links}
        for target_id in self._sequences.keys() - observed_ids:
            del self._sequences[target_id]
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_POLLS)
        async with anyio.create_task_group() as tasks:
            for link in links:
                tasks.start_soon(
                    self._supervisor.run_once,
                    TASK_NAME,
                    self._poll,
                    link,
                    limiter,
                )

    async def _poll(
        self, link: target_link.TargetLink, limiter: anyio.CapacityLimiter
    ) -> None:
        """Polls one engine."""
        async with limiter:
            report = await link.load()
            if isinstance(report, result.Err):
                self._listener.observe_fault(report.err_value)
                return
            now = self._clock.monotonic()
            self._listener.observe_load(report.ok_value, now)
            await self._read_events(link, report.ok_value.boot_id)

    async def _read_events(
        self, link: target_link.TargetLink, boot_id: identifiers.BootId
    ) -> None:
        """Reads new cache events, or the whole cache after a gap."""
        target_id = link.target.target_id
        known_boot_id, sequence = self._sequences.get(target_id, (boot_id, 0))
        if known_boot_id != boot_id:
            sequence = 0
        if not await self._forward_events(link, sequence):
            await self._forward_events(link, RESYNC_SEQUENCE)

    async def _forward_events(
        self, link: target_link.TargetLink, sequence: int
    ) -> bool:
        """Forwards events; returns False if the listener found a gap."""
        events = await link.cache_events(sequence)
        if isinstance(events, result.Err):
            return True
        in_sync = True
        for event in events.ok_value:
            in_sync = self._listener.observe_cache(event)
            self._sequences[event.target_id] = (event.boot_id, event.sequence)
        return in_sync
