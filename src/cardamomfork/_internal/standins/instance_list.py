"""The platform's list of instances and targets, with a propagation delay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import result

from cardamomfork._internal.contracts import listing
from cardamomfork._internal.contracts import store as store_contract

if TYPE_CHECKING:
    from cardamomfork._internal.contracts import clock as clock_contract

MAX_HISTORY = 1000


@attrs.define
class LaggingInstanceList:
    """Stand-in of `InstanceList` that returns a delayed state.

    Attributes:
        clock: Clock for the delay.
        lag_s: Age of the returned list, in seconds.
        down: Whether calls fail as unavailable.
    """

    clock: clock_contract.Clock
    lag_s: float = 10.0
    down: bool = False
    _history: list[tuple[float, listing.Listing]] = attrs.field(factory=list)

    def publish(self, current: listing.Listing) -> None:
        """Sets the current state; `fetch` returns it after `lag_s`."""
        self._history.append((self.clock.monotonic(), current))
        del self._history[:-MAX_HISTORY]

    async def fetch(
        self,
    ) -> result.Result[listing.Listing, store_contract.StoreFault]:
        """Returns the list as it was `lag_s` ago."""
        if self.down:
            return result.Err(
                store_contract.StoreFault(
                    store_contract.StoreFaultKind.UNAVAILABLE, "instance list"
                )
            )
        visible = listing.Listing()
        visible_until = self.clock.monotonic() - self.lag_s
        for published_at, state in self._history:
            if published_at <= visible_until:
                visible = state
        return result.Ok(visible)
