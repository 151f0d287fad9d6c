"""A token bucket for bytes told to peers, which also counts them."""

from __future__ import annotations

BURST_S = 2.0


class ByteBudget:
    """Bytes that may be sent now, refilled at a steady rate."""

    def __init__(self, bytes_per_s: float, burst_s: float = BURST_S) -> None:
        """Starts full.

        Args:
            bytes_per_s: Rate over any long time.
            burst_s: Seconds' worth of bytes that may be sent at once.
        """
        self._bytes_per_s = bytes_per_s
        self._capacity_bytes = bytes_per_s * burst_s
        self._available_bytes = self._capacity_bytes
        self._refilled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def available(self, now: float) -> int:
        """Returns how many bytes may be sent now."""
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
        """Takes bytes that had to be sent; others wait for up to a burst."""
        self.available(now)
        self._available_bytes = max(
            self._available_bytes - size_bytes, -self._capacity_bytes
        )
        self.spent += size_bytes

    def seconds_until(self, size_bytes: int, now: float) -> float:
        """Returns how long it takes until so many bytes may be sent."""
        shortfall = min(size_bytes, self._capacity_bytes) - self.available(now)
        return max(shortfall, 0.0) / self._bytes_per_s

    def spend(self, size_bytes: int, now: float) -> bool:
        """Takes bytes out; False, and nothing taken, if too few are left."""
        if size_bytes > self.available(now):
            self.refused += 1
            return False
        self._available_bytes -= size_bytes
        self.spent += size_bytes
        return True
