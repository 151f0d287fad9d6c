"""Reads engines' load reports and cache events for the dispatcher."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import anyio
import result

from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers

POLL_PERIOD_S = 1.0
MAX_CONCURRENT_POLLS = 32
RESYNC_SEQUENCE = -1


class TargetLinks(Protocol):
    """Knows the links to the targets."""

    @property
    def links(self) -> Sequence[target_link.TargetLink]:
        """All links."""
        ...


class EngineStateListener(Protocol):
    """Takes what the engines tell."""

    def observe_load(self, report: targets.LoadReport, now: float) -> None:
        """Takes a load report."""
        ...

    def observe_cache(self, event: targets.CacheEvent) -> bool:
        """Takes a cache event; False asks for a resync."""
        ...

    def observe_fault(self, fault: targets.TargetFault) -> None:
        """Takes a load report's failure to come."""
        ...


class EngineObserver:
    """Asks each engine it watches once a period."""

    def __init__(
        self,
        links: TargetLinks,
        listener: EngineStateListener,
        clock: clock_contract.Clock,
        is_observed: Callable[[identifiers.TargetId], bool] = lambda _: True,
        period_s: float = POLL_PERIOD_S,
    ) -> None:
        """Takes its collaborators.

        Args:
            links: Links to the targets.
            listener: Gets what the engines tell.
            clock: The loop's clock.
            watches: Whether an engine is this instance's to watch.
            period_s: Time between two rounds, in seconds.
        """
        self._links = links
        self._listener = listener
        self._clock = clock
        self._is_observed = is_observed
        self._period_s = period_s
        self._sequences: dict[
            identifiers.TargetId, tuple[identifiers.BootId, int]
        ] = {}

    async def run(self) -> None:
        """Asks once a period, for good."""
        while True:
            await self.poll_all()
            await anyio.sleep(self._period_s)

    async def poll_all(self) -> None:
        """Asks every engine that is this instance's to watch."""
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
                tasks.start_soon(self._poll, link, limiter)

    async def _poll(
        self, link: target_link.TargetLink, limiter: anyio.CapacityLimiter
    ) -> None:
        """Asks one engine."""
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
        """Reads new cache events; after a gap, the whole cache."""
        target_id = link.target.target_id
        known_boot_id, sequence = self._sequences.get(target_id, (boot_id, 0))
        if known_boot_id != boot_id:
            sequence = 0
        if not await self._forward_events(link, sequence):
            await self._forward_events(link, RESYNC_SEQUENCE)

    async def _forward_events(
        self, link: target_link.TargetLink, sequence: int
    ) -> bool:
        """Passes events on; False if the dispatcher found a gap."""
        events = await link.cache_events(sequence)
        if isinstance(events, result.Err):
            return True
        in_sync = True
        for event in events.ok_value:
            in_sync = self._listener.observe_cache(event)
            self._sequences[event.target_id] = (event.boot_id, event.sequence)
        return in_sync
