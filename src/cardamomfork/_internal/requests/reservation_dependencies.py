"""Dependencies of the reservation reclaimer in a daemon."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

from cardamomfork._internal.models import targets

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cardamomfork._internal.contracts import target_link
    from cardamomfork._internal.models import identifiers
    from cardamomfork._internal.requests import reservation_sweep
    from cardamomfork._internal.requests import reservations

    Members = Mapping[identifiers.InstanceId, reservation_sweep.Member]
    QueryOwner = Callable[
        [reservation_sweep.OwnershipQuery], Awaitable[frozenset[str] | None]
    ]


class Links(Protocol):
    """Table of links to the targets."""

    @property
    def links(self) -> Sequence[target_link.TargetLink]:
        """The links to all targets."""
        ...

    def find(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target, or None if there is none."""
        ...


class DaemonReclaimerDependencies:
    """Implements `reservation_reclaimer.ReclaimerDependencies` in a daemon."""

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        data_centre: identifiers.DataCentreId,
        links: Links,
        local_reservations: reservations.LocalReservations,
        members: Callable[[], Members],
        live: Callable[[], Collection[identifiers.InstanceId]],
        ask: QueryOwner,
    ) -> None:
        """Initializes the dependencies.

        Args:
            instance_id: Id of this instance.
            data_centre: Data centre of this instance.
            links: Links to the targets.
            local_reservations: Reservations that this instance owns.
            members: Returns all instances in the membership table.
            live: Returns the live instances of this data centre.
            ask: Sends an ownership query to another instance.
        """
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._links = links
        self._local = local_reservations
        self._members = members
        self._live = live
        self._ask = ask

    def link(
        self, target_id: identifiers.TargetId
    ) -> target_link.TargetLink | None:
        """Returns the link to a target; None if it is not configured."""
        return self._links.find(target_id)

    def local_engines(self) -> Collection[identifiers.TargetId]:
        """Returns the engines of this data centre."""
        return [
            link.target.target_id
            for link in self._links.links
            if link.target.kind is targets.TargetKind.ENGINE
            and link.target.data_centre == self._data_centre
        ]

    def live_instances(self) -> Collection[identifiers.InstanceId]:
        """Returns the live instances of this data centre, this one included."""
        return self._live()

    def members(self) -> Members:
        """Returns all instances in the membership table."""
        return self._members()

    async def query_owner(
        self, query: reservation_sweep.OwnershipQuery
    ) -> frozenset[str] | None:
        """Returns which names the owner no longer uses; None if no answer.

        For this instance the answer is local; other instances are queried.
        """
        if query.owner == self._instance_id:
            return self._local.find_unused(query.names)
        return await self._ask(query)
