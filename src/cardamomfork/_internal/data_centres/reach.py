"""How much of the fleet this instance can reach, and how fresh that is.

Each data centre's delegates speak for it. When they last did so is passed on
as an age, so that clocks need not agree. A data centre not heard of for
`UNREACHABLE_AFTER_S` no longer counts as reachable; what was known of it is kept until
`FORGET_AFTER_S`. The gap between the two lets both sides of a partition shrink before
either grows.
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
UNREACHABLE_AFTER_S = 10.0
FORGET_AFTER_S = 20.0
MAX_DATA_CENTRES = 64


@attrs.define
class _DataCentreState:
    """Local time at which a data centre last spoke, and its size then."""

    updated_at: float
    size: int = 1


class Reach:
    """What part of the fleet is on this instance's side."""

    def __init__(
        self,
        members: membership.Membership,
        others: summaries.DataCentreSummaries,
    ) -> None:
        """Takes this data centre's table and the others' summaries."""
        self._members = members
        self._others = others
        self._states: dict[identifiers.DataCentreId, _DataCentreState] = {}
        self._refreshed = False

    @property
    def me(self) -> identifiers.InstanceId:
        """This instance."""
        return self._members.me.instance.instance_id

    @property
    def home(self) -> identifiers.DataCentreId:
        """This data centre."""
        return self._others.home

    @property
    def is_delegate(self) -> bool:
        """Whether this instance is a delegate of its data centre."""
        return self._others.is_delegate

    def refresh(self, now: float) -> None:
        """Notes the data centres that are listed; call once an exchange.

        One that has only been listed counts, but has not spoken: a newcomer
        that is cut off must not take itself for the whole fleet.
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
        """Returns the seconds since each other data centre spoke."""
        return {
            name: now - state.updated_at for name, state in self._states.items()
        }

    def hear(
        self, ages: Mapping[identifiers.DataCentreId, float], now: float
    ) -> None:
        """Takes ages in seconds from a peer; keeps the younger."""
        for name, age in ages.items():
            if name == self.home or age < 0:
                continue
            state = self._states.get(name)
            if state is None and len(self._states) < MAX_DATA_CENTRES:
                self._states[name] = _DataCentreState(now - age)
            elif state is not None:
                state.updated_at = max(state.updated_at, now - age)

    def spoke_at(self, data_centre: identifiers.DataCentreId) -> float:
        """Returns the monotonic time of a data centre's last news, or 0."""
        state = self._states.get(data_centre)
        return state.updated_at if state else 0.0

    def is_forgotten(
        self, data_centre: identifiers.DataCentreId, now: float
    ) -> bool:
        """Tells whether what a data centre said no longer counts."""
        state = self._states.get(data_centre)
        return state is None or now - state.updated_at >= FORGET_AFTER_S

    def confirmed_since(self, moment: float, now: float) -> bool:
        """Tells whether all data centres that count spoke after a moment."""
        if not self._refreshed:
            self.refresh(now)
        return all(
            state.updated_at > moment
            for state in self._states.values()
            if now - state.updated_at < FORGET_AFTER_S
        )

    def is_fresh(self, now: float) -> bool:
        """Tells whether all data centres have spoken lately."""
        return all(
            now - state.updated_at < FRESH_WITHIN_S
            for state in self._states.values()
        )

    def total(self) -> int:
        """Returns the instances of the fleet, the lost ones among them.

        One held for dead counts until it is forgotten or replaced, because a
        part that is cut off looks the same; one that said it stops does not.
        """
        local_count = sum(
            not record.has_stopped for record in self._members.known(self.home)
        )
        return local_count + sum(self._size(name) for name in self._states)

    def fraction(self, now: float) -> float:
        """Returns the share of the fleet on this side, 0 to 1."""
        local_live = len(self._members.live(self.home))
        remote_live = sum(
            self._size(name)
            for name, state in self._states.items()
            if now - state.updated_at < UNREACHABLE_AFTER_S
        )
        return (local_live + remote_live) / max(self.total(), 1)

    def _size(self, data_centre: identifiers.DataCentreId) -> int:
        """Returns the last known size of a data centre."""
        summary = self._others.get(data_centre)
        state = self._states[data_centre]
        if summary is not None:
            state.size = max(summary.live, 1)
        return state.size
