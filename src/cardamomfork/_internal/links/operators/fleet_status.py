"""What each instance has applied, asked of it when an operator wants to know.

Instances hear their peers' revisions by gossip, but only of a few peers a
second. So the instance that an operator asks calls all others that lag.
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
"""Longest time of one round of calls."""


class ReportedRevisions(Protocol):
    """Revisions that peers told."""

    def heard_from(
        self, peer: identifiers.InstanceId
    ) -> tuple[int, float] | None:
        """Returns a peer's revision and the monotonic time it was heard."""
        ...


class FleetStatus:
    """Statuses of all instances that this one knows."""

    def __init__(
        self,
        members: membership.Membership,
        reported: ReportedRevisions,
        replica: interfaces.Replica,
        ask: AskPeer,
        clock: clock_contract.Clock,
    ) -> None:
        """Takes the parts.

        Args:
            members: The instances.
            heard: What they told of their configuration.
            replica: This instance's configuration.
            ask: Exchanges envelopes with an instance.
            clock: Its monotonic time gives the ages.
        """
        self._members = members
        self._reported = reported
        self._replica = replica
        self._ask_peer = ask
        self._clock = clock
        self._next_refresh_at = -math.inf

    def statuses(self) -> tuple[interfaces.InstanceStatus, ...]:
        """Returns a status for each instance, this one included."""
        known = sorted(
            self._members.known(),
            key=lambda each: (
                each.instance.data_centre,
                each.instance.instance_id,
            ),
        )
        return tuple(map(self._make_status, known))

    async def refresh(self, version: int) -> None:
        """Calls the instances that were not heard to have a version.

        With version 0 it calls all, to renew what is shown. Several operators
        who wait share the rounds.
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
        """Returns the revision that an instance was heard to hold."""
        reported = self._reported.heard_from(record.instance.instance_id)
        return reported[0] if reported else 0

    def _make_status(self, record: records.Record) -> interfaces.InstanceStatus:
        """Returns one instance's status."""
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
