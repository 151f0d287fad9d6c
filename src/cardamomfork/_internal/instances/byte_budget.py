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
        self._rate = bytes_per_s
        self._capacity = bytes_per_s * burst_s
        self._level = self._capacity
        self._filled_at: float | None = None
        self.spent = 0
        self.refused = 0

    def available(self, now: float) -> int:
        """Returns how many bytes may be sent now."""
        if self._filled_at is not None:
            gained = max(now - self._filled_at, 0.0) * self._rate
            self._level = min(self._capacity, self._level + gained)
        self._filled_at = now
        return max(int(self._level), 0)

    def charge(self, size_bytes: int, now: float) -> None:
        """Takes bytes that had to be sent; others wait for up to a burst."""
        self.available(now)
        self._level = max(self._level - size_bytes, -self._capacity)
        self.spent += size_bytes

    def seconds_until(self, size_bytes: int, now: float) -> float:
        """Returns how long it takes until so many bytes may be sent."""
        missing = min(size_bytes, self._capacity) - self.available(now)
        return max(missing, 0.0) / self._rate

    def spend(self, size_bytes: int, now: float) -> bool:
        """Takes bytes out; False, and nothing taken, if too few are left."""
        if size_bytes > self.available(now):
            self.refused += 1
            return False
        self._level -= size_bytes
        self.spent += size_bytes
        return True
