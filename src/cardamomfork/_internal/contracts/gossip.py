"""Gossip between corresponding components of different instances.

Each component that gossips is a `Participant`. Peering requests payloads from
it within a byte budget and passes it the payloads of peers. Payloads are
versioned deltas: a participant must tolerate late, duplicate and reordered
payloads.
"""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers


class Topic(enum.IntEnum):
    """Participant that a payload belongs to; the values are sent to peers."""

    MEMBERSHIP = 0
    CONFIGURATION = 1
    LIMITS = 2
    LOAD = 3
    POISON = 4
    LEAVING = 5
    CLAIMS = 6


class Scope(enum.Enum):
    """Whether a peer is in the same data centre or in another one."""

    DATA_CENTRE = "data_centre"
    FLEET = "fleet"
    """The peer is a delegate in another data centre; send summaries."""


class Participant(Protocol):
    """A component that exchanges state by gossip."""

    @property
    def topic(self) -> Topic:
        """The topic of its payloads."""
        ...

    def collect(
        self,
        peer: identifiers.InstanceId,
        scope: Scope,
        budget_bytes: int,
        now: float,
    ) -> bytes:
        """Returns a payload for a peer, within the budget; b"" for none."""
        ...

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Applies a peer's payload; drops and counts undecodable ones."""
        ...
