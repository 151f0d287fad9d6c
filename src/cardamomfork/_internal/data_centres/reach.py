"""Estimates which fraction of the fleet this instance can reach.

Delegates send updates on behalf of their data centre. Peers pass on the age
of the last update instead of its time, so clocks need not be synchronized. A
data centre without an update for `UNREACHABLE_AFTER_S` no longer counts as
reachable; its demands count until `FORGET_AFTER_S`. Because of the gap between
the two, both sides of a partition reduce their shares before either side
increases its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomfork._internal.data_centres import summaries
    from cardamomfork._internal.instances import membership
    from cardamomfork._internal.models import identifiers

FRESH_WITHIN_S = 6.0
"""Maximum age of an update that counts as recent."""
UNREACHABLE_AFTER_S = 10.0
FORGET_AFTER_S = 20.0
MAX_DATA_CENTRES = 64


@attrs.define
class _DataCentreState:
    """Last update of a data centre.

    Attributes:
        updated_at: Monotonic local time of the last update, in seconds.
        size: Number of live instances at that time.
    """

    updated_at: float
    size: int = 1


class Reach:
    """Tracks which data centres have sent updates recently."""

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> None:
        """Initializes the tracker.

        Args:
            members: Membership table of the local data centre.
            others: Summaries of the other data centres.
        """
        self._members = members
        self._others = others
        self._states: dict[identifiers.DataCentreId, _DataCentreState] = {}
        self._refreshed = False

    @property
    def me(self) -> identifiers.InstanceId:
        """Identifier of the local instance."""
        return self._members.me.instance.instance_id

    @property
    def home(self) -> identifiers.DataCentreId:
        """Identifier of the local data centre."""
        return self._others.home

    @property
    def is_delegate(self) -> bool:
        """Whether the local instance is a delegate of its data centre."""
        return self._others.is_delegate

    def refresh(self, now: float) -> None:
        """Adds the data centres of listed instances; call once per exchange.

        A data centre that is known from the instance list alone counts
        towards the fleet's size. Otherwise a new instance that is cut off
        would consider itself the whole fleet.
        """
        self._refreshed = True
        sizes: dict[identifiers.DataCentreId, int] = {}
        for record in self._members.known():
            name = record.instance.data_centre
            sizes[name] = sizes.get(name, 0) + 1
        for name, size in sizes.items():
            if name != self.home and len(self._states) < MAX_DATA_CENTRES:
                self._states.setdefault(name, _DataCentreState(now, size))

    def ages(self, now: float) -> dict[identifiers.DataCentreId, float]:
        """Returns the seconds since each remote data centre's last update."""
        return {
            name: now - state.updated_at for name, state in self._states.items()
        }

    def hear(
        self, ages: Mapping[identifiers.DataCentreId, float], now: float
    ) -> None:
        """Merges a peer's update ages; the lower age wins.

        Args:
            ages: Seconds since each data centre's last update.
            now: Monotonic time, in seconds.
        """
        for name, age in ages.items():
            if name == self.home or age < 0:
                continue
            state = self._states.get(name)
            if state is None and len(self._states) < MAX_DATA_CENTRES:
                self._states[name] = _DataCentreState(now - age)
            elif state is not None:
                state.updated_at = max(state.updated_at, now - age)

    def spoke_at(self, data_centre: identifiers.DataCentreId) -> float:
        """Returns the monotonic time of a data centre's last update, or 0."""
        state = self._states.get(data_centre)
        return state.updated_at if state else 0.0

    def is_forgotten(
        self, data_centre: identifiers.DataCentreId, now: float
    ) -> bool:
        """Returns whether a data centre's last update has expired."""
        state = self._states.get(data_centre)
        return state is None or now - state.updated_at >= FORGET_AFTER_S

    def confirmed_since(self, moment: float, now: float) -> bool:
        """Returns whether all data centres have sent an update since a time.

        Data centres whose last update has expired are ignored.

        Args:
            moment: Start of the interval, in monotonic seconds.
            now: Monotonic time, in seconds.
        """
        if not self._refreshed:
            self.refresh(now)
        return all(
            state.updated_at > moment
            for state in self._states.values()
            if now - state.updated_at < FORGET_AFTER_S
        )

    def is_fresh(self, now: float) -> bool:
        """Returns whether all data centres have sent a recent update."""
        return all(
            now - state.updated_at < FRESH_WITHIN_S
            for state in self._states.values()
        )

    def total(self) -> int:
        """Returns the number of instances in the fleet, including lost ones.

        A dead instance counts until its record is removed or replaced, since
        an instance behind a partition looks the same. An instance that has
        announced its stop doesn't count once it is dead.
        """
        local_count = sum(
            not record.has_stopped for record in self._members.known(self.home)
        )
        return local_count + sum(self._size(name) for name in self._states)

    def fraction(self, now: float) -> float:
        """Returns the fraction of the fleet that is reachable, 0 to 1."""
        local_live = len(self._members.live(self.home))
        remote_live = sum(
            self._size(name)
            for name, state in self._states.items()
            if now - state.updated_at < UNREACHABLE_AFTER_S
        )
        return (local_live + remote_live) / max(self.total(), 1)

    def _size(self, data_centre: identifiers.DataCentreId) -> int:
        """Returns the last known instance count of a data centre."""
        summary = self._others.get(data_centre)
        state = self._states[data_centre]
        if summary is not None:
            state.size = max(summary.live, 1)
        return state.size
