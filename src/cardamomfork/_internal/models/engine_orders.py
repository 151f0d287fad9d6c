"""Orders to engines to reserve and release memory."""

from __future__ import annotations

import attrs


@attrs.frozen
class ReserveMemory:
    """Reserves memory, or extends an existing reservation.

    Attributes:
        reservation_id: Id of the reservation.
        tokens: Size of the memory in tokens.
        hold_s: Time after which the engine releases the memory by itself.
    """

    reservation_id: str
    tokens: int
    hold_s: float


@attrs.frozen
class ReleaseMemory:
    """Ends a reservation.

    Attributes:
        reservation_id: Id of the reservation.
    """

    reservation_id: str


Order = ReserveMemory | ReleaseMemory
