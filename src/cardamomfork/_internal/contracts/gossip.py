"""What parts tell their counterparts on other instances.

Each part that gossips is a `Participant`. The peer link asks it for a payload
within a byte budget and gives it the payloads of others. Payloads are
versioned deltas: late, doubled or reordered ones must do no harm.
"""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomfork._internal.models import identifiers


class Topic(enum.IntEnum):
    """Which part a payload is for; the numbers are on the wire."""

    MEMBERSHIP = 0
    CONFIGURATION = 1
    LIMITS = 2
    LOAD = 3
    POISON = 4
    LEAVING = 5
    CLAIMS = 6


class Scope(enum.Enum):
    """How far away the counterpart is."""

    DATA_CENTRE = "data_centre"
    FLEET = "fleet"
    """A delegate in another data centre; send summaries."""


class Participant(Protocol):
    """A part that gossips."""

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
        """Returns what to tell a peer, at most the budget; b"" for nothing."""
        ...

    def absorb(
        self, sender: identifiers.InstanceId, payload: bytes, now: float
    ) -> None:
        """Takes a peer's payload; drops and counts one that it can't read."""
        ...
