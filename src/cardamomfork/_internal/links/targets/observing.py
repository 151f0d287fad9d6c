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

PERIOD_S = 1.0
MAX_CONCURRENT = 32
WHOLE_CACHE = -1


class LinkList(Protocol):
    """Knows the links to the targets."""

    @property
    def links(self) -> Sequence[target_link.TargetLink]:
        """All links."""
        ...


class Listener(Protocol):
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
        links: LinkList,
        listener: Listener,
        clock: clock_contract.Clock,
        watches: Callable[[identifiers.TargetId], bool] = lambda _: True,
        period_s: float = PERIOD_S,
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
        self._watches = watches
        self._period_s = period_s
        self._sequences: dict[
            identifiers.TargetId, tuple[identifiers.BootId, int]
        ] = {}

    async def run(self) -> None:
        """Asks once a period, for good."""
        while True:
            await self.ask_all()
            await anyio.sleep(self._period_s)

    async def ask_all(self) -> None:
        """Asks every engine that is this instance's to watch."""
        links = [
            link
            for link in self._links.links
            if link.target.kind is targets.TargetKind.ENGINE
            and self._watches(link.target.target_id)
        ]
        known = {link.target.target_id for link in links}
        for target_id in self._sequences.keys() - known:
            del self._sequences[target_id]
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT)
        async with anyio.create_task_group() as tasks:
            for link in links:
                tasks.start_soon(self._ask, link, limiter)

    async def _ask(
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
        known_boot, sequence = self._sequences.get(target_id, (boot_id, 0))
        if known_boot != boot_id:
            sequence = 0
        if not await self._pass_on(link, sequence):
            await self._pass_on(link, WHOLE_CACHE)

    async def _pass_on(
        self, link: target_link.TargetLink, sequence: int
    ) -> bool:
        """Passes events on; False if the dispatcher found a gap."""
        events = await link.cache_events(sequence)
        if isinstance(events, result.Err):
            return True
        whole = True
        for event in events.ok_value:
            whole = self._listener.observe_cache(event)
            self._sequences[event.target_id] = (event.boot_id, event.sequence)
        return whole
