"""Configuration versions of all instances, refreshed on an operator's request.

Instances learn their peers' revisions by gossip, but only from a few peers a
second. The instance that serves an operator therefore calls all instances that
have not yet reported the version.
"""

from __future__ import annotations

import math
from typing import Protocol
from typing import TYPE_CHECKING

import anyio

from cardamomfork._internal.instances import records
from cardamomfork._internal.links.operators import interfaces

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

    AskPeer = Callable[[instances.Instance], Awaitable[bool]]

MAX_CONCURRENT_CALLS = 16
MIN_REFRESH_INTERVAL_S = 0.2
REFRESH_TIMEOUT_S = 5.0
"""Time limit of one round of calls."""


class ReportedRevisions(Protocol):
    """Configuration revisions reported by peers."""

    def heard_from(
        self, peer: identifiers.InstanceId
    ) -> tuple[int, float] | None:
        """Returns a peer's revision and the monotonic time of its report."""
        ...


class FleetStatus:
    """Statuses of all instances known to this one."""

    def __init__(
        self,
        members: membership.Membership,
        reported: ReportedRevisions,
        replica: interfaces.Replica,
        ask: AskPeer,
        clock: clock_contract.Clock,
    ) -> None:
        """Initializes the statuses.

        Args:
            members: Known instances.
            reported: Configuration revisions reported by peers.
            replica: Configuration of this instance.
            ask: Exchanges gossip envelopes with an instance, so that it
                reports its revision.
            clock: Its monotonic time is used for the ages.
        """
        self._members = members
        self._reported = reported
        self._replica = replica
        self._ask_peer = ask
        self._clock = clock
        self._next_refresh_at = -math.inf

    def statuses(self) -> tuple[interfaces.InstanceStatus, ...]:
        """Returns the status of each known instance, including this one."""
        known = sorted(
            self._members.known(),
            key=lambda each: (
                each.instance.data_centre,
                each.instance.instance_id,
            ),
        )
        return tuple(map(self._make_status, known))

    async def refresh(self, version: int) -> None:
        """Calls the instances that have not yet reported a version.

        Dead instances are left out. With version 0, all others are called,
        whatever they have reported. Calling `refresh` again within
        `MIN_REFRESH_INTERVAL_S` of the last round does nothing, so that
        operators who wait at the same time share a round.
        """
        now = self._clock.monotonic()
        if now < self._next_refresh_at:
            return
        self._next_refresh_at = now + MIN_REFRESH_INTERVAL_S
        outdated = [
            record.instance
            for record in self._members.known()
            if record.health is not records.Health.DEAD
            and record.instance != self._members.me.instance
            and (version <= 0 or self._reported_version(record) < version)
        ]
        limit = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def call(peer: instances.Instance) -> None:
            async with limit:
                await self._ask_peer(peer)

        with anyio.move_on_after(REFRESH_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for peer in outdated:
                    group.start_soon(call, peer)

    def _reported_version(self, record: records.Record) -> int:
        """Returns the last revision that an instance reported; 0 if none."""
        reported = self._reported.heard_from(record.instance.instance_id)
        return reported[0] if reported else 0

    def _make_status(self, record: records.Record) -> interfaces.InstanceStatus:
        """Returns the status of one instance."""
        instance = record.instance
        if instance == self._members.me.instance:
            version, age_s = self._replica.revision, 0.0
        else:
            reported = self._reported.heard_from(instance.instance_id)
            version, reported_at = reported or (0, 0.0)
            age_s = self._clock.monotonic() - reported_at
        return interfaces.InstanceStatus(
            instance.instance_id,
            instance.boot_id,
            instance.data_centre,
            record.state,
            version,
            age_s,
        )
