"""Token bucket that limits the bytes sent to peers."""

from __future__ import annotations

BURST_S = 2.0


class ByteBudget:
    """Token bucket of bytes, refilled at a steady rate.

    Attributes:
        spent: Bytes spent in total.
        refused: Number of `spend` calls that were refused.
    """

    def __init__(self, bytes_per_s: float, burst_s: float = BURST_S) -> None:
        """Initializes a full bucket.

        Args:
            bytes_per_s: Refill rate.
            burst_s: Capacity, in seconds of the refill rate.
        """
        self._bytes_per_s = bytes_per_s
        self._capacity_bytes = bytes_per_s * burst_s
        self._available_bytes = self._capacity_bytes
        self._refilled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def available(self, now: float) -> int:
        """Refills the bucket and returns the bytes that may be sent now."""
        if self._refilled_at is not None:
            refilled_bytes = (
                max(now - self._refilled_at, 0.0) * self._bytes_per_s
            )
            self._available_bytes = min(
                self._capacity_bytes, self._available_bytes + refilled_bytes
            )
        self._refilled_at = now
        return max(int(self._available_bytes), 0)

    def charge(self, size_bytes: int, now: float) -> None:
        """Spends bytes that are sent even if the bucket is empty.

        The bucket may go negative, by at most its capacity; other spenders
        wait until it has refilled.
        """
        self.available(now)
        self._available_bytes = max(
            self._available_bytes - size_bytes, -self._capacity_bytes
        )
        self.spent += size_bytes

    def seconds_until(self, size_bytes: int, now: float) -> float:
        """Returns the time until the given number of bytes may be sent."""
        shortfall = min(size_bytes, self._capacity_bytes) - self.available(now)
        return max(shortfall, 0.0) / self._bytes_per_s

    def spend(self, size_bytes: int, now: float) -> bool:
        """Spends bytes if enough are available; returns whether it did."""
        if size_bytes > self.available(now):
            self.refused += 1
            return False
        self._available_bytes -= size_bytes
        self.spent += size_bytes
        return True
