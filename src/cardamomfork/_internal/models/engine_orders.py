"""Orders to engines about memory."""

from __future__ import annotations

import attrs


@attrs.frozen
class ReserveMemory:
    """Sets memory aside, or renews the time for which it is.

    Attributes:
        reservation_id: Names the reservation.
        tokens: Memory, in tokens.
        hold_s: Time after which the engine frees it by itself.
    """

    reservation_id: str
    tokens: int
    hold_s: float


@attrs.frozen
class ReleaseMemory:
    """Ends a reservation.

    Attributes:
        reservation_id: Names the reservation.
    """

    reservation_id: str


Order = ReserveMemory | ReleaseMemory
