"""How much of the fleet this instance can reach, and how fresh that is.

Each data centre's delegates speak for it. When they last did so is passed on
as an age, so that clocks need not agree. A data centre not heard of for
`DROP_S` no longer counts as reachable; what was known of it is kept until
`RISE_S`. The gap between the two lets both sides of a partition shrink before
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

FRESH_S = 6.0
DROP_S = 10.0
RISE_S = 20.0
MAX_DATA_CENTRES = 64


@attrs.define
class _Heard:
    """Local time at which a data centre last spoke, and its size then."""

    spoke_at: float
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
        self._heard: dict[identifiers.DataCentreId, _Heard] = {}
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
            if name != self.home and len(self._heard) < MAX_DATA_CENTRES:
                self._heard.setdefault(name, _Heard(now, size))

    def ages(self, now: float) -> dict[identifiers.DataCentreId, float]:
        """Returns the seconds since each other data centre spoke."""
        return {name: now - h.spoke_at for name, h in self._heard.items()}

    def hear(
        self, ages: Mapping[identifiers.DataCentreId, float], now: float
    ) -> None:
        """Takes ages in seconds from a peer; keeps the younger."""
        for name, age in ages.items():
            if name == self.home or age < 0:
                continue
            held = self._heard.get(name)
            if held is None and len(self._heard) < MAX_DATA_CENTRES:
                self._heard[name] = _Heard(now - age)
            elif held is not None:
                held.spoke_at = max(held.spoke_at, now - age)

    def spoke_at(self, data_centre: identifiers.DataCentreId) -> float:
        """Returns the monotonic time of a data centre's last news, or 0."""
        held = self._heard.get(data_centre)
        return held.spoke_at if held else 0.0

    def is_forgotten(
        self, data_centre: identifiers.DataCentreId, now: float
    ) -> bool:
        """Tells whether what a data centre said no longer counts."""
        held = self._heard.get(data_centre)
        return held is None or now - held.spoke_at >= RISE_S

    def confirmed_since(self, moment: float, now: float) -> bool:
        """Tells whether all data centres that count spoke after a moment."""
        if not self._refreshed:
            self.refresh(now)
        return all(
            held.spoke_at > moment
            for held in self._heard.values()
            if now - held.spoke_at < RISE_S
        )

    def is_fresh(self, now: float) -> bool:
        """Tells whether all data centres have spoken lately."""
        return all(
            now - held.spoke_at < FRESH_S for held in self._heard.values()
        )

    def total(self) -> int:
        """Returns the instances of the fleet, the lost ones among them.

        One held for dead counts until it is forgotten or replaced, because a
        part that is cut off looks the same; one that said it stops does not.
        """
        home = sum(
            not record.has_stopped for record in self._members.known(self.home)
        )
        return home + sum(self._size(name) for name in self._heard)

    def fraction(self, now: float) -> float:
        """Returns the share of the fleet on this side, 0 to 1."""
        near = len(self._members.live(self.home))
        far = sum(
            self._size(name)
            for name, held in self._heard.items()
            if now - held.spoke_at < DROP_S
        )
        return (near + far) / max(self.total(), 1)

    def _size(self, data_centre: identifiers.DataCentreId) -> int:
        """Returns the last known size of a data centre."""
        summary = self._others.get(data_centre)
        held = self._heard[data_centre]
        if summary is not None:
            held.size = max(summary.live, 1)
        return held.size
