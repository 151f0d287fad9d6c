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
from cardamomfork._internal.links.operators import collaborators

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cardamomfork._internal.contracts import clock as clock_contract
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.models import instances

    Ask = Callable[[instances.Instance], Awaitable[bool]]

MAX_AT_ONCE = 16
LEAST_PAUSE_S = 0.2
REFRESH_S = 5.0
"""Longest time of one round of calls."""


class HeardRevisions(Protocol):
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
        heard: HeardRevisions,
        replica: collaborators.Replica,
        ask: Ask,
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
        self._heard = heard
        self._replica = replica
        self._ask = ask
        self._clock = clock
        self._next_round_at = -math.inf

    def statuses(self) -> tuple[collaborators.InstanceStatus, ...]:
        """Returns a status for each instance, this one included."""
        known = sorted(
            self._members.known(),
            key=lambda each: (
                each.instance.data_centre,
                each.instance.instance_id,
            ),
        )
        return tuple(map(self._status_of, known))

    async def refresh(self, version: int) -> None:
        """Calls the instances that were not heard to have a version.

        With version 0 it calls all, to renew what is shown. Several operators
        who wait share the rounds.
        """
        now = self._clock.monotonic()
        if now < self._next_round_at:
            return
        self._next_round_at = now + LEAST_PAUSE_S
        wanted = [
            record.instance
            for record in self._members.known()
            if record.health is not records.Health.DEAD
            and record.instance != self._members.me.instance
            and (version <= 0 or self._version_of(record) < version)
        ]
        limit = anyio.CapacityLimiter(MAX_AT_ONCE)

        async def call(peer: instances.Instance) -> None:
            async with limit:
                await self._ask(peer)

        with anyio.move_on_after(REFRESH_S):
            async with anyio.create_task_group() as group:
                for peer in wanted:
                    group.start_soon(call, peer)

    def _version_of(self, record: records.Record) -> int:
        """Returns the revision that an instance was heard to hold."""
        heard = self._heard.heard_from(record.instance.instance_id)
        return heard[0] if heard else 0

    def _status_of(
        self, record: records.Record
    ) -> collaborators.InstanceStatus:
        """Returns one instance's status."""
        instance = record.instance
        if instance == self._members.me.instance:
            version, age_s = self._replica.revision, 0.0
        else:
            heard = self._heard.heard_from(instance.instance_id)
            version, heard_at = heard or (0, 0.0)
            age_s = self._clock.monotonic() - heard_at
        return collaborators.InstanceStatus(
            instance.instance_id,
            instance.boot_id,
            instance.data_centre,
            record.state,
            version,
            age_s,
        )
